//! A process in the distribution tree: its stream from the source, its copies of the configuration
//! and the endpoints, and its children.

use {
    super::{
        ANSWER_TIMEOUT, Attach, Children, Contents, HEARTBEAT_TIMEOUT, MAX_MESSAGE_RECORDS, Member,
        REPORT_INTERVAL, REPORT_SPACING, ReplicaRef, Report, ReportReply, STREAM_BITS, SourceRef,
        Subscribe, SubscribeReply, Summary, Update, View,
        children::{MAX_FRAME_ENDPOINTS, pack_records},
    },
    crate::{
        endpoints::{Directory, EndpointChanges, Origin, Record, Stamp},
        events::Event as LogEvent,
        log_event,
        model::{Config, DaemonName, Endpoint, Version},
        versions::{ApplyError, ConfigDelta, ConfigStore, DeltaAssembler, DeltaPart},
        wire,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Delay before a report is sent again after one that failed.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Heartbeats with another digest of the records than the own one, after which the two processes
/// compare their records.
const MAX_DIFFERING_HEARTBEATS: u32 = 20;

/// Input of a process about its streams.
#[derive(Clone, Debug)]
pub enum StreamEvent {
    /// Answer of the source to a subscription.
    Subscribed {
        /// Stream number.
        stream: u64,
        /// The answer; `None` if the source is unreachable.
        reply: Option<SubscribeReply>,
    },
    /// Frame from the source.
    Update(Update),
    /// A part of a frame from the source has arrived.
    FramePart {
        /// Stream number.
        stream: u64,
    },
    /// The stream from the source has ended.
    Lost {
        /// Stream number.
        stream: u64,
    },
    /// Answer of the source to a report.
    Reported {
        /// Stream number.
        stream: u64,
        /// Number of the report.
        number: u64,
        /// The answer.
        reply: ReportReply,
    },
    /// A report got no answer from the source.
    ReportFailed {
        /// Stream number.
        stream: u64,
        /// Number of the report.
        number: u64,
    },
    /// Subscription of a child.
    Subscribe(Subscribe),
    /// Report of a child.
    Report(Report),
    /// The stream to a child has ended.
    ChildLost {
        /// The child.
        child: DaemonName,
        /// Stream number.
        stream: u64,
    },
}

/// Output of a process; the caller performs the effects in this order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send an attach request to a control replica.
    Attach {
        /// Peer address of the replica.
        address: SocketAddr,
        /// The request.
        attach: Attach,
    },
    /// Subscribe at a source.
    Subscribe {
        /// Peer address of the source.
        address: SocketAddr,
        /// The request.
        req: Box<Subscribe>,
    },
    /// Close the stream from the source.
    Unsubscribe {
        /// Stream number.
        stream: u64,
        /// Why the source is left.
        reason: &'static str,
    },
    /// Send a report to the source of its stream.
    Report(Box<Report>),
    /// Answer the subscription of a child.
    Answer {
        /// The child.
        child: DaemonName,
        /// Stream number.
        stream: u64,
        /// The answer.
        reply: SubscribeReply,
    },
    /// Answer the report of a child.
    AnswerReport(ReportReply),
    /// Send a frame to a child.
    Update {
        /// The child.
        child: DaemonName,
        /// The frame.
        update: Update,
    },
    /// Close the streams to these children; their names and stream numbers.
    DropChildren(Vec<(DaemonName, u64)>),
    /// Query the version in force at these peers.
    AskPeers(Vec<(DaemonName, SocketAddr)>),
    /// Fetch a config delta from a peer, once and without a subscription.
    Fetch {
        /// The peer.
        name: DaemonName,
        /// Its peer address.
        address: SocketAddr,
        /// Version to which the delta has to apply.
        version: Version,
    },
    /// Route calls by this configuration, which is now in force.
    Publish(Arc<Config>),
    /// Route calls by the changed endpoints.
    PublishEndpoints(EndpointChanges),
    /// A source has sent all of its records for the first time since the start. Contains the endpoints in
    /// the own record of the run before.
    Synchronized(Vec<Endpoint>),
}

/// What a stream event means for the choice of the source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Nothing.
    None,
    /// The source has accepted the subscription.
    Accepted,
    /// The source has failed or is not reachable.
    Lost(Source, &'static str),
    /// The source has ended an accepted stream.
    Ended(Source),
    /// The source is full; these may have room.
    Full(Vec<SourceRef>),
    /// The source has no path to a majority of the config group.
    Detached(Source),
    /// The source has this level, which is not below the own one.
    WrongLevel(Source, u8),
}

/// Process from which another one gets its updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Source {
    /// Name of a daemon; `None` for a control replica.
    pub(super) daemon: Option<DaemonName>,
    pub(super) address: SocketAddr,
}

