//! HTTP interface of the operator port: lists, edits, status and members.

use {
    super::{
        config::ConfigReplica,
        health, identity,
        members::{self, get_members, post_members},
        rollout_operators::{get_rollout, post_rollout},
    },
    crate::{
        api::{self, ApiRequest, ResponseFuture, Route},
        body::Body,
        call,
        clock::unix_time_ms,
        edits::{EditCommand, EditId, EditReply},
        events::Event,
        lists::{self, AnnouncedServers, Lists, Problem},
        log_event,
        model::{Config, Version},
        operator_api::{
            ConflictResponse, EDITS, EditRequest, EditResponse, ErrorResponse, LISTS,
            ListsResponse, MEMBERS, ProblemsResponse, ROLLOUTS, STATUS, StatusResponse, VALIDATE,
            ValidateResponse,
        },
        platform,
        replica::RequestError,
        settings::Interface,
        versions::Change,
        wire,
    },
    gotham::{
        prelude::*,
        router::{Router, build_simple_router},
    },
    http::{Response, StatusCode},
    serde::Serialize,
    std::sync::Arc,
};

/// Error response to an operator's request.
pub(super) struct OperatorError {
    status: StatusCode,
    body: serde_json::Value,
}

impl OperatorError {
    pub(super) fn new<A: Serialize>(status: StatusCode, body: &A) -> Self {
        Self {
            status,
            body: serde_json::to_value(body).unwrap_or_default(),
        }
    }

    fn to_response(&self) -> Response<Body> {
        api::json_response(self.status, &self.body)
    }
}

/// Returns the routes of the operator port.
pub(super) fn router(replica: &Arc<ConfigReplica>) -> Router {
    let route_to = |handler| Route::new(Arc::clone(replica), handler);
    build_simple_router(|route| {
        health::routes(route, replica);
        if replica.cfg.interface == Interface::Platform {
            platform::operator_routes(route, replica);
        }
        route
            .get(LISTS)
            .to_new_handler(route_to(|r, req| authenticated(r, req, get_lists)));
        route
            .post(EDITS)
            .to_new_handler(route_to(|r, req| authenticated(r, req, post_edit)));
        route
            .post(VALIDATE)
            .to_new_handler(route_to(|r, req| authenticated(r, req, post_validate)));
        route
            .get(STATUS)
            .to_new_handler(route_to(|r, req| authenticated(r, req, get_status)));
        route
            .get(MEMBERS)
            .to_new_handler(route_to(|r, req| authenticated(r, req, get_members)));
        route
            .post(MEMBERS)
            .to_new_handler(route_to(|r, req| authenticated(r, req, post_members)));
        if replica.cfg.rollouts.is_some() {
            route
                .get(ROLLOUTS)
                .to_new_handler(route_to(|r, req| authenticated(r, req, get_rollout)));
            route
                .post(ROLLOUTS)
                .to_new_handler(route_to(|r, req| authenticated(r, req, post_rollout)));
        }
    })
}

/// Answers a request that has the token of an operator; any other with 401.
fn authenticated<F>(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
    handler: fn(Arc<ConfigReplica>, ApiRequest) -> F,
) -> ResponseFuture
where
    F: Future<Output = Result<Response<Body>, OperatorError>> + Send + 'static,
{
    Box::pin(async move {
        let token = call::bearer_token(&req.headers).unwrap_or_default();
        let Some(operator) = replica.cfg.operator(token) else {
            log_event!(Event::OperatorRefused, path = req.uri.path());
            return error(
                StatusCode::UNAUTHORIZED,
                "unauthorized",
                "no operator has this token",
            )
            .to_response();
        };
        log::debug!("request of operator {}: {}", operator.name, req.uri);
        handler(Arc::clone(&replica), req)
            .await
            .unwrap_or_else(|e| e.to_response())
    })
}

pub(super) fn error(status: StatusCode, code: &str, reason: impl Into<String>) -> OperatorError {
    let response = ErrorResponse {
        error: code.to_owned(),
        reason: reason.into(),
        leader: None,
    };
    OperatorError::new(status, &response)
}

