//! State machine of one control replica in the tree.
//!
//! Its versions come from the replicated log. The leader is the root; the other replicas subscribe
//! to it for the endpoints, and report those of their children.

use {
    super::{
        CONTROL_CHILDREN, CONTROL_COPY_RATE, Children, Member, ReplicaRef, StreamEvent, Summary,
        node::{Effect, Node, Outcome, Source},
        sources::jitter,
    },
    crate::{
        endpoints::Directory,
        model::{Config, Version},
        versions::{ApplyError, ConfigDelta, ConfigStore},
    },
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time without contact to a majority of the group after which the path to it counts as interrupted.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(500);

/// Upper bound of the full jitter before a failed subscription at the leader is repeated.
const RETRY_JITTER: Duration = Duration::from_millis(200);

/// What a replica knows of the leadership of its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Whether this replica leads.
    pub leads: bool,
    /// Peer address of the leader; `None` if it is unknown.
    pub leader: Option<SocketAddr>,
    /// When this replica was last in contact with the quorum; `None` before the first contact.
    pub contact: Option<Instant>,
}

/// State machine of one control replica in the distribution tree.
///
/// ```
/// use {anvilbeam::{model::Config, relays::*}, std::time::Instant};
/// let now = Instant::now();
/// let member = Member {
///     daemon: "config-1".into(),
///     address: ([10, 0, 0, 1], 7000).into(),
///     data_centre: "dc-1".into(),
///     region: "fukuoka".into(),
/// };
/// let mut hub = Hub::new(member, 1, Config::default(), now);
/// hub.tick(now, 7, Leadership { leads: true, leader: None, contact: Some(now) });
/// assert!(hub.replicas()[0].leads);
/// ```
#[derive(Clone, Debug)]
pub struct Hub {
    node: Node,
    leadership: Leadership,
    /// Peer addresses of the members of the group.
    group: Vec<SocketAddr>,
    /// Earliest time for the next subscription at the leader.
    retry_at: Instant,
}

impl Hub {
    /// Creates the state of a replica that has just started. `incarnation` increases with each
    /// start, such as the milliseconds since 1970.
    pub fn new(member: Member, incarnation: u64, config: Config, now: Instant) -> Self {
        let children = Children::new(CONTROL_CHILDREN, CONTROL_COPY_RATE, now);
        let mut node = Node::new(member, true, incarnation, children, now);
        node.store = ConfigStore::with_config(config);
        Self {
            node,
            leadership: Leadership::default(),
            group: Vec::new(),
            retry_at: now,
        }
    }

    /// Sets the number of daemons that this process feeds, for a VM of another size.
    #[must_use]
    pub const fn feeding(mut self, daemons: usize) -> Self {
        self.node.children.set_limit(daemons);
        self
    }

    /// Returns the configuration that is distributed.
    pub const fn config(&self) -> &Arc<Config> {
        self.node.store.config()
    }

    /// Returns the newest version that is distributed.
    pub fn version(&self) -> Version {
        self.node.store.version()
    }

    /// Returns the endpoints of all daemons.
    pub const fn directory(&self) -> &Directory {
        &self.node.directory
    }

    /// Returns the children.
    pub const fn children(&self) -> &Children {
        &self.node.children
    }

    /// Returns the versions in force at the daemons below this replica; at the leader, of all
    /// daemons.
    pub fn summary(&self) -> Summary {
        self.node.children.summary()
    }

    /// Returns the control replicas that serve subscriptions; only this one before the leader has
    /// named them.
    pub fn replicas(&self) -> Vec<ReplicaRef> {
        if self.node.replicas.is_empty() {
            return vec![self.own_ref()];
        }
        self.node.replicas.clone()
    }

    fn own_ref(&self) -> ReplicaRef {
        replica_ref(&self.node.member, self.leadership.leads)
    }

    /// Applies a new version from the replicated log and returns the frames for the children.
    ///
    /// # Errors
    /// [`ApplyError`]; the configuration is unchanged then.
    pub fn apply_version(
        &mut self,
        now: Instant,
        delta: &ConfigDelta,
    ) -> Result<Vec<Effect>, ApplyError> {
        let mut out = Vec::new();
        self.node.apply_config(delta)?;
        self.node.serve_children(now, &mut out);
        Ok(out)
    }

