//! Orders of rollouts at a replica of the config group.

use {
    super::{config::ConfigReplica, replace::ReplaceError},
    crate::{
        clock::unix_time_ms,
        events::Event,
        log_event,
        model::ServiceName,
        rollouts::{Order, Rollout, RolloutCommand, RolloutReply, Rollouts},
        wire,
    },
};

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is durable, from now on or by an earlier send.
    Accepted,
    /// Another order for the service is in progress; its rollout.
    InProgress(Rollout),
    /// The order is not valid; the reason.
    Invalid(String),
}

impl ConfigReplica {
    /// Stores an order; an order that was stored before is acknowledged again.
    ///
    /// # Errors
    /// [`ReplaceError`]: another replica leads, or none does. The order may still have been accepted.
    pub async fn order_rollout(&self, order: Order) -> Result<OrderOutcome, ReplaceError> {
        let outcome = self.answer(|| self.propose_order(order.clone())).await?;
        let Order {
            service, target, ..
        } = &order;
        match &outcome {
            OrderOutcome::Accepted => {
                log_event!(Event::RolloutOrdered, service = service, version = target);
            }
            OrderOutcome::InProgress(other) => log_event!(
                Event::RolloutRefused,
                service = service,
                version = target,
                reason = format!("the rollout of {} is in progress", other.target),
            ),
            OrderOutcome::Invalid(reason) => log_event!(
                Event::RolloutRefused,
                service = service,
                version = target,
                reason = reason,
            ),
        }
        Ok(outcome)
    }

    async fn propose_order(&self, order: Order) -> Result<OrderOutcome, ReplaceError> {
        if let Err(reason) = order.check() {
            return Ok(OrderOutcome::Invalid(reason));
        }
        let service = order.service.clone();
        let read = self.handle.read(move |state| {
            let grants = &state.store().config().grants;
            grants.values().any(|grant| grant.service == service)
        });
        let is_known = match read.await {
            Ok(granted) => granted || self.is_announced(&order.service),
            Err(e) => return Err(self.replace_error(e).await),
        };
        if !is_known {
            let reason = format!("service {:?} is unknown", order.service.as_str());
            return Ok(OrderOutcome::Invalid(reason));
        }
        let time_ms = unix_time_ms();
        let reply = self
            .propose_rollout(&RolloutCommand::Start { order, time_ms })
            .await?;
        Ok(match reply {
            RolloutReply::Accepted | RolloutReply::Repeated => OrderOutcome::Accepted,
            RolloutReply::InProgress { rollout } => OrderOutcome::InProgress(rollout),
            RolloutReply::Invalid { reason } => OrderOutcome::Invalid(reason),
        })
    }

    fn is_announced(&self, service: &ServiceName) -> bool {
        self.tree
            .directory(|directory| directory.of_service(service).next().is_some())
    }

    /// Appends a command to the log and waits until it is durable.
    pub(super) async fn propose_rollout(
        &self,
        command: &RolloutCommand,
    ) -> Result<RolloutReply, ReplaceError> {
        let unavailable = |e: crate::error::Error| ReplaceError::Unavailable(e.to_string());
        let buf = Rollouts::encode_command(command).map_err(unavailable)?;
        match self.handle.propose(buf).await {
            Ok(reply) => wire::decode(&reply).map_err(unavailable),
            Err(e) => Err(self.replace_error(e).await),
        }
    }

    /// Returns the running rollout of a service, or else its last one, confirmed by a majority; `None`
    /// if none was ordered.
    ///
    /// # Errors
    /// [`ReplaceError`]: another replica leads, or none does.
    pub async fn read_rollout(
        &self,
        service: ServiceName,
    ) -> Result<Option<Rollout>, ReplaceError> {
        let read = self
            .handle
            .read(move |state| state.rollouts().rollout(&service).cloned());
        let read = async {
            match read.await {
                Ok(found) => Ok(found),
                Err(e) => Err(self.replace_error(e).await),
            }
        };
        self.with_timeout(read).await
    }
}
