//! Routes of a daemon for its backend server and for questions about readiness.

use {
    super::heartbeat::{decode_farewell, decode_heartbeat},
    crate::{
        api::{self, Answer, Ask, Route},
        daemon::{event::Event, local, shared::Shared},
        log_event,
    },
    gotham::{pipeline::PipelineHandleChain, prelude::*, router::builder::RouterBuilder},
    http::StatusCode,
    std::{panic::RefUnwindSafe, sync::Arc},
};

const READY: &str = "/anvilbeam/readiness";
const INSTANCE: &str = "/anvilbeam/instances/:id";

/// Adds the platform's routes to those of the local port.
pub(crate) fn upstream_routes<C, P>(route: &mut RouterBuilder<'_, C, P>, shared: &Arc<Shared>)
where
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    let to = |answer| Route::new(Arc::clone(shared), answer);
    route.get(READY).to_new_handler(to(local::ready));
    route.put(INSTANCE).to_new_handler(to(heartbeat));
    route.delete(INSTANCE).to_new_handler(to(leave));
}

fn id_of(ask: &Ask) -> &str {
    ask.uri.path().rsplit('/').next().unwrap_or_default()
}

fn heartbeat(shared: Arc<Shared>, ask: Ask) -> Answer {
    Box::pin(async move {
        let id = id_of(&ask);
        let checked = decode_heartbeat(id, &ask.body).and_then(|heartbeat| {
            local::check_announcement(&heartbeat.announcement)?;
            if shared.knows_service(&heartbeat.announcement.service) {
                return Ok(heartbeat);
            }
            let service = &heartbeat.announcement.service;
            Err(format!("heartbeat of {id}: service {service:?} is unknown"))
        });
        match checked {
            Ok(heartbeat) => {
                local::apply_announcement(&shared, &heartbeat.announcement, heartbeat.beat);
                api::json(StatusCode::OK, &serde_json::json!({}))
            }
            Err(reason) => {
                log_event!(
                    crate::events::Event::AnnouncementRefused,
                    server = id,
                    reason = reason
                );
                api::text(StatusCode::BAD_REQUEST, &reason)
            }
        }
    })
}

fn leave(shared: Arc<Shared>, ask: Ask) -> Answer {
    Box::pin(async move {
        let server = id_of(&ask);
        let incarnation = decode_farewell(&ask.body);
        log_event!(
            crate::events::Event::EndpointDraining,
            server = server,
            reason = "the backend server leaves"
        );
        shared.dispatch(
            None,
            Event::ServerLeaving {
                server,
                incarnation,
            },
        );
        api::json(StatusCode::OK, &serde_json::json!({}))
    })
}
