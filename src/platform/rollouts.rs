//! Routes of a control replica for the platform's orders of rollouts.

use {
    super::{operators::unavailable, units::Millis},
    crate::{
        api::{self, ApiRequest, ResponseFuture, Route},
        control::{ConfigReplica, OrderOutcome},
        lists::check_name,
        rollouts::{Order, RolloutState},
    },
    gotham::{pipeline::PipelineHandleChain, prelude::*, router::builder::RouterBuilder},
    http::StatusCode,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::{panic::RefUnwindSafe, sync::Arc},
};

const ROLLOUTS_PATH: &str = "/anvilbeam/rollouts";
const ROLLOUT_PATH: &str = "/anvilbeam/rollouts/:service";

#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
struct OrderBody {
    service: String,
    target_version: String,
    #[serde_as(as = "Millis")]
    duration: u64,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct StateBody {
    state: RolloutState,
    target_version: String,
}

/// Adds the routes of rollouts to the operator port.
pub(super) fn rollout_routes<C, P>(
    route: &mut RouterBuilder<'_, C, P>,
    replica: &Arc<ConfigReplica>,
) where
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    let handler = |function| Route::new(Arc::clone(replica), function);
    route.post(ROLLOUTS_PATH).to_new_handler(handler(order));
    route.get(ROLLOUT_PATH).to_new_handler(handler(read));
}

/// Decodes an order.
///
/// # Errors
/// Returns a description of the invalid part.
pub(super) fn decode_order(body: &[u8]) -> Result<Order, String> {
    let body: OrderBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    check_name(&body.service).map_err(|e| format!("service: {e}"))?;
    let order = Order {
        service: body.service.as_str().into(),
        target: body.target_version,
        duration_ms: body.duration,
    };
    order.check()?;
    Ok(order)
}

fn order(replica: Arc<ConfigReplica>, req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let order = match decode_order(&req.body) {
            Ok(order) => order,
            Err(reason) => {
                log::warn!("order of a rollout refused: {reason}");
                return api::text_response(StatusCode::BAD_REQUEST, &reason);
            }
        };
        match replica.order_rollout(order).await {
            Ok(OrderOutcome::Accepted) => {
                api::json_response(StatusCode::OK, &serde_json::json!({}))
            }
            Ok(OrderOutcome::InProgress(other)) => {
                let reason = format!("the rollout of {} is in progress\n", other.target);
                api::text_response(StatusCode::CONFLICT, &reason)
            }
            Ok(OrderOutcome::Invalid(reason)) => {
                api::text_response(StatusCode::BAD_REQUEST, &reason)
            }
            Err(e) => unavailable(&e, ROLLOUTS_PATH),
        }
    })
}

fn read(replica: Arc<ConfigReplica>, req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let path = req.uri.path();
        let service = path.rsplit('/').next().unwrap_or_default();
        match replica.read_rollout(service.into()).await {
            Ok(Some(rollout)) => {
                let body = StateBody {
                    state: rollout.state,
                    target_version: rollout.target,
                };
                api::json_response(StatusCode::OK, &body)
            }
            Ok(None) => {
                let reason = format!("no rollout of service {service:?} was ordered\n");
                api::text_response(StatusCode::NOT_FOUND, &reason)
            }
            Err(e) => unavailable(&e, path),
        }
    })
}
