//! Exchange of rules and reports of rollouts with the source and the children of a daemon.

use {
    super::{event::Event, shared::Shared, tree::Tree},
    crate::{
        body::Body,
        events::Event as LogEvent,
        log_event,
        model::DaemonName,
        peer,
        relays::Uplink,
        rollouts::{Exchange, ExchangeReply, Relay, Report, Revision},
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::Notify,
        time::{sleep, sleep_until, timeout_at},
    },
};

/// Path of the exchange.
pub const ROLLOUTS_PATH: &str = "/rollouts";
/// Time for which an answer without newer rules is held back while no rollout is running.
const IDLE_HOLD: Duration = Duration::from_secs(1);
/// The same time while one is running: the age of the evidence at each level of the tree.
const BUSY_HOLD: Duration = Duration::from_millis(150);
/// Time after which an exchange has failed.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Shortest time between two exchanges.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time before an exchange is repeated that had no source or failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Rules and reports of rollouts at one process.
#[derive(Debug, Default)]
pub struct RolloutLink {
    relay: Mutex<Relay>,
    /// Notified when there are newer rules.
    changed: Notify,
}

impl RolloutLink {
    /// Locks the state.
    pub fn relay(&self) -> MutexGuard<'_, Relay> {
        self.relay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the children that wait for newer rules.
    pub fn notify(&self) {
        self.changed.notify_waiters();
    }

    /// Keeps the report of a child; returns whether a rollout is running.
    fn record(&self, child: DaemonName, report: Report, now: Instant) -> bool {
        let mut relay = self.relay();
        relay.record(child, report, now);
        relay.rules().any_running()
    }

    /// Keeps the report of a child and returns the rules, as soon as they are newer than its own.
    pub async fn answer(&self, exchange: Exchange) -> ExchangeReply {
        let now = Instant::now();
        let Exchange {
            child,
            revision,
            report,
        } = exchange;
        let busy = self.record(child, report, now);
        let until = now + if busy { BUSY_HOLD } else { IDLE_HOLD };
        loop {
            let changed = self.changed.notified();
            let reply = self.relay().reply(revision, Instant::now());
            if reply.rules.is_some() || timeout_at(until.into(), changed).await.is_err() {
                return self.relay().reply(revision, Instant::now());
            }
        }
    }

    /// Sends an exchange to the source and applies the answer; returns whether the rules changed.
    ///
    /// # Errors
    /// See [`peer::Client::request`].
    pub async fn exchange(
        &self,
        client: &peer::Client,
        source: SocketAddr,
        exchange: &Exchange,
    ) -> crate::error::Result<bool> {
        let sent = Instant::now();
        let deadline = sent + EXCHANGE_TIMEOUT;
        let reply: ExchangeReply = client
            .request(
                "exchange rollouts",
                source,
                ROLLOUTS_PATH,
                exchange,
                deadline,
            )
            .await?;
        let changed = self.relay().apply(reply, sent);
        if changed {
            self.notify();
        }
        // A source with older rules answers at once.
        sleep_until((sent + MIN_INTERVAL).into()).await;
        Ok(changed)
    }
}

/// Answers a child on the peer port.
pub async fn answer(link: &RolloutLink, req: Request<Incoming>) -> Response<Body> {
    match peer::read_message(req).await {
        Ok(exchange) => peer::message_response(&link.answer(exchange).await),
        Err(e) => {
            log::warn!("exchange of rollouts rejected: {e}");
            peer::empty_response(StatusCode::BAD_REQUEST)
        }
    }
}

/// Exchanges rules and reports with the source until the task is aborted; does nothing without the
/// setting.
pub(super) async fn run_forever(shared: Arc<Shared>, tree: Arc<Tree>) {
    if shared.cfg.rollouts.is_none() {
        return;
    }
    let mut lease_ended: Option<Revision> = None;
    loop {
        let source = tree.with_uplink(Uplink::source);
        let done = match source {
            Some((address, _)) => exchange_once(&shared, address).await,
            None => Err("the daemon has no source".to_owned()),
        };
        if let Err(reason) = done {
            log::debug!("no exchange of rollouts: {reason}");
            log_lease_end(&shared, &mut lease_ended, &reason);
            sleep(RETRY_DELAY).await;
        }
    }
}

async fn exchange_once(shared: &Shared, source: SocketAddr) -> Result<(), String> {
    let now = Instant::now();
    let own = shared.state().rollout_report(now);
    let link = &shared.rollouts;
    let exchange = {
        let mut relay = link.relay();
        Exchange {
            child: shared.cfg.name.clone(),
            revision: relay.rules().revision,
            report: relay.subtree(own, now),
        }
    };
    let changed = link.exchange(&shared.client, source, &exchange).await;
    let changed = changed.map_err(|e| e.to_string())?;
    let relay = link.relay();
    let rules = changed.then(|| relay.rules().clone());
    let lease_until = relay.lease_until();
    drop(relay);
    let event = Event::RulesReceived {
        rules: rules.as_ref(),
        lease_until,
    };
    shared.dispatch(None, event);
    Ok(())
}

/// Logs once that the lease of running rollouts has ended.
fn log_lease_end(shared: &Shared, logged: &mut Option<Revision>, reason: &str) {
    let relay = shared.rollouts.relay();
    let rules = relay.rules();
    if relay.is_leased(Instant::now()) || *logged == Some(rules.revision) {
        return;
    }
    for rule in rules.rules.iter().filter(|rule| rule.running.is_some()) {
        log_event!(
            LogEvent::RolloutLeaseEnded,
            service = rule.service,
            reason = reason
        );
    }
    *logged = Some(rules.revision);
}