/// Subscription at a source.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) source: Source,
    pub(super) stream: u64,
    pub(super) accepted: bool,
    /// When the source counts as failed, unless it sends a frame first.
    deadline: Instant,
    /// When a refused subscription is sent again; `None` if it was not refused.
    retry_at: Option<Instant>,
    /// Sequence number of the last frame processed.
    last_frame: u64,
    pending_parts: DeltaAssembler,
    /// Number of the last report.
    last_report: u64,
    /// Report without an answer. The next one is sent after its answer, so that the source processes
    /// them in order.
    unanswered: Option<UnansweredReport>,
    /// Last change of the directory that the source has confirmed to have.
    confirmed_change: u64,
    /// Consecutive heartbeats with another digest of the records.
    differing_heartbeats: u32,
    /// Digests of the source to compare the records with, once the next report is due.
    compare_with: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct UnansweredReport {
    number: u64,
    sent_at: Instant,
    /// Last change of the directory that it contains.
    change: u64,
}

/// State that control replicas and daemons have in common.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) member: Member,
    pub(super) replica: bool,
    pub(super) store: ConfigStore,
    pub(super) directory: Directory,
    pub(super) children: Children,
    pub(super) level: u8,
    /// Subscription at the source; `None` without a source.
    pub(super) link: Option<Link>,
    /// Number of the last stream to a source.
    last_stream: u64,
    /// Control replicas, and the number of their changes so far.
    pub(super) replicas: Vec<ReplicaRef>,
    pub(super) replica_changes: u64,
    /// Since when the path to a majority of the config group is interrupted; `None` if it is intact.
    /// A daemon learns it from its source, a control replica from the replicated log.
    pub(super) detached_since: Option<Instant>,
    pub(super) next_report: Instant,
    /// When the last report was sent; `None` before the first.
    last_report: Option<Instant>,
    /// Last error that may make this process lag; `None` once a config delta has been applied.
    pub(super) lag_reason: Option<String>,
    /// Whether the next source has to have a path to a majority of the config group.
    pub(super) needs_path: bool,
    /// Latest time at which no newer version existed than this process has.
    pub(super) current_at: Option<Instant>,
    /// Whether a source has sent all of its records.
    pub(super) synchronized: bool,
    /// Newer version at the source, and the time at which the report was sent that learned it.
    expected: Option<(Version, Instant)>,
}

impl Node {
    pub(super) fn new(
        member: Member,
        replica: bool,
        incarnation: u64,
        children: Children,
        now: Instant,
    ) -> Self {
        Self {
            member,
            replica,
            store: ConfigStore::new(),
            directory: Directory::default(),
            children,
            level: u8::from(!replica),
            link: None,
            last_stream: incarnation << STREAM_BITS,
            replicas: Vec::new(),
            replica_changes: 0,
            detached_since: Some(now),
            next_report: now,
            last_report: None,
            lag_reason: None,
            needs_path: false,
            current_at: None,
            synchronized: false,
            expected: None,
        }
    }

