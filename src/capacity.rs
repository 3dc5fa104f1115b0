//! A process's part in the capacity of grants: which reducers of [`crate::limits`] it runs for
//! each grant, and how their messages travel along the distribution tree.
//!
//! Each daemon runs a holder, a data centre relay also a relay for its data centre, a region
//! relay also one for its region ([`Node`]); the config leader runs the root ([`Root`]). Reducers
//! of one process exchange the same messages as those of different processes.
//!
//! Reducers are created with the first demand and dropped [`IDLE`] after the last. All leases
//! and guarantees that a relay has handed out have ended by then, and what a child holds counts
//! at its parent until its own end, so that dropping one exceeds nothing. Each reducer has a
//! number that is never used again: a parent that is new to its child gets no confirmation of
//! another parent's share, and a child that is new to its parent counts beside its predecessor.
//!
//! Without a parent. A process keeps the guaranteed part of its last share. If it has none and
//! no answer for [`UNANSWERED`], it uses the part of the capacity that the leader guarantees to a
//! region at most, and a process below the region relay the fraction of it that its daemons are
//! of the region's. A relay does so only once the guarantees that a predecessor gave have ended.
//! The leader reserves this part for each region that it has not heard of for 2 s, and a new
//! leader for each that it has not heard of yet, so the bound holds while regions are cut off.
//!
//! Two cases exceed the bound. A daemon or data centre relay that lost its parent while its
//! region relay goes on uses its fraction in addition. And where a fraction of the burst is below
//! one call, each daemon without a parent may let one call through in addition.

mod link;
mod node;
mod part;
mod root;
#[cfg(test)]
mod tests;

pub use self::{
    node::{Node, Output, Surroundings},
    root::Root,
};

use {
    crate::{
        limits::{Demand, LEASE, RELAY_HOLD, REPORT_INTERVAL, Share},
        model::{DaemonName, GrantKey, Region},
        relays::Role,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time after the last demand after which the reducers of a grant are dropped at a daemon: longer
/// than [`RELAY_HOLD`] and [`LEASE`], for which what it handed out stays valid.
pub const IDLE: Duration = RELAY_HOLD.saturating_add(LEASE).saturating_add(LEASE);
/// Time without an answer after which a process without a valid share uses its own fraction. A
/// new leader is elected and reached within it on a usual day.
pub const UNANSWERED: Duration = Duration::from_secs(4);
/// Time between two reports of one child; calls that wait are reported sooner. Half of the
/// interval of the reducers, so that a report that is due just after one is not late by a whole.
pub const REPORT_GRID: Duration = Duration::from_millis(REPORT_INTERVAL.as_millis() as u64 / 2);
/// Longest wait of a call for a share. A report and its answer cross the tree within 150 ms, but
/// the share may first have to be taken back from another child, which takes a lease.
pub const LONGEST_WAIT: Duration = LEASE;
/// Most calls of one grant that wait at one daemon.
pub const MAX_WAITING: usize = 64;
/// Most grants in one message; one takes about 100 bytes.
pub const MAX_ASKS: usize = 8_192;
/// Most grants for which one process runs reducers.
pub const MAX_GRANTS: usize = 65_536;

/// Who asks for a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Tier {
    /// A daemon; it asks the relay of its data centre.
    Holder,
    /// A data centre relay; it asks the relay of its region.
    Centre,
    /// A region relay; it asks the config leader.
    Region,
}

impl Tier {
    /// The highest tier that a daemon of `role` runs.
    pub const fn of(role: Role) -> Self {
        match role {
            Role::Leaf => Self::Holder,
            Role::DataCentreRelay { .. } => Self::Centre,
            Role::RegionRelay { .. } => Self::Region,
        }
    }
}

/// Report about one grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The grant.
    pub grant: GrantKey,
    /// Who asks.
    pub tier: Tier,
    /// Number of the reducer that asks.
    pub child: u64,
    /// Number of the reducer whose share `demand` confirms; 0 for none.
    pub parent: u64,
    /// The report.
    pub demand: Demand,
}

/// Reports of one process about all grants that are due.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asks {
    /// The child.
    pub daemon: DaemonName,
    /// Its region.
    pub region: Region,
    /// Milliseconds for which it has had its role.
    pub in_role_ms: u64,
    /// At most [`MAX_ASKS`].
    pub asks: Vec<Ask>,
}

/// Share of one grant for a child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Give {
    /// The grant.
    pub grant: GrantKey,
    /// Who asked.
    pub tier: Tier,
    /// Number of the reducer that asked.
    pub child: u64,
    /// Number of the reducer that answers.
    pub parent: u64,
    /// The share.
    pub share: Share,
}

/// Opens the stream of shares to a child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenShares {
    /// The child.
    pub daemon: DaemonName,
    /// Number of the stream, chosen by the child.
    pub stream: u64,
}