/// Returns the 503 response for a failed operation on the log. If another replica leads, it names
/// that replica's operator address.
pub(super) async fn unavailable_response(
    replica: &ConfigReplica,
    e: RequestError,
) -> OperatorError {
    let RequestError::NotLeader(leader) = e else {
        return error(
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
            e.to_string(),
        );
    };
    let operator_address = match &leader {
        Some(leader) => identity::fetch(&replica.client, leader.address)
            .await
            .ok()
            .and_then(|identity| identity.operator_address),
        None => None,
    };
    let response = ErrorResponse {
        error: "not-leader".to_owned(),
        reason: match leader {
            Some(leader) => format!("replica {} is the leader", leader.name),
            None => "no leader is elected; a majority of the config group is needed".to_owned(),
        },
        leader: operator_address.map(|address| address.to_string()),
    };
    OperatorError::new(StatusCode::SERVICE_UNAVAILABLE, &response)
}

/// Reads the current version, confirmed by a majority.
async fn current_config(replica: &ConfigReplica) -> Result<Arc<Config>, OperatorError> {
    match replica
        .handle
        .read(|state| Arc::clone(state.store().config()))
        .await
    {
        Ok(cfg) => Ok(cfg),
        Err(e) => Err(unavailable_response(replica, e).await),
    }
}

async fn get_lists(
    replica: Arc<ConfigReplica>,
    _req: ApiRequest,
) -> Result<Response<Body>, OperatorError> {
    let cfg = current_config(&replica).await?;
    let lists = Lists::from_config(&cfg);
    let response = ListsResponse {
        version: cfg.version.0,
        plans: lists::render_plans(&lists),
        grants: lists::render_grants(&lists),
    };
    Ok(api::json_response(StatusCode::OK, &response))
}

fn parse_edit(req: &ApiRequest) -> Result<EditRequest, OperatorError> {
    serde_json::from_slice(&req.body)
        .map_err(|e| error(StatusCode::BAD_REQUEST, "bad-request", format!("edit: {e}")))
}

/// Validates the lists of an edit; a list that the edit omits stays unchanged.
fn check(cfg: &Config, edit: &EditRequest) -> Result<Lists, Vec<Problem>> {
    let current_lists = Lists::from_config(cfg);
    let plans = edit
        .plans
        .clone()
        .unwrap_or_else(|| lists::render_plans(&current_lists));
    let grants = edit
        .grants
        .clone()
        .unwrap_or_else(|| lists::render_grants(&current_lists));
    lists::parse_lists(&plans, &grants)
}

/// Returns the names of the announced servers of each service.
fn announced_servers(replica: &ConfigReplica) -> AnnouncedServers {
    let mut announced = AnnouncedServers::new();
    replica.tree.directory(|directory| {
        for endpoint in directory.iter() {
            let servers = announced.entry(endpoint.service.clone()).or_default();
            servers.insert(endpoint.server.clone());
        }
    });
    announced
}

async fn post_validate(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
) -> Result<Response<Body>, OperatorError> {
    let edit = parse_edit(&req)?;
    let cfg = current_config(&replica).await?;
    let response = match check(&cfg, &edit) {
        Ok(lists) => ValidateResponse {
            problems: Vec::new(),
            warnings: lists::warnings(&lists, &announced_servers(&replica)),
        },
        Err(problems) => ValidateResponse {
            problems,
            warnings: Vec::new(),
        },
    };
    Ok(api::json_response(StatusCode::OK, &response))
}

async fn post_edit(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
) -> Result<Response<Body>, OperatorError> {
    let edit = parse_edit(&req)?;
    let id = EditId::from_text(edit.edit_id.as_bytes());
    let found = replica
        .handle
        .read(move |state| (state.accepted_edit(id), Arc::clone(state.store().config())))
        .await;
    let (accepted, cfg) = match found {
        Ok(found) => found,
        Err(e) => return Err(unavailable_response(&replica, e).await),
    };
    if let Some(accepted) = accepted {
        return Ok(edit_response(&edit, accepted.version, true, Vec::new()));
    }
    let base = Version(edit.base_version);
    if base != cfg.version {
        return Ok(conflict(&edit, cfg.version));
    }
    let lists = check(&cfg, &edit).map_err(|problems| invalid(&edit, problems))?;
    let warnings = lists::warnings(&lists, &announced_servers(&replica));
    let change = change_between(&cfg, &lists);
    if change.is_empty() {
        return Ok(edit_response(&edit, cfg.version, false, warnings));
    }
    let command = EditCommand {
        edit_id: id,
        base,
        change,
        time: unix_time_ms(),
        interface_data: None,
    };
    match propose(&replica, &command).await? {
        EditReply::Accepted { version } => Ok(edit_response(&edit, version, false, warnings)),
        EditReply::Repeated { version } => Ok(edit_response(&edit, version, true, warnings)),
        EditReply::Conflict { current } => Ok(conflict(&edit, current)),
        EditReply::Invalid { reason } => {
            Err(error(StatusCode::UNPROCESSABLE_ENTITY, "invalid", reason))
        }
    }
}

