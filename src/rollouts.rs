//! Rollouts: a new version of a service's software is exposed to a growing share of the calls, and
//! kept or rolled back.
//!
//! An order and its end are entries of the config group's log ([`Rollouts`]). Everything else is soft
//! state under leases: the leader derives the exposure from the counts of all daemons, and a daemon
//! without a valid lease uses the version that was in use before. See `docs/design/rollouts.md`.

mod conductor;
mod course;
mod evidence;
mod exposure;
mod judge;
mod orders;
mod relay;
mod tag;

#[cfg(test)]
mod tests;

pub use self::{
    conductor::{Conductor, Step, View},
    course::Stage,
    evidence::{
        Counts, MAX_REPORTED, MAX_ROUTES, MAX_SERVERS, OTHER_ROUTES, Report, RouteCounts,
        ServerCounts, ServiceReport, TIME_CLASSES,
    },
    exposure::{Allowed, Exposure, hash_of, oldest_version},
    judge::{
        COLD, FALSE_ALARM, MISSED_FAULT, Tolerance, Verdict, WARM, judge, judge_counts, since,
    },
    orders::{
        MAX_VERSION_BYTES, Order, Rollout, RolloutCommand, RolloutReply, RolloutState, Rollouts,
    },
    relay::{Exchange, ExchangeReply, REPORT_LEASE, Relay, Revision, Rule, Rules, Running, WHOLE},
    tag::VersionTag,
};
