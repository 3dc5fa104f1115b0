//! Orders and states of rollouts on the operator port.

use {
    super::{
        config::ConfigReplica,
        operators::{OperatorError, error},
        replace::ReplaceError,
        rollouts::OrderOutcome,
    },
    crate::{
        api::{self, ApiRequest},
        body::Body,
        lists::check_name,
        operator_api::{ErrorResponse, RolloutRequest, RolloutResponse},
        rollouts::{Order, RolloutState, WHOLE},
    },
    http::{Response, StatusCode},
    std::sync::Arc,
};

pub(super) async fn post_rollout(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
) -> Result<Response<Body>, OperatorError> {
    let invalid = |reason: String| error(StatusCode::UNPROCESSABLE_ENTITY, "invalid", reason);
    let request: RolloutRequest = serde_json::from_slice(&req.body).map_err(|e| {
        let reason = format!("order: {e}");
        error(StatusCode::BAD_REQUEST, "bad-request", reason)
    })?;
    check_name(&request.service).map_err(|e| invalid(format!("service: {e}")))?;
    let order = Order {
        service: request.service.as_str().into(),
        target: request.version,
        duration_ms: request.duration_ms,
    };
    match replica.order_rollout(order).await {
        Ok(OrderOutcome::Accepted) => rollout_response(&replica, &request.service).await,
        Ok(OrderOutcome::InProgress(other)) => {
            let reason = format!("the rollout of {} is in progress", other.target);
            Err(error(StatusCode::CONFLICT, "conflict", reason))
        }
        Ok(OrderOutcome::Invalid(reason)) => Err(invalid(reason)),
        Err(e) => Err(unavailable(e)),
    }
}

pub(super) async fn get_rollout(
    replica: Arc<ConfigReplica>,
    req: ApiRequest,
) -> Result<Response<Body>, OperatorError> {
    let Some(service) = req.query("service") else {
        let reason = "the query parameter service is required";
        return Err(error(StatusCode::BAD_REQUEST, "bad-request", reason));
    };
    rollout_response(&replica, service).await
}

async fn rollout_response(
    replica: &ConfigReplica,
    service: &str,
) -> Result<Response<Body>, OperatorError> {
    let rollout = replica.read_rollout(service.into()).await;
    let Some(rollout) = rollout.map_err(unavailable)? else {
        let reason = format!("no rollout of service {service:?} was ordered");
        return Err(error(StatusCode::NOT_FOUND, "unknown", reason));
    };
    let rollouts = replica.rollouts.as_ref();
    let progress = rollouts.and_then(|rollouts| rollouts.progress(&service.into()));
    let running = rollout.state == RolloutState::Running;
    let (share, progress) = progress.filter(|_| running).unwrap_or_default();
    let response = RolloutResponse {
        service: service.to_owned(),
        version: rollout.target,
        state: rollout.state.to_string(),
        deadline_ms: rollout.deadline_ms,
        share_percent: match rollout.state {
            RolloutState::Running => share / (WHOLE / 100),
            RolloutState::Succeeded => 100,
            RolloutState::RolledBack => 0,
        },
        progress,
    };
    Ok(api::json_response(StatusCode::OK, &response))
}

fn unavailable(e: ReplaceError) -> OperatorError {
    let (code, reason, leader) = match e {
        ReplaceError::NotLeader(leader) => {
            let reason = "this replica is not the leader".to_owned();
            ("not-leader", reason, Some(leader.to_string()))
        }
        ReplaceError::Unavailable(reason) => ("unavailable", reason, None),
    };
    let response = ErrorResponse {
        error: code.to_owned(),
        reason,
        leader,
    };
    OperatorError::new(StatusCode::SERVICE_UNAVAILABLE, &response)
}
