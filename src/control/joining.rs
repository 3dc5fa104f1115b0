//! Automatic membership of a config group, without an operator.
//!
//! A replica that belongs to no group asks the others to add it. The leader promotes learners that
//! have caught up. It removes a member in two cases: a replica with another identity joins from the
//! member's address, so the member's disk is lost; or the member has not answered for
//! [`REMOVE_AFTER`] and the group has a learner or more voters than the settings require. A group
//! of exactly the required voters does not shrink, so a voter that is only partitioned stays a
//! member.

use {
    super::{
        config::ConfigReplica,
        identity,
        members::{MEMBERS_PATH, MemberOp, MemberReply},
    },
    crate::{
        events::Event,
        log_event,
        raft::{Member, MemberChange, MemberRole, ReplicaId, Role},
        replica::{RequestError, Status},
    },
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Interval between two checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a leader after which a replica asks to be added, in case it was removed; two
/// elections fit into it.
const REJOIN_AFTER: Duration = Duration::from_secs(3);
/// Time without an answer after which a member that is not needed is removed; longer than most
/// restarts.
const REMOVE_AFTER: Duration = Duration::from_secs(6);
/// Timeout of one join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time at which each other member last answered the leader.
type LastAnswers = IndexMap<ReplicaId, Instant>;

/// Keeps this replica a member of its group and, while it leads, maintains the other members.
pub(super) async fn maintain_membership(replica: Arc<ConfigReplica>, own_address: SocketAddr) {
    let mut last_answers = LastAnswers::new();
    let mut last_leader_seen = Instant::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        if replica.handle.has_stopped() {
            return;
        }
        let now = Instant::now();
        let status = replica.handle.status();
        if status.role == Role::Leader {
            last_leader_seen = now;
            adjust_members(&replica, &status, &mut last_answers).await;
            continue;
        }
        last_answers.clear();
        if status.leader.is_some() {
            last_leader_seen = now;
        }
        if status.members.is_empty() || now > last_leader_seen + REJOIN_AFTER {
            join(&replica, &status, own_address).await;
        }
    }
}

/// Sends a join request to the other replicas in turn until the leader has added this one.
async fn join(replica: &ConfigReplica, status: &Status, own_address: SocketAddr) {
    let members = status.members.iter().map(|member| member.address);
    let mut asked: Vec<SocketAddr> = Vec::new();
    let mut to_ask: Vec<SocketAddr> = replica.cfg.seeds.iter().copied().chain(members).collect();
    while let Some(address) = to_ask.pop() {
        if address == own_address || asked.contains(&address) {
            continue;
        }
        asked.push(address);
        let op = MemberOp::Join {
            name: replica.cfg.name.clone(),
            address: own_address,
        };
        let deadline = Instant::now() + JOIN_TIMEOUT;
        let reply = replica
            .client
            .request("join", address, MEMBERS_PATH, &op, deadline)
            .await;
        match reply {
            Ok(MemberReply::Done(_)) => return,
            Ok(MemberReply::NotLeader(leader)) => to_ask.extend(leader),
            Ok(MemberReply::Refused(reason)) => log::info!("join at {address} refused: {reason}"),
            Err(e) => log::debug!("{e}"),
        }
    }
}

/// Promotes a learner that has caught up, or removes a member that no longer answers; makes at most
/// one change.
async fn adjust_members(replica: &ConfigReplica, status: &Status, last_answers: &mut LastAnswers) {
    let others = status.members.iter().filter(|m| m.id != status.id);
    if let Some(learner) = others.clone().find(|m| m.role == MemberRole::Learner) {
        let change = MemberChange::Promote(learner.id);
        if replica.handle.change_members(change).await.is_ok() {
            log_event!(Event::MemberChanged, id = learner.id, change = "promoted");
            return;
        }
    }
    let voters = status
        .members
        .iter()
        .filter(|m| m.role == MemberRole::Voter);
    let required = 2 * replica.cfg.tolerated_losses + 1;
    let has_learner = others.clone().any(|m| m.role == MemberRole::Learner);
    if voters.count() <= required && !has_learner {
        last_answers.clear();
        return;
    }
    let others: Vec<Member> = others.cloned().collect();
    poll_members(replica, &others, last_answers).await;
    let now = Instant::now();
    let unresponsive = others
        .iter()
        .filter(|member| {
            last_answers
                .get(&member.id)
                .is_some_and(|answered| now > *answered + REMOVE_AFTER)
        })
        .min_by_key(|member| last_answers.get(&member.id));
    if let Some(member) = unresponsive {
        remove(replica, member, "it does not answer").await;
    }
}

/// Asks all members for their identity and records the time of each correct answer. A member that
/// is new to `last_answers` counts as having answered now.
async fn poll_members(replica: &ConfigReplica, members: &[Member], last_answers: &mut LastAnswers) {
    let mut requests = JoinSet::new();
    for member in members {
        last_answers.entry(member.id).or_insert_with(Instant::now);
        let (client, address, id) = (replica.client.clone(), member.address, member.id);
        requests.spawn(async move { (id, identity::fetch(&client, address).await) });
    }
    last_answers.retain(|id, _| members.iter().any(|member| member.id == *id));
    while let Some(result) = requests.join_next().await {
        if let Ok((id, Ok(identity))) = result
            && identity.id == id
        {
            last_answers.insert(id, Instant::now());
        }
    }
}

async fn remove(replica: &ConfigReplica, member: &Member, reason: &str) {
    let change = MemberChange::Remove(member.id);
    match replica.handle.change_members(change).await {
        Ok(()) => log_event!(
            Event::MemberChanged,
            id = member.id,
            name = member.name,
            change = "removed",
            reason = reason
        ),
        Err(e) => log::info!("member {} not removed: {e}", member.name),
    }
}

/// Adds the replica at `address` as a learner. The caller has confirmed that this replica leads.
///
/// # Errors
/// The replica does not answer or the change was not made; the replica asks again.
pub(super) async fn add<S: Send + 'static>(
    handle: &crate::replica::Handle<S>,
    client: &crate::peer::Client,
    name: &str,
    address: SocketAddr,
) -> Result<(), RequestError> {
    let identity = identity::fetch(client, address)
        .await
        .map_err(|e| RequestError::Refused(e.to_string()))?;
    let members = handle.members();
    if members.iter().any(|member| member.id == identity.id) {
        return Ok(());
    }
    for member in members.iter().filter(|member| member.address == address) {
        // The identity is stored on the disk, so another one means that the disk was lost.
        log_event!(
            Event::MemberChanged,
            id = member.id,
            name = member.name,
            change = "removed",
            reason = "its address has another identity"
        );
        handle
            .change_members(MemberChange::Remove(member.id))
            .await?;
    }
    let member = Member {
        id: identity.id,
        name: name.to_owned(),
        address,
        role: MemberRole::Learner,
    };
    log_event!(
        Event::MemberChanged,
        id = member.id,
        name = name,
        change = "added"
    );
    handle.change_members(MemberChange::Add(member)).await
}
