//! A replica with a simulated disk.

use crate::raft::{Effects, Member, Payload, Raft, ReplicaId, Stored};

/// A crash in the next batch that has data to store.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    /// Whether the batch was stored and synced before the crash.
    pub(super) synced: bool,
    /// Whether the process restarts immediately.
    pub(super) restart: bool,
}

#[derive(Debug)]
pub(super) struct Node {
    pub(super) id: ReplicaId,
    pub(super) disk: Stored,
    /// `None` while the process is down.
    pub(super) raft: Option<Raft>,
    /// State machine: the bytes of all applied commands.
    pub(super) state: Vec<u8>,
    pub(super) applied: u64,
    pub(super) crash: Option<Crash>,
}

impl Node {
    pub(super) fn new(id: ReplicaId, disk: Stored) -> Self {
        Self {
            id,
            disk,
            raft: None,
            state: Vec::new(),
            applied: 0,
            crash: None,
        }
    }

    /// Loads the state machine from the stored snapshot.
    pub(super) fn load(&mut self) {
        let snapshot = self.disk.snapshot.clone().unwrap_or_default();
        self.state = snapshot.data.to_vec();
        self.applied = snapshot.at.index;
    }

    pub(super) fn save(&mut self, effects: &Effects) {
        let disk = &mut self.disk;
        if let Some(snapshot) = &effects.install {
            disk.entries
                .retain(|entry| entry.at.index > snapshot.at.index);
            disk.snapshot = Some(snapshot.clone());
        }
        if effects.reset.is_some() {
            disk.entries.clear();
        }
        disk.hard = effects.hard.unwrap_or(disk.hard);
        if let Some(first) = effects.entries.first() {
            disk.entries.retain(|entry| entry.at.index < first.at.index);
            disk.entries.extend_from_slice(&effects.entries);
        }
    }

    pub(super) fn summary(&self) -> String {
        let raft = self.raft.as_ref();
        let members = self.members();
        let members = members.iter().map(|m| format!("{} {}", m.id.0, m.role));
        format!(
            "{}: {:?}, last {:?}, applied {}, {:?}, members {:?}",
            self.id.0,
            raft.map(Raft::role),
            raft.map(Raft::last),
            self.applied,
            self.disk.hard,
            members.collect::<Vec<_>>(),
        )
    }

    /// Returns the latest member list of this replica, also while it is down.
    pub(super) fn members(&self) -> Vec<Member> {
        if let Some(raft) = &self.raft {
            return raft.members().to_vec();
        }
        let latest = self
            .disk
            .entries
            .iter()
            .rev()
            .find_map(|e| match &e.payload {
                Payload::Members(members) => Some(members.clone()),
                _ => None,
            });
        let snapshot = self.disk.snapshot.as_ref();
        latest.unwrap_or_else(|| snapshot.map(|s| s.members.clone()).unwrap_or_default())
    }
}