    /// Processes one stream event.
    pub(super) fn handle(
        &mut self,
        now: Instant,
        event: StreamEvent,
        out: &mut Vec<Effect>,
    ) -> Outcome {
        match event {
            StreamEvent::Subscribed { stream, reply } => {
                return self.on_subscribe_reply(now, stream, reply);
            }
            StreamEvent::Update(update) => self.on_update(now, &update, out),
            StreamEvent::FramePart { stream } => self.on_frame_part(now, stream),
            StreamEvent::Lost { stream } => return self.on_stream_lost(stream),
            StreamEvent::Reported {
                stream,
                number,
                reply,
            } => self.on_report_reply(now, stream, number, reply, out),
            StreamEvent::ReportFailed { stream, number } => {
                self.on_report_failed(now, stream, number);
            }
            StreamEvent::Subscribe(req) => self.on_subscribe(now, req, out),
            StreamEvent::Report(report) => self.on_report(now, report, out),
            StreamEvent::ChildLost { child, stream } => {
                if self.children.stream_ended(&child, stream) {
                    self.directory.child_lost(&child, now);
                }
            }
        }
        Outcome::None
    }

    /// Removes children and records whose lease has ended.
    pub(super) fn expire(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let expired = self.children.expire(now);
        if let Some(pause) = expired.pause {
            self.directory.extend_leases(pause);
        }
        let mut dropped = Vec::new();
        for (child, stream, last_report) in expired.children {
            self.directory.child_lost(&child, last_report);
            dropped.push((child, stream));
        }
        if !dropped.is_empty() {
            out.push(Effect::DropChildren(dropped));
        }
        let changed = self.directory.expire(now);
        for key in &changed.removed {
            log_event!(
                LogEvent::EndpointLapsed,
                server = key.server,
                service = key.service,
                daemon = key.daemon
            );
        }
        self.publish_endpoints(now, changed, out);
    }

    fn publish_endpoints(&mut self, now: Instant, changed: EndpointChanges, out: &mut Vec<Effect>) {
        if !changed.is_empty() {
            self.next_report = now;
            out.push(Effect::PublishEndpoints(changed));
        }
    }

    /// Applies records and publishes the endpoints that they change.
    pub(super) fn apply_records(
        &mut self,
        now: Instant,
        records: Vec<Record>,
        origin: Origin<'_>,
        out: &mut Vec<Effect>,
    ) {
        let mut changed = EndpointChanges::default();
        for record in records.into_iter().take(MAX_MESSAGE_RECORDS) {
            match self.directory.apply(record, origin, now) {
                Ok(part) => changed.extend(part),
                Err(e) => {
                    log::warn!("{e}");
                    self.lag_reason = Some(e.to_string());
                }
            }
        }
        self.publish_endpoints(now, changed, out);
    }

    /// Unsubscribes from the current source and subscribes at `source`.
    pub(super) fn connect(
        &mut self,
        now: Instant,
        source: Source,
        level: u8,
        reason: &'static str,
        out: &mut Vec<Effect>,
    ) {
        self.disconnect(now, reason, out);
        if level > self.level && !self.children.is_empty() {
            // Keeps the tree free of loops.
            for (child, _) in self.drop_children(out) {
                self.directory.child_lost(&child, now);
            }
        }
        self.level = level;
        self.subscribe(now, source, self.store.version(), false, out);
    }

    fn drop_children(&mut self, out: &mut Vec<Effect>) -> Vec<(DaemonName, u64)> {
        let dropped = self.children.clear();
        out.push(Effect::DropChildren(dropped.clone()));
        dropped
    }

    /// Closes the stream from the source.
    pub(super) fn disconnect(&mut self, now: Instant, reason: &'static str, out: &mut Vec<Effect>) {
        if let Some(link) = self.link.take() {
            let stream = link.stream;
            out.push(Effect::Unsubscribe { stream, reason });
        }
        if !self.replica {
            self.detached_since.get_or_insert(now);
        }
        self.expected = None;
    }

