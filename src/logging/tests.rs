//! Tests of the log format and of the initialization.

use {
    super::{format_line, init, timestamp},
    crate::{
        events::{self, Event},
        settings::{Log, LogFormat},
    },
    log::{Level, LevelFilter, Record},
    std::time::{Duration, UNIX_EPOCH},
};

fn formatted(format: LogFormat, target: &str, message: &str) -> String {
    let record = Record::builder().target(target).level(Level::Info).build();
    let now = UNIX_EPOCH + Duration::from_secs(1);
    format_line(format, now, &format_args!("{message}"), &record)
}

/// Guards against wrong months and leap days in the computed date.
#[test]
fn timestamps_follow_the_calendar() {
    let cases = [
        (0, "1970-01-01T00:00:00.000Z"),
        (68_256_000, "1972-03-01T00:00:00.000Z"),
        (951_868_799, "2000-02-29T23:59:59.000Z"),
        (1_796_367_601, "2026-12-04T07:00:01.000Z"),
        (4_107_542_400, "2100-03-01T00:00:00.000Z"),
    ];
    for (seconds, expected) in cases {
        assert_eq!(
            timestamp(UNIX_EPOCH + Duration::from_secs(seconds)),
            expected
        );
    }
}

/// Guards against a message that forges a second log line.
#[test]
fn text_is_one_line() {
    let text = formatted(LogFormat::Text, "t", "a\nb");
    assert_eq!(text, "1970-01-01T00:00:01.000Z INFO t a\\nb");
}

/// Guards against JSON logs in which the fields of an event are not separate fields.
#[test]
fn json_has_the_fields_of_an_event() {
    let event = events::format_event(Event::CallRefused, &[("reason", &"no \"grant\"")]);
    let text = formatted(LogFormat::Json, events::TARGET, &event);
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["event"], "402");
    assert_eq!(value["reason"], "no \"grant\"");
    assert_eq!(value["level"], "INFO");
    let text = formatted(LogFormat::Json, "other", "event=\"\n");
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["message"], "event=\"\n");
}

/// Guards against a second initialization that panics or silently replaces the first.
#[test]
fn logging_is_initialized_once() {
    let log = Log {
        level: LevelFilter::Off,
        ..Log::default()
    };
    init(&log).unwrap();
    let e = init(&log).unwrap_err().to_string();
    assert!(e.starts_with("log: "), "{e}");
}
