//! A replica of a claims group, which stores the idempotency keys of one home region.

use {
    super::{members, replication},
    crate::{
        body::Body,
        claim_client::{CLAIM_PATH, ClaimAnswer, PEEK_PATH, PeekAnswer},
        claims::{self, ClaimKey, Claims, Command},
        clock::unix_time_ms,
        error::Result,
        peer::{self, Client},
        replica::{self, Handle, Options, RequestError, StateMachine},
        wire,
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    std::thread::JoinHandle,
};

/// Starts the replica on its data folder.
pub(super) fn start(
    options: Options,
    client: Client,
) -> Result<(Handle<Claims>, JoinHandle<Result<()>>)> {
    let machine = StateMachine {
        state: Claims::default(),
        apply: claims::apply,
        snapshot: claims::snapshot,
        restore: claims::restore,
    };
    replica::start(options, machine, replication::sender(client))
}

/// Answers one request on the peer port.
pub(super) async fn answer_peer(
    handle: &Handle<Claims>,
    client: &Client,
    req: Request<Incoming>,
) -> Response<Body> {
    match req.uri().path() {
        super::RAFT_PATH => replication::receive(handle, req).await,
        members::MEMBERS_PATH => members::answer_members(handle, client, req).await,
        CLAIM_PATH => match peer::read_message::<Command>(req).await {
            Ok(command) => peer::message_response(&propose(handle, command).await),
            Err(e) => {
                log::warn!("claims command rejected: {e}");
                peer::empty_response(StatusCode::BAD_REQUEST)
            }
        },
        PEEK_PATH => match peer::read_message::<ClaimKey>(req).await {
            Ok(key) => peer::message_response(&peek(handle, key).await),
            Err(e) => {
                log::warn!("request for the state of a key rejected: {e}");
                peer::empty_response(StatusCode::BAD_REQUEST)
            }
        },
        _ => peer::empty_response(StatusCode::NOT_FOUND),
    }
}

async fn peek(handle: &Handle<Claims>, key: ClaimKey) -> PeekAnswer {
    match handle.read(move |claims| claims.peek(&key)).await {
        Ok(known) => PeekAnswer::Known(known),
        Err(RequestError::NotLeader(leader)) => {
            PeekAnswer::NotLeader(leader.map(|leader| leader.address))
        }
        Err(_) => PeekAnswer::NotLeader(None),
    }
}

/// Sets the time of a command, proposes it and waits for the reply of the state machine.
async fn propose(handle: &Handle<Claims>, mut command: Command) -> ClaimAnswer {
    command.set_time(unix_time_ms());
    let Ok(buf) = wire::encode(&command) else {
        return ClaimAnswer::Lost;
    };
    match handle.propose(buf).await {
        Ok(reply) => match wire::decode(&reply) {
            Ok(reply) => ClaimAnswer::Reply(reply),
            Err(e) => {
                log::error!("reply of the claims state machine not decoded: {e}");
                ClaimAnswer::Lost
            }
        },
        Err(RequestError::NotLeader(leader)) => {
            ClaimAnswer::NotLeader(leader.map(|leader| leader.address))
        }
        Err(RequestError::Stopped | RequestError::Refused(_) | RequestError::Superseded) => {
            ClaimAnswer::NotLeader(None)
        }
        Err(RequestError::Lost) => ClaimAnswer::Lost,
    }
}