    fn subscribe(
        &mut self,
        now: Instant,
        source: Source,
        version: Version,
        compares: bool,
        out: &mut Vec<Effect>,
    ) {
        self.last_stream += 1;
        let own = &self.member.daemon;
        let SubtreeChanges { records, last, .. } = subtree_changes(&self.directory, own, 0);
        let req = Subscribe {
            member: self.member.clone(),
            replica: self.replica,
            level: self.level,
            stream: self.last_stream,
            version,
            digests: self.directory.digests().to_vec(),
            records,
            room: self.children.room(),
            needs_path: self.needs_path,
            compares,
        };
        out.push(Effect::Subscribe {
            address: source.address,
            req: Box::new(req),
        });
        self.link = Some(Link {
            source,
            stream: self.last_stream,
            accepted: false,
            deadline: now + ANSWER_TIMEOUT,
            retry_at: None,
            last_frame: 0,
            pending_parts: DeltaAssembler::default(),
            last_report: 0,
            unanswered: None,
            confirmed_change: last,
            differing_heartbeats: 0,
            compare_with: Vec::new(),
        });
    }

    /// Opens a new stream at the same source, with deltas from `version`.
    fn resubscribe(
        &mut self,
        now: Instant,
        version: Version,
        compares: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(link) = self.link.take() else {
            return;
        };
        out.push(Effect::Unsubscribe {
            stream: link.stream,
            reason: "resynchronizing",
        });
        self.subscribe(now, link.source, version, compares, out);
    }

    /// Sends a refused subscription again when that is due, and notices a source that has failed.
    pub(super) fn check_link(&mut self, now: Instant, out: &mut Vec<Effect>) -> Outcome {
        let Some(link) = &self.link else {
            return Outcome::None;
        };
        if link.retry_at.is_some_and(|at| now >= at) {
            self.resubscribe(now, self.store.version(), false, out);
        } else if link.retry_at.is_none() && now >= link.deadline {
            return Outcome::Lost(link.source.clone(), "no frame within the heartbeat timeout");
        }
        Outcome::None
    }

    fn on_stream_lost(&self, stream: u64) -> Outcome {
        // The source also ends the stream of a subscription that it refuses; the retry time applies
        // then.
        let lost = |link: &&Link| link.stream == stream && link.retry_at.is_none();
        match self.link.as_ref().filter(lost) {
            Some(link) if link.accepted => Outcome::Ended(link.source.clone()),
            Some(link) => Outcome::Lost(link.source.clone(), "the stream ended"),
            None => Outcome::None,
        }
    }

    fn on_subscribe_reply(
        &mut self,
        now: Instant,
        stream: u64,
        reply: Option<SubscribeReply>,
    ) -> Outcome {
        let Some(link) = self.link.as_mut().filter(|link| link.stream == stream) else {
            return Outcome::None;
        };
        match reply {
            Some(SubscribeReply::Accepted {
                detached_ms,
                digests,
            }) => {
                link.accepted = true;
                link.deadline = now + HEARTBEAT_TIMEOUT;
                link.compare_with = digests;
                self.next_report = now;
                self.set_detached(now, detached_ms);
                Outcome::Accepted
            }
            Some(SubscribeReply::Refused { retry_after_ms }) => {
                link.retry_at = Some(now + Duration::from_millis(retry_after_ms.into()));
                Outcome::None
            }
            Some(SubscribeReply::Full { next }) => Outcome::Full(next),
            Some(SubscribeReply::Detached) => Outcome::Detached(link.source.clone()),
            Some(SubscribeReply::WrongLevel { level }) => {
                Outcome::WrongLevel(link.source.clone(), level)
            }
            None => Outcome::Lost(link.source.clone(), "the source is unreachable"),
        }
    }

