//! Detects crashes of the own backend server and reports the requests that were in flight.
//!
//! The response of a failed call is delayed until the daemons beside the other backend servers of
//! the service have the report, so that they treat a resend as a suspect.

use {
    super::{event::Event, shared::Shared},
    crate::{
        backend::Backend,
        body::Body,
        model::ServiceName,
        peer,
        suspects::{Report, RunId, RunOutcome},
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    indexmap::IndexMap,
    rand::seq::IteratorRandom,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Path on the peer port for reports of suspects.
pub(super) const SUSPECTS_PATH: &str = "/suspects";
/// Time after a broken connection within which a crashed server stops accepting connections.
const CRASH_DETECTION_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval of the connection attempts that detect a crash.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a report to another daemon, and so of the delay of a failed response.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a run with a broken connection still counts as in flight. A server that restarts
/// within it reveals the crash by the new incarnation of its next announcement, which is due each
/// second.
const BROKEN_RUN_GRACE: Duration = Duration::from_millis(1_500);
/// Interval at which reports are exchanged with one other daemon of the service.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(10);

/// Message with the suspects of one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SuspectExchange {
    report: Report,
    /// Whether the receiver answers with its own records.
    wants_reply: bool,
}

/// Checks whether the server that broke a connection has crashed; if so, reports the requests that
/// were in flight to the other daemons of the service.
pub(super) async fn check_for_crash(
    shared: &Arc<Shared>,
    backend: &Arc<Backend>,
    incarnation: u64,
) {
    let deadline = Instant::now() + CRASH_DETECTION_TIMEOUT;
    while backend.accepts_connections().await {
        if Instant::now() >= deadline {
            return;
        }
        sleep(CRASH_POLL_INTERVAL).await;
    }
    let Some(service) = own_service(shared) else {
        return;
    };
    shared.dispatch(None, Event::ServerCrashed { incarnation });
    report_suspects(shared, &service).await;
}

fn own_service(shared: &Shared) -> Option<ServiceName> {
    let state = shared.state();
    state
        .server()
        .map(|server| server.announcement.service.clone())
}

/// Ends a run whose connection broke, [`BROKEN_RUN_GRACE`] later unless a crash ends it before.
pub(super) fn end_broken_run(shared: &Arc<Shared>, run: RunId) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        sleep(BROKEN_RUN_GRACE).await;
        let outcome = RunOutcome::Aborted;
        shared.dispatch(None, Event::RunEnded { run, outcome });
    });
}

/// Reports the suspects that are not reported yet to the daemons of the service; waits at most
/// [`REPORT_TIMEOUT`] for each report.
async fn report_suspects(shared: &Arc<Shared>, service: &ServiceName) {
    // Calls that failed in the same crash wait here for the first of them, which reports for all.
    let mut reported = shared.reported_suspects.lock().await;
    loop {
        let report = shared.state().suspects().report(*reported, Instant::now());
        if report.entries.is_empty() {
            return;
        }
        let up_to = report.up_to;
        let exchange = Arc::new(SuspectExchange {
            report,
            wants_reply: false,
        });
        let mut sending = JoinSet::new();
        for address in peer_addresses(shared, service) {
            let (shared, exchange) = (Arc::clone(shared), Arc::clone(&exchange));
            sending.spawn(async move { send(&shared, address, &exchange).await });
        }
        while sending.join_next().await.is_some() {}
        *reported = up_to;
    }
}

async fn send(shared: &Arc<Shared>, address: SocketAddr, exchange: &SuspectExchange) {
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let reply = shared
        .client
        .request::<_, Report>(
            "report suspects",
            address,
            SUSPECTS_PATH,
            exchange,
            deadline,
        )
        .await;
    match reply {
        Ok(report) => {
            shared.dispatch(None, Event::SuspectsReported(&report));
        }
        Err(e) => log::warn!("{e}"),
    }
}

/// Returns the addresses of the daemons beside the other backend servers of a service.
fn peer_addresses(shared: &Shared, service: &ServiceName) -> Vec<SocketAddr> {
    let state = shared.state();
    let Some(snapshot) = state.snapshot() else {
        return Vec::new();
    };
    let endpoints = snapshot.endpoints(service).iter();
    let others: IndexMap<SocketAddr, ()> = endpoints
        .filter(|endpoint| endpoint.daemon != shared.cfg.name)
        .map(|endpoint| (endpoint.address, ()))
        .collect();
    others.into_keys().collect()
}

fn random_peer(shared: &Shared) -> Option<SocketAddr> {
    let service = own_service(shared)?;
    peer_addresses(shared, &service)
        .into_iter()
        .choose(&mut rand::rng())
}

/// Exchanges reports with a random daemon of the service at each interval. A daemon that restarted,
/// and so lost its records, or that missed a report gets the records of the others this way.
pub(super) async fn exchange_forever(shared: Arc<Shared>) {
    let mut ticks = interval(EXCHANGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let address = loop {
            match random_peer(&shared) {
                Some(address) => break address,
                None => sleep(CRASH_DETECTION_TIMEOUT).await,
            }
        };
        let report = shared.state().suspects().report(0, Instant::now());
        let exchange = SuspectExchange {
            report,
            wants_reply: true,
        };
        send(&shared, address, &exchange).await;
    }
}

/// Merges a report of another daemon and answers with the own records if it asks for them.
pub(super) async fn answer(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    match peer::read_message::<SuspectExchange>(req).await {
        Ok(exchange) => {
            shared.dispatch(None, Event::SuspectsReported(&exchange.report));
            let report = if exchange.wants_reply {
                shared.state().suspects().report(0, Instant::now())
            } else {
                Report::default()
            };
            peer::message_response(&report)
        }
        Err(e) => {
            log::warn!("refused an invalid report of suspects: {e}");
            peer::empty_response(StatusCode::BAD_REQUEST)
        }
    }
}
