//! HTTP headers of the platform.

use {
    super::accounts::read_accounts,
    crate::dialect::{AccountDialect, CallerIdentity, Dialect},
    http::HeaderName,
};

/// Returns the dialect of the platform.
pub const fn dialect() -> Dialect {
    Dialect {
        caller_identity: CallerIdentity::Host,
        timeout_ms: HeaderName::from_static("anvilbeam-deadline-ms"),
        request_id: Some(HeaderName::from_static("anvilbeam-request-id")),
        server: Some(HeaderName::from_static("anvilbeam-expected-instance")),
        caller_service: Some(HeaderName::from_static("anvilbeam-caller-service")),
        signature: Some(HeaderName::from_static("anvilbeam-response-signature")),
        not_run: HeaderName::from_static("anvilbeam-not-executed"),
        load: Some(HeaderName::from_static("anvilbeam-server-load")),
        account: Some(AccountDialect {
            header: HeaderName::from_static("anvilbeam-tenant-id"),
            read: read_accounts,
        }),
    }
}
