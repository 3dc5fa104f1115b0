//! Numbered log events; `docs/events.md` describes each.

#[cfg(test)]
mod tests;

use {
    log::Level,
    std::fmt::{self, Write as _},
    strum::{Display, EnumIter, IntoStaticStr},
};

/// Log target of all events.
pub const TARGET: &str = "anvilbeam::event";

/// A log event. The number of an event never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum Event {
    /// A program has bound its addresses.
    Started = 101,
    /// A graceful shutdown began.
    Stopping = 102,
    /// The shutdown is complete.
    Stopped = 103,
    /// The settings are not valid.
    SettingsRefused = 104,
    /// An address could not be bound.
    BindFailed = 105,
    /// A daemon accepts calls.
    Ready = 106,
    /// A daemon refuses calls until it has a configuration.
    NotReady = 107,
    /// The settings were read again.
    SettingsReloaded = 108,
    /// A timer of the process fired late.
    ProcessStalled = 109,
    /// A request was refused because the memory budget is short.
    MemoryShort = 110,
    /// A connection was closed or not accepted because its port has no room for more.
    ConnectionsShort = 111,
    /// A shutdown was cut, since its grace time is nearly over.
    StopCut = 112,

    /// A daemon put a new version in force.
    VersionApplied = 201,
    /// A daemon kept its version instead of applying an update.
    VersionRefused = 202,
    /// A daemon received a version floor: the lowest version that it may have in force.
    FloorLearned = 203,
    /// A daemon received a full copy instead of the deltas that it missed.
    CatchUp = 204,

    /// A daemon subscribed to a parent.
    ParentChosen = 301,
    /// The stream from the parent ended.
    ParentLost = 302,
    /// A backend server announced itself.
    EndpointAnnounced = 305,
    /// A backend server did not renew its announcement in time.
    EndpointLapsed = 306,
    /// A backend server is draining and gets no new calls.
    EndpointDraining = 307,
    /// A newer endpoint set of a data centre is in use.
    EndpointSetApplied = 308,
    /// An invalid announcement of a backend server was refused.
    AnnouncementRefused = 309,

    /// A backend server was selected for a call.
    CallRouted = 401,
    /// A call was refused by the entry daemon.
    CallRefused = 402,
    /// A call is retried.
    CallRetried = 403,
    /// A backend server was ejected and gets no calls for a time.
    ServerEjected = 404,
    /// An ejected backend server gets calls again.
    ServerReturned = 405,
    /// The caller disconnected, so the call was cancelled downstream.
    CallCancelled = 406,
    /// A connection failed or missed a ping and was closed.
    ConnectionClosed = 407,
    /// A response was forwarded to the caller.
    CallAnswered = 408,

    /// The owner daemon assigned a slot to a call.
    CallAdmitted = 501,
    /// The owner daemon queued a call.
    CallQueued = 502,
    /// The owner daemon refused a call.
    AdmissionRefused = 503,
    /// A request became a suspect: it was in flight when a backend server crashed.
    SuspectMarked = 504,
    /// A suspect ran alone and succeeded.
    SuspectCleared = 505,
    /// A suspect crashed a second backend server and is refused everywhere.
    SuspectCondemned = 506,
    /// The shares of a grant's capacity changed.
    SharesChanged = 507,
    /// The large body of a call from another daemon was received.
    BodyReceived = 508,
    /// The owner daemon refused a download because its answer would be late on the link.
    LinkFull = 509,
    /// A call that waited was refused, because its key had been revoked meanwhile.
    KeyRevoked = 510,
    /// A call was refused because its account is beyond its limit.
    QuotaExceeded = 511,
    /// The relay that distributes shares did not answer, so another one is asked for a while.
    CapacityParentAvoided = 512,
    /// A request waited for credit of its account and got it.
    CreditWaited = 513,
    /// A call was not sent, or not sent again, because the backend servers of its service shed load.
    ServersShed = 524,
    /// A request was not run because the calls that it would make are being rejected.
    InnerCallsRejected = 525,
    /// The pace of a backend server that started began.
    PaceBegan = 521,
    /// The pace of a backend server was cut.
    PaceCut = 522,
    /// All slots of a backend server that started or recovered may be used.
    PaceComplete = 523,
    /// The speed of a backend server changed for longer than a stall.
    SpeedChanged = 530,
    /// With `pace: auto`, what the pace of backend servers follows has changed.
    PaceMode = 540,

    /// A claim was granted: a non-idempotent request may run.
    ClaimGranted = 601,
    /// An idempotency key was used before; the stored answer was returned.
    ClaimRepeated = 602,
    /// It cannot be determined whether a request ran.
    ClaimUnknown = 603,
    /// An attempt was abandoned before it ran, and its claim was released.
    ClaimReleased = 604,
    /// The claims group could not be reached.
    ClaimsUnreachable = 605,

    /// A replica became leader.
    LeaderElected = 701,
    /// A leader stepped down.
    LeaderSteppedDown = 702,
    /// The members of a group changed.
    MemberChanged = 703,
    /// A snapshot was written and is durable.
    SnapshotWritten = 704,
    /// A replica installed a snapshot from the leader.
    SnapshotInstalled = 705,
    /// The disk failed or a file is corrupt; the replica stops.
    DiskFailed = 706,
    /// An incomplete record at the end of the log was removed.
    LogTruncated = 707,

    /// An edit was accepted as a new version.
    VersionAccepted = 801,
    /// The lists of an edit are not valid.
    EditRefused = 802,
    /// An edit was based on a version that is not the current one.
    EditConflict = 803,
    /// An edit that was accepted before was sent again.
    EditRepeated = 804,
    /// An operator's request had no valid token.
    OperatorRefused = 805,

    /// A rollout was ordered, for the first time or again.
    RolloutOrdered = 901,
    /// An order of a rollout was refused.
    RolloutRefused = 902,
    /// The leader changed the share of calls that use the new version of a service.
    RolloutStep = 903,
    /// A rollout succeeded or was rolled back.
    RolloutEnded = 904,
    /// The version that a service has before its first rollout was recorded.
    VersionRecorded = 905,
    /// The lease on the new version of a service ended without a renewal.
    RolloutLeaseEnded = 906,
}

