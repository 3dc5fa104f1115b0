//! Crashes of the own backend server, and how other daemons learn which requests were in flight.
//!
//! The failed answer is held until the daemons beside the other backend servers of the service
//! know, so that a resend finds them warned.

use {
    super::{event::Event, shared::Shared},
    crate::{
        backend::Backend,
        body::Body,
        model::ServiceName,
        peer,
        suspects::{Ending, Report, RunId},
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

/// Path of the peer port that takes reports of suspects.
pub(super) const SUSPECTS_PATH: &str = "/suspects";
/// Time in which a server that broke a connection is seen to be gone.
const CRASH_WATCH: Duration = Duration::from_millis(200);
/// Pause between two looks.
const CRASH_LOOK: Duration = Duration::from_millis(20);
/// Longest time for which a failed answer is held.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a broken run still counts as in flight: a server that restarts within it shows
/// the crash by the new incarnation of its next announcement, which is due each second.
const BROKEN_RUN: Duration = Duration::from_millis(1_500);
/// Interval at which reports are exchanged with one other daemon of the service.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(10);

/// Report of one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Exchange {
    report: Report,
    /// Whether the other daemon's records are asked for.
    wants: bool,
}

/// Looks whether the server that broke a connection has crashed; if so, the others are told.
pub(super) async fn after_break(shared: &Arc<Shared>, backend: &Arc<Backend>, incarnation: u64) {
    let deadline = Instant::now() + CRASH_WATCH;
    while backend.accepts().await {
        if Instant::now() >= deadline {
            return;
        }
        sleep(CRASH_LOOK).await;
    }
    let Some(service) = own_service(shared) else {
        return;
    };
    shared.dispatch(None, Event::ServerCrashed { incarnation });
    spread(shared, &service).await;
}

fn own_service(shared: &Shared) -> Option<ServiceName> {
    let state = shared.state();
    state
        .server()
        .map(|server| server.announcement.service.clone())
}

/// Ends a run that was broken off, unless a crash ends it before.
pub(super) fn end_broken_run(shared: &Arc<Shared>, run: RunId) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        sleep(BROKEN_RUN).await;
        let ending = Ending::Aborted;
        shared.dispatch(None, Event::RunEnded { run, ending });
    });
}

/// Tells the daemons of the service what they have not been told; waits for them for a second.
async fn spread(shared: &Arc<Shared>, service: &ServiceName) {
    // Calls broken by one crash wait here for the one that tells of it.
    let mut told = shared.told_suspects.lock().await;
    loop {
        let report = shared.state().suspects().report(*told, Instant::now());
        if report.entries.is_empty() {
            return;
        }
        let up_to = report.up_to;
        let exchange = Arc::new(Exchange {
            report,
            wants: false,
        });
        let mut sending = JoinSet::new();
        for address in peers(shared, service) {
            let (shared, exchange) = (Arc::clone(shared), Arc::clone(&exchange));
            sending.spawn(async move { send(&shared, address, &exchange).await });
        }
        while sending.join_next().await.is_some() {}
        *told = up_to;
    }
}

async fn send(shared: &Arc<Shared>, address: SocketAddr, exchange: &Exchange) {
    let deadline = Instant::now() + SPREAD_TIMEOUT;
    let asked = shared
        .client
        .ask::<_, Report>(
            "report suspects",
            address,
            SUSPECTS_PATH,
            exchange,
            deadline,
        )
        .await;
    match asked {
        Ok(report) => {
            shared.dispatch(None, Event::Suspected(&report));
        }
        Err(e) => log::warn!("{e}"),
    }
}

/// Daemons beside the other backend servers of a service.
fn peers(shared: &Shared, service: &ServiceName) -> Vec<SocketAddr> {
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

fn any_peer(shared: &Shared) -> Option<SocketAddr> {
    let service = own_service(shared)?;
    peers(shared, &service).into_iter().choose(&mut rand::rng())
}

/// Exchanges reports with one daemon of the service at a time, so that a daemon that started
/// without a disk or missed a report learns what the others know.
pub(super) async fn exchange_forever(shared: Arc<Shared>) {
    let mut ticks = interval(EXCHANGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let address = loop {
            match any_peer(&shared) {
                Some(address) => break address,
                None => sleep(CRASH_WATCH).await,
            }
        };
        let report = shared.state().suspects().report(0, Instant::now());
        let exchange = Exchange {
            report,
            wants: true,
        };
        send(&shared, address, &exchange).await;
    }
}

/// Takes a report of another daemon.
pub(super) async fn answer(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    match peer::read_message::<Exchange>(req).await {
        Ok(exchange) => {
            shared.dispatch(None, Event::Suspected(&exchange.report));
            let report = if exchange.wants {
                shared.state().suspects().report(0, Instant::now())
            } else {
                Report::default()
            };
            peer::message_response(&report)
        }
        Err(e) => {
            log::warn!("report of suspects refused: {e}");
            peer::status(StatusCode::BAD_REQUEST)
        }
    }
}
