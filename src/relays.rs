//! Distribution tree: sources send versions, endpoints and the list of control replicas to their
//! children, and children report to their source.
//!
//! Each control replica is a source, and so is each daemon. A source feeds a fixed number of
//! children; once it has them, it names children of its own that have room, so the number of levels
//! follows from the number of daemons. A daemon prefers the control replicas of its data centre and
//! region. Control replicas get the versions from the replicated log; those that do not lead
//! subscribe to the leader for the endpoints.
//!
//! Loop freedom: each process has a level, 0 for a control replica. A source accepts only daemons
//! whose level is greater than its own. A daemon may lower its level at any time; before it raises
//! its level it drops all of its children. The levels therefore decrease strictly from child to
//! source along each chain of subscriptions, and no daemon is its own ancestor. A control replica
//! accepts another one only while it leads, and a leader has no source.
//!
//! Recovery: a subscription contains the version and digests of the records at the child, and the
//! source sends what differs. After a loss, each stream recovers from these; no session state has to
//! be shared, so a stream does not depend on which replica leads.

mod admission;
mod children;
mod hub;
mod messages;
mod node;
mod sources;
mod summary;
mod uplink;

#[cfg(test)]
mod tests;

use std::time::Duration;

pub use self::{
    admission::Admission,
    children::{Children, Expired, View},
    hub::{Hub, Leadership},
    messages::{
        Attach, AttachReply, Contents, MAX_MESSAGE_RECORDS, Member, ReplicaRef, Report,
        ReportReply, SourceRef, Subscribe, SubscribeReply, Update,
    },
    node::{Effect, StreamEvent},
    summary::{DataCentreSummary, Lagging, MAX_LAGGING, MAX_REASON, Summary},
    uplink::{Event, Uplink, rendezvous_hash},
};

/// Daemons that a control replica feeds. 384 heartbeats and reports a second take a few percent of a
/// core.
pub const CONTROL_CHILDREN: usize = 128;

/// Daemons that a daemon feeds. A change of 10 kB takes 0.2 s of a link of 4 Mbit/s.
pub const DAEMON_CHILDREN: usize = 8;

/// Time since the last report after which a child counts as lost.
pub const RELAY_LEASE: Duration = Duration::from_secs(3);

/// Interval of heartbeats to children.
pub const HEARTBEAT: Duration = Duration::from_millis(500);

/// Interval of reports to the source if nothing changes.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two reports.
pub const REPORT_SPACING: Duration = Duration::from_millis(50);

/// Minimum time between two batches of changed records to the children.
pub const RECORD_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a frame after which a source counts as failed: one missed heartbeat and the delay of
/// the next one.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_250);

/// Time without a path from a source to a majority of the config group after which its children look
/// for another source. An election takes less time.
pub const DETACHED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of an attach request or a subscription.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound of the full jitter before the first subscription after the loss of a source.
pub const RECONNECT_JITTER: Duration = Duration::from_millis(250);

/// Upper bound of the full-jitter backoff between further requests.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time between two checks of a process after which it counts as paused.
pub const MAX_PAUSE: Duration = Duration::from_millis(750);

/// Attach requests and subscriptions that a process admits per second.
pub const ADMITTED_PER_SECOND: u32 = 800;

/// Bytes of full copies of the configuration that a control replica sends per second.
pub const CONTROL_COPY_RATE: u32 = 8_000_000;

/// Bytes of full copies of the configuration that a daemon sends per second.
pub const DAEMON_COPY_RATE: u32 = 200_000;

/// Bits of a stream number that count the streams of one incarnation.
pub const STREAM_BITS: u32 = 20;