impl Event {
    /// Returns the number.
    ///
    /// ```
    /// use anvilbeam::events::Event;
    /// assert_eq!(Event::CallRetried.number(), 403);
    /// assert_eq!(Event::CallRetried.name(), "call-retried");
    /// ```
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the name in kebab case.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns the level at which the event is logged. Events that every call causes are below
    /// `info`; those of refused, retried or otherwise exceptional calls are not.
    pub const fn level(self) -> Level {
        match self {
            Self::SettingsRefused | Self::BindFailed | Self::DiskFailed => Level::Error,
            Self::NotReady
            | Self::ProcessStalled
            | Self::MemoryShort
            | Self::ConnectionsShort
            | Self::StopCut
            | Self::VersionRefused
            | Self::ParentLost
            | Self::EndpointLapsed
            | Self::AnnouncementRefused
            | Self::ServerEjected
            | Self::ConnectionClosed
            | Self::SuspectMarked
            | Self::SuspectCondemned
            | Self::ClaimUnknown
            | Self::ClaimsUnreachable
            | Self::LeaderSteppedDown
            | Self::LogTruncated
            | Self::OperatorRefused
            | Self::RolloutRefused
            | Self::RolloutLeaseEnded => Level::Warn,
            Self::EndpointSetApplied
            | Self::CallRouted
            | Self::CallAnswered
            | Self::CallCancelled
            | Self::CallAdmitted
            | Self::CallQueued
            | Self::SharesChanged
            | Self::BodyReceived
            | Self::QuotaExceeded
            | Self::CreditWaited
            | Self::ServersShed
            | Self::InnerCallsRejected
            | Self::ClaimGranted => Level::Debug,
            _ => Level::Info,
        }
    }
}

/// Writes one event to the log; its fields are not formatted when its level is disabled.
///
/// ```
/// use anvilbeam::{events::Event, log_event};
/// log_event!(Event::CallRetried, plan = "depot", attempt = 2);
/// // event=403 name=call-retried plan=depot attempt=2
/// ```
#[macro_export]
macro_rules! log_event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::events::Event = $event;
        if $crate::events::enabled(event) {
            $crate::events::write(event, &[$((stringify!($key), &$value)),*]);
        }
    }};
}

/// Returns whether the level of `event` is enabled in the log.
pub fn enabled(event: Event) -> bool {
    log::log_enabled!(target: TARGET, event.level())
}

/// Writes one event with its fields to the log. Prefer [`log_event!`](crate::log_event).
pub fn write(event: Event, fields: &[(&str, &dyn fmt::Display)]) {
    log::log!(target: TARGET, event.level(), "{}", format_event(event, fields));
}

/// Formats an event as `event=NUMBER name=NAME KEY=VALUE ...`. An empty value and a value with a
/// space, a quote, a backslash, an equals sign or a control character are quoted.
///
/// ```
/// use anvilbeam::events::{Event, format_event};
/// let text = format_event(Event::BindFailed, &[("address", &"[::]:80"), ("reason", &"in use")]);
/// assert_eq!(text, "event=105 name=bind-failed address=[::]:80 reason=\"in use\"");
/// ```
pub fn format_event(event: Event, fields: &[(&str, &dyn fmt::Display)]) -> String {
    let mut text = format!("event={} name={}", event.number(), event.name());
    for (key, value) in fields {
        let value = value.to_string();
        let needs_no_quotes = !value.is_empty()
            && !value
                .chars()
                .any(|c| c.is_whitespace() || c.is_control() || "\"=\\".contains(c));
        let result = if needs_no_quotes {
            write!(text, " {key}={value}")
        } else {
            write!(text, " {key}={}", serde_json::Value::from(value))
        };
        debug_assert!(result.is_ok(), "writing to a String cannot fail");
    }
    text
}

/// Parses the text of an event into its fields; `None` when `text` is not the text of an event.
///
/// ```
/// use anvilbeam::events::parse_event;
/// let fields = parse_event("event=105 name=bind-failed reason=\"in use\"").unwrap();
/// assert_eq!(fields[2], ("reason".to_owned(), "in use".to_owned()));
/// ```
pub fn parse_event(text: &str) -> Option<Vec<(String, String)>> {
    let mut rest = text.starts_with("event=").then_some(text)?;
    let mut fields = Vec::new();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        let (value, next) = if after.starts_with('"') {
            let mut values = serde_json::Deserializer::from_str(after).into_iter::<String>();
            let value = values.next()?.ok()?;
            (value, &after[values.byte_offset()..])
        } else {
            let end = after.find(' ').unwrap_or(after.len());
            (after[..end].to_owned(), &after[end..])
        };
        fields.push((key.to_owned(), value));
        rest = next.strip_prefix(' ').unwrap_or(next);
    }
    Some(fields)
}
