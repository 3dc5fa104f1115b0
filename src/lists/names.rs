//! Checks of names and path prefixes.

/// Maximum length of a name in bytes.
pub const MAX_NAME: usize = 63;

/// Maximum length of a path prefix in bytes; paths of requests are rarely longer.
pub const MAX_PATH: usize = 1024;

/// Checks that `name` is 1 to 63 characters of `[a-z0-9-]`.
///
/// ```
/// use anvilbeam::lists::check_name;
/// check_name("issuance-2").unwrap();
/// check_name("Issuance").unwrap_err();
/// ```
///
/// # Errors
/// What is wrong, quoting at most the first 63 characters of `name`.
pub fn check_name(name: &str) -> Result<(), String> {
    check_characters(name, "a-z, 0-9 and -", |c| {
        c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-'
    })
}

/// Checks that `name` is 1 to 63 characters of `[a-z0-9.-]`. The name of a plan may be a host name,
/// so it may contain dots.
///
/// # Errors
/// What is wrong, quoting at most the first 63 characters of `name`.
///
/// # Examples
/// ```
/// use anvilbeam::lists::check_plan_name;
/// assert!(check_plan_name("ward-offices.example").is_ok());
/// assert!(check_plan_name("Ward Offices").is_err());
/// ```
pub fn check_plan_name(name: &str) -> Result<(), String> {
    check_characters(name, "a-z, 0-9, - and .", |c| {
        c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.'
    })
}

/// Checks a path prefix: it begins and ends with a slash, consists of visible ASCII characters and
/// has at most 1024 bytes.
///
/// # Errors
/// What is wrong, with the length or the text of `path`.
///
/// # Examples
/// ```
/// use anvilbeam::lists::check_path;
/// assert!(check_path("/entry/").is_ok());
/// assert!(check_path("entry/").is_err());
/// ```
pub fn check_path(path: &str) -> Result<(), String> {
    if path.len() > MAX_PATH {
        return Err(format!(
            "path of {} bytes exceeds the limit of {MAX_PATH}",
            path.len()
        ));
    }
    if !path.starts_with('/') || !path.ends_with('/') {
        return Err(format!("path {path:?} does not begin and end with a slash"));
    }
    if !path.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(format!(
            "path {path:?} contains a character that is not visible ASCII"
        ));
    }
    Ok(())
}

fn check_characters(
    name: &str,
    allowed_text: &str,
    is_allowed: fn(char) -> bool,
) -> Result<(), String> {
    if name.is_empty() {
        return Err("name is empty".to_owned());
    }
    if name.len() > MAX_NAME {
        let head: String = name.chars().take(MAX_NAME).collect();
        return Err(format!(
            "name {head:?}... has {} bytes; at most {MAX_NAME} are allowed",
            name.len()
        ));
    }
    if let Some(invalid) = name.chars().find(|c| !is_allowed(*c)) {
        return Err(format!(
            "name {name:?} contains {invalid:?}; only {allowed_text} are allowed"
        ));
    }
    Ok(())
}
