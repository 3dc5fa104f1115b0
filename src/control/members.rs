//! Members of a group: lists, adds and removes replicas, of this group or of the claims group of a
//! region.

use {
    super::{
        config::ConfigReplica,
        identity, joining,
        operators::{OperatorError, error, unavailable_response},
    },
    crate::{
        api::{self, ApiRequest},
        body::Body,
        events::Event,
        log_event,
        operator_api::{Member, MemberAction, MemberRequest, MembersResponse},
        peer::{self, Client},
        raft::{self, MemberChange, MemberRole, ReplicaId},
        replica::{Handle, RequestError},
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Path of the peer port that lists or changes the members of a group.
pub(super) const MEMBERS_PATH: &str = "/members";
/// Longest time that an answer is held back until the new member is a voter; the client's timeout
/// is 5 s.
const PROMOTE_WAIT: Duration = Duration::from_secs(3);
/// Time within which a new member must catch up; after it, the member stays a learner.
const PROMOTE_TIMEOUT: Duration = Duration::from_mins(10);
/// Pause between two attempts to promote a learner.
const PROMOTE_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a request to another group, below the client's timeout of 5 s.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Operation on the members of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum MemberOp {
    /// Lists the members.
    List,
    /// Adds or removes a member on behalf of an operator.
    Change(MemberRequest),
    /// Adds the replica that sends the request.
    Join {
        /// Name of the replica.
        name: String,
        /// Peer address of the replica.
        address: SocketAddr,
    },
    /// Lets a learner take the place of the replica that sends the request, which is shutting down.
    Leave {
        /// Identity of the replica.
        id: ReplicaId,
    },
}

/// Reply to a [`MemberOp`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum MemberReply {
    /// The operation was carried out; the members after it.
    Done(MembersResponse),
    /// Another replica leads; its peer address if it is known.
    NotLeader(Option<SocketAddr>),
    /// The operation was not carried out; the reason.
    Refused(String),
}

/// Reason why an operation was not carried out.
enum MemberError {
    /// The replicated log did not accept it.
    Propose(RequestError),
    /// The operation is not valid, or the replica to be added does not answer; the reason.
    Request(String),
}

impl From<RequestError> for MemberError {
    fn from(e: RequestError) -> Self {
        Self::Propose(e)
    }
}

/// Returns the leader and the latest member list in this replica's log, committed or not.
pub(super) fn list_members<S: Send + 'static>(handle: &Handle<S>) -> MembersResponse {
    let members = handle.members().into_iter().map(|member| Member {
        name: member.name,
        address: member.address.to_string(),
        id: member.id.0,
        voter: member.role == MemberRole::Voter,
    });
    MembersResponse {
        leader: handle.status().leader.map(|leader| leader.name),
        members: members.collect(),
    }
}

/// Carries out an operation for the group of `handle`, which this replica must lead.
async fn answer<S: Send + 'static>(
    handle: &Handle<S>,
    client: &Client,
    op: &MemberOp,
) -> Result<MembersResponse, MemberError> {
    // Confirms that this replica leads, so that its list of members is current.
    handle.read(|_| ()).await?;
    match op {
        MemberOp::List => {}
        MemberOp::Change(change) => match change.action {
            MemberAction::Add => add(handle, client, change).await?,
            MemberAction::Remove => remove(handle, change).await?,
        },
        MemberOp::Join { name, address } => joining::add(handle, client, name, *address).await?,
        MemberOp::Leave { id } => joining::replace(handle, *id).await?,
    }
    Ok(list_members(handle))
}

async fn add<S: Send + 'static>(
    handle: &Handle<S>,
    client: &Client,
    change: &MemberRequest,
) -> Result<(), MemberError> {
    let text = change.address.as_deref().unwrap_or_default();
    let address: SocketAddr = text
        .parse()
        .map_err(|e| MemberError::Request(format!("address {text:?} of {}: {e}", change.name)))?;
    let identity = identity::fetch(client, address)
        .await
        .map_err(|e| MemberError::Request(e.to_string()))?;
    if identity.name != change.name {
        return Err(MemberError::Request(format!(
            "{address} is replica {:?}, not {:?}",
            identity.name, change.name
        )));
    }
    let member = raft::Member {
        id: identity.id,
        name: identity.name,
        address,
        role: MemberRole::Learner,
    };
    change_members(handle, MemberChange::Add(member)).await?;
    if !promote(handle, identity.id, PROMOTE_WAIT).await? {
        let handle = handle.clone();
        tokio::spawn(async move { promote(&handle, identity.id, PROMOTE_TIMEOUT).await });
    }
    Ok(())
}

