//! Membership of a config group that no operator tends.
//!
//! A replica without a group asks the others to let it join. The leader promotes learners that
//! have caught up. It removes a voter only when a replica with another identity answers at its
//! address, so that its disk is gone, or when the group has more voters than it needs and the
//! voter has been silent for long. A group of the needed size never shrinks, so a voter that is
//! only cut off stays a member.

use {
    super::{
        config::ConfigReplica,
        identity,
        members::{MEMBERS_PATH, Question, Reply},
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

/// Interval at which the membership is looked at.
const INTERVAL: Duration = Duration::from_millis(300);
/// Time without a leader after which a replica asks whether it is still a member: two elections.
const LEADERLESS: Duration = Duration::from_secs(3);
/// Silence after which a voter that is not needed leaves the group; longer than most restarts.
const GONE_AFTER: Duration = Duration::from_secs(6);
/// Longest wait for the answer to a request to join.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Last answers of the other members, as the leader knows them.
type Heard = IndexMap<ReplicaId, Instant>;

pub(super) async fn keep_membership(replica: Arc<ConfigReplica>, own: SocketAddr) {
    let mut heard = Heard::new();
    let mut led_until = Instant::now();
    loop {
        sleep(INTERVAL).await;
        if replica.handle.has_stopped() {
            return;
        }
        let now = Instant::now();
        let status = replica.handle.status();
        if status.role == Role::Leader {
            led_until = now;
            tend(&replica, &status, &mut heard).await;
            continue;
        }
        heard.clear();
        if status.leader.is_some() {
            led_until = now;
        }
        if status.members.is_empty() || now > led_until + LEADERLESS {
            join(&replica, &status, own).await;
        }
    }
}

/// Asks the others in turn until the leader has answered.
async fn join(replica: &ConfigReplica, status: &Status, own: SocketAddr) {
    let members = status.members.iter().map(|member| member.address);
    let mut asked: Vec<SocketAddr> = Vec::new();
    let mut next: Vec<SocketAddr> = replica.cfg.seeds.iter().copied().chain(members).collect();
    while let Some(address) = next.pop() {
        if address == own || asked.contains(&address) {
            continue;
        }
        asked.push(address);
        let question = Question::Join {
            name: replica.cfg.name.clone(),
            address: own,
        };
        let deadline = Instant::now() + JOIN_TIMEOUT;
        let answer = replica
            .client
            .request("join", address, MEMBERS_PATH, &question, deadline)
            .await;
        match answer {
            Ok(Reply::Done(_)) => return,
            Ok(Reply::NotLeader(leader)) => next.extend(leader),
            Ok(Reply::Refused(reason)) => log::info!("join at {address}: {reason}"),
            Err(e) => log::debug!("{e}"),
        }
    }
}

/// Promotes, replaces and removes members, one change at a time.
async fn tend(replica: &ConfigReplica, status: &Status, heard: &mut Heard) {
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
    let needed = 2 * replica.cfg.tolerated_losses + 1;
    let learners = others.clone().any(|m| m.role == MemberRole::Learner);
    if voters.count() <= needed && !learners {
        heard.clear();
        return;
    }
    let others: Vec<Member> = others.cloned().collect();
    listen(replica, &others, heard).await;
    let now = Instant::now();
    let silent = others
        .iter()
        .filter(|member| {
            heard
                .get(&member.id)
                .is_some_and(|at| now > *at + GONE_AFTER)
        })
        .min_by_key(|member| heard.get(&member.id));
    if let Some(member) = silent {
        remove(replica, member, "silent").await;
    }
}

/// Asks all members for their identity and notes who answers.
async fn listen(replica: &ConfigReplica, members: &[Member], heard: &mut Heard) {
    let mut asking = JoinSet::new();
    for member in members {
        heard.entry(member.id).or_insert_with(Instant::now);
        let (client, address, id) = (replica.client.clone(), member.address, member.id);
        asking.spawn(async move { (id, identity::ask(&client, address).await) });
    }
    heard.retain(|id, _| members.iter().any(|member| member.id == *id));
    while let Some(answered) = asking.join_next().await {
        if let Ok((id, Ok(identity))) = answered
            && identity.id == id
        {
            heard.insert(id, Instant::now());
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

/// Lets the replica at `address` join; the leader calls it after it has confirmed that it leads.
///
/// # Errors
/// The change was not made; the replica asks again.
pub(super) async fn admit<S: Send + 'static>(
    handle: &crate::replica::Handle<S>,
    client: &crate::peer::Client,
    name: &str,
    address: SocketAddr,
) -> Result<(), RequestError> {
    let identity = identity::ask(client, address)
        .await
        .map_err(|e| RequestError::Refused(e.to_string()))?;
    let members = handle.members();
    if members.iter().any(|member| member.id == identity.id) {
        return Ok(());
    }
    for member in members.iter().filter(|member| member.address == address) {
        // Its identity was on the disk that it lost.
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
