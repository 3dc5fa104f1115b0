//! Faults of the simulated group, and its repair.

use {
    super::{
        node::{Crash, Node},
        sim::{Sim, config, member},
    },
    crate::raft::{
        Event, Member, MemberChange, MemberRole, Payload, Raft, ReplicaId, Role, Stored,
    },
    rand::Rng as _,
};

impl Sim {
    /// Makes a replica crash in its next batch.
    pub(super) fn crash(&mut self, slot: usize, crash: Crash) {
        self.nodes[slot].crash = Some(crash);
    }

    pub(super) fn stop(&mut self, slot: usize) {
        self.nodes[slot].raft = None;
        self.nodes[slot].crash = None;
    }

    pub(super) fn restart(&mut self, slot: usize) {
        let random = self.rng.random();
        let node = &mut self.nodes[slot];
        node.load();
        let stored = node.disk.clone();
        node.raft = Some(Raft::new(
            config(),
            member(node.id),
            stored,
            self.now,
            random,
        ));
    }

    pub(super) fn restart_stopped(&mut self) {
        for slot in 0..self.nodes.len() {
            if self.nodes[slot].raft.is_none() {
                self.restart(slot);
            }
        }
    }

    /// Member list of the last committed change.
    pub(super) fn committed_members(&self) -> Vec<Member> {
        let lists = self.committed.iter().rev();
        let list = lists.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        let initial = self.nodes.len() as u64;
        list.into_iter()
            .next()
            .unwrap_or_else(|| (1..=initial).map(|id| member(ReplicaId(id))).collect())
    }

    /// Loses a disk if the group is meant to survive that: in no member list that is in force
    /// anywhere in the group, more than a minority of the voters is lost.
    pub(super) fn lose_disk(&mut self, slot: usize) -> bool {
        let id = self.nodes[slot].id;
        let committed = self.committed_members();
        let mut lists: Vec<_> = self
            .nodes
            .iter()
            .filter(|node| committed.iter().any(|member| member.id == node.id))
            .map(Node::members)
            .collect();
        lists.push(committed);
        let tolerated = lists.iter().all(|list| {
            let gone = list
                .iter()
                .filter(|m| m.id == id || self.lost.contains(&m.id));
            let voters = list.iter().filter(|m| m.role == MemberRole::Voter);
            gone.count() <= voters.count().saturating_sub(1) / 2
        });
        if tolerated {
            self.lost.insert(id);
            self.stop(slot);
            self.nodes[slot] = Node::new(ReplicaId(self.next_id), Stored::default());
            self.next_id += 1;
        }
        tolerated
    }

    /// Asks each leader for the next step that replaces lost members by new identities.
    pub(super) fn repair(&mut self) {
        for slot in 0..self.nodes.len() {
            let Some(raft) = self.nodes[slot].raft.as_ref() else {
                continue;
            };
            if raft.role() != Role::Leader {
                continue;
            }
            let members = raft.members().to_vec();
            let learner = members.iter().find(|m| m.role == MemberRole::Learner);
            let gone = members.iter().find(|m| self.lost.contains(&m.id));
            let ids = self.nodes.iter().map(|node| node.id);
            let missing = ids
                .into_iter()
                .find(|id| members.iter().all(|m| m.id != *id));
            let change = match (gone, missing, learner) {
                (Some(gone), ..) => MemberChange::Remove(gone.id),
                (_, Some(id), _) => MemberChange::Add(member(id)),
                (.., Some(learner)) => MemberChange::Promote(learner.id),
                _ => continue,
            };
            self.request(slot, |number| Event::Change(number, change));
        }
    }

    /// Cuts all links between the slots in `mask` and the others.
    pub(super) fn partition(&mut self, mask: u8) {
        self.cut.clear();
        let count = self.nodes.len();
        for (from, to) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))) {
            if (mask >> from) & 1 != (mask >> to) & 1 {
                self.cut.insert((from, to));
            }
        }
    }

    pub(super) fn cut_link(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    pub(super) fn heal(&mut self) {
        self.cut.clear();
    }
}