/// Promotes a learner to a voter as soon as it has caught up. Returns false if it has not caught up
/// within `time_limit`.
pub(super) async fn promote<S: Send + 'static>(
    handle: &Handle<S>,
    id: ReplicaId,
    time_limit: Duration,
) -> Result<bool, RequestError> {
    let deadline = Instant::now() + time_limit;
    loop {
        match handle.change_members(MemberChange::Promote(id)).await {
            Ok(()) => {
                log_event!(Event::MemberChanged, id = id, change = "promoted");
                return Ok(true);
            }
            Err(RequestError::Refused(_)) if Instant::now() < deadline => {
                sleep(PROMOTE_PAUSE).await;
            }
            Err(RequestError::Refused(_)) => return Ok(false),
            Err(e) => return Err(e),
        }
    }
}

async fn remove<S: Send + 'static>(
    handle: &Handle<S>,
    change: &MemberRequest,
) -> Result<(), MemberError> {
    let members = handle.members();
    let found: Vec<ReplicaId> = members
        .iter()
        .filter(|member| member.name == change.name && change.id.is_none_or(|id| id == member.id.0))
        .map(|member| member.id)
        .collect();
    let [id] = found[..] else {
        return Err(MemberError::Request(format!(
            "{} members are named {:?}; choose one by its id",
            found.len(),
            change.name
        )));
    };
    change_members(handle, MemberChange::Remove(id)).await?;
    Ok(())
}

/// Logs and proposes a change of the members.
async fn change_members<S: Send + 'static>(
    handle: &Handle<S>,
    change: MemberChange,
) -> Result<(), RequestError> {
    log_event!(Event::MemberChanged, change = format!("{change:?}"));
    handle.change_members(change).await
}

/// Answers a [`MemberOp`] of another replica on the peer port.
pub(super) async fn answer_members<S: Send + 'static>(
    handle: &Handle<S>,
    client: &Client,
    req: Request<Incoming>,
) -> Response<Body> {
    let op = match peer::read_message(req).await {
        Ok(op) => op,
        Err(e) => {
            log::warn!("member operation rejected: {e}");
            return peer::empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let reply = match answer(handle, client, &op).await {
        Ok(members) => MemberReply::Done(members),
        Err(MemberError::Propose(RequestError::NotLeader(leader))) => {
            MemberReply::NotLeader(leader.map(|leader| leader.address))
        }
        Err(MemberError::Propose(e)) => MemberReply::Refused(e.to_string()),
        Err(MemberError::Request(reason)) => MemberReply::Refused(reason),
    };
    peer::message_response(&reply)
}

/// Answers `GET`: lists the members of the config group or, with `of`, those of the group of the
/// replica at that peer address.
pub(super) async fn get_members(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
) -> Result<Response<Body>, OperatorError> {
    respond(&replica, req.query("of"), &MemberOp::List).await
}

/// Answers `POST`: adds or removes a member.
pub(super) async fn post_members(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
) -> Result<Response<Body>, OperatorError> {
    let change: MemberRequest = serde_json::from_slice(&req.body)
        .map_err(|e| bad_request(format!("not a member request: {e}")))?;
    let of = change.of.clone();
    respond(&replica, of.as_deref(), &MemberOp::Change(change)).await
}

async fn respond(
    replica: &ConfigReplica,
    of: Option<&str>,
    op: &MemberOp,
) -> Result<Response<Body>, OperatorError> {
    let members = match of {
        Some(text) => {
            let address = text.parse();
            let address =
                address.map_err(|e| bad_request(format!("peer address {text:?}: {e}")))?;
            forward(&replica.client, address, op).await?
        }
        None => match answer(&replica.handle, &replica.client, op).await {
            Ok(members) => members,
            Err(MemberError::Propose(e)) => return Err(unavailable_response(replica, e).await),
            Err(MemberError::Request(reason)) => return Err(bad_request(reason)),
        },
    };
    Ok(api::json_response(StatusCode::OK, &members))
}

/// Sends an operation to the replica of another group at `address`, or to the leader that it names.
async fn forward(
    client: &Client,
    address: SocketAddr,
    op: &MemberOp,
) -> Result<MembersResponse, OperatorError> {
    let deadline = Instant::now() + FORWARD_TIMEOUT;
    let mut target = address;
    for _ in 0..2 {
        let reply = client.request("ask members", target, MEMBERS_PATH, op, deadline);
        match reply.await {
            Ok(MemberReply::Done(members)) => return Ok(members),
            Ok(MemberReply::NotLeader(Some(leader))) => target = leader,
            Ok(MemberReply::NotLeader(None)) => break,
            Ok(MemberReply::Refused(reason)) => return Err(bad_request(reason)),
            Err(e) => return Err(bad_request(e.to_string())),
        }
    }
    let reason = format!("the group of the replica at {address} has no leader");
    Err(error(
        StatusCode::SERVICE_UNAVAILABLE,
        "unavailable",
        reason,
    ))
}

fn bad_request(reason: String) -> OperatorError {
    error(StatusCode::BAD_REQUEST, "bad-request", reason)
}
