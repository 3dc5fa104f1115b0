//! Members of the config group: shows, adds and removes replicas.

use {
    super::{
        config::ConfigReplica,
        identity,
        operators::{Failure, current, error, not_done},
    },
    crate::{
        api::{self, Ask},
        body::Body,
        events::Event,
        log_event,
        operator_api::{Member, MemberAction, MemberRequest, MembersAnswer},
        raft::{self, MemberChange, MemberRole, ReplicaId},
        replica::ProposeError,
    },
    http::{Response, StatusCode},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time in which a new member must catch up to become a voter.
const PROMOTE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two tries to promote.
const PROMOTE_PAUSE: Duration = Duration::from_millis(100);

pub(super) fn leader(replica: &ConfigReplica) -> Option<String> {
    replica.handle.status().leader.map(|leader| leader.name)
}

pub(super) fn members(replica: &ConfigReplica) -> Vec<Member> {
    let members = replica.handle.members();
    let members = members.into_iter().map(|member| Member {
        name: member.name,
        address: member.address.to_string(),
        id: member.id.0,
        voter: member.role == MemberRole::Voter,
    });
    members.collect()
}

pub(super) async fn get_members(
    replica: Arc<ConfigReplica>,
    _ask: Ask,
) -> Result<Response<Body>, Failure> {
    current(&replica).await?;
    Ok(members_answer(&replica))
}

fn members_answer(replica: &ConfigReplica) -> Response<Body> {
    let answer = MembersAnswer {
        leader: leader(replica),
        members: members(replica),
    };
    api::json(StatusCode::OK, &answer)
}

pub(super) async fn post_members(
    replica: Arc<ConfigReplica>,
    ask: Ask,
) -> Result<Response<Body>, Failure> {
    let wanted: MemberRequest = serde_json::from_slice(&ask.body).map_err(|e| {
        error(
            StatusCode::BAD_REQUEST,
            "bad-request",
            format!("member: {e}"),
        )
    })?;
    current(&replica).await?;
    match wanted.action {
        MemberAction::Add => add_member(&replica, &wanted).await?,
        MemberAction::Remove => remove_member(&replica, &wanted).await?,
    }
    Ok(members_answer(&replica))
}

async fn add_member(replica: &ConfigReplica, wanted: &MemberRequest) -> Result<(), Failure> {
    let bad = |reason: String| error(StatusCode::BAD_REQUEST, "bad-request", reason);
    let text = wanted.address.as_deref().unwrap_or_default();
    let address: SocketAddr = text
        .parse()
        .map_err(|e| bad(format!("address {text:?} of {}: {e}", wanted.name)))?;
    let identity = identity::ask(&replica.client, address)
        .await
        .map_err(|e| bad(e.to_string()))?;
    if identity.name != wanted.name {
        return Err(bad(format!(
            "{address} is replica {:?}, not {:?}",
            identity.name, wanted.name
        )));
    }
    let member = raft::Member {
        id: identity.id,
        name: identity.name,
        address,
        role: MemberRole::Learner,
    };
    change_members(replica, MemberChange::Add(member)).await?;
    promote(replica, identity.id).await
}

/// Makes a learner a voter as soon as it has caught up.
async fn promote(replica: &ConfigReplica, id: ReplicaId) -> Result<(), Failure> {
    let deadline = Instant::now() + PROMOTE_TIMEOUT;
    loop {
        match replica
            .handle
            .change_members(MemberChange::Promote(id))
            .await
        {
            Ok(()) => {
                log_event!(Event::MemberChanged, id = id, change = "promoted");
                return Ok(());
            }
            Err(ProposeError::Refused(_)) if Instant::now() < deadline => {
                sleep(PROMOTE_PAUSE).await;
            }
            Err(e) => return Err(not_done(replica, e).await),
        }
    }
}

async fn remove_member(replica: &ConfigReplica, wanted: &MemberRequest) -> Result<(), Failure> {
    let members = replica.handle.members();
    let found: Vec<ReplicaId> = members
        .iter()
        .filter(|member| member.name == wanted.name && wanted.id.is_none_or(|id| id == member.id.0))
        .map(|member| member.id)
        .collect();
    let [id] = found[..] else {
        let reason = format!(
            "{} members are named {:?}; name one by its id",
            found.len(),
            wanted.name
        );
        return Err(error(StatusCode::BAD_REQUEST, "bad-request", reason));
    };
    change_members(replica, MemberChange::Remove(id)).await
}

async fn change_members(replica: &ConfigReplica, change: MemberChange) -> Result<(), Failure> {
    log_event!(Event::MemberChanged, change = format!("{change:?}"));
    match replica.handle.change_members(change).await {
        Ok(()) => Ok(()),
        Err(e) => Err(not_done(replica, e).await),
    }
}
