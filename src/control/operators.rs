//! The operators' HTTP interface.

use {
    super::{
        claims::clock_ms,
        config::ConfigReplica,
        health, identity,
        members::{self, get_members, post_members},
    },
    crate::{
        api::{self, ApiRequest, ResponseFuture, Route},
        body::Body,
        call,
        edits::{EditCommand, EditId, EditReply},
        events::Event,
        lists::{self, Announced, Lists, Problem},
        log_event,
        model::{Config, Version},
        operator_api::{
            ConflictAnswer, EDITS, EditAnswer, EditRequest, ErrorAnswer, LISTS, ListsAnswer,
            MEMBERS, ProblemsAnswer, STATUS, StatusAnswer, VALIDATE, ValidateAnswer,
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

/// Why a request is not done, as an answer.
pub(super) struct Failure {
    status: StatusCode,
    answer: serde_json::Value,
}

impl Failure {
    fn new<A: Serialize>(status: StatusCode, answer: &A) -> Self {
        Self {
            status,
            answer: serde_json::to_value(answer).unwrap_or_default(),
        }
    }

    fn response(&self) -> Response<Body> {
        api::json_response(self.status, &self.answer)
    }
}

/// Routes of the operator port.
pub(super) fn router(replica: &Arc<ConfigReplica>) -> Router {
    let to = |answer| Route::new(Arc::clone(replica), answer);
    build_simple_router(|route| {
        health::routes(route, replica);
        if replica.cfg.interface == Interface::Platform {
            platform::operator_routes(route, replica);
        }
        route
            .get(LISTS)
            .to_new_handler(to(|r, req| guarded(r, req, get_lists)));
        route
            .post(EDITS)
            .to_new_handler(to(|r, req| guarded(r, req, post_edit)));
        route
            .post(VALIDATE)
            .to_new_handler(to(|r, req| guarded(r, req, post_validate)));
        route
            .get(STATUS)
            .to_new_handler(to(|r, req| guarded(r, req, get_status)));
        route
            .get(MEMBERS)
            .to_new_handler(to(|r, req| guarded(r, req, get_members)));
        route
            .post(MEMBERS)
            .to_new_handler(to(|r, req| guarded(r, req, post_members)));
    })
}

/// Checks the operator's token before the request is answered.
fn guarded<F>(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
    answer: fn(Arc<ConfigReplica>, ApiRequest) -> F,
) -> ResponseFuture
where
    F: Future<Output = Result<Response<Body>, Failure>> + Send + 'static,
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
            .response();
        };
        log::debug!("operator {} asks for {}", operator.name, req.uri);
        answer(Arc::clone(&replica), req)
            .await
            .unwrap_or_else(|e| e.response())
    })
}

pub(super) fn error(status: StatusCode, code: &str, reason: impl Into<String>) -> Failure {
    let answer = ErrorAnswer {
        error: code.to_owned(),
        reason: reason.into(),
        leader: None,
    };
    Failure::new(status, &answer)
}

/// An answer that sends the operator to the leader.
pub(super) async fn not_done(replica: &ConfigReplica, e: RequestError) -> Failure {
    let RequestError::NotLeader(leader) = e else {
        return error(
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
            e.to_string(),
        );
    };
    let operator_address = match &leader {
        Some(leader) => identity::ask(&replica.client, leader.address)
            .await
            .ok()
            .and_then(|identity| identity.operator_address),
        None => None,
    };
    let answer = ErrorAnswer {
        error: "not-leader".to_owned(),
        reason: match leader {
            Some(leader) => format!("replica {} leads", leader.name),
            None => "no replica leads; a majority of the config group is needed".to_owned(),
        },
        leader: operator_address.map(|address| address.to_string()),
    };
    Failure::new(StatusCode::SERVICE_UNAVAILABLE, &answer)
}

async fn current(replica: &ConfigReplica) -> Result<Arc<Config>, Failure> {
    match replica
        .handle
        .read(|state| Arc::clone(state.store().config()))
        .await
    {
        Ok(cfg) => Ok(cfg),
        Err(e) => Err(not_done(replica, e).await),
    }
}

async fn get_lists(
    replica: Arc<ConfigReplica>,
    _req: ApiRequest,
) -> Result<Response<Body>, Failure> {
    let cfg = current(&replica).await?;
    let lists = Lists::from_config(&cfg);
    let answer = ListsAnswer {
        version: cfg.version.0,
        plans: lists::render_plans(&lists),
        grants: lists::render_grants(&lists),
    };
    Ok(api::json_response(StatusCode::OK, &answer))
}

fn read_edit(req: &ApiRequest) -> Result<EditRequest, Failure> {
    serde_json::from_slice(&req.body)
        .map_err(|e| error(StatusCode::BAD_REQUEST, "bad-request", format!("edit: {e}")))
}

/// Checks the lists of an edit; a list that it leaves out stays as it is.
fn check(cfg: &Config, edit: &EditRequest) -> Result<Lists, Vec<Problem>> {
    let kept = Lists::from_config(cfg);
    let plans = edit
        .plans
        .clone()
        .unwrap_or_else(|| lists::render_plans(&kept));
    let grants = edit
        .grants
        .clone()
        .unwrap_or_else(|| lists::render_grants(&kept));
    lists::check(&plans, &grants)
}

