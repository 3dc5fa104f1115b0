//! Routes on a daemon's local port: heartbeats of the backend server and readiness.

use {
    super::heartbeat::{decode_heartbeat, decode_shutdown},
    crate::{
        api::{self, ApiRequest, ResponseFuture, Route},
        body::Body,
        clock::unix_time_ms,
        daemon::{event::Event, local, tree::Tree},
        log_event,
        model::ServerState,
    },
    gotham::{pipeline::PipelineHandleChain, prelude::*, router::builder::RouterBuilder},
    http::{Response, StatusCode},
    std::{
        panic::RefUnwindSafe,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const READINESS_PATH: &str = "/anvilbeam/readiness";
const INSTANCE_PATH: &str = "/anvilbeam/instances/:id";

/// Longest time that a backend server which leaves waits for its answer. It sends its message again
/// after a second.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Adds the platform's routes to the local port.
pub(crate) fn upstream_routes<C, P>(route: &mut RouterBuilder<'_, C, P>, tree: &Arc<Tree>)
where
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    let handler = |function| Route::new(Arc::clone(tree), function);
    let ready = Route::new(Arc::clone(tree.shared()), local::ready);
    route.get(READINESS_PATH).to_new_handler(ready);
    route.put(INSTANCE_PATH).to_new_handler(handler(heartbeat));
    route
        .delete(INSTANCE_PATH)
        .to_new_handler(handler(deregister));
}

fn server_id(req: &ApiRequest) -> &str {
    req.uri.path().rsplit('/').next().unwrap_or_default()
}

fn heartbeat(tree: Arc<Tree>, req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let shared = tree.shared();
        let id = server_id(&req);
        let checked = decode_heartbeat(id, &req.body, unix_time_ms()).and_then(|heartbeat| {
            local::check_announcement(&heartbeat.announcement)?;
            if shared.may_offer(&heartbeat.announcement.service) {
                return Ok(heartbeat);
            }
            let service = &heartbeat.announcement.service;
            Err(format!(
                "heartbeat of {id}: service {service:?} is not the one of this VM"
            ))
        });
        match checked {
            Ok(heartbeat) => {
                let event = Event::Announced(&heartbeat.announcement, heartbeat.info);
                shared.dispatch(None, event);
                match heartbeat.announcement.state {
                    ServerState::Serving => acknowledgement(),
                    ServerState::Draining => acknowledge_departure(&tree, id).await,
                }
            }
            Err(reason) => {
                log_event!(
                    crate::events::Event::AnnouncementRefused,
                    server = id,
                    reason = reason
                );
                api::text_response(StatusCode::BAD_REQUEST, &reason)
            }
        }
    })
}

fn deregister(tree: Arc<Tree>, req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let server = server_id(&req);
        let incarnation = decode_shutdown(&req.body);
        log_event!(
            crate::events::Event::EndpointDraining,
            server = server,
            reason = "the backend server is shutting down"
        );
        tree.shared().dispatch(
            None,
            Event::ServerLeaving {
                server,
                incarnation,
                unix_ms: unix_time_ms(),
            },
        );
        acknowledge_departure(&tree, server).await
    })
}

fn acknowledgement() -> Response<Body> {
    api::json_response(StatusCode::OK, &serde_json::json!({}))
}

/// Acknowledges that a server gets no more calls, once another process knows it too: this daemon could be
/// started again and would know nothing of it.
async fn acknowledge_departure(tree: &Arc<Tree>, server: &str) -> Response<Body> {
    let deadline = Instant::now() + CONFIRM_TIMEOUT;
    if tree.await_endpoint_confirmed(deadline).await {
        return acknowledgement();
    }
    let reason = "no other process has confirmed yet that the server is draining";
    log::warn!("departure of {server} not acknowledged: {reason}");
    api::text_response(StatusCode::SERVICE_UNAVAILABLE, reason)
}
