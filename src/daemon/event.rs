//! Events and effects of the reducer [`State`](super::state::State) of a daemon.

use {
    crate::{
        accounts::Credentials,
        admission,
        announce::{Announcement, HeartbeatInfo},
        balance::{self, Change, Choice},
        call::Call,
        load::Load,
        model::{Endpoint, ServerName, ServiceName},
        pace::Reply,
        refusal::Refusal,
        retry::{self, Failure, GiveUp},
        rollouts::Rules,
        routes::Snapshot,
        suspects::{Crash, Fingerprint, Report, RunId, RunOutcome},
    },
    http::Method,
    std::{net::IpAddr, sync::Arc, time::Instant},
};

/// Number of a call, unique until the daemon restarts.
pub type CallId = u64;

/// Routing information from the head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead<'a> {
    /// Plan and service of the request.
    pub target: Target<'a>,
    /// Path of the request.
    pub path: &'a str,
    /// Deadline by which the caller stops waiting.
    pub deadline: Instant,
    /// Nesting depth: the number of calls on whose behalf this one is made.
    pub depth: u32,
    /// Method of the request.
    pub method: &'a Method,
    /// Idempotency key, `None` for an idempotent method, or the refusal of a missing or invalid
    /// key. It is needed only under a grant that doesn't set the kind of work.
    pub idempotency_key: Result<Option<String>, Refusal>,
    /// Whether the body is streamed, without a limit on its duration.
    pub streamed: bool,
    /// Whether the body has more than one flow control window.
    pub large_body: bool,
    /// What the request says about its account.
    pub credentials: Credentials,
    /// Address that the request came from.
    pub caller: IpAddr,
}

/// How a request identifies its plan and the service.
#[derive(Clone, Debug)]
pub enum Target<'a> {
    /// By a plan's key and the name of the service.
    Service {
        /// Key that authenticates the plan.
        key: &'a str,
        /// The service that is called.
        service: ServiceName,
    },
    /// By the name of the plan; the path selects the grant and thereby the service.
    Plan(&'a str),
}

/// Result of an attempt, as the load balancer needs it.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The chosen backend server.
    pub choice: &'a Choice,
    /// Outcome for the load balancer.
    pub outcome: balance::Outcome,
    /// Start of the attempt.
    pub start: Instant,
    /// Load that the owner daemon reported; `None` without an answer from it.
    pub load: Option<Load>,
}

