//! Distribution of the capacity of grants over the processes of the tree: which reducers of
//! [`crate::limits`] a process runs for each grant, and how their messages are routed.
//!
//! Each daemon runs a [`crate::limits::Limiter`], a data centre relay also a
//! [`crate::limits::Relay`] for its data centre, and a region relay also one for its region
//! ([`Node`]). Which daemons are relays follows from the announced endpoints ([`Place`]). The config
//! leader runs the root ([`Root`]). Reducers of one process exchange the same messages as those of
//! different processes.
//!
//! Reducers of a grant are created with the first demand and dropped [`IDLE_TIMEOUT`] after the
//! last. All leases and guarantees that a relay has issued have expired by then, and a parent
//! counts the share of a dropped child until it expires, so dropping a reducer never leads to
//! more calls than the capacity allows. Reducer ids are never reused: a new parent receives no
//! confirmation of a share from another parent, and a new child is counted in addition to its
//! predecessor.
//!
//! # Without a parent
//!
//! A process keeps the guaranteed part of its last share. If it has none and has had no answer
//! for [`FALLBACK_DELAY`], it uses its own fraction of the capacity: for a region relay, the
//! largest part that the leader guarantees to a region; for any other process, the portion of
//! that part that corresponds to its portion of the region's daemons. A relay does so only
//! after the guarantees that its predecessor issued have expired. The leader reserves the part
//! of a region that has not reported for 2 s, and a new leader that of each region that has not
//! reported to it yet, so the total stays within the capacity while regions are cut off.
//!
//! The total exceeds the capacity in two cases. A daemon or data centre relay that has lost its
//! parent while its region relay still works uses its fraction in addition. And if a fraction
//! of the burst is below one call, each daemon without a parent may let one call through in
//! addition.

mod link;
mod node;
mod place;
mod reducers;
mod root;
mod suspects;
#[cfg(test)]
mod tests;

pub use self::{
    node::{Node, Output, Topology},
    place::Place,
    root::Root,
    suspects::Suspects,
};

use {
    crate::{
        limits::{Demand, LEASE, RELAY_GUARANTEE, REPORT_INTERVAL, Share},
        model::{DaemonName, GrantKey, Region},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time without demand after which a daemon drops the reducers of a grant: longer than
/// [`RELAY_GUARANTEE`] plus [`LEASE`], the longest time for which shares that it issued stay valid.
pub const IDLE_TIMEOUT: Duration = RELAY_GUARANTEE.saturating_add(LEASE).saturating_add(LEASE);
/// As [`IDLE_TIMEOUT`], for the quota of an account.
pub const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time without an answer after which a process without a valid share uses its own fraction of the
/// capacity. A new leader is normally elected and reached in less time.
pub const FALLBACK_DELAY: Duration = Duration::from_secs(4);
/// Interval at which a process checks whether reports are due; waiting calls are reported sooner.
/// Half of [`REPORT_INTERVAL`], so that a report that falls due just after a check is delayed by at
/// most half an interval.
pub const POLL_INTERVAL: Duration = Duration::from_millis(REPORT_INTERVAL.as_millis() as u64 / 2);
/// Maximum time for which a call waits for a share. A report and its answer cross the tree within
/// 150 ms, but the share may first have to be withdrawn from another child, which takes a lease.
pub const MAX_WAIT: Duration = LEASE;
/// Maximum number of calls of one grant that wait at one daemon.
pub const MAX_WAITERS: usize = 64;
/// Maximum number of requests of one account that wait at one daemon: those of a second, since a share
/// that is at another daemon takes that long. An account beyond its limit has at most one.
pub const MAX_ACCOUNT_WAITERS: usize = 1_024;
/// Maximum number of grants in one message; the report of one grant takes about 100 bytes.
pub const MAX_REPORTS: usize = 8_192;
/// Maximum number of grants for which one process runs reducers.
pub const MAX_GRANTS: usize = 65_536;

/// Level of the tree at which a child requests a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Tier {
    /// A daemon; its parent is the relay of its data centre.
    Daemon,
    /// A data centre relay; its parent is the relay of its region.
    DataCentre,
    /// A region relay; its parent is the config leader.
    Region,
}

/// Demand of one child for one grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The grant.
    pub grant: GrantKey,
    /// Tier of the child.
    pub tier: Tier,
    /// Id of the child's reducer.
    pub child: u64,
    /// Id of the parent's reducer whose share `demand` confirms; 0 for none.
    pub parent: u64,
    /// Demand and confirmed share.
    pub demand: Demand,
}

/// Message from a child to its parent with the due reports of all grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReports {
    /// Name of the child.
    pub daemon: DaemonName,
    /// Region of the child.
    pub region: Region,
    /// Time in milliseconds for which the child has had its role in the tree.
    pub in_role_ms: u64,
    /// Reports, at most [`MAX_REPORTS`].
    pub reports: Vec<DemandReport>,
}

/// New share of one grant for a child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareUpdate {
    /// The grant.
    pub grant: GrantKey,
    /// Tier of the child.
    pub tier: Tier,
    /// Id of the child's reducer.
    pub child: u64,
    /// Id of the parent's reducer.
    pub parent: u64,
    /// The share.
    pub share: Share,
}

/// Request of a child to open its stream of shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenShares {
    /// Name of the child.
    pub daemon: DaemonName,
    /// Number of the stream, assigned by the child.
    pub stream: u64,
}
