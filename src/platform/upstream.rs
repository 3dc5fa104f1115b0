//! Routes on a daemon's local port: heartbeats of the backend server and readiness.

use {
    super::heartbeat::{decode_heartbeat, decode_shutdown},
    crate::{
        api::{self, ApiRequest, ResponseFuture, Route},
        clock::unix_time_ms,
        daemon::{event::Event, local, shared::Shared},
        log_event,
    },
    gotham::{pipeline::PipelineHandleChain, prelude::*, router::builder::RouterBuilder},
    http::StatusCode,
    std::{panic::RefUnwindSafe, sync::Arc},
};

const READINESS_PATH: &str = "/anvilbeam/readiness";
const INSTANCE_PATH: &str = "/anvilbeam/instances/:id";

/// Adds the platform's routes to the local port.
pub(crate) fn upstream_routes<C, P>(route: &mut RouterBuilder<'_, C, P>, shared: &Arc<Shared>)
where
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    let handler = |function| Route::new(Arc::clone(shared), function);
    route
        .get(READINESS_PATH)
        .to_new_handler(handler(local::ready));
    route.put(INSTANCE_PATH).to_new_handler(handler(heartbeat));
    route
        .delete(INSTANCE_PATH)
        .to_new_handler(handler(deregister));
}

fn server_id(req: &ApiRequest) -> &str {
    req.uri.path().rsplit('/').next().unwrap_or_default()
}

fn heartbeat(shared: Arc<Shared>, req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let id = server_id(&req);
        let checked = decode_heartbeat(id, &req.body).and_then(|heartbeat| {
            local::check_announcement(&heartbeat.announcement)?;
            if shared.is_known_service(&heartbeat.announcement.service) {
                return Ok(heartbeat);
            }
            let service = &heartbeat.announcement.service;
            Err(format!("heartbeat of {id}: unknown service {service:?}"))
        });
        match checked {
            Ok(heartbeat) => {
                local::apply_announcement(&shared, &heartbeat.announcement, heartbeat.info);
                api::json_response(StatusCode::OK, &serde_json::json!({}))
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

fn deregister(shared: Arc<Shared>, req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let server = server_id(&req);
        let incarnation = decode_shutdown(&req.body);
        log_event!(
            crate::events::Event::EndpointDraining,
            server = server,
            reason = "the backend server is shutting down"
        );
        shared.dispatch(
            None,
            Event::ServerLeaving {
                server,
                incarnation,
                unix_ms: unix_time_ms(),
            },
        );
        api::json_response(StatusCode::OK, &serde_json::json!({}))
    })
}
