//! Enforces the quotas of accounts at the entry daemon, before a request is sent anywhere.

use {
    super::{Capacity, WaitGuard},
    crate::{
        accounts::{
            Account,
            quota::{Quotas, Shortage, retry_at},
            quota_key,
        },
        capacity::MAX_WAIT,
        events::Event as LogEvent,
        log_event,
        metrics::Metrics,
        model::{GrantKey, UNLIMITED},
        refusal::{Reason, Refusal},
    },
    std::{
        sync::{Arc, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::timeout_at},
};

/// Part of the remaining time for which a request waits for credit, so that it can still run.
const WAIT_DIVISOR: u32 = 2;

/// Credit that a request has taken.
#[derive(Debug)]
pub struct Credit {
    account: Arc<Account>,
    grant: GrantKey,
}

impl Capacity {
    /// Takes the credit for one request of an account; waits if only this daemon lacks it. `None` if
    /// the account has no limit.
    ///
    /// # Errors
    /// A refusal when the account is beyond its limit.
    pub async fn take_credit(
        &self,
        metrics: &Metrics,
        id: u64,
        account: Arc<Account>,
        deadline: Instant,
    ) -> Result<Option<Credit>, Refusal> {
        if account.rate == UNLIMITED {
            return Ok(None);
        }
        let now = Instant::now();
        let grant = quota_key(account.plan.clone());
        let share = {
            let mut node = self.node();
            let taken = node.try_take(&grant, now);
            (!taken).then(|| node.share(&grant, now))
        };
        let Some(share) = share else {
            return Ok(Some(Credit { account, grant }));
        };
        let shortage = {
            let mut quotas = self.quotas();
            if quotas.try_take(&account, share.spill_nano, now) {
                return Ok(Some(Credit { account, grant }));
            }
            quotas.on_shortage(&account, &share, now, rand::random())
        };
        if let Shortage::Refuse(retry_at) = shortage {
            return Err(beyond_quota(&account, retry_at, None));
        }
        let remaining = deadline.saturating_duration_since(now);
        let until = now + MAX_WAIT.min(remaining / WAIT_DIVISOR);
        let admitted = self.wait_for_credit(id, &grant, until, now).await;
        let (began, now) = (now, Instant::now());
        let waited = now.saturating_duration_since(began);
        let name = account.name();
        metrics.accounts().record_wait(name, waited, admitted);
        if !admitted {
            let share = self.node().share(&grant, now);
            let retry_at = retry_at(&share, now, rand::random());
            return Err(beyond_quota(&account, retry_at, Some(waited)));
        }
        let waited_ms = waited.as_millis();
        log_event!(
            LogEvent::CreditWaited,
            account = name,
            waited_ms = waited_ms
        );
        Ok(Some(Credit { account, grant }))
    }

    /// Returns the credit of a request that did not run.
    pub fn give_back(&self, credit: &Credit) {
        let now = Instant::now();
        if !self.node().give_back(&credit.grant, now) {
            self.quotas().give_back(&credit.account, now);
        }
    }

    /// Waits for a share or a credit; returns whether the request may run.
    async fn wait_for_credit(
        &self,
        id: u64,
        grant: &GrantKey,
        until: Instant,
        now: Instant,
    ) -> bool {
        let (tx, rx) = oneshot::channel();
        self.waiting().insert(id, tx);
        // Removes the request if the caller disconnects during the wait.
        let _guard = WaitGuard {
            capacity: self,
            grant,
            id,
        };
        if !self.node().enqueue(grant, id, until, now) {
            return false;
        }
        self.wake.notify_one();
        if let Ok(Ok(admitted)) = timeout_at(until.into(), rx).await {
            return admitted;
        }
        let still_waited = self.node().cancel(grant, id);
        // The request may have been admitted just when its wait timed out.
        self.waiting().remove(&id).is_none() && !still_waited
    }

    pub(super) fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the refusal of a request; `waited` is the time for which it waited for credit, if it did.
fn beyond_quota(account: &Account, retry_at: Instant, waited: Option<Duration>) -> Refusal {
    log_event!(
        LogEvent::QuotaExceeded,
        account = account.name(),
        limit = account.rate,
        burst = account.burst,
        cause = waited.map_or("beyond-limit", |_| "no-credit"),
        waited_ms = waited.unwrap_or_default().as_millis(),
    );
    let detail = format!(
        "{} exceeds its limit of {} requests/s",
        account.plan, account.rate
    );
    let mut refusal = Refusal::not_run(Reason::Capacity, detail);
    refusal.retry_at = Some(retry_at);
    refusal
}
