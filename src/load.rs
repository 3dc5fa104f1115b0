//! Load of a backend server, as its owner daemon reports it with each answer.

use {
    http::{HeaderMap, HeaderValue},
    std::time::Duration,
};

/// Load of one backend server at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Calls that it runs.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
    /// Calls that it may run at once.
    pub slots: u32,
    /// Time that the answered call took at the backend server, if it ran.
    pub took: Option<Duration>,
}

impl Load {
    /// Reads the headers of an owner daemon's answer.
    ///
    /// # Examples
    /// ```
    /// use anvilbeam::load::Load;
    /// let mut headers = http::HeaderMap::new();
    /// headers.insert("anvilbeam-load", "3,1,8".parse().unwrap());
    /// assert_eq!(Load::read(&headers).unwrap().waiting, 1);
    /// ```
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(crate::call::LOAD)?.to_str().ok()?;
        let mut parts = text.split(',').map(str::parse);
        let mut next = || parts.next()?.ok();
        let took = headers.get(crate::call::SERVER_US);
        let took = took.and_then(|value| value.to_str().ok()?.parse().ok());
        Some(Self {
            running: next()?,
            waiting: next()?,
            slots: next()?,
            took: took.map(Duration::from_micros),
        })
    }

    /// Writes the load; the time that a call took has a header of its own.
    pub fn write(&self, headers: &mut HeaderMap) {
        let Self {
            running,
            waiting,
            slots,
            ..
        } = self;
        match HeaderValue::from_str(&format!("{running},{waiting},{slots}")) {
            Ok(value) => drop(headers.insert(crate::call::LOAD, value)),
            Err(e) => log::error!("load header: {e}"),
        }
    }
}
