//! Parses and formats values with units: durations such as `3s` and sizes such as `64MiB`.

use {
    log::LevelFilter,
    serde::{Deserialize, Deserializer, Serializer, de::Error as _},
    serde_with::{DeserializeAs, SerializeAs},
    std::time::Duration,
};

/// Maximum duration in a setting.
const MAX_DURATION: Duration = Duration::from_hours(24);

/// Rates in a setting, in bytes per second.
const RATE_RANGE: std::ops::RangeInclusive<f64> = 1e3..=125e9;

/// Adapter for `serde_as`: a [`Duration`] as `500ms` or `3s`, a `u64` size as `64MiB`,
/// a log level in lower case.
#[derive(Debug)]
pub struct HumanReadable;

impl SerializeAs<Duration> for HumanReadable {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{}ms", source.as_millis()))
    }
}

impl<'de> DeserializeAs<'de, Duration> for HumanReadable {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_duration(&text).map_err(D::Error::custom)
    }
}

impl SerializeAs<u64> for HumanReadable {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{source}B"))
    }
}

impl<'de> DeserializeAs<'de, u64> for HumanReadable {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_size(&text).map_err(D::Error::custom)
    }
}

impl SerializeAs<LevelFilter> for HumanReadable {
    fn serialize_as<S: Serializer>(source: &LevelFilter, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&source.as_str().to_lowercase())
    }
}

impl<'de> DeserializeAs<'de, LevelFilter> for HumanReadable {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<LevelFilter, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(|e| {
            D::Error::custom(format!(
                "level {text:?} is not error, warn, info, debug, trace or off: {e}"
            ))
        })
    }
}

/// Adapter for `serde_as`: a rate in bytes per second, written in bits as `7.5Mbit/s`.
#[derive(Debug)]
pub struct Rate;

impl SerializeAs<u64> for Rate {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{}bit/s", source * 8))
    }
}

impl<'de> DeserializeAs<'de, u64> for Rate {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_rate(&text).map_err(D::Error::custom)
    }
}

/// Parses a rate in `bit/s`, `kbit/s`, `Mbit/s` or `Gbit/s`, with decimals such as `7.5Mbit/s`, and
/// returns it in bytes per second.
///
/// ```
/// use anvilbeam::settings::parse_rate;
/// assert_eq!(parse_rate("7.5Mbit/s").unwrap(), 937_500);
/// assert!(parse_rate("7.5").unwrap_err().contains("Mbit/s"));
/// ```
///
/// # Errors
/// A message with the value if it is not a rate or is below 8 kbit/s or above 1000 Gbit/s.
pub fn parse_rate(text: &str) -> Result<u64, String> {
    let expected = || format!("{text:?} is not a rate such as 800kbit/s or 7.5Mbit/s");
    let (count, unit) = split_decimal(text).ok_or_else(expected)?;
    let bits = match unit {
        "bit/s" => 1.0,
        "kbit/s" => 1e3,
        "Mbit/s" => 1e6,
        "Gbit/s" => 1e9,
        _ => return Err(expected()),
    };
    let bytes = count * bits / 8.0;
    if !RATE_RANGE.contains(&bytes) {
        return Err(format!("{text:?} is not between 8kbit/s and 1000Gbit/s"));
    }
    Ok(bytes as u64)
}

/// Parses a duration in `ms`, `s`, `m` or `h`, from 1 ms to 24 h, with decimals such as `1.5s`.
///
/// ```
/// use {anvilbeam::settings::parse_duration, std::time::Duration};
/// assert_eq!(parse_duration("500ms").unwrap(), Duration::from_millis(500));
/// assert!(parse_duration("3").unwrap_err().contains("\"3\""));
/// ```
///
/// # Errors
/// A message with the value if it is not a duration or is out of range.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let expected = || format!("{text:?} is not a duration such as 500ms, 3s or 2m");
    let (count, unit) = split_decimal(text).ok_or_else(expected)?;
    let millis = match unit {
        "ms" => 1.0,
        "s" => 1000.0,
        "m" => 60_000.0,
        "h" => 3_600_000.0,
        _ => return Err(expected()),
    };
    let duration = Duration::from_millis((count * millis).round() as u64);
    if duration.is_zero() || duration > MAX_DURATION {
        return Err(format!("{text:?} is not between 1ms and 24h"));
    }
    Ok(duration)
}

/// Parses a size in `B`, `KiB`, `MiB` or `GiB` and returns it in bytes.
///
/// ```
/// use anvilbeam::settings::parse_size;
/// assert_eq!(parse_size("64MiB").unwrap(), 64 * 1024 * 1024);
/// ```
///
/// # Errors
/// A message with the value if it is not a size or does not fit into 64 bits.
pub fn parse_size(text: &str) -> Result<u64, String> {
    let expected = || format!("{text:?} is not a size such as 512B, 64KiB or 64MiB");
    let (count, unit) = split_integer(text).ok_or_else(expected)?;
    let shift = match unit {
        "B" => 0,
        "KiB" => 10,
        "MiB" => 20,
        "GiB" => 30,
        _ => return Err(expected()),
    };
    count
        .checked_mul(1 << shift)
        .ok_or_else(|| format!("{text:?} is too large"))
}

/// Splits `text` into the decimal number at its start and the unit after it.
fn split_decimal(text: &str) -> Option<(f64, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let count = &text[..end];
    let well_formed = count.starts_with(|c: char| c.is_ascii_digit()) && !count.ends_with('.');
    Some((
        well_formed.then(|| count.parse().ok()).flatten()?,
        &text[end..],
    ))
}

/// Splits `text` into the integer at its start and the unit after it.
fn split_integer(text: &str) -> Option<(u64, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let count = text[..end].parse().ok()?;
    Some((count, &text[end..]))
}
