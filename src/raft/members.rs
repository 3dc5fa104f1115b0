//! Membership changes, one at a time, and leadership transfer.

use {
    super::{
        Answer, Body, MAX_MEMBERS, MAX_NAME, Member, MemberChange, MemberRole, Payload, Progress,
        Raft, ReplicaId, State,
    },
    std::time::Instant,
};

/// Maximum number of entries that a learner may lag when it is promoted. It receives them within
/// one append, while waiting for an exact match would never end under continuous proposals.
const MAX_PROMOTION_LAG: u64 = 256;

impl Raft {
    pub(super) fn change(&mut self, id: u64, change: MemberChange, now: Instant) {
        if !matches!(self.state, State::Leader(_)) {
            self.answer_not_leader(id);
            return;
        }
        match self.changed_members(change, now) {
            Ok(members) => {
                let index = self.append(Payload::Members(members));
                self.proposals.insert(index, id);
                self.update_peers(now);
            }
            Err(reason) => self.effects.answers.push((id, Answer::Refused(reason))),
        }
    }

    /// Returns the member list after `change`, or the reason why the change is refused.
    fn changed_members(&self, change: MemberChange, now: Instant) -> Result<Vec<Member>, String> {
        let State::Leader(leader) = &self.state else {
            return Err("this replica is not the leader".to_owned());
        };
        // Quorums of lists that differ by one voter overlap; after two changes they may not.
        if self.commit < leader.first_index.max(self.log.members().0) {
            return Err("another change is not committed yet".to_owned());
        }
        let mut members = self.members().to_vec();
        match change {
            MemberChange::Add(member) => {
                check_new_member(&members, &member)?;
                members.push(Member {
                    role: MemberRole::Learner,
                    ..member
                });
            }
            MemberChange::Promote(id) => {
                let member = find_member(&mut members, id)?;
                if member.role == MemberRole::Voter {
                    return Err(format!("member {id} is already a voter"));
                }
                member.role = MemberRole::Voter;
                let peer = leader.peers.get(&id);
                let caught_up = peer.is_some_and(|peer| {
                    now < peer.last_seen + self.cfg.election_timeout
                        && peer.matched > 0
                        && peer.matched + MAX_PROMOTION_LAG >= self.log.last().index
                });
                if !caught_up {
                    return Err(format!("member {id} has not caught up"));
                }
            }
            MemberChange::Remove(id) => {
                find_member(&mut members, id)?;
                members.retain(|member| member.id != id);
                if members.iter().all(|m| m.role == MemberRole::Learner) {
                    return Err(format!("member {id} is the last voter"));
                }
            }
        }
        Ok(members)
    }

    fn update_peers(&mut self, now: Instant) {
        let next = self.log.last().index;
        let others = self.other_members(false);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader
            .peers
            .retain(|id, _| others.iter().any(|member| member.id == *id));
        for member in others {
            leader
                .peers
                .entry(member.id)
                .or_insert_with(|| Progress::new(next, now));
        }
    }

    pub(super) fn transfer(&mut self, id: u64, to: ReplicaId) {
        let State::Leader(leader) = &self.state else {
            self.answer_not_leader(id);
            return;
        };
        let last = self.log.last().index;
        let ready = leader
            .peers
            .get(&to)
            .is_some_and(|peer| peer.matched == last);
        let member = self.voters().find(|member| member.id == to).cloned();
        let Some(member) = member.filter(|_| ready) else {
            let reason = format!("member {to} is not a voter that has caught up");
            self.effects.answers.push((id, Answer::Refused(reason)));
            return;
        };
        self.send(member, self.hard.term, Body::TakeOver);
        self.effects.answers.push((id, Answer::Done));
    }
}

fn check_new_member(members: &[Member], member: &Member) -> Result<(), String> {
    if member.id == ReplicaId::default() {
        return Err("member identity must not be 0".to_owned());
    }
    if members.iter().any(|other| other.id == member.id) {
        return Err(format!("member {} already exists", member.id));
    }
    if members.len() >= MAX_MEMBERS {
        return Err(format!(
            "the group already has the maximum of {MAX_MEMBERS} members"
        ));
    }
    if member.name.len() > MAX_NAME {
        return Err(format!(
            "member name of {} bytes exceeds the maximum of {MAX_NAME} bytes",
            member.name.len()
        ));
    }
    Ok(())
}

fn find_member(members: &mut [Member], id: ReplicaId) -> Result<&mut Member, String> {
    members
        .iter_mut()
        .find(|member| member.id == id)
        .ok_or_else(|| format!("member {id} does not exist"))
}