async fn propose(
    replica: &ConfigReplica,
    command: &EditCommand,
) -> Result<EditReply, OperatorError> {
    let codec_error =
        |e: crate::error::Error| error(StatusCode::UNPROCESSABLE_ENTITY, "invalid", e.to_string());
    let buf = wire::encode(command).map_err(codec_error)?;
    match replica.handle.propose(buf).await {
        Ok(reply) => wire::decode(&reply).map_err(codec_error),
        Err(RequestError::Lost) => Err(error(
            StatusCode::SERVICE_UNAVAILABLE,
            "unknown",
            "this replica lost its leadership before the edit was committed; send it again with the same edit id",
        )),
        Err(e) => Err(unavailable_response(replica, e).await),
    }
}

/// Logs the result of an edit and returns its response. The event has the edit id as the operator
/// wrote it; the replicated log holds only its hash.
fn edit_response(
    edit: &EditRequest,
    version: Version,
    repeated: bool,
    warnings: Vec<Problem>,
) -> Response<Body> {
    let event = if repeated {
        Event::EditRepeated
    } else {
        Event::VersionAccepted
    };
    log_event!(event, version = version, edit = edit.edit_id);
    let response = EditResponse {
        version: version.0,
        repeated,
        warnings,
    };
    api::json_response(StatusCode::OK, &response)
}

fn conflict(edit: &EditRequest, current: Version) -> Response<Body> {
    log_event!(
        Event::EditConflict,
        base = edit.base_version,
        current = current,
        edit = edit.edit_id
    );
    let response = ConflictResponse {
        error: "conflict".to_owned(),
        current_version: current.0,
    };
    api::json_response(StatusCode::CONFLICT, &response)
}

fn invalid(edit: &EditRequest, problems: Vec<Problem>) -> OperatorError {
    log_event!(
        Event::EditRefused,
        edit = edit.edit_id,
        problems = problems.len()
    );
    let response = ProblemsResponse {
        error: "invalid".to_owned(),
        problems,
    };
    OperatorError::new(StatusCode::UNPROCESSABLE_ENTITY, &response)
}

/// Returns the change that turns `cfg` into `lists`.
pub(super) fn change_between(cfg: &Config, lists: &Lists) -> Change {
    let plans = lists.plans.values();
    let grants = lists.grants.values();
    Change {
        plans: plans
            .filter(|plan| cfg.plans.get(&plan.name) != Some(*plan))
            .cloned()
            .collect(),
        removed_plans: removed_keys(cfg.plans.keys(), |name| lists.plans.contains_key(name)),
        grants: grants
            .filter(|grant| cfg.grants.get(&grant.key()) != Some(*grant))
            .cloned()
            .collect(),
        removed_grants: removed_keys(cfg.grants.keys(), |key| lists.grants.contains_key(key)),
    }
}

fn removed_keys<'a, K: Clone + 'a>(
    keys: impl Iterator<Item = &'a K>,
    is_kept: impl Fn(&K) -> bool,
) -> Vec<K> {
    keys.filter(|key| !is_kept(key)).cloned().collect()
}

async fn get_status(
    replica: Arc<ConfigReplica>,
    _req: ApiRequest,
) -> Result<Response<Body>, OperatorError> {
    let cfg = current_config(&replica).await?;
    let group = members::list_members(&replica.handle);
    let response = StatusResponse {
        version: cfg.version.0,
        leader: group.leader,
        members: group.members,
        data_centres: replica.tree.status(),
    };
    Ok(api::json_response(StatusCode::OK, &response))
}
