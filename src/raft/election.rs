//! Elections: pre-vote, votes, check-quorum and role changes.

use {
    super::{
        Answer, Body, HardState, Leader, Member, MemberRole, Message, Payload, Position, Progress,
        Raft, ReplicaId, State,
    },
    indexmap::IndexSet,
    std::{collections::VecDeque, time::Instant},
};

impl Raft {
    pub(super) fn tick(&mut self, now: Instant, random: u64) {
        if let State::Leader(leader) = &mut self.state {
            if leader.next_heartbeat.is_none_or(|at| at <= now) {
                leader.next_heartbeat = Some(now + self.cfg.heartbeat);
                leader.broadcast = true;
            }
            if !self.has_active_quorum(now) {
                self.become_follower(self.hard.term, None, now, random);
            }
            return;
        }
        if now < self.election_deadline {
            return;
        }
        self.reset_election(now, random);
        if self.may_campaign() {
            self.campaign(true, false, now);
        }
    }

    /// Returns whether this replica may start an election. A replica whose removal is not committed
    /// yet may do so: if it holds the longest log, no other replica can be elected.
    fn may_campaign(&self) -> bool {
        let committed = self.log.members_at(self.commit).iter();
        let mut committed = committed.filter(|member| member.role == MemberRole::Voter);
        self.is_voter(self.me.id) || committed.any(|member| member.id == self.me.id)
    }

