//! State machine of one daemon in the tree: its parent, its copies and its children.

mod asking;
mod event;
mod interim;
mod link;
mod sets;

use {
    self::{asking::Asking, interim::Peers, link::Link},
    super::{Children, FailedParent, HEARTBEAT, Member, MemberReport, Role, Subscribe},
    crate::{
        endpoints::{Directory, Epoch, MAX_REPORTED, OwnSet, Stamp},
        model::{Config, DaemonName, Endpoint, Version},
        versions::{ConfigStore, DeltaPart, Parts},
    },
    indexmap::IndexMap,
    std::{net::SocketAddr, sync::Arc, time::Instant},
};

pub use self::{
    event::{Effect, Event},
    interim::interim_hash,
};

/// One daemon in the distribution tree.
///
/// ```
/// use {anvilbeam::relays::*, std::time::{Duration, Instant}};
/// let now = Instant::now();
/// let member = Member {
///     daemon: "daemon-1".into(),
///     address: ([10, 0, 0, 1], 7000).into(),
///     data_centre: "dc-1".into(),
///     region: "fukuoka".into(),
/// };
/// let mut uplink = Uplink::new(member, 1, 3, now);
/// let effects = uplink.step(now + Duration::from_secs(1), 7, Event::Tick);
/// assert!(effects.iter().any(|effect| matches!(effect, Effect::AskControl { .. })));
/// assert!(uplink.in_force().is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Uplink {
    me: Member,
    incarnation: u64,
    controls: u32,
    members: IndexMap<DaemonName, SocketAddr>,
    store: ConfigStore,
    directory: Directory,
    parts: Parts,
    own: Option<OwnSet>,
    /// Tenure that was granted but whose set has no known state to start from yet.
    starting: Option<(Epoch, Instant)>,
    superseded: Option<Epoch>,
    endpoints: Vec<Endpoint>,
    reports: u64,
    forwarded: IndexMap<DaemonName, MemberReport>,
    role: Role,
    level: u8,
    term: u64,
    link: Option<Link>,
    streams: u64,
    asking: Asking,
    failed_parent: Option<FailedParent>,
    detached_since: Option<Instant>,
    peers: Peers,
    children: Children,
    published: Option<Version>,
    next_report: Instant,
    last_report: Option<Instant>,
    reason: Option<String>,
    random: u64,
    /// Whether control is the only parent that it may have.
    direct: bool,
}

impl Uplink {
    /// A daemon that starts without a disk. `incarnation` grows with each start; `controls` is
    /// the number of control addresses.
    pub fn new(me: Member, incarnation: u64, controls: u32, now: Instant) -> Self {
        Self {
            me,
            incarnation,
            controls: controls.max(1),
            members: IndexMap::new(),
            store: ConfigStore::new(),
            directory: Directory::default(),
            parts: Parts::default(),
            own: None,
            starting: None,
            superseded: None,
            endpoints: Vec::new(),
            reports: 0,
            forwarded: IndexMap::new(),
            role: Role::Leaf,
            level: Role::Leaf.level(),
            term: 0,
            link: None,
            streams: incarnation << 32,
            asking: Asking::new(now),
            failed_parent: None,
            detached_since: Some(now),
            peers: Peers::default(),
            children: Children::new(now),
            published: None,
            next_report: now,
            last_report: None,
            reason: None,
            random: 0,
            direct: false,
        }
    }

    /// A daemon whose only parent is control and that is alone in its part of the tree.
    #[must_use]
    pub const fn direct(mut self) -> Self {
        self.direct = true;
        self
    }

    /// Sets the number of control replicas that can be asked.
    pub fn set_controls(&mut self, controls: u32) {
        self.controls = controls.max(1);
    }

    /// The configuration in force, if any.
    pub fn in_force(&self) -> Option<&Arc<Config>> {
        self.store.in_force()
    }

    /// The configuration held.
    pub const fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// Endpoint sets of all data centres.
    pub const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Place in the tree.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Level in the tree; see the module documentation.
    pub const fn level(&self) -> u8 {
        self.level
    }

    /// Parent whose stream is open, with the stream; `None` as the name stands for control.
    pub fn parent(&self) -> Option<(Option<&DaemonName>, u64)> {
        let link = self.link.as_ref()?;
        Some((link.daemon(), link.stream))
    }

    /// The children.
    pub const fn children(&self) -> &Children {
        &self.children
    }

    /// Parts of the configuration for a peer that holds `version`; nothing when it is current.
    ///
    /// # Errors
    /// [`crate::error::Error::TooLarge`] when the delta needs too many parts.
    pub fn fetch(&self, version: Version) -> crate::error::Result<Vec<DeltaPart>> {
        let delta = self.store.delta_since(version);
        delta.map_or(Ok(Vec::new()), crate::versions::split)
    }

