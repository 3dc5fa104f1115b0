//! Rules and reports of rollouts in the distribution tree.
//!
//! A child asks its source again and again: it sends the report of its subtree, and gets the rules with
//! the time left of their lease. The lease is counted from the time at which the child asked, so that
//! it never ends later than the one of the source, whatever the delay.

use {
    super::{Report, VersionTag},
    crate::model::{DaemonName, ServiceName},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Time for which the report of a child counts.
pub const REPORT_LEASE: Duration = Duration::from_millis(1_500);
/// Maximum number of children whose reports are kept, more than any source feeds.
const MAX_CHILDREN: usize = 1_024;
/// A share of all calls, as [`Running::share`] expresses it.
pub const WHOLE: u32 = 1_000_000;

/// Order of the rules: the term of the leader that made them, and their number in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Term of the leader.
    pub term: u64,
    /// Number of the rules in the term.
    pub number: u64,
}

/// What a running rollout allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Number of the rollout.
    pub number: u64,
    /// The new version.
    pub target: VersionTag,
    /// Share of the calls that may use it, in millionths.
    pub share: u32,
    /// Whether requests that run at most once may use it.
    pub at_most_once: bool,
    /// Whether no call may use another version.
    pub only: bool,
}

/// Versions that the calls for one service may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// The service.
    pub service: ServiceName,
    /// Version without a rollout, or with one whose lease has ended; `None` if it is not known.
    pub allowed: Option<VersionTag>,
    /// The running rollout.
    pub running: Option<Running>,
}

/// Rules of all services with a known version or a rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// Orders the rules.
    pub revision: Revision,
    /// One rule for each service.
    pub rules: Vec<Rule>,
}

impl Rules {
    /// Returns the rule of a service.
    pub fn of(&self, service: &ServiceName) -> Option<&Rule> {
        self.rules.iter().find(|rule| rule.service == *service)
    }

    /// Returns whether a rollout is running.
    pub fn any_running(&self) -> bool {
        self.rules.iter().any(|rule| rule.running.is_some())
    }
}

/// Message of a child to its source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Name of the child.
    pub child: DaemonName,
    /// Revision of the rules that it has.
    pub revision: Revision,
    /// Report of its subtree.
    pub report: Report,
}

/// Answer to an [`Exchange`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Revision of the rules at the source.
    pub revision: Revision,
    /// The rules; `None` if the child has them.
    pub rules: Option<Rules>,
    /// Time left of their lease in milliseconds.
    pub lease_ms: u32,
}

/// Part of one process in the distribution of rules and reports.
///
/// ```
/// use {anvilbeam::rollouts::Relay, std::time::Instant};
/// let relay = Relay::default();
/// assert!(!relay.is_leased(Instant::now()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Relay {
    rules: Rules,
    lease_until: Option<Instant>,
    children: IndexMap<DaemonName, (Report, Instant)>,
}

impl Relay {
    /// Returns the rules.
    pub const fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns whether the lease of the rules is valid.
    pub fn is_leased(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Returns when the lease ends or ended.
    pub const fn lease_until(&self) -> Option<Instant> {
        self.lease_until
    }

    /// Extends the lease of the rules.
    pub const fn renew(&mut self, until: Instant) {
        self.lease_until = Some(until);
    }

    /// Replaces the rules of the leader; returns whether they are newer.
    pub fn set(&mut self, rules: Rules, lease_until: Instant) -> bool {
        let newer = rules.revision > self.rules.revision;
        if rules.revision >= self.rules.revision {
            self.lease_until = Some(lease_until);
        }
        if newer {
            self.rules = rules;
        }
        newer
    }

    /// Applies the answer to an exchange that was sent at `sent`; returns whether the rules changed. An
    /// answer with older rules has no effect.
    pub fn apply(&mut self, reply: ExchangeReply, sent: Instant) -> bool {
        let until = sent + Duration::from_millis(reply.lease_ms.into());
        if let Some(rules) = reply.rules {
            return self.set(rules, until);
        }
        if reply.revision == self.rules.revision {
            self.lease_until = Some(until);
        }
        false
    }

    /// Keeps the report of a child.
    pub fn record(&mut self, child: DaemonName, report: Report, now: Instant) {
        if self.children.len() >= MAX_CHILDREN && !self.children.contains_key(&child) {
            log::warn!("report of {child} on rollouts ignored: {MAX_CHILDREN} children report");
            return;
        }
        self.children.insert(child, (report, now + REPORT_LEASE));
    }

    /// Returns the sum of `own` and the reports of the children; drops those that have ended.
    pub fn subtree(&mut self, own: Report, now: Instant) -> Report {
        self.children.retain(|_, (_, until)| now < *until);
        let mut sum = own;
        for (report, _) in self.children.values() {
            sum.add(report);
        }
        sum
    }

    /// Returns the answer to a child that has the rules of `revision`.
    pub fn reply(&self, revision: Revision, now: Instant) -> ExchangeReply {
        let left = self
            .lease_until
            .map(|until| until.saturating_duration_since(now));
        ExchangeReply {
            revision: self.rules.revision,
            rules: (revision < self.rules.revision).then(|| self.rules.clone()),
            lease_ms: left.map_or(0, |left| left.as_millis() as u32),
        }
    }
}
