//! Metrics of client accounts, with a bounded number of series.

use {
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::{
        collections::HashSet,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Maximum number of accounts with series of their own; all others are counted together.
pub const MAX_ACCOUNTS: usize = 64;

/// Account of the accounts beyond [`MAX_ACCOUNTS`]; not a valid name.
const OTHERS: &str = "other accounts";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    account: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLabels {
    account: String,
}

/// Requests and credit by account.
#[derive(Debug, Default)]
pub struct AccountMetrics {
    requests: Family<RequestLabels, Counter>,
    credit: Family<AccountLabels, Gauge>,
    waits: Family<RequestLabels, Counter>,
    wait_ms: Family<RequestLabels, Counter>,
    /// Accounts with series of their own.
    names: Mutex<HashSet<String>>,
}

impl AccountMetrics {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "account_requests",
            "Requests by account and outcome: answered, failed, or the reason of the refusal",
            metrics.requests.clone(),
        );
        registry.register(
            "account_share",
            "Share of the account's rate at this daemon, in thousandths of a request per second",
            metrics.credit.clone(),
        );
        registry.register(
            "account_waits",
            "Requests that waited for credit, by account and outcome: admitted or rejected",
            metrics.waits.clone(),
        );
        registry.register(
            "account_wait_milliseconds",
            "Time for which these requests waited",
            metrics.wait_ms.clone(),
        );
        metrics
    }

    /// Counts a request that has waited for credit.
    pub fn record_wait(&self, account: &str, waited: Duration, admitted: bool) {
        let account = self.label(account);
        let outcome = if admitted { "admitted" } else { "rejected" }.to_owned();
        let labels = RequestLabels { account, outcome };
        self.waits.get_or_create(&labels).inc();
        let ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        self.wait_ms.get_or_create(&labels).inc_by(ms);
    }

    /// Counts a finished request. `outcome` must be one of a fixed set of texts.
    pub fn record_request(&self, account: &str, outcome: &str) {
        let account = self.label(account);
        let outcome = outcome.to_owned();
        let labels = RequestLabels { account, outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Sets the share of an account's rate, in thousandths of a request per second.
    pub fn set_share(&self, account: &str, rate: u64) {
        let account = self.label(account);
        if account != OTHERS {
            let credit = self.credit.get_or_create(&AccountLabels { account });
            credit.set(super::to_gauge(rate));
        }
    }

    fn label(&self, account: &str) -> String {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        if !names.contains(account) {
            if names.len() >= MAX_ACCOUNTS {
                return OTHERS.to_owned();
            }
            names.insert(account.to_owned());
        }
        account.to_owned()
    }
}