    /// Takes one event. `random` is a fresh random number.
    pub fn step(&mut self, now: Instant, random: u64, event: Event) -> Vec<Effect> {
        self.random = random;
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Attach { control, reply } => self.answered(now, control, reply, &mut out),
            Event::Subscribed { stream, reply } => {
                self.subscribed(now, stream, reply.as_ref(), &mut out);
            }
            Event::Update(update) => self.update(now, update, &mut out),
            Event::StreamLost { stream } => self.stream_lost(now, stream, &mut out),
            Event::PeerVersion { peer, version } => self.peer_version(now, peer, version),
            Event::Fetched(parts) => self.fetched(parts),
            Event::Members(members) => self.members = members.into_iter().collect(),
            Event::Endpoints(endpoints) => {
                self.endpoints = endpoints;
                if self.endpoints.len() > MAX_REPORTED {
                    let count = self.endpoints.len();
                    self.reason = Some(format!(
                        "{count} endpoints exceed the limit of {MAX_REPORTED}"
                    ));
                    self.endpoints.truncate(MAX_REPORTED);
                }
                self.next_report = now;
                self.report_own(now);
            }
            Event::Subscribe(req) => self.child_subscribes(now, &req, &mut out),
            Event::Report(report) => self.child_reports(now, report, &mut out),
            Event::ChildLost { child, stream } => self.children.lost(&child, stream),
        }
        self.sync_own(now, &mut out);
        self.publish(now, &mut out);
        self.serve_children(now, &mut out);
        out
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.children.expire(now);
        self.directory.expire(now);
        if let Some(own) = &mut self.own
            && own.expire(now)
        {
            self.next_report = now;
        }
        self.check_link(now, out);
        self.check_peers(now, out);
        self.check_asking(now, out);
        self.check_interim(now, out);
        self.report(now, out);
    }

    fn publish(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let Some(cfg) = self.store.in_force() else {
            return;
        };
        if self.published < Some(cfg.version) {
            self.published = Some(cfg.version);
            // Operators wait for this, and the next regular report is up to a second away.
            self.next_report = Instant::min(self.next_report, now);
            out.push(Effect::Publish(Arc::clone(cfg)));
        }
    }

    fn serve_children(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let since = self
            .detached_since
            .map(|since| now.duration_since(since).as_millis());
        let detached_ms = since.map_or(0, |ms| u32::try_from(ms).unwrap_or(u32::MAX).max(1));
        match self
            .children
            .frames(&self.store, &self.directory, detached_ms, now)
        {
            Ok(frames) => out.extend(
                frames
                    .into_iter()
                    .map(|(child, update)| Effect::Update { child, update }),
            ),
            Err(e) => self.reason = Some(e.to_string()),
        }
    }

    fn child_subscribes(&mut self, now: Instant, req: &Subscribe, out: &mut Vec<Effect>) {
        let reply = self.children.subscribe(req, self.level, now);
        let mine = req
            .positions
            .iter()
            .find(|held| held.data_centre == self.me.data_centre);
        if let (Some(held), Some(own)) = (mine, &self.own)
            && held.epoch > own.epoch()
        {
            self.superseded = self.superseded.max(Some(held.epoch));
        }
        out.push(Effect::Answer {
            child: req.daemon.clone(),
            stream: req.stream,
            reply,
        });
    }

    /// Sets the level before a subscription. A process that raises its level drops its children
    /// first, which keeps the tree free of loops.
    fn set_level(&mut self, level: u8, out: &mut Vec<Effect>) {
        if level > self.level && !self.children.is_empty() {
            out.push(Effect::DropChildren(self.children.clear()));
        }
        self.level = level;
    }

    fn stamp(&mut self) -> Stamp {
        self.reports += 1;
        Stamp {
            incarnation: self.incarnation,
            number: self.reports,
        }
    }

    /// Next random number of this step.
    const fn draw(&mut self) -> u64 {
        // SplitMix64: spreads one random number over several draws.
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Full jitter: a time between `now` and `now + bound`.
    fn jitter(&mut self, now: Instant, bound: std::time::Duration) -> Instant {
        let nanos = u64::try_from(bound.as_nanos()).unwrap_or(u64::MAX).max(1);
        now + std::time::Duration::from_nanos(self.draw() % nanos)
    }

    fn report_due(&self, now: Instant) -> bool {
        // Bounds the reports of a relay whose set changes many times a second.
        let spaced = self
            .last_report
            .is_none_or(|last| now >= last + HEARTBEAT / 10);
        now >= self.next_report && spaced
    }
}
