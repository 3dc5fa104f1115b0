//! Accounts at the daemon: the credentials of requests, and what the backend server is told.

use {
    super::{capacity::Credit, decision::unknown_key_refusal, event::CallId, shared::Shared},
    crate::{
        accounts::{CallAccount, Credentials},
        body::Body,
        call::Call,
        dialect::Dialect,
        events::Event as LogEvent,
        log_event,
        refusal::{Outcome, Refusal},
    },
    http::{HeaderMap, HeaderValue, Response, header},
    std::{sync::Arc, time::Instant},
};

/// Returns the credentials of a request; none are read in a dialect without accounts.
pub(super) fn credentials(dialect: &Dialect, headers: &HeaderMap) -> Credentials {
    match dialect.account {
        Some(_) => Credentials::read(headers),
        None => Credentials::Absent,
    }
}

/// Admits a call by the capacity of its grant and the quota of its account, before it is sent.
pub(super) async fn admit(
    shared: &Shared,
    id: CallId,
    call: &Call,
) -> Result<Option<Credit>, Refusal> {
    shared.capacity.admit(&shared.metrics, id, call).await?;
    let Some(account) = &call.account else {
        return Ok(None);
    };
    let found = shared.state().accounts().and_then(|all| {
        let account = all.get(&account.plan);
        account.map(Arc::clone)
    });
    match found {
        Some(account) => {
            shared
                .capacity
                .take_credit(&shared.metrics, id, account, call.deadline)
                .await
        }
        None => Ok(None),
    }
}

/// Checks again, before a call that has waited is sent, that its key is valid.
///
/// # Errors
/// The refusal of a call whose key a newer version has revoked; the call has not run.
pub(super) fn recheck(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    let Some(account) = &call.account else {
        return Ok(());
    };
    let state = shared.state();
    let (Some(accounts), Some(snapshot)) = (state.accounts(), state.snapshot()) else {
        // The version in force needs no keys.
        return Ok(());
    };
    if accounts.still_allows(account, snapshot.config().version) {
        return Ok(());
    }
    drop(state);
    log_event!(
        LogEvent::KeyRevoked,
        account = account.name(),
        service = call.service
    );
    Err(unknown_key_refusal())
}

/// Counts a finished request of an account, and returns its credit if its answer says that it did not
/// run.
pub(super) fn settle(
    shared: &Shared,
    account: Option<&CallAccount>,
    credit: Option<&Credit>,
    response: &Response<Body>,
) {
    let Some(account) = account else {
        return;
    };
    let refusal = Refusal::read(response.headers(), Instant::now());
    let outcome = match &refusal {
        Some(refusal) => refusal.reason.to_string(),
        None if response.status().is_server_error() => "failed".to_owned(),
        None => "answered".to_owned(),
    };
    let metrics = shared.metrics.accounts();
    metrics.record_request(account.name(), &outcome);
    if let Some(credit) = credit
        && refusal.is_some_and(|refusal| refusal.outcome == Outcome::NotRun)
    {
        shared.capacity.give_back(credit);
    }
}

/// Replaces the key and the account that the caller names by the account of the call. Nothing changes
/// while the configuration has no accounts.
pub(super) fn set_account(shared: &Shared, call: &Call, headers: &mut HeaderMap) {
    let Some(dialect) = &shared.dialect.account else {
        return;
    };
    if call.account.is_none() && shared.state().accounts().is_none() {
        return;
    }
    headers.remove(header::AUTHORIZATION);
    headers.remove(&dialect.header);
    if let Some(account) = &call.account {
        match HeaderValue::from_str(account.name()) {
            Ok(name) => drop(headers.insert(&dialect.header, name)),
            Err(e) => log::error!("account {:?} is not a header value: {e}", account.name()),
        }
    }
}
