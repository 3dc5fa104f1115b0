//! HTTP interface of the local port: announcements of the backend server, health, metrics and
//! routing explanations.

use {
    super::{event::Event, shared::Shared, state::State, tree::Tree},
    crate::{
        announce::{ANNOUNCE_PATH, AnnounceAnswer, Announcement, HeartbeatInfo, MAX_SLOTS},
        api::{self, ApiRequest, ResponseFuture, Route},
        body::Body,
        lists,
        model::{Endpoint, PathPrefix, PlanName, Rank, ServerState, ServiceName},
        operator_api::{Candidate, EXPLAIN, ExplainGrant, ExplainResponse},
        platform,
        routes::Snapshot,
        settings::Interface,
    },
    gotham::{
        prelude::*,
        router::{Router, build_simple_router},
    },
    http::{Response, StatusCode},
    std::{sync::Arc, time::Instant},
    strum::IntoEnumIterator,
};

/// Returns the router of the local port.
pub(super) fn router(shared: &Arc<Shared>, tree: &Arc<Tree>) -> Router {
    let handler = |function| Route::new(Arc::clone(shared), function);
    build_simple_router(|route| {
        if shared.cfg.interface == Interface::Platform {
            platform::upstream_routes(route, tree);
        }
        route.post(ANNOUNCE_PATH).to_new_handler(handler(announce));
        route.get("/metrics").to_new_handler(handler(metrics));
        route.get("/healthz").to_new_handler(handler(health));
        route.get("/readyz").to_new_handler(handler(ready));
        route.get(EXPLAIN).to_new_handler(handler(explain));
    })
}

fn announce(shared: Arc<Shared>, req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let announcement = match parse_announcement(&req) {
            Ok(announcement) => announcement,
            Err(reason) => return api::text_response(StatusCode::BAD_REQUEST, &reason),
        };
        shared.dispatch(
            None,
            Event::Announced(&announcement, HeartbeatInfo::default()),
        );
        let answer = AnnounceAnswer {
            lease_ms: shared.cfg.announce_lease.as_millis() as u64,
            running: shared.state().admission().running(),
        };
        api::json_response(StatusCode::OK, &answer)
    })
}

fn parse_announcement(req: &ApiRequest) -> Result<Announcement, String> {
    let announcement: Announcement =
        serde_json::from_slice(&req.body).map_err(|e| format!("invalid announcement: {e}"))?;
    check_announcement(&announcement)?;
    Ok(announcement)
}

/// Checks the names and the number of slots of an announcement; the error names the invalid field.
pub(crate) fn check_announcement(announcement: &Announcement) -> Result<(), String> {
    for (field, name) in [
        ("server", announcement.server.as_str()),
        ("service", announcement.service.as_str()),
    ] {
        lists::check_name(name).map_err(|reason| format!("{field} {name:?}: {reason}"))?;
    }
    let address = announcement.address;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(format!("address {address} cannot be connected to"));
    }
    if announcement.slots == 0 || announcement.slots > MAX_SLOTS {
        return Err(format!(
            "slots must be 1 to {MAX_SLOTS}, not {}",
            announcement.slots
        ));
    }
    Ok(())
}

fn metrics(shared: Arc<Shared>, _req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let state = shared.state();
        let admission = state.admission();
        for rank in Rank::iter() {
            let waiting = admission.waiting_of(rank);
            shared.metrics.set_queue_length(rank, waiting);
        }
        let limit = admission.limit(Instant::now());
        shared.metrics.set_slots(admission.running(), limit);
        let reserved = admission.reserved(Instant::now());
        shared.metrics.set_reserved_slots(reserved);
        let announced = state.server().map_or(0, |server| server.announcement.slots);
        shared.metrics.set_pace(announced, admission.pace());
        let (percent, changes) = state.server_speed();
        shared.metrics.set_speed(percent, changes);
        drop(state);
        if let Some(outflow) = &shared.outflow {
            outflow.report(&shared.metrics);
        }
        api::text_response(StatusCode::OK, &shared.metrics.openmetrics_text())
    })
}

fn health(_shared: Arc<Shared>, _req: ApiRequest) -> ResponseFuture {
    Box::pin(async { api::text_response(StatusCode::OK, "ok\n") })
}

/// Answers the readiness probe: 200 with the version in force, or 503 with the reason.
pub(crate) fn ready(shared: Arc<Shared>, _req: ApiRequest) -> ResponseFuture {
    Box::pin(async move {
        let state = shared.state();
        match (state.snapshot(), state.is_draining()) {
            (Some(snapshot), false) => {
                let version = snapshot.config().version;
                api::text_response(StatusCode::OK, &format!("version {version}\n"))
            }
            (_, true) => api::text_response(StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
            (None, false) => api::text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration in force\n",
            ),
        }
    })
}

fn explain(shared: Arc<Shared>, req: ApiRequest) -> ResponseFuture {
    Box::pin(async move { explanation_response(&shared, &req) })
}

fn explanation_response(shared: &Shared, req: &ApiRequest) -> Response<Body> {
    let (Some(plan), Some(service)) = (req.query("plan"), req.query("service")) else {
        return api::text_response(
            StatusCode::BAD_REQUEST,
            "the query parameters plan and service are required\n",
        );
    };
    let state = shared.state();
    let Some(snapshot) = state.snapshot() else {
        return api::text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration in force\n",
        );
    };
    let answer = explanation(&state, snapshot, &plan.into(), &service.into());
    api::json_response(StatusCode::OK, &answer)
}

fn explanation(
    state: &State,
    snapshot: &Snapshot,
    plan: &PlanName,
    service: &ServiceName,
) -> ExplainResponse {
    let grant = snapshot
        .config()
        .grants
        .get(&crate::model::GrantKey {
            plan: plan.clone(),
            service: service.clone(),
            path: PathPrefix::default(),
        })
        .map(|grant| ExplainGrant {
            servers: grant.servers.iter().map(ToString::to_string).collect(),
            capacity: grant.capacity,
            rank: grant.rank.to_string(),
        });
    let route = snapshot.route(plan, service);
    let (decision, reason) = match &route {
        Ok(route) => {
            let servers = route.candidates.all().len();
            ("routed", format!("{servers} backend servers accept calls"))
        }
        Err(e) => ("refused", e.to_string()),
    };
    let is_candidate = |endpoint: &Endpoint| {
        route.as_ref().is_ok_and(|route| {
            let mut all = route.candidates.all().iter();
            all.any(|candidate| candidate.server == endpoint.server)
        })
    };
    let candidates = snapshot.endpoints(service).iter().map(|endpoint| {
        let ejected = state.balancer().ejected_until(&endpoint.server);
        let usable = is_candidate(endpoint) && ejected.is_none();
        let reason = match (is_candidate(endpoint), endpoint.state, ejected) {
            (_, ServerState::Draining, _) => "draining",
            (false, ..) => "not in the grant",
            (true, _, Some(_)) => "ejected by outlier detection",
            (true, _, None) => "accepts calls",
        };
        Candidate {
            server: endpoint.server.to_string(),
            data_centre: endpoint.data_centre.to_string(),
            usable,
            reason: reason.to_owned(),
        }
    });
    ExplainResponse {
        decision: decision.to_owned(),
        reason,
        version: snapshot.config().version.0,
        grant,
        candidates: candidates.collect(),
    }
}
