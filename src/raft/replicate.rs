//! Replication: appends, acknowledgements, snapshots, commit and confirmed reads.

use {
    super::{
        Answer, Body, Entry, Log, MAX_COMMAND, MAX_SNAPSHOT, Member, Payload, Position, Progress,
        Raft, ReplicaId, Snapshot, State,
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

    /// Handles an append or a snapshot part.
    pub(super) fn handle_leader(
        &mut self,
        from: Member,
        term: u64,
        body: Body,
        now: Instant,
        random: u64,
    ) {
        if term < self.hard.term {
            // The higher term in the answer makes a deposed leader step down.
            let (round, matched, rejected) = (0, 0, Some(0));
            let reply = Body::AppendReply {
                round,
                matched,
                rejected,
            };
            self.send(from, self.hard.term, reply);
            return;
        }
        if matches!(self.state, State::Leader(_)) {
            return;
        }
        self.follow(term, Some(from.clone()), now, random);
        self.leader_heard = Some(now);
        self.reset_election(now, random);
        let reply = match body {
            Body::Append {
                prev,
                entries,
                commit,
                round,
            } => self.accept(prev, entries, commit, round),
            Body::Chunk {
                at,
                members,
                total,
                offset,
                data,
                round,
            } => {
                let snapshot = Snapshot { at, members, data };
                self.receive_chunk(snapshot, total, offset, round)
            }
            _ => None,
        };
        if let Some(reply) = reply {
            self.send(from, term, reply);
        }
    }

    fn accept(
        &mut self,
        prev: Position,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) -> Option<Body> {
        let in_order = entries
            .iter()
            .zip(prev.index + 1..)
            .all(|(entry, index)| entry.at.index == index);
        if !in_order {
            return None;
        }
        // What is committed here equals the leader's log, also where it is compacted away.
        if prev.index > self.commit && self.log.term_at(prev.index) != Some(prev.term) {
            let last = self.log.last().index;
            let matched = if prev.index > last {
                last
            } else {
                self.log.start_of_term(prev.index) - 1
            };
            let rejected = Some(prev.index);
            return Some(Body::AppendReply {
                round,
                matched,
                rejected,
            });
        }
        let matched = prev.index + entries.len() as u64;
        for entry in entries {
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        let rejected = None;
        Some(Body::AppendReply {
            round,
            matched,
            rejected,
        })
    }

    fn accept_entry(&mut self, entry: Entry) {
        let index = entry.at.index;
        if index <= self.commit || self.log.term_at(index) == Some(entry.at.term) {
            return;
        }
        if index <= self.log.last().index {
            self.log.truncate(index - 1);
        }
        self.mark_dirty(index);
        self.log.append(entry);
    }

    fn receive_chunk(
        &mut self,
        part: Snapshot,
        total: u64,
        offset: u64,
        round: u64,
    ) -> Option<Body> {
        let at = part.at;
        let done = Body::AppendReply {
            round,
            matched: at.index,
            rejected: None,
        };
        if at.index <= self.commit {
            return Some(done);
        }
        if total > MAX_SNAPSHOT {
            return None;
        }
        let mut buf = match self.incoming.take() {
            Some((current, buf)) if current == at => buf,
            _ => Vec::new(),
        };
        let end = offset.saturating_add(part.data.len() as u64);
        if offset == buf.len() as u64 && end <= total {
            buf.extend_from_slice(&part.data);
        }
        if buf.len() as u64 == total {
            let data = Bytes::from(buf);
            self.install(Snapshot { data, ..part });
            return Some(done);
        }
        let reply = Body::ChunkReply {
            round,
            index: at.index,
            offset: buf.len() as u64,
        };
        self.incoming = Some((at, buf));
        Some(reply)
    }

    fn install(&mut self, snapshot: Snapshot) {
        let at = snapshot.at;
        if self.log.term_at(at.index) == Some(at.term) {
            self.log.compact(at.index);
            if self.dirty_from.is_some_and(|from| from <= at.index) {
                // The stored log lacks the entry at the snapshot, so it is written anew.
                self.out.reset = Some(at);
                self.dirty_from = Some(at.index + 1);
            }
        } else {
            self.log = Log::new(at, snapshot.members.clone());
            self.out.reset = Some(at);
            self.dirty_from = None;
        }
        self.commit = at.index;
        self.applied = at.index;
        self.snapshot = Some(snapshot.clone());
        self.out.install = Some(snapshot);
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
        while heartbeat || (peer.next <= last && peer.in_flight.len() < self.cfg.appends_in_flight)
        {
            let index = peer.next - 1;
            let Some(term) = self.log.term_at(index) else {
                return;
            };
            let window = peer.in_flight.len() < self.cfg.appends_in_flight;
            let max_bytes = self.cfg.append_bytes;
            let entries = if window {
                self.log.slice(peer.next, max_bytes)
            } else {
                Vec::new()
            };
            if let Some(entry) = entries.last() {
                peer.next = entry.at.index + 1;
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
        let end = total.min(start + self.cfg.chunk_bytes);
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
        if prev <= self.matched {
            return;
        }
        self.next = prev.min(hint + 1).max(self.matched + 1);
        self.in_flight.clear();
    }
}
