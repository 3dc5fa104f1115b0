//! Elections: pre-vote, votes, check-quorum and changes of role.

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
            if leader.heartbeat_at.is_none_or(|at| at <= now) {
                leader.heartbeat_at = Some(now + self.cfg.heartbeat);
                leader.broadcast = true;
            }
            if !self.hears_quorum(now) {
                self.follow(self.hard.term, None, now, random);
            }
            return;
        }
        if now < self.election_at {
            return;
        }
        self.reset_election(now, random);
        if self.may_campaign() {
            self.campaign(true, false, now);
        }
    }

    /// A replica whose removal is not committed yet still stands for election: it may hold the
    /// longest log, so that no other replica can be elected.
    fn may_campaign(&self) -> bool {
        let committed = self.log.members_at(self.commit).iter();
        let mut committed = committed.filter(|member| member.role == MemberRole::Voter);
        self.is_voter(self.me.id) || committed.any(|member| member.id == self.me.id)
    }

    /// Whether the voters that answered within the election timeout are a quorum.
    fn hears_quorum(&self, now: Instant) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let heard = |id: &ReplicaId| {
            *id == self.me.id
                || leader
                    .peers
                    .get(id)
                    .is_some_and(|peer| now < peer.heard + self.cfg.election_timeout)
        };
        self.voters().filter(|member| heard(&member.id)).count() >= self.quorum()
    }

    /// Asks for pre-votes, or starts a term and asks for votes.
    fn campaign(&mut self, pre: bool, transfer: bool, now: Instant) {
        self.leader = None;
        self.leader_heard = None;
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
        for member in self.others(true) {
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
            self.lead(now);
        }
    }

    fn lead(&mut self, now: Instant) {
        self.leader = Some(self.me.clone());
        let mut leader = Leader {
            broadcast: true,
            heartbeat_at: Some(now + self.cfg.heartbeat),
            first_index: self.log.last().index + 1,
            ..Leader::default()
        };
        for member in self.others(false) {
            leader
                .peers
                .insert(member.id, Progress::new(leader.first_index, now));
        }
        self.state = State::Leader(leader);
        // An entry of its own term lets the leader commit the entries of earlier terms.
        self.append(Payload::Empty);
    }

    /// Becomes a follower in `term`; requests that wait are answered.
    pub(super) fn follow(&mut self, term: u64, leader: Option<Member>, now: Instant, random: u64) {
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
            self.out.answers.push((id, Answer::Lost));
        }
        let reads = old.reads.into_iter().flat_map(|(_, ids)| ids);
        for id in reads.chain(old.waiting) {
            let answer = Answer::NotLeader(self.leader.clone());
            self.out.answers.push((id, answer));
        }
    }

    /// Members other than this replica.
    pub(super) fn others(&self, voters_only: bool) -> Vec<Member> {
        self.members()
            .iter()
            .filter(|m| m.id != self.me.id && (!voters_only || self.is_voter(m.id)))
            .cloned()
            .collect()
    }

    pub(super) fn message(&mut self, message: Message, now: Instant, random: u64) {
        if message.to != self.me.id || !self.same_group(&message) {
            return;
        }
        let Message { from, term, .. } = message;
        if let Body::Vote {
            pre,
            transfer,
            last,
        } = message.body
        {
            self.vote_requested(from, term, (pre, transfer, last), now, random);
            return;
        }
        // A granted pre-vote names the term that was asked for, which nobody has started yet.
        let pre_granted = matches!(
            message.body,
            Body::VoteReply {
                pre: true,
                granted: true
            }
        );
        if term > self.hard.term && !pre_granted {
            self.follow(term, None, now, random);
        }
        match message.body {
            Body::VoteReply { pre, granted } => self.vote_replied(from.id, term, pre, granted, now),
            Body::TakeOver if term == self.hard.term && self.may_campaign() => {
                self.reset_election(now, random);
                self.campaign(false, true, now);
            }
            Body::Append { .. } | Body::Chunk { .. } => {
                self.handle_leader(from, term, message.body, now, random);
            }
            Body::AppendReply { .. } | Body::ChunkReply { .. } if term == self.hard.term => {
                self.handle_follower(from.id, &message.body, now);
            }
            _ => {}
        }
    }

    /// Whether the message is of this replica's group. A new replica joins the group of the first
    /// leader that addresses its identity.
    fn same_group(&mut self, message: &Message) -> bool {
        let leads = matches!(message.body, Body::Append { .. } | Body::Chunk { .. });
        if self.hard.group == 0 && message.group != 0 && leads {
            self.set_hard(HardState {
                group: message.group,
                ..self.hard
            });
        }
        message.group == self.hard.group
    }

    fn vote_requested(
        &mut self,
        from: Member,
        term: u64,
        (pre, transfer, last): (bool, bool, Position),
        now: Instant,
        random: u64,
    ) {
        // A replica that hears a live leader keeps it, whatever term a candidate names.
        if !transfer && self.hears_leader(now) {
            return;
        }
        if !pre && term > self.hard.term {
            self.follow(term, None, now, random);
        }
        let rival = matches!(self.state, State::Candidate { pre: true, .. });
        let current = if pre {
            // Of two that ask each other, the one with the longer log goes on, or else the one with
            // the lower identity: where just a quorum is left, a split vote elects nobody.
            let longer = !self.log.last().covers(last);
            term > self.hard.term && (!rival || longer || from.id < self.me.id)
        } else {
            term == self.hard.term && self.hard.vote.is_none_or(|id| id == from.id)
        };
        let granted = current && last.covers(self.log.last());
        if granted {
            // Lets the candidate finish: a rival would split the votes.
            self.reset_election(now, random);
        }
        if granted && rival {
            self.state = State::Follower;
        }
        if granted && !pre {
            self.set_hard(HardState {
                vote: Some(from.id),
                ..self.hard
            });
        }
        let answer_term = if pre && granted { term } else { self.hard.term };
        self.send(from, answer_term, Body::VoteReply { pre, granted });
    }

    fn hears_leader(&self, now: Instant) -> bool {
        matches!(self.state, State::Leader(_))
            || self
                .leader_heard
                .is_some_and(|at| now < at + self.cfg.election_timeout)
    }

    fn vote_replied(&mut self, from: ReplicaId, term: u64, pre: bool, granted: bool, now: Instant) {
        let State::Candidate { pre: own, votes } = &mut self.state else {
            return;
        };
        let asked = self.hard.term + u64::from(*own);
        if granted && pre == *own && term == asked {
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
            heard: now,
            in_flight: VecDeque::new(),
            probing: false,
            snapshot: None,
        }
    }
}
