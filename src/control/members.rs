//! Members of a group: shows, adds and removes replicas, here or at the claims group of a region.

use {
    super::{
        config::ConfigReplica,
        identity, joining,
        operators::{Failure, error, not_done},
    },
    crate::{
        api::{self, ApiRequest},
        body::Body,
        events::Event,
        log_event,
        operator_api::{Member, MemberAction, MemberRequest, MembersAnswer},
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

/// Path of the peer port that shows or changes the members of a claims group.
pub(super) const MEMBERS_PATH: &str = "/members";
/// Time for which an answer waits until a new member votes; a client waits 5 s.
const PROMOTE_WAIT: Duration = Duration::from_secs(3);
/// Time in which a new member must catch up to become a voter.
const PROMOTE_TIMEOUT: Duration = Duration::from_mins(10);
/// Pause between two tries to promote.
const PROMOTE_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for another group.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(4_500);

/// A question for the members of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Question {
    /// Who they are.
    List,
    /// Adds or removes one.
    Change(MemberRequest),
    /// Lets a replica join that no operator added.
    Join {
        /// Name of the replica.
        name: String,
        /// Its peer address.
        address: SocketAddr,
    },
}

/// Answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Reply {
    /// Done; these are the members.
    Done(MembersAnswer),
    /// Another replica leads.
    NotLeader(Option<SocketAddr>),
    /// Not done, for this reason.
    Refused(String),
}

/// Why members are not changed.
enum Cause {
    Log(RequestError),
    Request(String),
}

impl From<RequestError> for Cause {
    fn from(e: RequestError) -> Self {
        Self::Log(e)
    }
}

/// Members as this replica knows them.
pub(super) fn show<S: Send + 'static>(handle: &Handle<S>) -> MembersAnswer {
    let members = handle.members().into_iter().map(|member| Member {
        name: member.name,
        address: member.address.to_string(),
        id: member.id.0,
        voter: member.role == MemberRole::Voter,
    });
    MembersAnswer {
        leader: handle.status().leader.map(|leader| leader.name),
        members: members.collect(),
    }
}

/// Answers a question about the group of `handle`.
async fn answer<S: Send + 'static>(
    handle: &Handle<S>,
    client: &Client,
    question: &Question,
) -> Result<MembersAnswer, Cause> {
    handle.read(|_| ()).await?;
    match question {
        Question::List => {}
        Question::Change(wanted) => match wanted.action {
            MemberAction::Add => add(handle, client, wanted).await?,
            MemberAction::Remove => remove(handle, wanted).await?,
        },
        Question::Join { name, address } => joining::admit(handle, client, name, *address).await?,
    }
    Ok(show(handle))
}

