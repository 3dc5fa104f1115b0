//! Events and effects of the reducer of one daemon.

use {
    crate::{
        admission,
        announce::{Announcement, Beat},
        balance::{self, Change, Choice},
        call::Call,
        load::Load,
        model::{Endpoint, ServerName, ServiceName},
        refusal::Refusal,
        retry::{self, Failure, GiveUp},
        routes::Snapshot,
        suspects::{Crash, Ending, Fingerprint, Report, RunId},
    },
    http::Method,
    std::{sync::Arc, time::Instant},
};

/// Number of a call, unique within the life of a daemon.
pub type CallId = u64;

/// What a caller's request says.
#[derive(Clone, Debug)]
pub struct Head<'a> {
    /// Who calls, and what.
    pub target: Target<'a>,
    /// Path that is called.
    pub path: &'a str,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Calls above this one.
    pub depth: u32,
    /// Method of the request.
    pub method: &'a Method,
    /// Key that tells resends of one request from new requests, or why it can't be used. Only
    /// grants that don't tell their kind of work need it.
    pub idempotency_key: Result<Option<String>, Refusal>,
    /// Whether the body is passed on as it comes.
    pub streamed: bool,
}

/// How a request names its plan and the service.
#[derive(Clone, Debug)]
pub enum Target<'a> {
    /// By a key and the name of the service.
    Service {
        /// Key that proves the plan.
        key: &'a str,
        /// The service that is called.
        service: ServiceName,
    },
    /// By the name of the plan; the path selects the grant.
    Plan(&'a str),
}

/// How an attempt at a backend server ended.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The backend server.
    pub choice: &'a Choice,
    /// What it tells about the server.
    pub outcome: balance::Outcome,
    /// When it began.
    pub since: Instant,
    /// Load that the owner daemon reported, if it answered.
    pub load: Option<Load>,
}

/// What happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// A caller sent a request to this daemon.
    Arrived {
        /// The call.
        id: CallId,
        /// What the request says.
        head: &'a Head<'a>,
    },
    /// An attempt brought an answer for the caller.
    Answered(Attempt<'a>),
    /// An attempt failed.
    Failed {
        /// The call.
        id: CallId,
        /// What is known of the call.
        call: &'a Call,
        /// What matters for another attempt.
        retry: &'a retry::Call,
        /// The attempt.
        attempt: Attempt<'a>,
        /// How it failed.
        failure: Failure,
    },
    /// The answer to a call that may run twice is late.
    Late {
        /// The call.
        id: CallId,
        /// What is known of the call.
        call: &'a Call,
        /// Servers to which it was sent.
        tried: &'a [ServerName],
    },
    /// An entry daemon asks for a slot.
    SlotWanted {
        /// The call.
        id: CallId,
        /// What is known of it.
        call: &'a Call,
    },
    /// A call that had a slot ended.
    SlotDone {
        /// The call.
        id: CallId,
        /// How it ended.
        outcome: admission::Outcome,
    },
    /// The caller of a call that waits for a slot or has one went away.
    SlotCancelled {
        /// The call.
        id: CallId,
    },
    /// A call with a slot is about to run.
    RunWanted {
        /// The call.
        id: CallId,
        /// Identifies its request over resends.
        fingerprint: Fingerprint,
    },
    /// A run ended without a crash.
    RunEnded {
        /// The run.
        run: RunId,
        /// How it ended.
        ending: Ending,
    },
    /// The backend server ended while calls were in flight on it.
    ServerCrashed {
        /// The start of the server that was seen to end.
        incarnation: u64,
    },
    /// Another daemon told of requests that crashed backend servers.
    Suspected(&'a Report),
    /// The backend server announced itself.
    Announced(&'a Announcement, Beat),
    /// The backend server is about to end.
    Left {
        /// Its name.
        server: &'a str,
        /// Its start, if it tells; otherwise the one that is known.
        incarnation: Option<u64>,
    },
    /// The backend server does not accept connections.
    ServerGone {
        /// The start of the server that was seen to end.
        incarnation: u64,
    },
    /// A version or an endpoint set was applied.
    Routed(Arc<Snapshot>),
    /// The daemon is shutting down.
    Drain,
    /// Time passed.
    Tick,
}

/// What has to be done.
#[derive(Debug)]
pub enum Effect {
    /// Send the call to a backend server's daemon.
    Forward {
        /// The call.
        id: CallId,
        /// What the owner daemon needs to know.
        call: Box<Call>,
        /// Where it goes.
        choice: Choice,
        /// When to send it.
        not_before: Instant,
    },
    /// Pass the last failure on to the caller.
    GiveUp {
        /// The call.
        id: CallId,
        /// Why there is no further attempt.
        reason: GiveUp,
    },
    /// Answer the call with a refusal.
    Refuse {
        /// The call.
        id: CallId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Run the call on the own backend server.
    Start {
        /// The call.
        id: CallId,
    },
    /// Send the call to the own backend server.
    Run {
        /// The call.
        id: CallId,
        /// Ends with [`Event::RunEnded`].
        run: RunId,
    },
    /// Write what a crash made of the requests in flight to the log.
    Crashed(Vec<Crash>),
    /// Write to the log that a suspect was answered.
    Cleared,
    /// Tell the parent that the announced backend server changed.
    Report,
    /// Write a change of a backend server's standing to the log.
    Standing {
        /// The backend server.
        endpoint: Arc<Endpoint>,
        /// The change.
        change: Change,
    },
}

impl Effect {
    /// The call that waits for the effect, if any.
    pub const fn call(&self) -> Option<CallId> {
        match self {
            Self::Forward { id, .. }
            | Self::GiveUp { id, .. }
            | Self::Refuse { id, .. }
            | Self::Start { id }
            | Self::Run { id, .. } => Some(*id),
            Self::Crashed(_) | Self::Cleared | Self::Report | Self::Standing { .. } => None,
        }
    }
}
