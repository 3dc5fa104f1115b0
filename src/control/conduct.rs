//! Rollouts at a replica of the config group: the leader conducts them, the others pass rules and
//! reports on.

use {
    super::tree::ControlTree,
    crate::{
        clock::unix_time_ms,
        daemon::rollouts::RolloutLink,
        edits::State,
        events::Event,
        log_event,
        model::{DaemonName, ServiceName, Version},
        peer::Client,
        raft::Role,
        replica::{Handle, RequestError},
        rollouts::{
            Conductor, Exchange, Report, RolloutCommand, RolloutReply, Rollouts, Step, View,
        },
        settings::RolloutLimits,
        wire,
    },
    indexmap::IndexSet,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::{MissedTickBehavior, interval, sleep},
};

/// Interval at which the leader weighs the evidence.
const TICK: Duration = Duration::from_millis(100);
/// Time without contact to a majority of the group after which the leader extends no lease: another one
/// may have been elected.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time before a failed exchange with the leader is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Rollouts at one replica of the config group.
#[derive(Debug)]
pub(super) struct ControlRollouts {
    handle: Handle<State>,
    tree: Arc<ControlTree>,
    client: Client,
    name: DaemonName,
    limits: RolloutLimits,
    /// Rules and reports.
    pub(super) link: RolloutLink,
    /// Term and state of the leader; `None` while this replica does not lead.
    conductor: Mutex<Option<(u64, Conductor)>>,
    /// Services of the configuration, with its version.
    services: Mutex<(Version, Arc<IndexSet<ServiceName>>)>,
}

impl ControlRollouts {
    /// Starts the tasks of the replica `name` behind `handle`.
    pub(super) fn start(
        handle: Handle<State>,
        tree: Arc<ControlTree>,
        client: Client,
        name: &str,
        limits: RolloutLimits,
    ) -> Arc<Self> {
        let rollouts = Arc::new(Self {
            handle,
            tree,
            client,
            // Not the name of a daemon.
            name: format!("control/{name}").as_str().into(),
            limits,
            link: RolloutLink::default(),
            conductor: Mutex::default(),
            services: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&rollouts).lead_forever());
        tokio::spawn(Arc::clone(&rollouts).follow_forever());
        rollouts
    }

    fn conductor(&self) -> MutexGuard<'_, Option<(u64, Conductor)>> {
        self.conductor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the share in millionths and the progress of the running rollout of a service.
    pub(super) fn progress(&self, service: &ServiceName) -> Option<(u32, String)> {
        let conductor = self.conductor();
        conductor.as_ref()?.1.progress(service)
    }

    async fn lead_forever(self: Arc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.handle.has_stopped() {
            ticks.tick().await;
            let status = self.handle.status();
            if status.role != Role::Leader {
                *self.conductor() = None;
                continue;
            }
            let read = self.handle.read_local(|state| state.rollouts().clone());
            let Ok(rollouts) = read.await else {
                return;
            };
            let (commands, steps) = self.conduct(status.term, &rollouts);
            steps.iter().for_each(log_step);
            for command in commands {
                tokio::spawn(Arc::clone(&self).propose(command));
            }
        }
    }

    /// Weighs the evidence and extends the lease, if this replica is in contact with a majority.
    fn conduct(&self, term: u64, rollouts: &Rollouts) -> (Vec<RolloutCommand>, Vec<Step>) {
        let now = Instant::now();
        let in_contact = self.handle.quorum_contact();
        if in_contact.is_none_or(|contact| contact + CONTACT_TIMEOUT < now) {
            return (Vec::new(), Vec::new());
        }
        let services = self.services();
        let report = self.link.relay().subtree(Report::default(), now);
        let daemons = self.tree.daemons();
        let mut conductor = self.conductor();
        if conductor.as_ref().is_none_or(|(of, _)| *of != term) {
            *conductor = Some((term, Conductor::new(self.limits, term, now)));
        }
        let Some((_, conductor)) = conductor.as_mut() else {
            return (Vec::new(), Vec::new());
        };
        let view = View {
            rollouts,
            report: &report,
            daemons,
            now,
            unix_ms: unix_time_ms(),
        };
        let out = self.tree.directory(|directory| {
            conductor.tick(view, services.iter(), |service| {
                directory.of_service(service).collect()
            })
        });
        let rules = conductor.rules();
        let mut relay = self.link.relay();
        let until = now + conductor.lease();
        let changed = if relay.rules().revision == rules.revision {
            relay.renew(until);
            false
        } else {
            relay.set(rules.clone(), until)
        };
        drop(relay);
        if changed {
            self.link.notify();
        }
        out
    }

    /// Returns the services that have a grant.
    fn services(&self) -> Arc<IndexSet<ServiceName>> {
        let config = self.tree.config();
        let mut known = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if known.0 != config.version {
            let services = config.grants.values().map(|grant| grant.service.clone());
            *known = (config.version, Arc::new(services.collect()));
        }
        Arc::clone(&known.1)
    }

    async fn propose(self: Arc<Self>, command: RolloutCommand) {
        let proposed = async {
            let buf = Rollouts::encode_command(&command).map_err(|e| e.to_string())?;
            let reply = self.handle.propose(buf).await;
            let reply = reply.map_err(|e: RequestError| e.to_string())?;
            wire::decode::<RolloutReply>(&reply).map_err(|e| e.to_string())
        };
        match (proposed.await, &command) {
            (Ok(RolloutReply::Accepted), RolloutCommand::Allow { service, .. }) => {
                log_event!(Event::VersionRecorded, service = service);
            }
            (
                Ok(RolloutReply::Accepted),
                RolloutCommand::End {
                    service, succeeded, ..
                },
            ) => log_event!(
                Event::RolloutEnded,
                service = service,
                succeeded = succeeded
            ),
            (Ok(reply), _) => log::debug!("{command:?} has no effect: {reply:?}"),
            (Err(e), _) => log::warn!("{command:?} not stored yet: {e}"),
        }
    }

    /// Exchanges rules and reports with the leader while this replica does not lead.
    async fn follow_forever(self: Arc<Self>) {
        while !self.handle.has_stopped() {
            let status = self.handle.status();
            let leader = status.leader.filter(|leader| leader.id != self.handle.id());
            let (Some(leader), false) = (leader, status.role == Role::Leader) else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let exchange = self.exchange();
            let done = self.link.exchange(&self.client, leader.address, &exchange);
            if let Err(e) = done.await {
                log::debug!("{e}");
                sleep(RETRY_DELAY).await;
            }
        }
    }

    fn exchange(&self) -> Exchange {
        let mut relay = self.link.relay();
        Exchange {
            child: self.name.clone(),
            revision: relay.rules().revision,
            report: relay.subtree(Report::default(), Instant::now()),
        }
    }
}

fn log_step(step: &Step) {
    log_event!(
        Event::RolloutStep,
        service = step.service,
        version = step.version,
        stage = step.stage,
        share = f64::from(step.share) / f64::from(crate::rollouts::WHOLE),
        reason = step.reason,
    );
}
