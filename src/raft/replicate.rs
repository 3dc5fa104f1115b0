//! Leader side of replication: appends, snapshots, commit and linearizable reads.

use {
    super::{
        Answer, Body, MAX_COMMAND, Member, Payload, Position, Progress, Raft, ReplicaId, Snapshot,
        State,
    },
    bytes::Bytes,
    std::time::Instant,
};

impl Raft {
    pub(super) fn propose(&mut self, id: u64, command: Bytes) {
        if !matches!(self.state, State::Leader(_)) {
            self.answer_not_leader(id);
            return;
        }
        if command.len() > MAX_COMMAND {
            let reason = format!(
                "command of {} bytes exceeds the maximum of {MAX_COMMAND} bytes",
                command.len()
            );
            self.effects.answers.push((id, Answer::Refused(reason)));
            return;
        }
        let index = self.append(Payload::Command(command));
        self.proposals.insert(index, id);
    }

    pub(super) fn propose_after(&mut self, id: u64, command: Bytes, index: u64) {
        let is_leader = matches!(self.state, State::Leader(_));
        if is_leader && self.log.last().index != index {
            self.effects.answers.push((id, Answer::Superseded));
            return;
        }
        self.propose(id, command);
    }

    pub(super) fn read(&mut self, id: u64) {
        match &mut self.state {
            State::Leader(leader) => leader.pending_reads.push(id),
            _ => self.answer_not_leader(id),
        }
    }

    pub(super) fn answer_not_leader(&mut self, id: u64) {
        let answer = Answer::NotLeader(self.leader.clone());
        self.effects.answers.push((id, answer));
    }

    pub(super) fn handle_snapshot_stored(&mut self, snapshot: Snapshot) {
        let index = snapshot.at.index;
        self.snapshot = Some(snapshot);
        self.log
            .compact(index.saturating_sub(self.cfg.trailing_entries));
    }

