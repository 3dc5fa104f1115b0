//! The platform's messages, from `messages.txt`.

const MESSAGES: &str = include_str!("messages.txt");

/// Returns the text of a message or the name of a header.
pub fn text(name: &str) -> &'static str {
    let mut entries = MESSAGES.lines().filter_map(|line| line.split_once(" = "));
    let found = entries.find(|(key, _)| *key == name);
    found.map_or("", |(_, text)| text)
}

/// Returns a message with its placeholders filled in.
pub fn fill(name: &str, values: &[(&str, &str)]) -> String {
    let mut filled = text(name).to_owned();
    for (key, value) in values {
        filled = filled.replace(&format!("{{{key}}}"), value);
    }
    filled
}

/// Returns the head of an HTTP message with its placeholders filled in.
pub fn head(name: &str, values: &[(&str, &str)]) -> String {
    fill(name, values).replace('|', "\r\n") + "\r\n\r\n"
}
