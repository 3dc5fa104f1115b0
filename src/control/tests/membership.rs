//! Decisions on the members of a group.

use {
    super::super::membership::{Change, REMOVE_AFTER, REPLACE_AFTER, View, next_change},
    crate::raft::{Member, MemberRole, ReplicaId},
    std::time::{Duration, Instant},
};

const REQUIRED: usize = 5;
const LEADER: u64 = 1;
const SHORT: Duration = Duration::from_millis(400);
/// Silence in which a voter keeps its place.
const BEARABLE: Duration = Duration::from_millis(1_400);

/// Returns voters `1..=voters`, followed by learners.
fn members(voters: u64, learners: u64) -> Vec<Member> {
    let member = |id| Member {
        id: ReplicaId(id),
        name: format!("control-{id}"),
        address: ([127, 0, 0, 1], id as u16).into(),
        role: if id <= voters {
            MemberRole::Voter
        } else {
            MemberRole::Learner
        },
    };
    (1..=voters + learners).map(member).collect()
}

/// Returns the next change of a group whose `silent` members have not been heard for some time, and the
/// others for a short one.
fn change_with(voters: u64, learners: u64, silent: &[(u64, Duration)]) -> Option<Change> {
    let members = members(voters, learners);
    let start = Instant::now();
    let now = start + Duration::from_mins(1);
    let contacts: Vec<_> = members
        .iter()
        .filter(|member| member.id != ReplicaId(LEADER))
        .map(|member| {
            let listed = silent.iter().find(|(id, _)| ReplicaId(*id) == member.id);
            let silence = listed.map_or(SHORT, |(_, silence)| *silence);
            (member.id, now.checked_sub(silence).unwrap())
        })
        .collect();
    let view = View {
        members: &members,
        leader: ReplicaId(LEADER),
        contacts: &contacts,
        required: REQUIRED,
    };
    next_change(view, now)
}

/// Guards against a group of six voters, one of which is gone: it does not survive two more losses, which
/// a group of five would.
#[test]
fn a_learner_takes_the_place_of_a_silent_voter() {
    assert_eq!(change_with(5, 1, &[]), None, "a sixth voter adds nothing");
    assert_eq!(change_with(5, 1, &[(3, BEARABLE)]), None);
    let replace = Change::Replace {
        learner: ReplicaId(6),
        voter: ReplicaId(3),
    };
    assert_eq!(change_with(5, 1, &[(3, REPLACE_AFTER)]), Some(replace));
    let longest = [(2, REPLACE_AFTER), (3, REPLACE_AFTER * 2)];
    assert_eq!(change_with(5, 1, &longest), Some(replace));
}

/// Guards against a voter that is removed without a replacement, and against a replacement that is silent
/// itself.
#[test]
fn a_silent_voter_stays_without_a_learner_that_answers() {
    let hour = Duration::from_hours(1);
    assert_eq!(change_with(5, 0, &[(3, hour)]), None);
    assert_eq!(change_with(5, 1, &[(3, hour), (6, REPLACE_AFTER)]), None);
    let gone = Some(Change::Remove(ReplicaId(6)));
    assert_eq!(change_with(5, 1, &[(3, hour), (6, REMOVE_AFTER)]), gone);
}

/// Guards against a group that does not grow to the voters that the settings require, or stays larger.
#[test]
fn the_group_has_as_many_voters_as_required() {
    let promote = Some(Change::Promote(ReplicaId(4)));
    assert_eq!(change_with(3, 2, &[]), promote);
    assert_eq!(change_with(3, 2, &[(2, REPLACE_AFTER)]), promote);
    assert_eq!(change_with(6, 0, &[]), None);
    let remove = Some(Change::Remove(ReplicaId(4)));
    assert_eq!(change_with(6, 0, &[(4, REPLACE_AFTER)]), remove);
}

/// Guards against a leader that was paused, or whose disk was, and takes all others for silent.
#[test]
fn a_leader_that_hears_no_majority_changes_nothing() {
    let silent: Vec<_> = (2..=6).map(|id| (id, REMOVE_AFTER)).collect();
    assert_eq!(change_with(5, 1, &silent), None);
    assert_eq!(change_with(5, 1, &silent[..3]), None);
    assert!(change_with(5, 1, &silent[..2]).is_some());
}
