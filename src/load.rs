//! Load of a backend server, which its owner daemon reports with each answer.

use {
    crate::model::Rank,
    http::{HeaderMap, HeaderValue},
    std::{array, time::Duration},
    strum::EnumCount as _,
};

/// Load of one backend server at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of running calls.
    pub running: u32,
    /// Number of calls that wait for a slot.
    pub waiting: u32,
    /// Maximum number of calls running at once.
    pub slots: u32,
    /// Expected wait until a large body would be received.
    pub body_wait: Duration,
    /// Time that the link needs for the answers of downloads that wait to leave ahead of one of a
    /// rank, by [`Rank::index`].
    pub answer_wait: [Duration; Rank::COUNT],
    /// Speed of the backend server; `None` if it is not measured or the call was not answered.
    pub speed: Option<SpeedReport>,
    /// Time that the backend server needed for the answered call; `None` if the call did not run or
    /// the header is missing.
    pub server_time: Option<Duration>,
}

/// Speed of a backend server, as its owner daemon measures it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedReport {
    /// Typical time of a call of the answered kind, without waits for a slot or for inner calls.
    pub time: Duration,
    /// Expected wait for a slot.
    pub wait: Duration,
}

impl Load {
    /// Parses the headers of an owner daemon's answer.
    ///
    /// Returns `None` if the load header is missing or invalid.
    ///
    /// # Examples
    /// ```
    /// use anvilbeam::load::Load;
    /// let mut headers = http::HeaderMap::new();
    /// headers.insert("anvilbeam-load", "3,1,8,250".parse().unwrap());
    /// let load = Load::read(&headers).unwrap();
    /// assert_eq!(load.waiting, 1);
    /// assert_eq!(load.body_wait.as_millis(), 250);
    /// assert!(load.answer_wait.iter().all(std::time::Duration::is_zero));
    /// headers.insert("anvilbeam-load", "3,1,8,250,0,0,70,90".parse().unwrap());
    /// let load = Load::read(&headers).unwrap();
    /// assert_eq!(load.answer_wait.map(|wait| wait.as_millis()), [0, 0, 70, 90]);
    /// headers.insert("anvilbeam-load", "3,1,8,250,0,0,0,0,81000,40".parse().unwrap());
    /// let load = Load::read(&headers).unwrap();
    /// assert_eq!(load.speed.unwrap().time.as_millis(), 81);
    /// let mut written = http::HeaderMap::new();
    /// load.write(&mut written);
    /// assert_eq!(written, headers);
    /// ```
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(crate::call::LOAD)?.to_str().ok()?;
        let mut parts = text.split(',').map(str::parse);
        let mut next = || -> Option<u32> { parts.next()?.ok() };
        let server_time = headers.get(crate::call::SERVER_US);
        let server_time = server_time.and_then(|value| value.to_str().ok()?.parse().ok());
        Some(Self {
            running: next()?,
            waiting: next()?,
            slots: next()?,
            // Missing in the reports of earlier releases.
            body_wait: Duration::from_millis(next().unwrap_or_default().into()),
            // Missing while nothing waits, and in the reports of earlier releases.
            answer_wait: array::from_fn(|_| Duration::from_millis(next().unwrap_or(0).into())),
            speed: next().and_then(|time| {
                Some(SpeedReport {
                    time: Duration::from_micros(time.into()),
                    wait: Duration::from_millis(next()?.into()),
                })
            }),
            server_time: server_time.map(Duration::from_micros),
        })
    }

    /// Adds the load header to `headers`. The backend server's time has a header of its own.
    pub fn write(&self, headers: &mut HeaderMap) {
        let Self {
            running,
            waiting,
            slots,
            body_wait,
            answer_wait,
            speed,
            ..
        } = self;
        let wait_ms = body_wait.as_millis();
        let text = format!("{running},{waiting},{slots},{wait_ms}");
        let waits = answer_wait.map(|wait| wait.as_millis().to_string());
        let text = if speed.is_none() && answer_wait.iter().all(Duration::is_zero) {
            text
        } else {
            format!("{text},{}", waits.join(","))
        };
        let text = match speed {
            Some(SpeedReport { time, wait }) => {
                format!("{text},{},{}", time.as_micros(), wait.as_millis())
            }
            None => text,
        };
        match HeaderValue::from_str(&text) {
            Ok(value) => drop(headers.insert(crate::call::LOAD, value)),
            Err(e) => log::error!("cannot encode the load header, so the answer has none: {e}"),
        }
    }
}