/// Input of the reducer.
#[derive(Debug)]
pub enum Event<'a> {
    /// A caller sent a request to this daemon.
    Arrived {
        /// The call.
        id: CallId,
        /// Head of the request.
        head: &'a RequestHead<'a>,
    },
    /// The first attempt of a call is about to be sent.
    CallSent {
        /// Parameters of the call.
        call: &'a Call,
    },
    /// An attempt ended without a retry: it was answered, cancelled or never sent.
    AttemptEnded(Attempt<'a>),
    /// An attempt failed; the retry policy decides on another one.
    Failed {
        /// The call.
        id: CallId,
        /// Parameters of the call.
        call: &'a Call,
        /// Input of the retry policy.
        retry: &'a retry::Call,
        /// The attempt.
        attempt: Attempt<'a>,
        /// How it failed.
        failure: Failure,
    },
    /// The answer to an idempotent call is late, so a hedged attempt is due.
    HedgeDue {
        /// The call.
        id: CallId,
        /// Parameters of the call.
        call: &'a Call,
        /// Servers to which it was sent so far.
        tried: &'a [ServerName],
    },
    /// A call needs a slot of the own backend server.
    SlotRequested {
        /// The call.
        id: CallId,
        /// Parameters of the call.
        call: &'a Call,
    },
    /// The own backend server reacted to a call that holds a slot.
    ServerReplied {
        /// The call.
        id: CallId,
        /// Hash of its route, as in [`Choice::route`].
        route: u32,
        /// How it reacted.
        reply: Reply,
    },
    /// A run of the own backend server made an inner call.
    InnerCallStarted,
    /// An inner call was answered or given up.
    InnerCallEnded,
    /// A call that held a slot ended.
    SlotDone {
        /// The call.
        id: CallId,
        /// How it ended.
        outcome: admission::Outcome,
    },
    /// The caller of a call that waits for a slot or holds one disconnected.
    SlotCancelled {
        /// The call.
        id: CallId,
    },
    /// A call from another daemon has a large body that is not received yet.
    TransferRequested {
        /// The transfer.
        id: CallId,
        /// Parameters of the call.
        call: &'a Call,
    },
    /// A transfer that was started ended.
    TransferEnded {
        /// The transfer.
        id: CallId,
        /// How it ended.
        outcome: admission::Outcome,
    },
    /// The caller of a call whose transfer waits or runs disconnected.
    TransferCancelled {
        /// The transfer.
        id: CallId,
    },
    /// A call that holds a slot is about to be sent to the own backend server.
    RunRequested {
        /// The call.
        id: CallId,
        /// Fingerprint of the request, the same for all resends.
        fingerprint: Fingerprint,
    },
    /// A run ended without a crash.
    RunEnded {
        /// The run.
        run: RunId,
        /// How it ended.
        outcome: RunOutcome,
    },
    /// The own backend server terminated while calls were in flight on it.
    ServerCrashed {
        /// Incarnation that terminated.
        incarnation: u64,
    },
    /// Another daemon reported requests that are suspected of crashing backend servers.
    SuspectsReported(&'a Report),
    /// The own backend server announced itself.
    Announced(&'a Announcement, HeartbeatInfo),
    /// The records of all daemons have arrived for the first time since the start; with the endpoints in
    /// the record that this daemon wrote in its run before.
    Synchronized(&'a [Endpoint]),
    /// The own backend server is about to terminate.
    ServerLeaving {
        /// Its name.
        server: &'a str,
        /// Incarnation that terminates; `None` stands for the announced one.
        incarnation: Option<u64>,
        /// Time of day in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// The own backend server does not accept connections.
    ServerUnreachable {
        /// Incarnation to which the connection failed.
        incarnation: u64,
    },
    /// A version or an endpoint set was applied, which changed the routes.
    RoutesChanged(Arc<Snapshot>),
    /// The leader has sent rules of rollouts, or renewed their lease.
    RulesReceived {
        /// The rules; `None` if they are unchanged.
        rules: Option<&'a Rules>,
        /// End of their lease.
        lease_until: Option<Instant>,
    },
    /// The daemon is shutting down.
    Drain {
        /// Time by which calls that are still accepted must be answered.
        answer_by: Instant,
    },
    /// Periodic check of leases and timeouts.
    Tick,
}

/// Output of the reducer.
#[derive(Debug)]
pub enum Effect {
    /// Send the call to a backend server's daemon.
    Forward {
        /// The call.
        id: CallId,
        /// Parameters for the owner daemon.
        call: Box<Call>,
        /// The chosen backend server.
        choice: Choice,
        /// Time before which it must not be sent.
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
    /// Grant the call a slot of the own backend server, or start its transfer.
    Start {
        /// The call.
        id: CallId,
    },
    /// Send the call to the own backend server.
    Run {
        /// The call.
        id: CallId,
        /// The run; [`Event::RunEnded`] ends it.
        run: RunId,
    },
    /// Log the requests that a crash marked as suspects or condemned.
    CrashRecorded(Vec<Crash>),
    /// Log that a suspect was answered and thereby cleared.
    SuspectCleared,
    /// Report the changed endpoint of the own backend server to the parent.
    ReportEndpoint,
    /// Log that a backend server was ejected or readmitted.
    ServerHealthChanged {
        /// The backend server.
        endpoint: Arc<Endpoint>,
        /// The change.
        change: Change,
    },
}

impl Effect {
    /// Returns the call that waits for the effect, if any.
    pub const fn call_id(&self) -> Option<CallId> {
        match self {
            Self::Forward { id, .. }
            | Self::GiveUp { id, .. }
            | Self::Refuse { id, .. }
            | Self::Start { id }
            | Self::Run { id, .. } => Some(*id),
            Self::CrashRecorded(_)
            | Self::SuspectCleared
            | Self::ReportEndpoint
            | Self::ServerHealthChanged { .. } => None,
        }
    }
}
