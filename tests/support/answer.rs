//! A complete HTTP answer and the values that tests read from it.

use {
    anvilbeam::stand_in::Echo,
    bytes::Bytes,
    http::{HeaderMap, StatusCode},
};

/// An HTTP answer with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn echo(&self) -> Echo {
        serde_json::from_slice(&self.body).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }

    pub fn reason(&self) -> Option<&str> {
        self.headers.get("anvilbeam-reason")?.to_str().ok()
    }

    pub fn outcome(&self) -> Option<&str> {
        self.headers.get("anvilbeam-outcome")?.to_str().ok()
    }
}
