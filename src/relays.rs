//! The distribution tree: relay leases at the config leader, the parent of each daemon, what is
//! sent down and what is reported up.
//!
//! How a loop is excluded: each process has a level (control 0, region relay 1, data centre relay
//! 2, leaf 3, child of an interim parent 4). A parent accepts only children of a higher level
//! than its own. A process may lower its level at any time; before it raises its level it drops
//! all of its children, and with any change of its level it leaves its own parent. So along each
//! chain of subscriptions the levels fall strictly, and no process is its own ancestor.
//!
//! What is sent: a subscription names the version and the endpoint sets that the child holds, and
//! the parent sends what leads on from there. Heartbeats name the sets that the parent holds, and
//! a relay reports the sets that its parent lacks. So each stream mends itself after a loss
//! without state that both ends would have to agree on.

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

/// Lease of a relay at the config leader; it is renewed by the reports, each second.
pub const RELAY_LEASE: Duration = Duration::from_secs(3);

/// Age of a lease from which the word of a child that the relay has failed is believed: one
/// report is missing.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);

/// Time for which a new leader waits for the relays of its predecessor before it appoints others.
pub const GRACE: Duration = Duration::from_millis(1_500);

/// Interval of heartbeats to children and of reports to the parent.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// Time without any frame after which a parent or a child counts as lost: one heartbeat and its
/// delay are missing.
pub const SILENT: Duration = Duration::from_secs(2);

/// Longest wait for the answer to an attach or a subscription.
pub const ANSWER: Duration = Duration::from_secs(1);

/// Bound of the first full-jitter wait after a parent is lost. It spreads 325 daemons of a data
/// centre below the admitted rate.
pub const FIRST_WAIT: Duration = Duration::from_secs(1);

/// Bound of the full-jitter wait between further requests to control.
pub const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Attach requests and subscriptions that are admitted each second: the 325 daemons of a data
/// centre within 0.5 s, 2,600 daemons within 4 s.
pub const ADMITTED_PER_SECOND: u32 = 800;

/// Subscriptions of daemons that hold nothing, admitted each second. A full copy of 5,000 plans
/// and grants takes about 5 ms and 1.2 MB, so they use half of a core and 1 Gbit/s.
pub const COPIES_PER_SECOND: u32 = 100;
