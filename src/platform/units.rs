//! Text forms of durations and version numbers in the platform's messages.

use {
    serde::{Deserialize, Deserializer, Serializer, de::Error as _},
    serde_with::{DeserializeAs, SerializeAs},
};

/// Milliseconds, in text form with a unit: `1500ms`, `2.5s`.
pub(super) struct Millis;

impl SerializeAs<u64> for Millis {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{source}ms"))
    }
}

impl<'de> DeserializeAs<'de, u64> for Millis {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_millis(&text).ok_or_else(|| {
            D::Error::custom(format!("{text:?} is not a duration such as 1500ms or 2.5s"))
        })
    }
}

fn parse_millis(text: &str) -> Option<u64> {
    let (number, ms_per_unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1000.0),
    };
    let digits_only = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value: f64 = digits_only.then(|| number.parse().ok()).flatten()?;
    Some((value * ms_per_unit).round() as u64)
}

/// Version number, in text form as eight hexadecimal digits.
pub(super) struct Hex;

impl SerializeAs<u64> for Hex {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{source:08x}"))
    }
}

impl<'de> DeserializeAs<'de, u64> for Hex {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        let digits = text.len() == 8 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = digits
            .then(|| u64::from_str_radix(&text, 16).ok())
            .flatten();
        number.ok_or_else(|| {
            D::Error::custom(format!("{text:?} is not a version of 8 hexadecimal digits"))
        })
    }
}
