//! Children of one process: what has been sent to each of them, and its last report.

use {
    super::{
        ADMITTED_PER_SECOND, Admission, FULL_COPIES_PER_SECOND, HEARTBEAT, MISSED_REPORT_AFTER,
        RELAY_LEASE, Report, Subscribe, SubscribeReply, Summary, Update,
    },
    crate::{
        endpoints::{Directory, EndpointDelta, Position},
        error::Result,
        model::{DaemonName, Version},
        versions::{ConfigStore, DeltaPart, split_delta},
    },
    indexmap::IndexMap,
    std::time::Instant,
};

/// Maximum number of children of one process.
const MAX_CHILDREN: usize = 1_024;

/// Maximum number of endpoints in one frame.
const MAX_FRAME_ENDPOINTS: usize = crate::endpoints::MAX_ENDPOINTS;

/// Children of control or of a relay.
#[derive(Clone, Debug)]
pub struct Children {
    by_name: IndexMap<DaemonName, Child>,
    admission: Admission,
    /// Limit of subscriptions that need a full copy of the configuration.
    full_copies: Admission,
    /// State that has been sent to all children; `None` if [`Children::frames`] has to check each
    /// child.
    all_sent: Option<AllSent>,
}

/// State that has been sent to all children. With it, the cost of [`Children::frames`] is
/// independent of the number of children if nothing is due.
#[derive(Clone, Debug)]
struct AllSent {
    version: Version,
    positions: Vec<Position>,
    /// Earliest heartbeat that is due.
    next_heartbeat: Instant,
}

#[derive(Clone, Debug)]
struct Child {
    stream: u64,
    /// Sequence number of the last frame sent.
    number: u64,
    /// Version at the child, provided that all frames sent arrive.
    version: Version,
    /// Positions of the endpoint sets at the child, provided that all frames sent arrive.
    positions: Vec<Position>,
    summary: Summary,
    last_report: Instant,
    next_heartbeat: Instant,
}

impl Children {
    /// Creates the state without children.
    pub fn new(now: Instant) -> Self {
        Self {
            by_name: IndexMap::new(),
            admission: Admission::new(ADMITTED_PER_SECOND, now),
            full_copies: Admission::new(FULL_COPIES_PER_SECOND, now),
            all_sent: None,
        }
    }

    /// Returns the number of children.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no children.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the stream number of a child; `None` if it is not a child.
    pub fn stream(&self, child: &DaemonName) -> Option<u64> {
        self.by_name.get(child).map(|child| child.stream)
    }

    /// Returns the lowest version in force in the subtree of a child, from its last report; `None`
    /// if it is not a child or has not reported.
    pub fn lowest_in_force(&self, child: &DaemonName) -> Option<Version> {
        self.by_name.get(child)?.summary.lowest()
    }

    /// Answers a subscription at a process of `level`.
    pub fn subscribe(&mut self, req: &Subscribe, level: u8, now: Instant) -> SubscribeReply {
        if req.level <= level {
            return SubscribeReply::WrongLevel { level };
        }
        let held = self.stream(&req.daemon);
        if held.is_some_and(|stream| stream >= req.stream) {
            // Duplicate or delayed: a new state would reuse sequence numbers of frames that the
            // child has already processed.
            return SubscribeReply::Accepted;
        }
        if held.is_none() && self.by_name.len() >= MAX_CHILDREN {
            let retry_after_ms = HEARTBEAT.as_millis() as u32;
            return SubscribeReply::Refused { retry_after_ms };
        }
        let needs_copy = req.version == Version(0);
        let admission = if needs_copy {
            &mut self.full_copies
        } else {
            &mut self.admission
        };
        if let Err(wait) = admission.admit(now) {
            let retry_after_ms = wait.as_millis() as u32 + 1;
            return SubscribeReply::Refused { retry_after_ms };
        }
        let child = Child {
            stream: req.stream,
            number: 0,
            version: req.version,
            positions: req.positions.clone(),
            summary: Summary::default(),
            last_report: now,
            next_heartbeat: now,
        };
        self.by_name.insert(req.daemon.clone(), child);
        self.all_sent = None;
        SubscribeReply::Accepted
    }

    /// Records a report; returns whether it belongs to the current stream of a child.
    pub fn report(&mut self, report: &Report, now: Instant) -> bool {
        let child = self.by_name.get_mut(&report.member.daemon);
        let Some(child) = child.filter(|child| child.stream == report.stream) else {
            return false;
        };
        if report.last_frame > child.number {
            // The child has processed frames that this process has no record of. It subscribes
            // again once it gets no more heartbeats.
            self.by_name.swap_remove(&report.member.daemon);
            return false;
        }
        if report.last_frame == child.number {
            child.version = report.version;
        }
        child.last_report = now;
        child.summary.clone_from(&report.summary);
        for delta in &report.sets {
            advance_position(&mut child.positions, delta);
        }
        if !report.sets.is_empty() {
            self.all_sent = None;
        }
        true
    }

    /// Removes a child whose stream has ended; does nothing if it has opened another stream.
    pub fn stream_ended(&mut self, child: &DaemonName, stream: u64) {
        if self.stream(child) == Some(stream) {
            self.by_name.swap_remove(child);
        }
    }

