//! State machine of one daemon in the tree: which source it uses, and what it publishes.

mod peers;

use {
    self::peers::Peers,
    super::{
        ANSWER_TIMEOUT, Attach, AttachReply, Children, DAEMON_CHILDREN, DAEMON_COPY_RATE,
        DETACHED_TIMEOUT, DataCentreSummary, MAX_BACKOFF, Member, ReplicaRef, SourceRef,
        StreamEvent, Summary,
        node::{Effect, Node, Outcome, Source},
        sources::{Sources, jitter},
    },
    crate::{
        endpoints::{Directory, MAX_REPORTED_ENDPOINTS, Origin, Record, Stamp},
        error::Result,
        model::{Config, DaemonName, Endpoint, Version},
        versions::{ConfigStore, DeltaPart, split_delta},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub use super::sources::rendezvous_hash;

/// Base of the exponential backoff between attach requests; it doubles once per round of all
/// replicas.
const ATTACH_BACKOFF: Duration = Duration::from_millis(100);

/// Time since a newer version was seen at a peer after which the source counts as stale; an edit
/// propagates through the tree in less time.
const STALE_SOURCE_AFTER: Duration = Duration::from_secs(2);

/// Highest level of a daemon; bounds the number of processes that an edit passes.
const MAX_LEVEL: u8 = 16;

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Runs the timers; has to be sent at least every 100 ms.
    Tick,
    /// Answer of a control replica to an attach request.
    Attached {
        /// Peer address of the replica.
        address: SocketAddr,
        /// The answer; `None` if the replica is unreachable.
        reply: Option<AttachReply>,
    },
    /// Event of a stream from the source or to a child.
    Stream(StreamEvent),
    /// Version in force at a peer, from an answer or from the headers of a call.
    PeerVersion {
        /// The peer.
        peer: DaemonName,
        /// Version that the peer has in force; `None` if it has none.
        version: Option<Version>,
    },
    /// Parts of a config delta that were fetched from a peer.
    Fetched(Vec<DeltaPart>),
    /// The endpoints beside this daemon have changed.
    Endpoints(Vec<Endpoint>),
    /// Asks the source whether there is a newer version.
    Confirm,
}

/// Attach requests to control.
#[derive(Clone, Debug)]
struct AttachRequests {
    /// Replica with a request in flight, and when it counts as failed.
    in_flight: Option<(SocketAddr, Instant)>,
    next_at: Instant,
    /// Position of the next replica in the settings.
    next: usize,
    /// Consecutive requests without a confirmed floor.
    failures: u32,
}

/// State machine of one daemon in the distribution tree.
///
/// ```
/// use {anvilbeam::relays::*, std::time::Instant};
/// let now = Instant::now();
/// let member = Member {
///     daemon: "daemon-1".into(),
///     address: ([10, 0, 0, 1], 7000).into(),
///     data_centre: "dc-1".into(),
///     region: "fukuoka".into(),
/// };
/// let control = vec![([10, 0, 0, 9], 7000).into()];
/// let mut uplink = Uplink::new(member, 1, control, now);
/// let effects = uplink.step(now, 7, Event::Tick);
/// assert!(matches!(effects[0], Effect::Attach { .. }));
/// assert!(uplink.in_force().is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Uplink {
    node: Node,
    sources: Sources,
    attach: AttachRequests,
    peers: Peers,
    /// Whether the source is a peer that was chosen while control was unreachable.
    at_peer: bool,
    /// Endpoints of the backend servers beside this daemon.
    endpoints: Vec<Endpoint>,
    /// Stamp of the own record; `None` before the first.
    stamp: Option<Stamp>,
    incarnation: u64,
    /// Change of the list of control replicas by which the sources are ranked.
    ranked_changes: u64,
    /// Whether a source may have accepted a subscription with the current record.
    record_sent: bool,
    /// Whether an [`Effect::Synchronized`] was returned.
    told_synchronized: bool,
    /// Last version in an [`Effect::Publish`]; `None` before the first.
    published_version: Option<Version>,
    /// State of the random number generator in the current step.
    rng_state: u64,
}

