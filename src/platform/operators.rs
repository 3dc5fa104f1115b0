//! Routes of a control replica for the platform's operator: one document holds both lists.

use {
    super::configuration::{decode, render},
    crate::{
        api::{self, Answer, Ask, Route},
        body::{self, Body},
        control::{ConfigReplica, ReplaceError, Replaced, Replacement},
        edits::EditId,
    },
    gotham::{pipeline::PipelineHandleChain, prelude::*, router::builder::RouterBuilder},
    http::{HeaderValue, Response, StatusCode, header},
    std::{net::SocketAddr, panic::RefUnwindSafe, sync::Arc},
};

const CONFIG: &str = "/anvilbeam/config";

/// Adds the platform's routes to those of the operators' port.
pub(crate) fn operator_routes<C, P>(
    route: &mut RouterBuilder<'_, C, P>,
    replica: &Arc<ConfigReplica>,
) where
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    let to = |answer| Route::new(Arc::clone(replica), answer);
    route.get(CONFIG).to_new_handler(to(get_config));
    route.put(CONFIG).to_new_handler(to(put_config));
}

fn get_config(replica: Arc<ConfigReplica>, _ask: Ask) -> Answer {
    Box::pin(async move {
        let (cfg, origin) = match replica.confirmed().await {
            Ok(found) => found,
            Err(e) => return unavailable(&e),
        };
        let Some(origin) = origin else {
            return api::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        };
        match render(&cfg, &origin) {
            Ok(buf) => {
                let mut response = Response::new(body::full(buf));
                let json = HeaderValue::from_static("application/json");
                response.headers_mut().insert(header::CONTENT_TYPE, json);
                response
            }
            Err(reason) => {
                log::error!("version {} can't be rendered: {reason}", cfg.version);
                api::text(StatusCode::SERVICE_UNAVAILABLE, &reason)
            }
        }
    })
}

fn put_config(replica: Arc<ConfigReplica>, ask: Ask) -> Answer {
    Box::pin(async move {
        let decoded = match decode(&ask.body) {
            Ok(decoded) => decoded,
            Err(reason) => {
                log::warn!("configuration refused: {reason}");
                return api::text(StatusCode::BAD_REQUEST, &reason);
            }
        };
        let replacement = Replacement {
            // The same bytes are the same edit, from whichever replica they come.
            edit_id: EditId::of(&ask.body),
            lists: decoded.lists,
            origin: decoded.origin,
            base: decoded.base,
        };
        match replica.replace(replacement).await {
            Ok(Replaced::Accepted) => api::json(StatusCode::OK, &serde_json::json!({})),
            Ok(Replaced::Conflict { current }) => {
                let reason = format!("version {current:08x} is current");
                api::text(StatusCode::PRECONDITION_FAILED, &reason)
            }
            Ok(Replaced::Invalid { reason }) => api::text(StatusCode::BAD_REQUEST, &reason),
            Err(e) => unavailable(&e),
        }
    })
}

fn unavailable(e: &ReplaceError) -> Response<Body> {
    match e {
        ReplaceError::Elsewhere(leader) => redirect(*leader),
        ReplaceError::Unavailable(reason) => {
            log::info!("operator sent on: {reason}");
            api::text(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

fn redirect(leader: SocketAddr) -> Response<Body> {
    let mut response = api::text(StatusCode::TEMPORARY_REDIRECT, "another replica leads\n");
    match HeaderValue::from_str(&format!("http://{leader}{CONFIG}")) {
        Ok(location) => drop(response.headers_mut().insert(header::LOCATION, location)),
        Err(e) => log::error!("address of the leader {leader}: {e}"),
    }
    response
}
