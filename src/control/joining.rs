//! Automatic membership of a config group, without an operator.
//!
//! A replica that belongs to no group asks the others to add it as a learner. The leader removes a
//! member when a replica with another identity joins from its address, since its disk is lost. All
//! other changes are those of [`super::membership`]. A group of exactly the required voters without a
//! learner does not shrink, so a voter that is only partitioned stays a member.

use {
    super::{
        config::ConfigReplica,
        identity,
        members::{MEMBERS_PATH, MemberOp, MemberReply},
        membership::{Change, View, next_change},
    },
    crate::{
        events::Event,
        log_event,
        raft::{Member, MemberChange, MemberRole, ReplicaId, Role},
        replica::{RequestError, Status},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Interval between two checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a leader after which a replica asks to be added, in case it was removed; two
/// elections fit into it.
const REJOIN_AFTER: Duration = Duration::from_secs(3);
/// Timeout of one join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Keeps this replica a member of its group and, while it leads, maintains the other members.
pub(super) async fn maintain_membership(replica: Arc<ConfigReplica>, own_address: SocketAddr) {
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
            adjust_members(&replica, &status).await;
            continue;
        }
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

/// Makes the next change of the members that the group needs.
async fn adjust_members(replica: &ConfigReplica, status: &Status) {
    let contacts = replica.handle.member_contacts();
    let view = View {
        members: &status.members,
        leader: status.id,
        contacts: &contacts,
        required: replica.required_voters(),
    };
    match next_change(view, Instant::now()) {
        Some(Change::Promote(learner)) => drop(promote(replica, learner).await),
        Some(Change::Replace { learner, voter }) if promote(replica, learner).await => {
            remove(replica, voter, "a learner has taken its place").await;
        }
        Some(Change::Remove(member)) => remove(replica, member, "it does not answer").await,
        // Nothing is needed, or the learner has not caught up yet.
        None | Some(Change::Replace { .. }) => {}
    }
}

/// Makes a learner a voter; returns whether it has caught up and is one now.
async fn promote(replica: &ConfigReplica, learner: ReplicaId) -> bool {
    let change = MemberChange::Promote(learner);
    match replica.handle.change_members(change).await {
        Ok(()) => {
            log_event!(Event::MemberChanged, id = learner, change = "promoted");
            true
        }
        Err(e) => {
            log::info!("learner {learner} not promoted: {e}");
            false
        }
    }
}

async fn remove(replica: &ConfigReplica, member: ReplicaId, reason: &str) {
    let change = MemberChange::Remove(member);
    match replica.handle.change_members(change).await {
        Ok(()) => log_event!(
            Event::MemberChanged,
            id = member,
            change = "removed",
            reason = reason
        ),
        Err(e) => log::info!("member {member} not removed: {e}"),
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