impl Uplink {
    /// Creates the state of a daemon that has just started and has no stored state. `incarnation`
    /// increases with each start, such as the milliseconds since 1970; `control` are the peer
    /// addresses of control replicas.
    pub fn new(member: Member, incarnation: u64, control: Vec<SocketAddr>, now: Instant) -> Self {
        let children = Children::new(DAEMON_CHILDREN, DAEMON_COPY_RATE, now);
        Self {
            sources: Sources::new(&member, control, now),
            node: Node::new(member, false, incarnation, children, now),
            attach: AttachRequests {
                in_flight: None,
                next_at: now,
                next: 0,
                failures: 0,
            },
            peers: Peers::default(),
            at_peer: false,
            endpoints: Vec::new(),
            stamp: None,
            incarnation,
            ranked_changes: 0,
            record_sent: false,
            told_synchronized: false,
            published_version: None,
            rng_state: 0,
        }
    }

    /// Sets the number of daemons that this process feeds, for a VM of another size.
    #[must_use]
    pub const fn feeding(mut self, daemons: usize) -> Self {
        self.node.children.set_limit(daemons);
        self
    }

    /// Replaces the control replicas from the settings; returns whether they changed.
    pub fn set_control(&mut self, control: Vec<SocketAddr>) -> bool {
        self.sources.set_configured(&self.node.member, control)
    }

    /// Returns the name of the daemon.
    pub const fn name(&self) -> &DaemonName {
        &self.node.member.daemon
    }

    /// Returns the configuration in force; `None` until the floor is known and reached, and before
    /// the first edit.
    pub fn in_force(&self) -> Option<&Arc<Config>> {
        let cfg = self.node.store.in_force()?;
        (cfg.version > Version(0)).then_some(cfg)
    }

    /// Returns the store of the configuration.
    pub const fn store(&self) -> &ConfigStore {
        &self.node.store
    }

    /// Returns the endpoints of all daemons.
    pub const fn directory(&self) -> &Directory {
        &self.node.directory
    }

    /// Returns the level in the tree; see the module documentation.
    pub const fn level(&self) -> u8 {
        self.node.level
    }

    /// Returns the peer address of the source and the stream number; `None` without a source.
    pub fn source(&self) -> Option<(SocketAddr, u64)> {
        let link = self.node.link.as_ref()?;
        Some((link.source.address, link.stream))
    }

    /// Returns the children.
    pub const fn children(&self) -> &Children {
        &self.node.children
    }

    /// Returns the control replicas that are known.
    pub fn replicas(&self) -> &[ReplicaRef] {
        &self.node.replicas
    }

    /// Returns the number of changes of the control replicas so far.
    pub const fn replica_changes(&self) -> u64 {
        self.node.replica_changes
    }

    /// Returns the latest time at which no newer version existed than this daemon has; `None` before
    /// a source has told.
    pub const fn current_at(&self) -> Option<Instant> {
        self.node.current_at
    }

    /// Returns whether another process has the current endpoints beside this daemon.
    pub fn is_record_confirmed(&self) -> bool {
        self.node.is_record_confirmed()
    }

    /// Returns the parts of the config delta for a peer at `version`; empty if the peer is current.
    ///
    /// # Errors
    /// [`crate::error::Error::TooLarge`] if the delta needs too many parts.
    pub fn config_parts_since(&self, version: Version) -> Result<Vec<DeltaPart>> {
        let delta = self.node.store.delta_since(version);
        delta.map_or(Ok(Vec::new()), split_delta)
    }

