//! The children of one process: what each has been sent, and what it has reported.

use {
    super::{
        ADMITTED_PER_SECOND, Admission, COPIES_PER_SECOND, HEARTBEAT, RELAY_LEASE, Report,
        SUSPECT_AFTER, Subscribe, SubscribeReply, Summary, Update,
    },
    crate::{
        endpoints::{Directory, EndpointDelta, Position},
        error::Result,
        model::{DaemonName, Version},
        versions::{ConfigStore, DeltaPart, split},
    },
    indexmap::IndexMap,
    std::time::Instant,
};

/// Most children of one process.
const MAX_CHILDREN: usize = 1_024;

/// Most endpoints in one frame.
const MAX_FRAME_ENDPOINTS: usize = crate::endpoints::MAX_ENDPOINTS;

/// Children of control or of a relay.
#[derive(Clone, Debug)]
pub struct Children {
    by_name: IndexMap<DaemonName, Child>,
    admission: Admission,
    copies: Admission,
    served: Option<Served>,
}

/// What all children have been sent, so that a call that has nothing to send costs the same for
/// any number of children.
#[derive(Clone, Debug)]
struct Served {
    version: Version,
    positions: Vec<Position>,
    /// When the next heartbeat is due.
    heartbeat: Instant,
}

#[derive(Clone, Debug)]
struct Child {
    stream: u64,
    number: u64,
    version: Version,
    positions: Vec<Position>,
    summary: Summary,
    /// When the child last reported.
    reported: Instant,
    heartbeat: Instant,
}

impl Children {
    /// No children yet.
    pub fn new(now: Instant) -> Self {
        Self {
            by_name: IndexMap::new(),
            admission: Admission::new(ADMITTED_PER_SECOND, now),
            copies: Admission::new(COPIES_PER_SECOND, now),
            served: None,
        }
    }

    /// Number of children.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no children.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Stream of a child.
    pub fn stream(&self, child: &DaemonName) -> Option<u64> {
        self.by_name.get(child).map(|child| child.stream)
    }

    /// Lowest version in force at and below a child, as it last reported.
    pub fn in_force(&self, child: &DaemonName) -> Option<Version> {
        self.by_name.get(child)?.summary.lowest()
    }

    /// Answers a subscription at a process of `level`.
    pub fn subscribe(&mut self, req: &Subscribe, level: u8, now: Instant) -> SubscribeReply {
        if req.level <= level {
            return SubscribeReply::WrongLevel { level };
        }
        let held = self.stream(&req.daemon);
        if held.is_some_and(|stream| stream >= req.stream) {
            // Repeated or late: starting over would number frames that the child has seen.
            return SubscribeReply::Accepted;
        }
        if held.is_none() && self.by_name.len() >= MAX_CHILDREN {
            let retry_after_ms = HEARTBEAT.as_millis() as u32;
            return SubscribeReply::Refused { retry_after_ms };
        }
        let empty = req.version == Version(0);
        let admission = if empty {
            &mut self.copies
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
            reported: now,
            heartbeat: now,
        };
        self.by_name.insert(req.daemon.clone(), child);
        self.served = None;
        SubscribeReply::Accepted
    }

    /// Takes a report; returns whether it belongs to the stream of a child.
    pub fn report(&mut self, report: &Report, now: Instant) -> bool {
        let child = self.by_name.get_mut(&report.member.daemon);
        let Some(child) = child.filter(|child| child.stream == report.stream) else {
            return false;
        };
        if report.seen > child.number {
            // The child has seen frames of a stream that was forgotten here; it subscribes again
            // once this process is silent.
            self.by_name.swap_remove(&report.member.daemon);
            return false;
        }
        if report.seen == child.number {
            child.version = report.version;
        }
        child.reported = now;
        child.summary.clone_from(&report.summary);
        for delta in &report.sets {
            note(&mut child.positions, delta);
        }
        if !report.sets.is_empty() {
            self.served = None;
        }
        true
    }