    /// Removes the children that have not reported for [`RELAY_LEASE`].
    pub fn expire(&mut self, now: Instant) {
        self.by_name
            .retain(|_, child| now < child.last_report + RELAY_LEASE);
    }

    /// Removes all children and returns their names and stream numbers.
    pub fn clear(&mut self) -> Vec<(DaemonName, u64)> {
        let children = self.by_name.drain(..);
        children.map(|(name, child)| (name, child.stream)).collect()
    }

    /// Returns the versions in force in the subtrees of the children. It names no relay in the
    /// subtree of a child that has missed a report, so that the lease of a dead process isn't renewed.
    pub fn summary(&self, now: Instant) -> Summary {
        let mut summary = Summary::default();
        for child in self.by_name.values() {
            let mut part = child.summary.clone();
            if now >= child.last_report + MISSED_REPORT_AFTER {
                part.data_centres
                    .iter_mut()
                    .for_each(|part| part.relay = None);
            }
            summary.merge(&part);
        }
        summary
    }

    /// Returns the frames that are due: changes at once, and a heartbeat each second. `detached_ms`
    /// is the time in milliseconds since the path to control was interrupted, 0 if it is intact;
    /// control always passes 0.
    ///
    /// # Errors
    /// [`crate::error::Error::TooLarge`] if a delta needs too many parts.
    pub fn frames(
        &mut self,
        store: &ConfigStore,
        directory: &Directory,
        detached_ms: u32,
        now: Instant,
    ) -> Result<Vec<(DaemonName, Update)>> {
        let mut out = Vec::new();
        let positions = directory.positions();
        let idle = |sent: &AllSent| {
            sent.version == store.version()
                && sent.positions == positions
                && now < sent.next_heartbeat
        };
        if self.all_sent.as_ref().is_some_and(idle) {
            return Ok(out);
        }
        // Most children are at the same version, so consecutive children can share a delta.
        let mut last: Option<(Version, Vec<DeltaPart>)> = None;
        for (name, child) in &mut self.by_name {
            let mut contents = Vec::new();
            if child.version < store.version() {
                let cached = last.take().filter(|(from, _)| *from == child.version);
                let (from, parts) = match cached {
                    Some(cached) => cached,
                    None => (child.version, delta_parts(store, child.version)?),
                };
                contents.extend(parts.iter().map(|part| (Some(part.clone()), Vec::new())));
                last = Some((from, parts));
                child.version = store.version();
            }
            let sets = if child.positions == positions {
                Vec::new()
            } else {
                directory.deltas_since(&child.positions)
            };
            for delta in &sets {
                advance_position(&mut child.positions, delta);
            }
            contents.extend(pack_frames(sets).into_iter().map(|sets| (None, sets)));
            let heartbeat_due = now >= child.next_heartbeat;
            if heartbeat_due && contents.is_empty() {
                contents.push((None, Vec::new()));
            }
            for (config, sets) in contents {
                child.number += 1;
                let update = Update {
                    stream: child.stream,
                    number: child.number,
                    detached_ms,
                    config,
                    sets,
                    positions: heartbeat_due.then(|| positions.clone()),
                };
                out.push((name.clone(), update));
            }
            if heartbeat_due {
                child.next_heartbeat = now + HEARTBEAT;
            }
        }
        let heartbeats = self.by_name.values().map(|child| child.next_heartbeat);
        self.all_sent = Some(AllSent {
            version: store.version(),
            positions,
            next_heartbeat: heartbeats.min().unwrap_or(now + HEARTBEAT),
        });
        Ok(out)
    }
}

fn delta_parts(store: &ConfigStore, from: Version) -> Result<Vec<DeltaPart>> {
    store.delta_since(from).map_or(Ok(Vec::new()), split_delta)
}

/// Advances the position of a set to the update that `delta` leads to, unless it is newer.
pub(super) fn advance_position(positions: &mut Vec<Position>, delta: &EndpointDelta) {
    let reached = Position {
        data_centre: delta.data_centre.clone(),
        epoch: delta.epoch,
        seq: delta.seq,
    };
    match positions
        .iter_mut()
        .find(|held| held.data_centre == delta.data_centre)
    {
        Some(held) if (held.epoch, held.seq) < (reached.epoch, reached.seq) => *held = reached,
        Some(_) => {}
        None => positions.push(reached),
    }
}

/// Groups set deltas into frames of at most [`MAX_FRAME_ENDPOINTS`], except for larger deltas.
fn pack_frames(sets: Vec<EndpointDelta>) -> Vec<Vec<EndpointDelta>> {
    let mut frames: Vec<Vec<EndpointDelta>> = Vec::new();
    let mut size = 0;
    for set in sets {
        let endpoints = set.upserts.len() + set.removed.len();
        size += endpoints;
        if let Some(frame) = frames.last_mut().filter(|_| size <= MAX_FRAME_ENDPOINTS) {
            frame.push(set);
        } else {
            frames.push(vec![set]);
            size = endpoints;
        }
    }
    frames
}
