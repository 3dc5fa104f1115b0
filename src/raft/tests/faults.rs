//! Faults of the simulated group, and the replacement of lost members.

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
    /// Crashes a replica in its next batch that has data to store.
    pub(super) fn crash(&mut self, replica: usize, crash: Crash) {
        self.nodes[replica].crash = Some(crash);
    }

    pub(super) fn stop(&mut self, replica: usize) {
        self.nodes[replica].raft = None;
        self.nodes[replica].crash = None;
    }

    pub(super) fn restart(&mut self, replica: usize) {
        let random = self.rng.random();
        let node = &mut self.nodes[replica];
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
        for replica in 0..self.nodes.len() {
            if self.nodes[replica].raft.is_none() {
                self.restart(replica);
            }
        }
    }

    /// Returns the member list of the last committed change.
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

    /// Loses the disk of a replica if the group must survive that: in each member list that is in
    /// effect at any member, only a minority of the voters may be lost. Returns whether it did so.
    pub(super) fn lose_disk(&mut self, replica: usize) -> bool {
        let id = self.nodes[replica].id;
        let committed = self.committed_members();
        let mut lists: Vec<_> = self
            .nodes
            .iter()
            .filter(|node| committed.iter().any(|member| member.id == node.id))
            .map(Node::members)
            .collect();
        lists.push(committed);
        let tolerated = lists.iter().all(|list| {
            let lost_members = list
                .iter()
                .filter(|m| m.id == id || self.lost_disks.contains(&m.id));
            let voters = list.iter().filter(|m| m.role == MemberRole::Voter);
            lost_members.count() <= voters.count().saturating_sub(1) / 2
        });
        if tolerated {
            self.lost_disks.insert(id);
            self.stop(replica);
            self.nodes[replica] = Node::new(ReplicaId(self.next_id), Stored::default());
            self.next_id += 1;
        }
        tolerated
    }

    /// Requests from each leader the next member change that replaces lost members by new
    /// identities.
    pub(super) fn repair(&mut self) {
        for replica in 0..self.nodes.len() {
            let Some(raft) = self.nodes[replica].raft.as_ref() else {
                continue;
            };
            if raft.role() != Role::Leader {
                continue;
            }
            let members = raft.members().to_vec();
            let learner = members.iter().find(|m| m.role == MemberRole::Learner);
            let lost_member = members.iter().find(|m| self.lost_disks.contains(&m.id));
            let ids = self.nodes.iter().map(|node| node.id);
            let missing = ids
                .into_iter()
                .find(|id| members.iter().all(|m| m.id != *id));
            let change = match (lost_member, missing, learner) {
                (Some(lost_member), ..) => MemberChange::Remove(lost_member.id),
                (_, Some(id), _) => MemberChange::Add(member(id)),
                (.., Some(learner)) => MemberChange::Promote(learner.id),
                _ => continue,
            };
            self.request(replica, |number| Event::Change(number, change));
        }
    }

    /// Cuts all links between the replicas in the bit mask `mask` and the others.
    pub(super) fn partition(&mut self, mask: u8) {
        self.cut_links.clear();
        let count = self.nodes.len();
        for (from, to) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))) {
            if (mask >> from) & 1 != (mask >> to) & 1 {
                self.cut_links.insert((from, to));
            }
        }
    }

    pub(super) fn cut_link(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from, to));
    }

    pub(super) fn heal(&mut self) {
        self.cut_links.clear();
    }
}
