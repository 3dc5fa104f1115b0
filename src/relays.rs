//! Distribution tree: relay leases at the config leader, assignment of parents to daemons, updates
//! from parent to child and reports from child to parent.
//!
//! Loop freedom: each process has a level (control 0, region relay 1, data centre relay 2, leaf 3,
//! child of an interim parent 4). A parent accepts only children whose level is greater than its
//! own. A process may lower its level at any time; before it raises its level it drops all of its
//! children, and on any change of its level it leaves its parent. The levels therefore decrease
//! strictly from child to parent along each chain of subscriptions, and no process is its own
//! ancestor.
//!
//! Recovery: a subscription contains the config version and the positions of the endpoint sets at
//! the child, and the parent sends deltas from there. Heartbeats contain the positions of the sets
//! at the parent, and a relay reports the sets that are missing there. After a loss, each stream
//! recovers from these positions; no session state has to be shared.

mod admission;
mod children;
mod messages;
mod summary;
mod table;
mod uplink;

#[cfg(test)]
mod tests;

use std::time::Duration;

pub use self::{
    admission::Admission,
    children::Children,
    messages::{
        Attach, AttachReply, Attached, FailedParent, MAX_MEMBERS, Member, MemberReport, Parent,
        RelayRef, Report, Role, Subscribe, SubscribeReply, Update,
    },
    summary::{DataCentreSummary, Lagging, MAX_LAGGING, MAX_REASON, Summary},
    table::RelayTable,
    uplink::{Effect, Event, Uplink, interim_hash},
};

/// Duration of a relay lease at the config leader; each report renews it, once a second.
pub const RELAY_LEASE: Duration = Duration::from_secs(3);

/// Time since the last report of a relay after which one report counts as missed. From then on, a
/// child that says that the relay has failed causes its replacement.
pub const MISSED_REPORT_AFTER: Duration = Duration::from_millis(1_500);

/// Time for which a new leader appoints no relay in place of the relays of the previous leader, so
/// that these can report to it first.
pub const NEW_LEADER_GRACE: Duration = Duration::from_millis(1_500);

/// Interval of heartbeats to children and of reports to the parent.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// Time without a frame after which a parent counts as failed: one missed heartbeat and its delay.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of an attach request or a subscription.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound of the full jitter before the first attach request after the loss of a parent. It
/// keeps the 325 daemons of a data centre below [`ADMITTED_PER_SECOND`]. It also limits the backoff
/// of a direct daemon, whose only parent is control.
pub const FIRST_ATTACH_JITTER: Duration = Duration::from_secs(1);

/// Upper bound of the full-jitter backoff between further attach requests.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Attach requests and subscriptions that a process admits per second: the 325 daemons of a data
/// centre take up to 0.5 s, 2,600 daemons up to 4 s.
pub const ADMITTED_PER_SECOND: u32 = 800;

/// Subscriptions without a config version that a process admits per second. Each needs a full copy
/// of the configuration: with 5,000 plans and grants about 5 ms and 1.2 MB, so this rate uses half
/// of a core and 1 Gbit/s.
pub const FULL_COPIES_PER_SECOND: u32 = 100;