async fn add<S: Send + 'static>(
    handle: &Handle<S>,
    client: &Client,
    wanted: &MemberRequest,
) -> Result<(), Cause> {
    let text = wanted.address.as_deref().unwrap_or_default();
    let address: SocketAddr = text
        .parse()
        .map_err(|e| Cause::Request(format!("address {text:?} of {}: {e}", wanted.name)))?;
    let identity = identity::ask(client, address)
        .await
        .map_err(|e| Cause::Request(e.to_string()))?;
    if identity.name != wanted.name {
        return Err(Cause::Request(format!(
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
    change(handle, MemberChange::Add(member)).await?;
    if !promote(handle, identity.id, PROMOTE_WAIT).await? {
        let handle = handle.clone();
        tokio::spawn(async move { promote(&handle, identity.id, PROMOTE_TIMEOUT).await });
    }
    Ok(())
}

/// Makes a learner a voter as soon as it has caught up; false when it has not in time.
async fn promote<S: Send + 'static>(
    handle: &Handle<S>,
    id: ReplicaId,
    within: Duration,
) -> Result<bool, RequestError> {
    let deadline = Instant::now() + within;
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
    wanted: &MemberRequest,
) -> Result<(), Cause> {
    let members = handle.members();
    let found: Vec<ReplicaId> = members
        .iter()
        .filter(|member| member.name == wanted.name && wanted.id.is_none_or(|id| id == member.id.0))
        .map(|member| member.id)
        .collect();
    let [id] = found[..] else {
        return Err(Cause::Request(format!(
            "{} members are named {:?}; name one by its id",
            found.len(),
            wanted.name
        )));
    };
    change(handle, MemberChange::Remove(id)).await?;
    Ok(())
}

async fn change<S: Send + 'static>(
    handle: &Handle<S>,
    change: MemberChange,
) -> Result<(), RequestError> {
    log_event!(Event::MemberChanged, change = format!("{change:?}"));
    handle.change_members(change).await
}

/// Answers a config replica that asks about a claims group.
pub(super) async fn answer_peer<S: Send + 'static>(
    handle: &Handle<S>,
    client: &Client,
    req: Request<Incoming>,
) -> Response<Body> {
    let question = match peer::read_message(req).await {
        Ok(question) => question,
        Err(e) => {
            log::warn!("question for the members refused: {e}");
            return peer::empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let reply = match answer(handle, client, &question).await {
        Ok(members) => Reply::Done(members),
        Err(Cause::Log(RequestError::NotLeader(leader))) => {
            Reply::NotLeader(leader.map(|leader| leader.address))
        }
        Err(Cause::Log(e)) => Reply::Refused(e.to_string()),
        Err(Cause::Request(reason)) => Reply::Refused(reason),
    };
    peer::message_response(&reply)
}

/// `GET`: the members of the config group, or with `of` those of the group of that replica.
pub(super) async fn get_members(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
) -> Result<Response<Body>, Failure> {
    respond(&replica, req.query("of"), &Question::List).await
}

/// `POST`: adds or removes a member.
pub(super) async fn post_members(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
) -> Result<Response<Body>, Failure> {
    let wanted: MemberRequest =
        serde_json::from_slice(&req.body).map_err(|e| refused(format!("member: {e}")))?;
    let of = wanted.of.clone();
    respond(&replica, of.as_deref(), &Question::Change(wanted)).await
}

async fn respond(
    replica: &ConfigReplica,
    of: Option<&str>,
    question: &Question,
) -> Result<Response<Body>, Failure> {
    let members = match of {
        Some(text) => {
            let address = text.parse();
            let address = address.map_err(|e| refused(format!("replica {text:?}: {e}")))?;
            forward(&replica.client, address, question).await?
        }
        None => match answer(&replica.handle, &replica.client, question).await {
            Ok(members) => members,
            Err(Cause::Log(e)) => return Err(not_done(replica, e).await),
            Err(Cause::Request(reason)) => return Err(refused(reason)),
        },
    };
    Ok(api::json_response(StatusCode::OK, &members))
}

/// Asks a replica of another group, or the leader that it names.
async fn forward(
    client: &Client,
    address: SocketAddr,
    question: &Question,
) -> Result<MembersAnswer, Failure> {
    let deadline = Instant::now() + FORWARD_TIMEOUT;
    let mut at = address;
    for _ in 0..2 {
        let asked = client.request("ask members", at, MEMBERS_PATH, question, deadline);
        match asked.await {
            Ok(Reply::Done(members)) => return Ok(members),
            Ok(Reply::NotLeader(Some(leader))) => at = leader,
            Ok(Reply::NotLeader(None)) => break,
            Ok(Reply::Refused(reason)) => return Err(refused(reason)),
            Err(e) => return Err(refused(e.to_string())),
        }
    }
    let reason = format!("the group of {address} has no leader now");
    Err(error(
        StatusCode::SERVICE_UNAVAILABLE,
        "unavailable",
        reason,
    ))
}

fn refused(reason: String) -> Failure {
    error(StatusCode::BAD_REQUEST, "bad-request", reason)
}