    /// Returns whether the stored snapshot is being sent to a responsive follower. A newer snapshot
    /// would restart the transfer.
    pub fn is_sending_snapshot(&self, now: Instant) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        leader
            .peers
            .values()
            .any(|peer| peer.snapshot.is_some() && now < peer.last_seen + self.cfg.election_timeout)
    }

    /// Processes a reply to an append or a part of a snapshot.
    pub(super) fn handle_follower_reply(&mut self, from: ReplicaId, reply: &Body, now: Instant) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        peer.last_seen = now;
        match *reply {
            Body::AppendReply {
                round,
                matched,
                rejected,
            } => {
                peer.round = peer.round.max(round);
                match rejected {
                    None => peer.handle_acknowledgement(matched.min(last)),
                    Some(prev) => peer.handle_rejection(prev, matched),
                }
            }
            Body::ChunkReply {
                round,
                index,
                offset,
            } => {
                peer.round = peer.round.max(round);
                if peer.snapshot.is_some_and(|(current, ..)| current == index) {
                    peer.snapshot = Some((index, offset, false));
                }
            }
            _ => {}
        }
    }

    /// Sends missing entries or snapshot parts to the followers, up to the limit in flight.
    pub(super) fn replicate(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let mut leader = std::mem::take(leader);
        for member in self.other_members(false) {
            let Some(peer) = leader.peers.get_mut(&member.id) else {
                continue;
            };
            if peer.snapshot.is_none() && self.log.term_at(peer.next - 1).is_none() {
                peer.snapshot = Some((0, 0, false));
            }
            if peer.snapshot.is_some() {
                self.send_chunk(member, peer, leader.round, leader.broadcast);
            } else {
                self.send_entries(&member, peer, leader.round, leader.broadcast);
            }
        }
        leader.broadcast = false;
        self.state = State::Leader(leader);
    }

    fn send_entries(&mut self, to: &Member, peer: &mut Progress, round: u64, mut heartbeat: bool) {
        let last = self.log.last().index;
        let limit = if peer.probing {
            1
        } else {
            self.cfg.max_appends_in_flight
        };
        while heartbeat || (peer.next <= last && peer.in_flight.len() < limit) {
            let index = peer.next - 1;
            let Some(term) = self.log.term_at(index) else {
                return;
            };
            let window_open = peer.in_flight.len() < limit;
            let max_bytes = self.cfg.max_append_bytes;
            let entries = if window_open {
                self.log.slice(peer.next, max_bytes)
            } else {
                Vec::new()
            };
            if let Some(entry) = entries.last() {
                if !peer.probing {
                    peer.next = entry.at.index + 1;
                }
                peer.in_flight.push_back(entry.at.index);
            }
            heartbeat = false;
            let prev = Position { index, term };
            let commit = self.commit;
            let body = Body::Append {
                prev,
                entries,
                commit,
                round,
            };
            self.send(to.clone(), self.hard.term, body);
        }
    }

    fn send_chunk(&mut self, to: Member, peer: &mut Progress, round: u64, broadcast: bool) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let index = snapshot.at.index;
        let (offset, unacknowledged) = match peer.snapshot {
            Some((current, offset, unacknowledged)) if current == index => (offset, unacknowledged),
            _ => (0, false),
        };
        if unacknowledged && !broadcast {
            return;
        }
        let total = snapshot.data.len();
        let start = total.min(offset as usize);
        // A heartbeat sends an empty part instead of repeating an unacknowledged one; the reply
        // contains the offset that the follower needs.
        let size = if unacknowledged {
            0
        } else {
            self.cfg.max_chunk_bytes
        };
        let end = total.min(start + size);
        peer.snapshot = Some((index, start as u64, true));
        let body = Body::Chunk {
            at: snapshot.at,
            members: snapshot.members.clone(),
            total: total as u64,
            offset: start as u64,
            data: snapshot.data.slice(start..end),
            round,
        };
        self.send(to, self.hard.term, body);
    }

    /// Advances the commit index to the last index on a quorum if that entry is of the current
    /// term.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let last = self.log.last().index;
        let reached = self.reached_by_quorum(|id| {
            if id == self.me.id {
                return last;
            }
            leader.peers.get(&id).map_or(0, |peer| peer.matched)
        });
        // An entry of an earlier term can be overwritten even if it is on a quorum.
        if reached <= self.commit || self.log.term_at(reached) != Some(self.hard.term) {
            return;
        }
        self.commit = reached;
        let removed = self.log.members().0 <= reached && !self.is_voter(self.me.id);
        if removed {
            self.become_follower(self.hard.term, None, now, 0);
        }
    }

    /// Starts a heartbeat round for the pending reads.
    pub(super) fn start_read_round(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        // Until the first entry of its term is committed, the leader may not know the latest commit
        // index of earlier terms.
        if leader.pending_reads.is_empty() || self.commit < leader.first_index {
            return;
        }
        leader.round += 1;
        leader.broadcast = true;
        let ids = std::mem::take(&mut leader.pending_reads);
        leader.reads_by_round.push_back((leader.round, ids));
    }

    pub(super) fn release_reads(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let confirmed = self.reached_by_quorum(|id| {
            if id == self.me.id {
                return leader.round;
            }
            leader.peers.get(&id).map_or(0, |peer| peer.round)
        });
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        while let Some((_, ids)) = leader
            .reads_by_round
            .pop_front_if(|(round, _)| *round <= confirmed)
        {
            let answers = ids.into_iter().map(|id| (id, Answer::Done));
            self.effects.answers.extend(answers);
        }
    }
}

impl Progress {
    fn handle_acknowledgement(&mut self, matched: u64) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        if std::mem::take(&mut self.probing) {
            // Entries in flight need not be sent again.
            let sent = self.in_flight.back().map_or(0, |end| end + 1);
            self.next = self.next.max(sent);
        }
        while self
            .in_flight
            .pop_front_if(|end| *end <= self.matched)
            .is_some()
        {}
        if self
            .snapshot
            .is_some_and(|(index, ..)| index <= self.matched)
        {
            self.snapshot = None;
        }
    }

    fn handle_rejection(&mut self, prev: u64, hint: u64) {
        // Replies to heartbeats that were delayed by a network partition arrive together; without
        // this check each of them would resend all entries.
        let stale = self.probing && prev + 1 != self.next;
        if prev <= self.matched || stale {
            return;
        }
        self.probing = true;
        self.next = prev.min(hint + 1).max(self.matched + 1);
        self.in_flight.clear();
    }
}
