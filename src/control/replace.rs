//! Replacement of both lists at once, for interfaces that send them as one document.

use {
    super::{claims::clock_ms, config::ConfigReplica, identity, operators::change_between},
    crate::{
        edits::{EditCommand, EditId, EditReply, Origin},
        events::Event,
        lists::Lists,
        log_event,
        model::Config,
        raft::MemberRole,
        replica::RequestError,
        wire,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Longest time until an operator is told that no answer can be had here, in milliseconds.
/// Operators ask another replica after a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for which the first edit waits for as many voters as the settings want. A group
/// that stays smaller than that is better writable than not.
const GROWTH_TIMEOUT: Duration = Duration::from_secs(10);

/// Both lists, to be put in force in place of the current ones.
#[derive(Clone, Debug)]
pub struct Replacement {
    /// Names the edit, so that it can be sent again.
    pub edit_id: EditId,
    /// The lists.
    pub lists: Lists,
    /// Number of the version and what else the interface keeps.
    pub origin: Origin,
    /// Number of the version that is replaced; 0 for the first.
    pub base: u64,
}

/// What became of a replacement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Replaced {
    /// It is in force, or was before later ones.
    Accepted,
    /// Another version is current.
    Conflict {
        /// Its number.
        current: u64,
    },
    /// It can't be put in force.
    Invalid {
        /// What is wrong with it.
        reason: String,
    },
}

/// Why there is no decision here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplaceError {
    /// The replica with this operator address leads.
    Elsewhere(SocketAddr),
    /// No replica that leads is known, or it can't confirm that it leads.
    Unavailable(String),
}

/// The state that a replacement is checked against.
struct Current {
    cfg: Arc<Config>,
    origin: Option<Origin>,
    accepted: bool,
}

impl ConfigReplica {
    /// The lists in force and what their interface keeps, confirmed by a majority.
    ///
    /// # Errors
    /// Another replica leads, or none does.
    pub async fn confirmed(&self) -> Result<(Arc<Config>, Option<Origin>), ReplaceError> {
        let found = self.within(self.current(None)).await?;
        Ok((found.cfg, found.origin))
    }

    /// Puts both lists in force if their base is current; an edit that was accepted before is
    /// acknowledged again.
    ///
    /// # Errors
    /// Another replica leads, or none does; the replacement may have been accepted then.
    pub async fn replace(&self, wanted: Replacement) -> Result<Replaced, ReplaceError> {
        self.within(self.decide(wanted)).await
    }

    async fn within<T>(
        &self,
        work: impl Future<Output = Result<T, ReplaceError>>,
    ) -> Result<T, ReplaceError> {
        timeout(ANSWER_TIMEOUT, work).await.unwrap_or_else(|_late| {
            let reason = format!("no majority within {} ms", ANSWER_TIMEOUT.as_millis());
            Err(ReplaceError::Unavailable(reason))
        })
    }

    async fn current(&self, edit: Option<EditId>) -> Result<Current, ReplaceError> {
        let read = self.handle.read(move |state| Current {
            cfg: Arc::clone(state.store().config()),
            origin: state.origin().cloned(),
            accepted: edit.is_some_and(|edit| state.accepted(edit).is_some()),
        });
        match read.await {
            Ok(current) => Ok(current),
            Err(e) => Err(self.not_here(e).await),
        }
    }

    async fn not_here(&self, e: RequestError) -> ReplaceError {
        let RequestError::NotLeader(Some(leader)) = &e else {
            return ReplaceError::Unavailable(e.to_string());
        };
        match identity::ask(&self.client, leader.address).await {
            Ok(identity) => match identity.operator_address {
                Some(address) => ReplaceError::Elsewhere(address),
                None => ReplaceError::Unavailable(format!("{e}; it serves no operators")),
            },
            Err(asked) => ReplaceError::Unavailable(format!("{e}; {asked}")),
        }
    }

    async fn decide(&self, wanted: Replacement) -> Result<Replaced, ReplaceError> {
        let current = self.current(Some(wanted.edit_id)).await?;
        let number = wanted.origin.number;
        if current.accepted {
            log_event!(Event::EditRepeated, version = number);
            return Ok(Replaced::Accepted);
        }
        let held = current.origin.as_ref().map_or(0, |origin| origin.number);
        if wanted.base != held {
            log_event!(Event::EditConflict, base = wanted.base, current = held);
            return Ok(Replaced::Conflict { current: held });
        }
        if number <= held {
            let reason = format!("version {number} is not above version {held}");
            return Ok(invalid(number, reason));
        }
        if held == 0 {
            self.check_voters()?;
        }
        let command = EditCommand {
            edit_id: wanted.edit_id,
            base: current.cfg.version,
            change: change_between(&current.cfg, &wanted.lists),
            time: clock_ms(),
            origin: Some(wanted.origin),
        };
        self.propose_replacement(&command, number, held).await
    }

    async fn propose_replacement(
        &self,
        command: &EditCommand,
        number: u64,
        held: u64,
    ) -> Result<Replaced, ReplaceError> {
        let buf = match wire::encode(command) {
            Ok(buf) => buf,
            Err(e) => return Ok(invalid(number, e.to_string())),
        };
        let reply = match self.handle.propose(buf).await {
            Ok(reply) => reply,
            Err(RequestError::Refused(reason)) => return Ok(invalid(number, reason)),
            Err(e) => return Err(self.not_here(e).await),
        };
        let reply = wire::decode(&reply).map_err(|e| ReplaceError::Unavailable(e.to_string()))?;
        Ok(match reply {
            EditReply::Accepted { version } => {
                log_event!(Event::VersionAccepted, version = version, number = number);
                Replaced::Accepted
            }
            EditReply::Repeated { .. } => Replaced::Accepted,
            EditReply::Conflict { .. } => {
                log_event!(Event::EditConflict, number = number);
                Replaced::Conflict { current: held }
            }
            EditReply::Invalid { reason } => invalid(number, reason),
        })
    }

    /// The first edit must survive the loss of as many disks as the settings name.
    fn check_voters(&self) -> Result<(), ReplaceError> {
        let members = self.handle.members();
        let voters = members
            .iter()
            .filter(|m| m.role == MemberRole::Voter)
            .count();
        let wanted = 2 * self.cfg.tolerated_losses + 1;
        if voters >= wanted || Instant::now() > self.started + GROWTH_TIMEOUT {
            return Ok(());
        }
        let reason = format!("the group has {voters} of {wanted} voters");
        Err(ReplaceError::Unavailable(reason))
    }
}

fn invalid(number: u64, reason: String) -> Replaced {
    log_event!(Event::EditRefused, number = number, reason = reason);
    Replaced::Invalid { reason }
}