    /// Processes one event and returns its effects. `random` is a fresh random number, from which
    /// the random choices of this step are derived.
    pub fn step(&mut self, now: Instant, random: u64, event: Event) -> Vec<Effect> {
        self.rng_state = random;
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Attached { address, reply } => {
                self.on_attach_reply(now, address, reply, &mut out);
            }
            Event::Stream(event) => {
                let outcome = self.node.handle(now, event, &mut out);
                self.rank_sources();
                self.follow(now, outcome, &mut out);
            }
            Event::PeerVersion { peer, version } => self.on_peer_version(now, peer, version),
            Event::Fetched(parts) => self.on_fetched(parts),
            Event::Endpoints(endpoints) => self.set_endpoints(now, endpoints, &mut out),
            Event::Confirm => {
                self.node.next_report = now;
                self.report_if_due(now, &mut out);
            }
        }
        self.defend_record(now, &mut out);
        self.tell_synchronized(&mut out);
        self.publish(now, &mut out);
        self.node.serve_children(now, &mut out);
        out
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.node.expire(now, out);
        let outcome = self.node.check_link(now, out);
        self.follow(now, outcome, out);
        self.check_peers(now, out);
        self.check_attach(now, out);
        self.check_source(now, out);
        self.report_if_due(now, out);
    }

    fn report_if_due(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.node.send_report_if_due(now, summary, out);
    }

    /// Chooses the next source after an event of the stream from the current one.
    fn follow(&mut self, now: Instant, outcome: Outcome, out: &mut Vec<Effect>) {
        let random = self.next_random();
        match outcome {
            Outcome::None => {}
            Outcome::Accepted => self.sources.accepted(),
            Outcome::Lost(source, reason) => {
                let was_accepted = self.node.link.as_ref().is_some_and(|link| link.accepted);
                self.node.disconnect(now, reason, out);
                if let Some(daemon) = &source.daemon {
                    self.peers.exclude(daemon, now);
                }
                self.sources.failed(&source, was_accepted, now, random);
                self.check_source(now, out);
            }
            Outcome::Ended(source) => {
                self.node.disconnect(now, "the stream ended", out);
                self.sources.failed(&source, true, now, random);
                // A daemon drops its children when its level rises, and then has room for them.
                if let Some(daemon) = source.daemon {
                    let address = source.address;
                    self.sources.try_again(SourceRef { daemon, address });
                }
                self.check_source(now, out);
            }
            Outcome::Full(next) => {
                self.record_sent = false;
                self.node.disconnect(now, "the source is full", out);
                self.sources.redirected(next, now, random);
                self.check_source(now, out);
            }
            Outcome::Detached(source) => {
                self.record_sent = false;
                self.node.disconnect(now, "the source is detached", out);
                // An interrupted source is better than none.
                self.node.needs_path = !self.sources.is_detached(&source, now);
                self.check_source(now, out);
            }
            Outcome::WrongLevel(source, level) => {
                self.record_sent = false;
                self.node.disconnect(now, "the level is too low", out);
                if level >= MAX_LEVEL {
                    self.sources.failed(&source, false, now, random);
                } else {
                    self.connect(now, source, level + 1, "the level is too low", out);
                }
            }
        }
        if self.node.detached_since.is_none() {
            self.node.needs_path = false;
            self.sources.end_search(now);
        }
    }

    /// Returns whether no control replica has answered for a whole round.
    fn control_unreachable(&self) -> bool {
        let replicas = self.sources.count().max(1) as u32;
        self.sources.failures >= replicas || self.attach.failures >= replicas
    }

    fn check_attach(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if let Some((address, deadline)) = self.attach.in_flight {
            if now >= deadline {
                self.on_attach_reply(now, address, None, out);
            }
            return;
        }
        let needed = self.node.store.floor().is_none() || self.at_peer;
        let configured = self.sources.configured();
        if !needed || now < self.attach.next_at || configured.is_empty() {
            return;
        }
        let address = configured[self.attach.next % configured.len()];
        self.attach.next += 1;
        self.attach.in_flight = Some((address, now + ANSWER_TIMEOUT));
        let attach = Attach {
            member: self.node.member.clone(),
        };
        out.push(Effect::Attach { address, attach });
    }

    fn on_attach_reply(
        &mut self,
        now: Instant,
        address: SocketAddr,
        reply: Option<AttachReply>,
        out: &mut Vec<Effect>,
    ) {
        if self
            .attach
            .in_flight
            .take_if(|(asked, _)| *asked == address)
            .is_none()
        {
            return;
        }
        match reply {
            Some(AttachReply::Attached { floor, replicas }) => {
                self.learn_replicas(replicas);
                if let Some(floor) = floor {
                    self.on_floor(now, floor, out);
                    return;
                }
            }
            Some(AttachReply::Refused { retry_after_ms }) => {
                let wait = Duration::from_millis(retry_after_ms.into());
                self.attach.next_at = now + wait;
                return;
            }
            None => {}
        }
        self.attach.failures = self.attach.failures.saturating_add(1);
        let rounds = self.attach.failures / self.sources.configured().len().max(1) as u32;
        let bound = (ATTACH_BACKOFF * 2_u32.pow(rounds.min(5))).min(MAX_BACKOFF);
        self.attach.next_at = now + jitter(bound, self.next_random());
        self.check_attach(now, out);
    }

    fn learn_replicas(&mut self, replicas: Vec<ReplicaRef>) {
        if !replicas.is_empty() {
            self.node.set_replicas(replicas);
        }
        self.rank_sources();
    }

    fn rank_sources(&mut self) {
        if self.ranked_changes != self.node.replica_changes {
            self.ranked_changes = self.node.replica_changes;
            self.sources.rank(&self.node.member, &self.node.replicas);
        }
    }

    /// Sets the minimum version that a majority of the config group has confirmed.
    fn on_floor(&mut self, now: Instant, floor: Version, out: &mut Vec<Effect>) {
        self.attach.failures = 0;
        self.sources.failures = 0;
        self.node.store.raise_floor(floor.max(self.peers.highest()));
        if self.at_peer {
            self.at_peer = false;
            self.node.disconnect(now, "control is reachable again", out);
        }
        if self.node.link.is_none() {
            self.sources.retry_at = now;
            self.check_source(now, out);
        }
    }

    fn check_source(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let Some(link) = &self.node.link else {
            let may_subscribe = self.node.store.floor().is_some() || self.control_unreachable();
            if may_subscribe && now >= self.sources.retry_at {
                self.connect_next(now, "no source", out);
            }
            return;
        };
        if !link.accepted || self.at_peer {
            return;
        }
        let source = link.source.clone();
        let detached = self
            .node
            .detached_since
            .is_some_and(|since| now >= since + DETACHED_TIMEOUT);
        let stale = self
            .peers
            .newer_since()
            .is_some_and(|since| now >= since + STALE_SOURCE_AFTER);
        let random = self.next_random();
        if detached || stale {
            if now >= self.sources.next_search {
                self.sources.begin_search(&source, now, random);
                self.node.needs_path = true;
                let reason = if detached {
                    "the source is detached"
                } else {
                    "a peer has a newer version"
                };
                self.connect_next(now, reason, out);
            }
        } else if let Some(nearer) = self.sources.nearer(&source, now, random) {
            self.at_peer = false;
            self.connect(now, nearer, 1, "another replica is nearer", out);
        }
    }

    fn connect_next(&mut self, now: Instant, reason: &'static str, out: &mut Vec<Effect>) {
        if self.sources.failures >= self.sources.count() as u32 && !self.sources.is_redirected() {
            self.subscribe_at_peer(now, out);
            if self.node.link.is_some() {
                return;
            }
        }
        if let Some(next) = self.sources.next(now) {
            // A peer names its children in its place.
            self.at_peer &= next.source.daemon.is_some();
            self.connect(now, next.source, next.level, reason, out);
        }
    }

    fn connect(
        &mut self,
        now: Instant,
        source: Source,
        level: u8,
        reason: &'static str,
        out: &mut Vec<Effect>,
    ) {
        // A newer record tells the former source that the daemon is subscribed elsewhere.
        if self.record_sent && self.stamp.is_some() {
            self.write_record(now, out);
        }
        self.record_sent = true;
        self.node.connect(now, source, level, reason, out);
    }

    fn set_endpoints(&mut self, now: Instant, endpoints: Vec<Endpoint>, out: &mut Vec<Effect>) {
        if endpoints == self.endpoints
            && (self.stamp.is_some() || self.former_endpoints().is_empty())
        {
            return;
        }
        self.endpoints = endpoints;
        if self.endpoints.len() > MAX_REPORTED_ENDPOINTS {
            let count = self.endpoints.len();
            self.node.lag_reason = Some(format!(
                "{count} endpoints exceed the limit of {MAX_REPORTED_ENDPOINTS}"
            ));
            self.endpoints.truncate(MAX_REPORTED_ENDPOINTS);
        }
        self.write_record(now, out);
        self.node.next_report = now;
    }

    /// Writes the own record with a newer stamp.
    fn write_record(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let daemon = self.node.member.daemon.clone();
        let first = Stamp {
            incarnation: self.incarnation,
            ..Stamp::default()
        };
        let known = self.node.directory.get(&daemon);
        let known = known.map(|record| record.stamp).max(self.stamp);
        let stamp = known.map_or(first, |known| known.next().max(first));
        self.stamp = Some(stamp);
        let record = Record {
            daemon,
            stamp,
            endpoints: self.endpoints.clone(),
        };
        self.node
            .apply_records(now, vec![record], Origin::Elsewhere, out);
    }

    /// Replaces the own record if it comes from an earlier run or has lapsed.
    fn defend_record(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let known = self.node.directory.get(&self.node.member.daemon);
        let known = known.map(|record| record.stamp);
        if self.stamp.is_some() && known > self.stamp {
            self.write_record(now, out);
            self.node.next_report = now;
        }
    }

    /// Returns the endpoints in the own record of the run before, as far as a source has sent it.
    fn former_endpoints(&self) -> &[Endpoint] {
        let known = self.node.directory.get(&self.node.member.daemon);
        let former = known.filter(|record| Some(record.stamp) != self.stamp);
        former.map_or(&[], |record| &record.endpoints)
    }

    fn tell_synchronized(&mut self, out: &mut Vec<Effect>) {
        if self.node.synchronized && !self.told_synchronized {
            self.told_synchronized = true;
            out.push(Effect::Synchronized(self.former_endpoints().to_vec()));
        }
    }

    fn publish(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let Some(cfg) = self.in_force() else {
            return;
        };
        if self.published_version < Some(cfg.version) {
            let cfg = Arc::clone(cfg);
            self.published_version = Some(cfg.version);
            // Reports at once: operators wait for the version to be in force, and the next periodic
            // report may be a second away.
            self.node.next_report = Instant::min(self.node.next_report, now);
            out.push(Effect::Publish(cfg));
        }
    }

    /// Returns the next random number of this step (`SplitMix64`).
    fn next_random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = self.rng_state;
        let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// Returns the versions in force at a daemon and its children.
fn summary(node: &Node) -> Summary {
    let in_force = node.store.in_force();
    let version = in_force.map_or(Version(0), |cfg| cfg.version);
    let reason = match (&node.lag_reason, in_force) {
        (Some(reason), _) => Some(reason.as_str()),
        (None, None) => Some("no version is in force"),
        (None, Some(_)) => None,
    };
    let member = &node.member;
    let mut summary = node.children.summary();
    summary.add(&DataCentreSummary::of_daemon(
        &member.daemon,
        (&member.data_centre, &member.region),
        version,
        reason,
    ));
    summary
}
