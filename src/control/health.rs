//! Health and metrics of a config replica, on the operator port and without a token.

use {
    super::config::ConfigReplica,
    crate::{
        api::{self, ApiRequest, ResponseFuture, Route},
        metrics::{Direction, Link, Metrics},
    },
    gotham::{prelude::*, router::builder::RouterBuilder},
    http::StatusCode,
    std::sync::Arc,
};

/// Adds the health and metrics routes to the router of the operator port.
pub(super) fn routes(route: &mut RouterBuilder<'_, (), ()>, replica: &Arc<ConfigReplica>) {
    let route_to = |handler| Route::new(Arc::clone(replica), handler);
    route.get("/healthz").to_new_handler(route_to(health));
    route.get("/readyz").to_new_handler(route_to(ready));
    route.get("/metrics").to_new_handler(route_to(metrics));
}

fn health(_replica: Arc<ConfigReplica>, _req: ApiRequest) -> ResponseFuture {
    Box::pin(async { api::text_response(StatusCode::OK, "ok\n") })
}

/// Answers 200 if this replica knows a leader, else 503.
fn ready(replica: Arc<ConfigReplica>, _req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        match replica.handle.status().leader {
            Some(leader) => {
                api::text_response(StatusCode::OK, &format!("leader {}\n", leader.name))
            }
            None => api::text_response(StatusCode::SERVICE_UNAVAILABLE, "no leader\n"),
        }
    })
}

fn metrics(replica: Arc<ConfigReplica>, _req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let mut metrics = Metrics::new();
        metrics.register_memory(replica.memory.counters());
        metrics.set_version(replica.tree.version());
        metrics.add_control_bytes(Link::Children, Direction::Out, replica.tree.sent());
        api::text_response(StatusCode::OK, &metrics.openmetrics_text())
    })
}
