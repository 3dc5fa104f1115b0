//! Routes of a control replica for the platform's operator, who reads and replaces both lists as
//! one document.

use {
    super::{
        configuration::{decode_configuration, render_configuration},
        rollouts::rollout_routes,
    },
    crate::{
        api::{self, ApiRequest, ResponseFuture, Route},
        body::{self, Body},
        control::{ConfigReplica, ReplaceError, ReplaceOutcome, Replacement},
        edits::EditId,
    },
    gotham::{pipeline::PipelineHandleChain, prelude::*, router::builder::RouterBuilder},
    http::{HeaderValue, Response, StatusCode, header},
    std::{net::SocketAddr, panic::RefUnwindSafe, sync::Arc},
};

const CONFIG_PATH: &str = "/anvilbeam/config";

/// Adds the platform's routes to the operator port.
pub(crate) fn operator_routes<C, P>(
    route: &mut RouterBuilder<'_, C, P>,
    replica: &Arc<ConfigReplica>,
) where
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    let handler = |function| Route::new(Arc::clone(replica), function);
    route.get(CONFIG_PATH).to_new_handler(handler(get_config));
    route.put(CONFIG_PATH).to_new_handler(handler(put_config));
    if replica.cfg.rollouts.is_some() {
        rollout_routes(route, replica);
    }
}

fn get_config(replica: Arc<ConfigReplica>, _req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let (cfg, interface_data) = match replica.read_confirmed().await {
            Ok(found) => found,
            Err(e) => return unavailable(&e, CONFIG_PATH),
        };
        let Some(interface_data) = interface_data else {
            return api::text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration has been accepted yet\n",
            );
        };
        match render_configuration(&cfg, &interface_data) {
            Ok(buf) => {
                let mut response = Response::new(body::full(buf));
                let json = HeaderValue::from_static("application/json");
                response.headers_mut().insert(header::CONTENT_TYPE, json);
                response
            }
            Err(reason) => {
                log::error!("version {} cannot be rendered: {reason}", cfg.version);
                api::text_response(StatusCode::SERVICE_UNAVAILABLE, &reason)
            }
        }
    })
}

fn put_config(replica: Arc<ConfigReplica>, req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let decoded = match decode_configuration(&req.body) {
            Ok(decoded) => decoded,
            Err(reason) => {
                log::warn!("configuration refused: {reason}");
                return api::text_response(StatusCode::BAD_REQUEST, &reason);
            }
        };
        let replacement = Replacement {
            // Derived from the body, so that a resend to any replica is the same edit.
            edit_id: EditId::from_text(&req.body),
            lists: decoded.lists,
            interface_data: decoded.interface_data,
            base: decoded.base,
        };
        match replica.replace(replacement).await {
            Ok(ReplaceOutcome::Accepted { .. }) => {
                api::json_response(StatusCode::OK, &serde_json::json!({}))
            }
            Ok(ReplaceOutcome::Conflict { current }) => {
                let reason =
                    format!("base version does not match: current version is {current:08x}");
                api::text_response(StatusCode::PRECONDITION_FAILED, &reason)
            }
            Ok(ReplaceOutcome::Invalid { reason }) => {
                api::text_response(StatusCode::BAD_REQUEST, &reason)
            }
            Err(e) => unavailable(&e, CONFIG_PATH),
        }
    })
}

/// Answers a request for `path` that this replica could not decide on.
pub(super) fn unavailable(e: &ReplaceError, path: &str) -> Response<Body> {
    match e {
        ReplaceError::NotLeader(leader) => redirect(*leader, path),
        ReplaceError::Unavailable(reason) => {
            log::info!("operator request refused with 503: {reason}");
            api::text_response(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

fn redirect(leader: SocketAddr, path: &str) -> Response<Body> {
    let mut response = api::text_response(
        StatusCode::TEMPORARY_REDIRECT,
        "this replica is not the leader\n",
    );
    match HeaderValue::from_str(&format!("http://{leader}{path}")) {
        Ok(location) => drop(response.headers_mut().insert(header::LOCATION, location)),
        Err(e) => log::error!("redirect without a location: leader address {leader}: {e}"),
    }
    response
}
