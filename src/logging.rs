//! Writes log lines to standard error, as text or as JSON objects.

#[cfg(test)]
mod tests;

use {
    crate::{
        error::{Error, Result},
        events,
        settings::{Log, LogFormat},
    },
    log::Record,
    serde_json::{Map, Value},
    std::{
        fmt,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Initializes logging for the whole process.
///
/// # Errors
/// [`Error::Invalid`] when logging was already initialized.
pub fn init(log: &Log) -> Result<()> {
    let format = log.format;
    fern::Dispatch::new()
        .level(log.level)
        // The HTTP libraries log each frame at debug level, so they are limited to warnings.
        .level_for("h2", log.level.min(log::LevelFilter::Warn))
        .level_for("hyper", log.level.min(log::LevelFilter::Warn))
        .level_for("hyper_util", log.level.min(log::LevelFilter::Warn))
        .format(move |out, message, record| {
            out.finish(format_args!(
                "{}",
                format_line(format, SystemTime::now(), message, record)
            ));
        })
        .chain(std::io::stderr())
        .apply()
        .map_err(|e| Error::Invalid {
            location: "log".to_owned(),
            reason: e.to_string(),
        })
}

/// Formats one log line, without the line break at its end.
pub fn format_line(
    format: LogFormat,
    now: SystemTime,
    message: &fmt::Arguments<'_>,
    record: &Record<'_>,
) -> String {
    let time = timestamp(now);
    match format {
        LogFormat::Text => {
            let message = escape_control_chars(&message.to_string());
            format!("{time} {} {} {message}", record.level(), record.target())
        }
        LogFormat::Json => json_line(time, &message.to_string(), record),
    }
}

/// Escapes control characters: a line break in a message could forge a second log line.
fn escape_control_chars(message: &str) -> String {
    let mut text = String::with_capacity(message.len());
    for c in message.chars() {
        if c.is_control() {
            text.extend(c.escape_default());
        } else {
            text.push(c);
        }
    }
    text
}

/// Formats a log line as a JSON object. The fields of an event become fields of the object; any
/// other message is stored under `message`.
fn json_line(time: String, message: &str, record: &Record<'_>) -> String {
    let mut object = Map::new();
    let event = (record.target() == events::TARGET).then(|| events::parse_event(message));
    match event.flatten() {
        Some(fields) => object.extend(fields.into_iter().map(|(k, v)| (k, Value::from(v)))),
        None => {
            object.insert("message".to_owned(), message.into());
        }
    }
    object.insert("time".to_owned(), time.into());
    object.insert("level".to_owned(), record.level().as_str().into());
    object.insert("target".to_owned(), record.target().into());
    Value::Object(object).to_string()
}

/// Formats a time as RFC 3339 in UTC, with milliseconds.
///
/// ```
/// use {anvilbeam::logging::timestamp, std::time::{Duration, UNIX_EPOCH}};
/// let time = UNIX_EPOCH + Duration::from_millis(951_782_400_007);
/// assert_eq!(timestamp(time), "2000-02-29T00:00:00.007Z");
/// ```
pub fn timestamp(time: SystemTime) -> String {
    const DAY: u64 = 86_400;
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let seconds = since_epoch.as_secs();
    let (year, month, day) = date(seconds / DAY);
    let (hour, minute, second) = (seconds % DAY / 3600, seconds % 3600 / 60, seconds % 60);
    let millis = since_epoch.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

/// Converts a number of days since 1970-01-01 to year, month and day of the Gregorian calendar.
const fn date(days: u64) -> (u64, u64, u64) {
    // Years start on 1 March, so that a leap day is the last day of its year. 719,468 days lie
    // between 1 March of year 0 and 1970-01-01; an era is 400 years.
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year + if month <= 2 { 1 } else { 0 };
    (year, month, day)
}