    /// Runs the timers, which has to be done at least every 100 ms, and follows the leadership.
    pub fn tick(&mut self, now: Instant, random: u64, leadership: Leadership) -> Vec<Effect> {
        let mut out = Vec::new();
        self.set_leadership(now, leadership, &mut out);
        self.node.expire(now, &mut out);
        let outcome = self.node.check_link(now, &mut out);
        self.follow(now, random, &outcome, &mut out);
        self.subscribe_if_due(now, &mut out);
        self.finish(now, &mut out);
        out
    }

    /// Processes an event of a stream.
    pub fn handle(&mut self, now: Instant, random: u64, event: StreamEvent) -> Vec<Effect> {
        let mut out = Vec::new();
        let outcome = match event {
            StreamEvent::Subscribe(req) if req.replica && !self.leadership.leads => {
                out.push(Effect::Answer {
                    child: req.member.daemon,
                    stream: req.stream,
                    reply: super::SubscribeReply::Detached,
                });
                Outcome::None
            }
            event => self.node.handle(now, event, &mut out),
        };
        self.follow(now, random, &outcome, &mut out);
        self.finish(now, &mut out);
        out
    }

    fn finish(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.leadership.leads {
            self.update_replicas();
        }
        let summary = |node: &Node| node.children.summary();
        self.node.send_report_if_due(now, summary, out);
        self.node.serve_children(now, out);
    }

    /// Lists the members of the group that are or were subscribed. One that is out of reach of this
    /// replica may serve daemons nevertheless, so it stays for as long as it is a member.
    fn update_replicas(&mut self) {
        let mut replicas: IndexMap<SocketAddr, ReplicaRef> = IndexMap::new();
        let members = &self.group;
        let known = self.node.replicas.iter();
        for replica in known.filter(|replica| members.contains(&replica.address)) {
            let leads = false;
            let replica = replica.clone();
            replicas.insert(replica.address, ReplicaRef { leads, ..replica });
        }
        for member in self.node.children.replicas() {
            replicas.insert(member.address, replica_ref(member, false));
        }
        replicas.insert(self.node.member.address, self.own_ref());
        replicas.sort_unstable_keys();
        self.node.set_replicas(replicas.into_values().collect());
    }

    /// Sets the peer addresses of the members of the group.
    pub fn set_group(&mut self, members: Vec<SocketAddr>) {
        self.group = members;
    }

    fn set_leadership(&mut self, now: Instant, next: Leadership, out: &mut Vec<Effect>) {
        let before = std::mem::replace(&mut self.leadership, next);
        if next.leads && !before.leads {
            self.node.disconnect(now, "this replica leads", out);
            self.node.directory.start_leases(now);
        }
        if before.leads && !next.leads {
            self.node.directory.end_leases();
            let replicas = self.node.children.clear_replicas();
            for (replica, _) in &replicas {
                self.node.directory.release_child(replica);
            }
            out.push(Effect::DropChildren(replicas));
        }
        let source = self.node.link.as_ref().map(|link| link.source.address);
        if source.is_some() && source != next.leader {
            self.node.disconnect(now, "another replica leads", out);
            self.retry_at = now;
        }
        let contact = next.contact;
        self.node.current_at = self.node.current_at.max(contact);
        let recent = |at: Instant| now < at + CONTACT_TIMEOUT;
        if contact.is_some_and(recent) {
            self.node.detached_since = None;
        } else {
            self.node.detached_since = contact.or(self.node.detached_since).or(Some(now));
        }
    }

    fn subscribe_if_due(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let leader = self.leadership.leader.filter(|_| !self.leadership.leads);
        let (Some(address), None) = (leader, &self.node.link) else {
            return;
        };
        if now < self.retry_at || address == self.node.member.address {
            return;
        }
        let source = Source {
            daemon: None,
            address,
        };
        self.node.connect(now, source, 0, "no source", out);
    }

    fn follow(&mut self, now: Instant, random: u64, outcome: &Outcome, out: &mut Vec<Effect>) {
        let reason = match outcome {
            Outcome::None | Outcome::Accepted => return,
            Outcome::Lost(_, reason) => reason,
            Outcome::Ended(_) => "the stream ended",
            Outcome::Full(_) | Outcome::WrongLevel(..) => "the replica refuses replicas",
            Outcome::Detached(_) => "the replica does not lead",
        };
        self.node.disconnect(now, reason, out);
        self.retry_at = now + jitter(RETRY_JITTER, random);
    }
}

fn replica_ref(member: &Member, leads: bool) -> ReplicaRef {
    ReplicaRef {
        address: member.address,
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
        leads,
    }
}
