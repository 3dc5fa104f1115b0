//! The form of names.

/// Longest name in bytes.
pub const MAX_NAME: usize = 63;

/// Checks that `name` is 1 to 63 characters of `[a-z0-9-]`.
///
/// ```
/// use anvilbeam::lists::check_name;
/// check_name("issuance-2").unwrap();
/// check_name("Issuance").unwrap_err();
/// ```
///
/// # Errors
/// The reason, which quotes at most the first 63 characters of `name`.
pub fn check_name(name: &str) -> Result<(), String> {
    if name.is_empty() {
        return Err("the name is empty".to_owned());
    }
    if name.len() > MAX_NAME {
        let head: String = name.chars().take(MAX_NAME).collect();
        return Err(format!(
            "name {head:?}... has {} bytes; {MAX_NAME} are allowed",
            name.len()
        ));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if let Some(wrong) = name.chars().find(|c| !allowed(*c)) {
        return Err(format!(
            "name {name:?} contains {wrong:?}; only a-z, 0-9 and - are allowed"
        ));
    }
    Ok(())
}