    fn on_update(&mut self, now: Instant, update: &Update, out: &mut Vec<Effect>) {
        let Some(link) = self
            .link
            .as_mut()
            .filter(|link| link.stream == update.stream && update.number > link.last_frame)
        else {
            return;
        };
        if update.number > link.last_frame + 1 {
            return self.resubscribe(now, self.store.version(), false, out);
        }
        link.last_frame = update.number;
        link.accepted = true;
        link.deadline = now + HEARTBEAT_TIMEOUT;
        self.set_detached(now, update.detached_ms);
        let contents: Contents = match wire::decode(&update.contents) {
            Ok(contents) => contents,
            Err(e) => {
                log::warn!(
                    "frame {} of the source cannot be decoded: {e}",
                    update.number
                );
                self.lag_reason = Some(e.to_string());
                return self.resubscribe(now, Version(0), false, out);
            }
        };
        if let Some(part) = contents.config
            && !self.on_config_part(now, part, out)
        {
            return;
        }
        self.apply_records(now, contents.records, Origin::Elsewhere, out);
        if let Some(replicas) = contents.replicas {
            self.set_replicas(replicas);
        }
        if let Some(digest) = contents.digest {
            // The last frame of a round contains it, and the first round all records.
            self.synchronized = true;
            self.compare_digest(now, digest, out);
        }
    }

    /// Records what the source tells of its path to the config group. The time counts from the
    /// interruption of the path above the source.
    fn set_detached(&mut self, now: Instant, detached_ms: u32) {
        if self.replica {
            return;
        }
        let since = now.checked_sub(Duration::from_millis(detached_ms.into()));
        self.detached_since = (detached_ms > 0).then(|| since.unwrap_or(now));
    }

    /// Applies a part of a config delta; returns `false` if the stream was opened again.
    fn on_config_part(&mut self, now: Instant, part: DeltaPart, out: &mut Vec<Effect>) -> bool {
        let Some(link) = &mut self.link else {
            return false;
        };
        match link.pending_parts.push(part) {
            Ok(Some(delta)) => match self.apply_config(&delta) {
                // The delta is obsolete if a peer has supplied its version in the meantime.
                Ok(()) | Err(ApplyError::NotNewer { .. }) => true,
                Err(ApplyError::WrongBase { .. }) => {
                    self.resubscribe(now, self.store.version(), false, out);
                    false
                }
                Err(_) => {
                    self.resubscribe(now, Version(0), false, out);
                    false
                }
            },
            Ok(None) => true,
            Err(e) => {
                self.lag_reason = Some(e.to_string());
                self.resubscribe(now, self.store.version(), false, out);
                false
            }
        }
    }

    /// Returns whether the source has the current record of this process, if there is one.
    pub(super) fn is_record_confirmed(&self) -> bool {
        let accepted = self.link.as_ref().filter(|link| link.accepted);
        let change = self.directory.last_change_of(&self.member.daemon);
        accepted.is_some_and(|link| change.is_none_or(|change| change <= link.confirmed_change))
    }

    pub(super) fn apply_config(&mut self, delta: &ConfigDelta) -> Result<(), ApplyError> {
        let applied = self.store.apply(delta);
        self.lag_reason = applied.as_ref().err().map(ToString::to_string);
        if let Some(reason) = &self.lag_reason {
            log_event!(
                LogEvent::VersionRefused,
                from = delta.from,
                to = delta.to,
                reason = reason,
            );
        }
        if let Some((_, at)) = self
            .expected
            .take_if(|(version, _)| *version <= self.store.version())
        {
            self.current_at = self.current_at.max(Some(at));
        }
        applied.map(drop)
    }

    /// Sets the list of the control replicas.
    pub(super) fn set_replicas(&mut self, replicas: Vec<ReplicaRef>) {
        if self.replicas != replicas {
            self.replicas = replicas;
            self.replica_changes += 1;
        }
    }

