//! Decisions on the members of a config group that looks after itself.
//!
//! A group keeps as many voters as the settings require. Further replicas stay learners: they hold
//! all entries and take the place of a voter that falls silent. An additional voter would not add
//! to the losses that the group withstands; once another voter is gone for good, it would reduce
//! them.

use {
    crate::raft::{Member, MemberRole, ReplicaId},
    std::{
        cmp::Ordering,
        time::{Duration, Instant},
    },
};

/// Silence after which a learner takes the place of a voter; ten heartbeats. A voter that was only
/// paused or cut off becomes a learner when it is back.
pub(super) const REPLACE_AFTER: Duration = Duration::from_millis(1_500);
/// Silence after which a learner is removed; longer than most restarts.
pub(super) const REMOVE_AFTER: Duration = Duration::from_secs(6);

/// Change of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Makes a learner a voter and removes the voter whose place it takes.
    Replace {
        /// The learner.
        learner: ReplicaId,
        /// The voter.
        voter: ReplicaId,
    },
    /// Removes a member.
    Remove(ReplicaId),
}

/// Members of a group, as its leader sees them.
#[derive(Clone, Copy, Debug)]
pub(super) struct View<'a> {
    /// All members.
    pub(super) members: &'a [Member],
    /// The leader.
    pub(super) leader: ReplicaId,
    /// When the leader last heard from each other member.
    pub(super) contacts: &'a [(ReplicaId, Instant)],
    /// Number of voters that the settings require.
    pub(super) required: usize,
}

impl View<'_> {
    fn silence(&self, member: &Member, now: Instant) -> Duration {
        let contact = self.contacts.iter().find(|(id, _)| *id == member.id);
        contact.map_or(Duration::ZERO, |(_, at)| now.saturating_duration_since(*at))
    }

    fn with_role(&self, role: MemberRole) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(move |member| member.role == role)
    }

    /// Returns the other member of this role that has been silent for longest, if that is at least
    /// `limit`.
    fn silent(&self, role: MemberRole, limit: Duration, now: Instant) -> Option<ReplicaId> {
        let others = self.with_role(role).filter(|m| m.id != self.leader);
        let longest = others.max_by_key(|member| self.silence(member, now))?;
        (self.silence(longest, now) >= limit).then_some(longest.id)
    }

    /// Returns a learner that is not silent.
    pub(super) fn substitute(&self, now: Instant) -> Option<ReplicaId> {
        self.with_role(MemberRole::Learner)
            .find(|learner| self.silence(learner, now) < REPLACE_AFTER)
            .map(|learner| learner.id)
    }

    /// Returns whether a majority of the voters is not silent. Otherwise it may be the leader that was
    /// paused.
    fn hears_majority(&self, now: Instant) -> bool {
        let voters = self.with_role(MemberRole::Voter);
        let heard = voters.filter(|voter| self.silence(voter, now) < REPLACE_AFTER);
        heard.count() * 2 > self.with_role(MemberRole::Voter).count()
    }
}

/// Returns the next change that the group needs; `None` if it needs none.
pub(super) fn next_change(view: View<'_>, now: Instant) -> Option<Change> {
    if !view.hears_majority(now) {
        return None;
    }
    let voters = view.with_role(MemberRole::Voter).count();
    let silent_voter = view.silent(MemberRole::Voter, REPLACE_AFTER, now);
    let change = match voters.cmp(&view.required) {
        Ordering::Less => view.substitute(now).map(Change::Promote),
        Ordering::Greater => silent_voter.map(Change::Remove),
        Ordering::Equal => {
            let replace = |(learner, voter)| Change::Replace { learner, voter };
            view.substitute(now).zip(silent_voter).map(replace)
        }
    };
    let removal = || {
        let learner = view.silent(MemberRole::Learner, REMOVE_AFTER, now);
        learner.map(Change::Remove)
    };
    change.or_else(removal)
}
