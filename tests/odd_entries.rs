//! Entries of other writers that the platform's interface receives: nested deeply, or with numbers that are
//! too large.

mod platform;

use {
    http::StatusCode,
    platform::{Platform, configuration},
    serde_json::{Value, json},
};

/// Levels of nesting far beyond what any reader accepts.
const DEPTH: usize = 100_000;

/// Returns JSON text of arrays in each other.
fn nested(levels: usize) -> String {
    "[".repeat(levels) + &"]".repeat(levels)
}

/// Guards against a configuration that is acknowledged and cannot be read back, and against one that ends
/// a process.
#[tokio::test]
async fn a_nested_configuration_is_refused_or_read_back() {
    let platform = Platform::start().await;
    platform.put_until_accepted(&configuration(1, 0, &[])).await;
    let mut base = 1;
    for levels in (100..=135).chain([DEPTH]) {
        for place in ["", "Routes", "Services", "Limits"] {
            let version = base + 1;
            let document = configuration(version, base, &[]);
            let text = with_nested_member(document, place, levels);
            let status = platform.put_bytes(text.clone()).await.status();
            let read = platform.get().await;
            assert_eq!(read.status(), StatusCode::OK, "{place:?} {levels}");
            let read: Value = serde_json::from_slice(read.body()).unwrap();
            if status == StatusCode::OK {
                base = version;
                let nested = nested(levels);
                assert!(read.to_string().contains(&nested), "{place:?} {levels}");
            } else {
                assert_eq!(status, StatusCode::BAD_REQUEST, "{place:?} {levels}");
            }
            assert_eq!(read["Version"], format!("{base:08x}"), "{place:?} {levels}");
        }
    }
}

/// Returns the text of a configuration with a nested member in its first record of `place`, or at its top
/// level.
fn with_nested_member(mut document: Value, place: &str, levels: usize) -> String {
    const MARK: &str = "nested";
    let record = match place {
        "" => &mut document,
        "Limits" => &mut document["Limits"],
        list => &mut document[list][0],
    };
    record["Extra"] = json!(MARK);
    document
        .to_string()
        .replace(&json!(MARK).to_string(), &nested(levels))
}