    /// Compares the records with those of the source if their digests have differed for long. Shorter
    /// differences are changes on their way.
    fn compare_digest(&mut self, now: Instant, digest: u64, out: &mut Vec<Effect>) {
        let differs = self.directory.digest() != digest;
        let Some(link) = &mut self.link else { return };
        link.differing_heartbeats = if differs {
            link.differing_heartbeats + 1
        } else {
            0
        };
        // Not all children at the same time: the first one mostly repairs the source.
        let patience = MAX_DIFFERING_HEARTBEATS + (link.stream % 8) as u32;
        if link.differing_heartbeats > patience {
            log::info!("records differ from those of the source, comparing them");
            self.resubscribe(now, self.store.version(), true, out);
        }
    }

    /// Keeps the source for as long as a large frame arrives on a slow link: a new subscription
    /// would start it again.
    fn on_frame_part(&mut self, now: Instant, stream: u64) {
        let link = self.link.as_mut().filter(|link| link.stream == stream);
        if let Some(link) = link.filter(|link| link.accepted) {
            link.deadline = now + HEARTBEAT_TIMEOUT;
        }
    }

    fn on_subscribe(&mut self, now: Instant, req: Subscribe, out: &mut Vec<Effect>) {
        let reply = if req.needs_path && self.detached_since.is_some() {
            SubscribeReply::Detached
        } else {
            let directory = &self.directory;
            self.children.subscribe(&req, self.level, directory, now)
        };
        let reply = match reply {
            SubscribeReply::Accepted { digests, .. } => SubscribeReply::Accepted {
                detached_ms: self.detached_ms(now),
                digests,
            },
            refused => refused,
        };
        let (child, stream) = (req.member.daemon, req.stream);
        if matches!(reply, SubscribeReply::Accepted { .. }) {
            self.apply_records(now, req.records, Origin::Child(&child), out);
            self.next_report = now;
        }
        out.push(Effect::Answer {
            child,
            stream,
            reply,
        });
    }

    fn on_report(&mut self, now: Instant, report: Report, out: &mut Vec<Effect>) {
        let before = self.children.lowest_in_force(&report.daemon);
        let known = self.children.report(&report, now);
        if known {
            if before != report.summary.lowest() {
                self.next_report = now;
            }
            let child = &report.daemon;
            self.apply_records(now, report.records, Origin::Child(child), out);
            for (daemon, stamp) in report.lost.iter().take(MAX_MESSAGE_RECORDS) {
                self.directory.lost_by(child, daemon, *stamp, now);
            }
            self.apply_records(now, report.other_records, Origin::Elsewhere, out);
        }
        out.push(Effect::AnswerReport(ReportReply {
            known,
            version: self.store.version(),
            age_ms: self.age_ms(now),
        }));
    }

    fn on_report_reply(
        &mut self,
        now: Instant,
        stream: u64,
        number: u64,
        reply: ReportReply,
        out: &mut Vec<Effect>,
    ) {
        let Some(link) = self.link.as_mut().filter(|link| link.stream == stream) else {
            return;
        };
        if !reply.known {
            return self.resubscribe(now, self.store.version(), false, out);
        }
        let Some(answered) = link.unanswered.take_if(|sent| sent.number == number) else {
            return;
        };
        link.confirmed_change = link.confirmed_change.max(answered.change);
        if answered.change < self.directory.last_change() {
            self.next_report = now;
        }
        let age = reply.age_ms.map(|ms| Duration::from_millis(ms.into()));
        let Some(at) = age.and_then(|age| answered.sent_at.checked_sub(age)) else {
            return;
        };
        if reply.version <= self.store.version() {
            self.current_at = self.current_at.max(Some(at));
        } else {
            self.expected = Some((reply.version, at));
        }
    }

    fn on_report_failed(&mut self, now: Instant, stream: u64, number: u64) {
        let link = self.link.as_mut().filter(|link| link.stream == stream);
        let failed = link.and_then(|link| link.unanswered.take_if(|sent| sent.number == number));
        if failed.is_some() {
            self.next_report = now + REPORT_RETRY_DELAY;
        }
    }