    /// Removes a child whose stream has ended.
    pub fn lost(&mut self, child: &DaemonName, stream: u64) {
        if self.stream(child) == Some(stream) {
            self.by_name.swap_remove(child);
        }
    }

    /// Removes the children that have not reported for [`RELAY_LEASE`].
    pub fn expire(&mut self, now: Instant) {
        self.by_name
            .retain(|_, child| now < child.reported + RELAY_LEASE);
    }

    /// Removes all children and returns their names and streams.
    pub fn clear(&mut self) -> Vec<(DaemonName, u64)> {
        let children = self.by_name.drain(..);
        children.map(|(name, child)| (name, child.stream)).collect()
    }

    /// Versions in force at and below the children. A relay that has missed a report is not
    /// named, so that its lease isn't renewed on behalf of a dead process.
    pub fn summary(&self, now: Instant) -> Summary {
        let mut summary = Summary::default();
        for child in self.by_name.values() {
            let mut part = child.summary.clone();
            if now >= child.reported + SUSPECT_AFTER {
                part.data_centres
                    .iter_mut()
                    .for_each(|part| part.relay = None);
            }
            summary.merge(&part);
        }
        summary
    }

    /// The frames that are due: changes at once, and a heartbeat each second. `detached_ms` is
    /// how long the way from control is interrupted; a control leader passes the time since its
    /// group last confirmed it, if that is more than an election takes.
    ///
    /// # Errors
    /// [`crate::error::Error::TooLarge`] when a delta needs too many parts.
    pub fn frames(
        &mut self,
        store: &ConfigStore,
        directory: &Directory,
        detached_ms: u32,
        now: Instant,
    ) -> Result<Vec<(DaemonName, Update)>> {
        let mut out = Vec::new();
        let positions = directory.positions();
        let idle = |served: &Served| {
            served.version == store.version()
                && served.positions == positions
                && now < served.heartbeat
        };
        if self.served.as_ref().is_some_and(idle) {
            return Ok(out);
        }
        // Children are mostly at one version, so one delta serves many.
        let mut last: Option<(Version, Vec<DeltaPart>)> = None;
        for (name, child) in &mut self.by_name {
            let mut bodies = Vec::new();
            if child.version < store.version() {
                let cached = last.take().filter(|(from, _)| *from == child.version);
                let (from, parts) = match cached {
                    Some(cached) => cached,
                    None => (child.version, parts(store, child.version)?),
                };
                bodies.extend(parts.iter().map(|part| (Some(part.clone()), Vec::new())));
                last = Some((from, parts));
                child.version = store.version();
            }
            let sets = if child.positions == positions {
                Vec::new()
            } else {
                directory.deltas_since(&child.positions)
            };
            for delta in &sets {
                note(&mut child.positions, delta);
            }
            bodies.extend(pack(sets).into_iter().map(|sets| (None, sets)));
            let beat = now >= child.heartbeat;
            if beat && bodies.is_empty() {
                bodies.push((None, Vec::new()));
            }
            for (config, sets) in bodies {
                child.number += 1;
                let update = Update {
                    stream: child.stream,
                    number: child.number,
                    detached_ms,
                    config,
                    sets,
                    positions: beat.then(|| positions.clone()),
                };
                out.push((name.clone(), update));
            }
            if beat {
                child.heartbeat = now + HEARTBEAT;
            }
        }
        let heartbeats = self.by_name.values().map(|child| child.heartbeat);
        self.served = Some(Served {
            version: store.version(),
            positions,
            heartbeat: heartbeats.min().unwrap_or(now + HEARTBEAT),
        });
        Ok(out)
    }
}

fn parts(store: &ConfigStore, from: Version) -> Result<Vec<DeltaPart>> {
    store.delta_since(from).map_or(Ok(Vec::new()), split)
}

/// Notes that a process holds what `delta` leads to, unless it holds a newer set.
pub(super) fn note(positions: &mut Vec<Position>, delta: &EndpointDelta) {
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

/// Packs sets into frames of bounded size.
fn pack(sets: Vec<EndpointDelta>) -> Vec<Vec<EndpointDelta>> {
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
