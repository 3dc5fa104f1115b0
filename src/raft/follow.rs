//! Follower side of replication: entries and snapshots from the leader.

use {
    super::{Body, Entry, Log, MAX_SNAPSHOT, Member, Position, Raft, Snapshot, State},
    bytes::Bytes,
    std::time::Instant,
};

impl Raft {
    /// Processes an append or a part of a snapshot.
    pub(super) fn handle_leader_message(
        &mut self,
        from: Member,
        term: u64,
        body: Body,
        now: Instant,
        random: u64,
    ) {
        if term < self.hard.term {
            // The higher term in the reply makes the deposed leader step down.
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
        self.become_follower(term, Some(from.clone()), now, random);
        self.last_leader_contact = Some(now);
        self.reset_election(now, random);
        let reply = match body {
            Body::Append {
                prev,
                entries,
                commit,
                round,
            } => self.handle_append(prev, entries, commit, round),
            Body::Chunk {
                at,
                members,
                total,
                offset,
                data,
                round,
            } => {
                let snapshot = Snapshot { at, members, data };
                self.handle_chunk(snapshot, total, offset, round)
            }
            _ => None,
        };
        if let Some(reply) = reply {
            self.send(from, term, reply);
        }
    }

    fn handle_append(
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
        // Entries that are committed here equal the leader's, even if they are compacted away.
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
            self.append_received(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        let rejected = None;
        Some(Body::AppendReply {
            round,
            matched,
            rejected,
        })
    }

    fn append_received(&mut self, entry: Entry) {
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

    fn handle_chunk(
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
        let mut buf = match self.incoming_snapshot.take() {
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
        self.incoming_snapshot = Some((at, buf));
        Some(reply)
    }

    fn install(&mut self, snapshot: Snapshot) {
        let at = snapshot.at;
        if self.log.term_at(at.index) == Some(at.term) {
            self.log.compact(at.index);
            if self.dirty_from.is_some_and(|from| from <= at.index) {
                // The entry at the snapshot's position is not stored yet, so the stored log is
                // rewritten from that position on.
                self.effects.reset = Some(at);
                self.dirty_from = Some(at.index + 1);
            }
        } else {
            self.log = Log::new(at, snapshot.members.clone());
            self.effects.reset = Some(at);
            self.dirty_from = None;
        }
        self.commit = at.index;
        self.applied = at.index;
        self.snapshot = Some(snapshot.clone());
        self.effects.install = Some(snapshot);
    }
}