    fn age_ms(&self, now: Instant) -> Option<u32> {
        let age = now.saturating_duration_since(self.current_at?);
        Some(u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
    }

    fn detached_ms(&self, now: Instant) -> u32 {
        let elapsed = self
            .detached_since
            .map(|since| now.saturating_duration_since(since).as_millis());
        elapsed.map_or(0, |ms| u32::try_from(ms).unwrap_or(u32::MAX).max(1))
    }

    /// Sends the frames that are due to the children.
    pub(super) fn serve_children(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let detached_ms = self.detached_ms(now);
        let view = View {
            store: &self.store,
            directory: &self.directory,
            replicas: &self.replicas,
            replica_changes: self.replica_changes,
            detached_ms,
        };
        match self.children.frames(view, now) {
            Ok(frames) => out.extend(
                frames
                    .into_iter()
                    .map(|(child, update)| Effect::Update { child, update }),
            ),
            Err(e) => {
                log::error!("frames for children not built: {e}");
                self.lag_reason = Some(e.to_string());
            }
        }
    }

    /// Sends a report if one is due; `summary` is that of this process and its children.
    pub(super) fn send_report_if_due(
        &mut self,
        now: Instant,
        summary: impl FnOnce(&Self) -> Summary,
        out: &mut Vec<Effect>,
    ) {
        let spaced = self
            .last_report
            .is_none_or(|last| now >= last + REPORT_SPACING);
        let ready = |link: &Link| {
            let waits = |sent: UnansweredReport| now < sent.sent_at + ANSWER_TIMEOUT;
            link.accepted && !link.unanswered.is_some_and(waits)
        };
        if !self.link.as_ref().is_some_and(ready) || now < self.next_report || !spaced {
            return;
        }
        let summary = summary(self);
        let Some(link) = &mut self.link else { return };
        let own = &self.member.daemon;
        let changes = subtree_changes(&self.directory, own, link.confirmed_change);
        let compared = std::mem::take(&mut link.compare_with);
        let other_records = if compared.is_empty() {
            Vec::new()
        } else {
            let differing = self.directory.differing(&compared);
            pack_records(differing)
                .into_iter()
                .next()
                .unwrap_or_default()
        };
        link.last_report += 1;
        link.unanswered = Some(UnansweredReport {
            number: link.last_report,
            sent_at: now,
            change: changes.last,
        });
        out.push(Effect::Report(Box::new(Report {
            daemon: own.clone(),
            stream: link.stream,
            number: link.last_report,
            last_frame: link.last_frame,
            version: self.store.version(),
            records: changes.records,
            lost: changes.lost,
            other_records,
            room: self.children.room(),
            summary,
        })));
        self.last_report = Some(now);
        self.next_report = now + REPORT_INTERVAL;
    }
}

/// Changes that the source of a process has to learn.
struct SubtreeChanges {
    /// Records of the process and its subtree.
    records: Vec<Record>,
    /// Daemons that have left the subtree.
    lost: Vec<(DaemonName, Stamp)>,
    /// Last change of the directory that is contained.
    last: u64,
}

/// Returns what has changed in the subtree of daemon `own` since change `since`, as far as it fits
/// into one message.
fn subtree_changes(directory: &Directory, own: &DaemonName, since: u64) -> SubtreeChanges {
    let changes = directory.changes_since(since);
    let mut relevant = changes
        .filter(|change| change.lost || change.child.is_some() || change.record.daemon == *own);
    let mut out = SubtreeChanges {
        records: Vec::new(),
        lost: Vec::new(),
        last: since,
    };
    let mut endpoints = 0;
    for change in relevant.by_ref().take(MAX_MESSAGE_RECORDS) {
        endpoints += change.record.endpoints.len();
        if endpoints > MAX_FRAME_ENDPOINTS {
            return out;
        }
        if change.lost {
            let daemon = change.record.daemon.clone();
            out.lost.push((daemon, change.record.stamp));
        } else {
            out.records.push(Record::clone(change.record));
        }
        out.last = change.number;
    }
    if relevant.next().is_none() {
        out.last = directory.last_change();
    }
    out
}
