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
        members::{self, MEMBERS_PATH, MemberOp, MemberReply},
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
    tokio::time::{sleep, timeout_at},
};

/// Interval between two checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a leader after which a replica asks to be added, in case it was removed; two
/// elections fit into it.
const REJOIN_AFTER: Duration = Duration::from_secs(3);
/// Timeout of one join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for which a replica that shuts down waits until a learner has taken its place.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which a new leader hears from a learner how far it has caught up.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);

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

/// Lets a learner that does not fall silent take the place of a voter. The caller has confirmed that this
/// replica leads.
///
/// # Errors
/// There is no such learner, or a change was not made.
pub(super) async fn replace<S: Send + 'static>(
    handle: &crate::replica::Handle<S>,
    voter: ReplicaId,
) -> Result<(), RequestError> {
    let (members, contacts) = (handle.members(), handle.member_contacts());
    let view = View {
        members: &members,
        leader: handle.id(),
        contacts: &contacts,
        required: 0,
    };
    let Some(learner) = view.substitute(Instant::now()) else {
        let reason = format!("no learner can take the place of {voter}");
        return Err(RequestError::Refused(reason));
    };
    if !members::promote(handle, learner, CATCH_UP_TIME).await? {
        let reason = format!("learner {learner} has not caught up");
        return Err(RequestError::Refused(reason));
    }
    handle.change_members(MemberChange::Remove(voter)).await?;
    log_event!(
        Event::MemberChanged,
        id = voter,
        change = "removed",
        reason = "it shuts down and a learner has taken its place"
    );
    Ok(())
}

/// Gives the place of this replica in its group to a learner, if there is one, before a shutdown. It is
/// not known whether the replica will be started again; if so, it joins as a learner.
pub(super) async fn leave(replica: &ConfigReplica) {
    let learner = |member: &Member| member.role == MemberRole::Learner;
    if !replica.handle.members().iter().any(learner) {
        return;
    }
    let deadline = Instant::now() + LEAVE_TIMEOUT;
    match timeout_at(deadline.into(), ask_to_leave(replica, deadline)).await {
        Ok(Ok(())) => log::info!("a learner has taken the place of this replica"),
        Ok(Err(reason)) => log::info!("this replica keeps its place in the group: {reason}"),
        Err(_elapsed) => log::info!("this replica keeps its place in the group: no answer in time"),
    }
}

async fn ask_to_leave(replica: &ConfigReplica, deadline: Instant) -> Result<(), String> {
    let handle = &replica.handle;
    let mut status = handle.watch();
    if status.borrow().role == Role::Leader {
        transfer_leadership(replica).await?;
    }
    let own = handle.id();
    let elected = status.wait_for(|status| {
        let leader = status.leader.as_ref();
        leader.is_some_and(|leader| leader.id != own)
    });
    let leader = elected
        .await
        .ok()
        .and_then(|status| status.leader.as_ref().map(|leader| leader.address))
        .ok_or("the replica has stopped")?;
    let op = MemberOp::Leave { id: own };
    let reply = replica
        .client
        .request("leave", leader, MEMBERS_PATH, &op, deadline);
    match reply.await {
        Ok(MemberReply::Done(_)) => Ok(()),
        Ok(MemberReply::NotLeader(_)) => Err(format!("{leader} no longer leads")),
        Ok(MemberReply::Refused(reason)) => Err(reason),
        Err(e) => Err(e.to_string()),
    }
}

/// Transfers the leadership to the first other voter that has caught up.
async fn transfer_leadership(replica: &ConfigReplica) -> Result<(), String> {
    let handle = &replica.handle;
    let members = handle.members();
    let others = members
        .iter()
        .filter(|member| member.role == MemberRole::Voter && member.id != handle.id());
    let mut refused = "there is no other voter".to_owned();
    for voter in others {
        match handle.transfer(voter.id).await {
            Ok(()) => return Ok(()),
            Err(e) => refused = e.to_string(),
        }
    }
    Err(format!("the leadership was not transferred: {refused}"))
}
