//! The leader's side of replication: appends, snapshots, commit and confirmed reads.

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
            self.refuse_as_follower(id);
            return;
        }
        if command.len() > MAX_COMMAND {
            let reason = format!("command of {} bytes exceeds {MAX_COMMAND}", command.len());
            self.out.answers.push((id, Answer::Refused(reason)));
            return;
        }
        let index = self.append(Payload::Command(command));
        self.proposals.insert(index, id);
    }

    pub(super) fn read(&mut self, id: u64) {
        match &mut self.state {
            State::Leader(leader) => leader.waiting.push(id),
            _ => self.refuse_as_follower(id),
        }
    }

    pub(super) fn refuse_as_follower(&mut self, id: u64) {
        let answer = Answer::NotLeader(self.leader.clone());
        self.out.answers.push((id, answer));
    }

    pub(super) fn compacted(&mut self, snapshot: Snapshot) {
        let index = snapshot.at.index;
        self.snapshot = Some(snapshot);
        self.log
            .compact(index.saturating_sub(self.cfg.trailing_entries));
    }

    /// Whether a follower that answers is being sent the stored snapshot; a newer snapshot would
    /// make the transfer start again.
    pub fn is_sending_snapshot(&self, now: Instant) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        leader
            .peers
            .values()
            .any(|peer| peer.snapshot.is_some() && now < peer.heard + self.cfg.election_timeout)
    }

    /// Handles an answer to an append or a snapshot part.
    pub(super) fn handle_follower(&mut self, from: ReplicaId, reply: &Body, now: Instant) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        peer.heard = now;
        match *reply {
            Body::AppendReply {
                round,
                matched,
                rejected,
            } => {
                peer.round = peer.round.max(round);
                match rejected {
                    None => peer.acknowledged(matched.min(last)),
                    Some(prev) => peer.refused(prev, matched),
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

    /// Sends what the followers lack, within their windows.
    pub(super) fn replicate(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let mut leader = std::mem::take(leader);
        for member in self.others(false) {
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
            self.cfg.appends_in_flight
        };
        while heartbeat || (peer.next <= last && peer.in_flight.len() < limit) {
            let index = peer.next - 1;
            let Some(term) = self.log.term_at(index) else {
                return;
            };
            let window = peer.in_flight.len() < limit;
            let max_bytes = self.cfg.append_bytes;
            let entries = if window {
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
        let (offset, waits) = match peer.snapshot {
            Some((current, offset, waits)) if current == index => (offset, waits),
            _ => (0, false),
        };
        if waits && !broadcast {
            return;
        }
        let total = snapshot.data.len();
        let start = total.min(offset as usize);
        // A heartbeat asks for the wanted offset and does not repeat the part.
        let size = if waits { 0 } else { self.cfg.chunk_bytes };
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

    /// Commits what a quorum holds, up to the last entry of the leader's own term.
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
        // An entry of an earlier term may be overwritten even if a quorum holds it.
        if reached <= self.commit || self.log.term_at(reached) != Some(self.hard.term) {
            return;
        }
        self.commit = reached;
        let removed = self.log.members().0 <= reached && !self.is_voter(self.me.id);
        if removed {
            self.follow(self.hard.term, None, now, 0);
        }
    }

    /// Opens a heartbeat round for the reads that wait for one.
    pub(super) fn start_read_round(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        // Before that the leader may not know the latest commit index of earlier terms.
        if leader.waiting.is_empty() || self.commit < leader.first_index {
            return;
        }
        leader.round += 1;
        leader.broadcast = true;
        let ids = std::mem::take(&mut leader.waiting);
        leader.reads.push_back((leader.round, ids));
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
        while let Some((_, ids)) = leader.reads.pop_front_if(|(round, _)| *round <= confirmed) {
            let answers = ids.into_iter().map(|id| (id, Answer::Done));
            self.out.answers.extend(answers);
        }
    }
}

impl Progress {
    fn acknowledged(&mut self, matched: u64) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        if std::mem::take(&mut self.probing) {
            // Entries that are on their way need not be sent again.
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

    fn refused(&mut self, prev: u64, hint: u64) {
        // Answers to heartbeats that waited during a cut come in numbers; each of them would have
        // all entries sent again.
        let stale = self.probing && prev + 1 != self.next;
        if prev <= self.matched || stale {
            return;
        }
        self.probing = true;
        self.next = prev.min(hint + 1).max(self.matched + 1);
        self.in_flight.clear();
    }
}