fn announced(replica: &ConfigReplica) -> Announced {
    let mut announced = Announced::new();
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
) -> Result<Response<Body>, Failure> {
    let edit = read_edit(&req)?;
    let cfg = current(&replica).await?;
    let answer = match check(&cfg, &edit) {
        Ok(lists) => ValidateAnswer {
            problems: Vec::new(),
            warnings: lists::warnings(&lists, &announced(&replica)),
        },
        Err(problems) => ValidateAnswer {
            problems,
            warnings: Vec::new(),
        },
    };
    Ok(api::json_response(StatusCode::OK, &answer))
}

async fn post_edit(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
) -> Result<Response<Body>, Failure> {
    let edit = read_edit(&req)?;
    let id = EditId::of(edit.edit_id.as_bytes());
    let found = replica
        .handle
        .read(move |state| (state.accepted(id), Arc::clone(state.store().config())))
        .await;
    let (accepted, cfg) = match found {
        Ok(found) => found,
        Err(e) => return Err(not_done(&replica, e).await),
    };
    if let Some(accepted) = accepted {
        return Ok(edit_answer(&edit, accepted.version, true, Vec::new()));
    }
    let base = Version(edit.base_version);
    if base != cfg.version {
        return Ok(conflict(&edit, cfg.version));
    }
    let lists = check(&cfg, &edit).map_err(|problems| invalid(&edit, problems))?;
    let warnings = lists::warnings(&lists, &announced(&replica));
    let change = change_between(&cfg, &lists);
    if change.is_empty() {
        return Ok(edit_answer(&edit, cfg.version, false, warnings));
    }
    let command = EditCommand {
        edit_id: id,
        base,
        change,
        time: clock_ms(),
        origin: None,
    };
    match propose(&replica, &command).await? {
        EditReply::Accepted { version } => Ok(edit_answer(&edit, version, false, warnings)),
        EditReply::Repeated { version } => Ok(edit_answer(&edit, version, true, warnings)),
        EditReply::Conflict { current } => Ok(conflict(&edit, current)),
        EditReply::Invalid { reason } => {
            Err(error(StatusCode::UNPROCESSABLE_ENTITY, "invalid", reason))
        }
    }
}

async fn propose(replica: &ConfigReplica, command: &EditCommand) -> Result<EditReply, Failure> {
    let too_large =
        |e: crate::error::Error| error(StatusCode::UNPROCESSABLE_ENTITY, "invalid", e.to_string());
    let buf = wire::encode(command).map_err(too_large)?;
    match replica.handle.propose(buf).await {
        Ok(reply) => wire::decode(&reply).map_err(too_large),
        Err(RequestError::Lost) => Err(error(
            StatusCode::SERVICE_UNAVAILABLE,
            "unknown",
            "the leader lost contact before the edit was decided; send it again with the same edit id",
        )),
        Err(e) => Err(not_done(replica, e).await),
    }
}

/// Operators name an edit with any text.
fn edit_answer(
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
    let answer = EditAnswer {
        version: version.0,
        repeated,
        warnings,
    };
    api::json_response(StatusCode::OK, &answer)
}

fn conflict(edit: &EditRequest, current: Version) -> Response<Body> {
    log_event!(
        Event::EditConflict,
        base = edit.base_version,
        current = current,
        edit = edit.edit_id
    );
    let answer = ConflictAnswer {
        error: "conflict".to_owned(),
        current_version: current.0,
    };
    api::json_response(StatusCode::CONFLICT, &answer)
}

fn invalid(edit: &EditRequest, problems: Vec<Problem>) -> Failure {
    log_event!(
        Event::EditRefused,
        edit = edit.edit_id,
        problems = problems.len()
    );
    let answer = ProblemsAnswer {
        error: "invalid".to_owned(),
        problems,
    };
    Failure::new(StatusCode::UNPROCESSABLE_ENTITY, &answer)
}

pub(super) fn change_between(cfg: &Config, lists: &Lists) -> Change {
    let plans = lists.plans.values();
    let grants = lists.grants.values();
    Change {
        plans: plans
            .filter(|plan| cfg.plans.get(&plan.name) != Some(*plan))
            .cloned()
            .collect(),
        removed_plans: missing(cfg.plans.keys(), |name| lists.plans.contains_key(name)),
        grants: grants
            .filter(|grant| cfg.grants.get(&grant.key()) != Some(*grant))
            .cloned()
            .collect(),
        removed_grants: missing(cfg.grants.keys(), |key| lists.grants.contains_key(key)),
    }
}

fn missing<'a, K: Clone + 'a>(
    keys: impl Iterator<Item = &'a K>,
    kept: impl Fn(&K) -> bool,
) -> Vec<K> {
    keys.filter(|key| !kept(key)).cloned().collect()
}

async fn get_status(
    replica: Arc<ConfigReplica>,
    _req: ApiRequest,
) -> Result<Response<Body>, Failure> {
    let cfg = current(&replica).await?;
    let group = members::show(&replica.handle);
    let answer = StatusAnswer {
        version: cfg.version.0,
        leader: group.leader,
        members: group.members,
        data_centres: replica.tree.status(),
    };
    Ok(api::json_response(StatusCode::OK, &answer))
}