    /// Returns whether a quorum of the voters has replied within the election timeout.
    fn has_active_quorum(&self, now: Instant) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let responded = |id: &ReplicaId| {
            *id == self.me.id
                || leader
                    .peers
                    .get(id)
                    .is_some_and(|peer| now < peer.last_seen + self.cfg.election_timeout)
        };
        self.voters().filter(|member| responded(&member.id)).count() >= self.quorum()
    }

    /// Requests pre-votes; or, if `pre` is false, starts a new term and requests votes.
    fn campaign(&mut self, pre: bool, transfer: bool, now: Instant) {
        self.leader = None;
        self.last_leader_contact = None;
        let term = self.hard.term + 1;
        if !pre {
            self.set_hard(HardState {
                term,
                vote: Some(self.me.id),
                ..self.hard
            });
        }
        self.state = State::Candidate {
            pre,
            votes: IndexSet::from([self.me.id]),
        };
        let last = self.log.last();
        let body = Body::Vote {
            pre,
            transfer,
            last,
        };
        for member in self.other_members(true) {
            self.send(member, term, body.clone());
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Instant) {
        let State::Candidate { pre, votes } = &self.state else {
            return;
        };
        let granted = self.voters().filter(|m| votes.contains(&m.id)).count();
        if granted < self.quorum() {
            return;
        }
        if *pre {
            self.campaign(false, false, now);
        } else {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Instant) {
        self.leader = Some(self.me.clone());
        let mut leader = Leader {
            broadcast: true,
            next_heartbeat: Some(now + self.cfg.heartbeat),
            first_index: self.log.last().index + 1,
            ..Leader::default()
        };
        for member in self.other_members(false) {
            leader
                .peers
                .insert(member.id, Progress::new(leader.first_index, now));
        }
        self.state = State::Leader(leader);
        // Entries of earlier terms are committed only together with an entry of the leader's term.
        self.append(Payload::Empty);
    }

    /// Becomes a follower in `term`. A former leader answers its pending requests.
    pub(super) fn become_follower(
        &mut self,
        term: u64,
        leader: Option<Member>,
        now: Instant,
        random: u64,
    ) {
        if term > self.hard.term {
            self.set_hard(HardState {
                term,
                vote: None,
                ..self.hard
            });
        }
        self.leader = leader;
        let state = std::mem::replace(&mut self.state, State::Follower);
        let State::Leader(old) = state else {
            return;
        };
        self.reset_election(now, random);
        for id in self.proposals.split_off(&(self.commit + 1)).into_values() {
            self.effects.answers.push((id, Answer::Lost));
        }
        let reads = old.reads_by_round.into_iter().flat_map(|(_, ids)| ids);
        for id in reads.chain(old.pending_reads) {
            let answer = Answer::NotLeader(self.leader.clone());
            self.effects.answers.push((id, answer));
        }
    }

    /// Returns all members, or all voters, except this replica.
    pub(super) fn other_members(&self, voters_only: bool) -> Vec<Member> {
        self.members()
            .iter()
            .filter(|m| m.id != self.me.id && (!voters_only || self.is_voter(m.id)))
            .cloned()
            .collect()
    }

    pub(super) fn receive(&mut self, message: Message, now: Instant, random: u64) {
        if message.to != self.me.id || !self.check_group(&message) {
            return;
        }
        let Message { from, term, .. } = message;
        if let Body::Vote {
            pre,
            transfer,
            last,
        } = message.body
        {
            self.handle_vote_request(from, term, (pre, transfer, last), now, random);
            return;
        }
        // A granted pre-vote carries the requested term, which may not have started yet.
        let pre_granted = matches!(
            message.body,
            Body::VoteReply {
                pre: true,
                granted: true
            }
        );
        if term > self.hard.term && !pre_granted {
            self.become_follower(term, None, now, random);
        }
        match message.body {
            Body::VoteReply { pre, granted } => self.record_vote(from.id, term, pre, granted, now),
            Body::TakeOver if term == self.hard.term && self.may_campaign() => {
                self.reset_election(now, random);
                self.campaign(false, true, now);
            }
            Body::Append { .. } | Body::Chunk { .. } => {
                self.handle_leader_message(from, term, message.body, now, random);
            }
            Body::AppendReply { .. } | Body::ChunkReply { .. } if term == self.hard.term => {
                self.handle_follower_reply(from.id, &message.body, now);
            }
            _ => {}
        }
    }

    /// Returns whether the message belongs to this replica's group. A replica without a group joins
    /// that of the first leader that sends a message to its identity.
    fn check_group(&mut self, message: &Message) -> bool {
        let from_leader = matches!(message.body, Body::Append { .. } | Body::Chunk { .. });
        if self.hard.group == 0 && message.group != 0 && from_leader {
            self.set_hard(HardState {
                group: message.group,
                ..self.hard
            });
        }
        message.group == self.hard.group
    }

    fn handle_vote_request(
        &mut self,
        from: Member,
        term: u64,
        (pre, transfer, last): (bool, bool, Position),
        now: Instant,
        random: u64,
    ) {
        // A replica with a live leader ignores the request, even if its term is higher.
        if !transfer && self.has_active_leader(now) {
            return;
        }
        if !pre && term > self.hard.term {
            self.become_follower(term, None, now, random);
        }
        let is_pre_candidate = matches!(self.state, State::Candidate { pre: true, .. });
        let eligible = if pre {
            // Of two pre-candidates, the one with the more recent log continues, or with equal logs
            // the one with the lower identity. Otherwise a split vote would elect neither if only
            // a bare quorum of voters is left.
            let own_log_is_newer = !self.log.last().covers(last);
            term > self.hard.term && (!is_pre_candidate || own_log_is_newer || from.id < self.me.id)
        } else {
            term == self.hard.term && self.hard.vote.is_none_or(|id| id == from.id)
        };
        let granted = eligible && last.covers(self.log.last());
        if granted {
            // A second candidate would split the votes.
            self.reset_election(now, random);
        }
        if granted && is_pre_candidate {
            self.state = State::Follower;
        }
        if granted && !pre {
            self.set_hard(HardState {
                vote: Some(from.id),
                ..self.hard
            });
        }
        let reply_term = if pre && granted { term } else { self.hard.term };
        self.send(from, reply_term, Body::VoteReply { pre, granted });
    }

    fn has_active_leader(&self, now: Instant) -> bool {
        matches!(self.state, State::Leader(_))
            || self
                .last_leader_contact
                .is_some_and(|at| now < at + self.cfg.election_timeout)
    }

    fn record_vote(&mut self, from: ReplicaId, term: u64, pre: bool, granted: bool, now: Instant) {
        let State::Candidate { pre: own, votes } = &mut self.state else {
            return;
        };
        let requested_term = self.hard.term + u64::from(*own);
        if granted && pre == *own && term == requested_term {
            votes.insert(from);
            self.count_votes(now);
        }
    }
}

impl Progress {
    pub(super) const fn new(next: u64, now: Instant) -> Self {
        Self {
            matched: 0,
            next,
            round: 0,
            last_seen: now,
            in_flight: VecDeque::new(),
            probing: false,
            snapshot: None,
        }
    }
}
