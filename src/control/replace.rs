//! Replacement of both lists in one edit, for interfaces that send them as one document.

use {
    super::{
        config::ConfigReplica, election::retry_with_next_leader, identity,
        operators::change_between,
    },
    crate::{
        clock::unix_time_ms,
        edits::{EditCommand, EditId, EditReply, InterfaceData},
        events::Event,
        lists::Lists,
        log_event,
        model::{Config, Version},
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

/// Time after which an operation without a decision is answered as unavailable. It is shorter
/// than a second, after which operators ask another replica.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time that an accepted edit waits until all daemons that report route by it. A daemon that is
/// frozen or cut off delays the answer until its lease ends; the operator must not wait that long.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after the start for which the first edit is refused while the group has fewer voters than
/// the settings require. After it, a smaller group accepts edits rather than stay read-only.
const GROWTH_TIMEOUT: Duration = Duration::from_secs(10);

/// A new version of both lists, which replaces the current one.
#[derive(Clone, Debug)]
pub struct Replacement {
    /// Idempotency id of the edit; a retry has the same one.
    pub edit_id: EditId,
    /// New plans and grants.
    pub lists: Lists,
    /// Version number of the document, and the other data that the interface stores with it.
    pub interface_data: InterfaceData,
    /// Version number of the document that is replaced; 0 for the first.
    pub base: u64,
}

/// Outcome of a replacement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// The lists are accepted, now or by an earlier send of the same edit.
    Accepted {
        /// Version of the lists.
        version: Version,
    },
    /// The base is not the current version.
    Conflict {
        /// Version number of the current document.
        current: u64,
    },
    /// The replacement is not valid.
    Invalid {
        /// Why it is not valid.
        reason: String,
    },
}

/// Reason why this replica made no decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplaceError {
    /// Another replica leads; its operator address.
    NotLeader(SocketAddr),
    /// No leader is known or it has no known operator address, or no majority answered in time; the
    /// reason.
    Unavailable(String),
}

/// Replicated state that a replacement is checked against.
struct CurrentState {
    /// Index of the last log entry that the state includes.
    index: u64,
    cfg: Arc<Config>,
    /// `None` before the first replacement.
    interface_data: Option<InterfaceData>,
    /// Version of the same edit if it was accepted before.
    accepted: Option<Version>,
}

/// What a replacement leads to in the state that it was checked against.
enum Checked {
    Decided(ReplaceOutcome),
    Propose(EditCommand),
}

impl CurrentState {
    /// Returns the version number of the current document; 0 before the first.
    fn number(&self) -> u64 {
        let data = self.interface_data.as_ref();
        data.map_or(0, |data| data.number)
    }
}

impl ConfigReplica {
    /// Returns the current lists and the data that the interface stored with them, confirmed by a
    /// majority. The second part is `None` before the first replacement.
    ///
    /// # Errors
    /// [`ReplaceError`]: another replica leads, or none does.
    pub async fn read_confirmed(
        &self,
    ) -> Result<(Arc<Config>, Option<InterfaceData>), ReplaceError> {
        let found = self.answer(|| self.read_state(None)).await?;
        Ok((found.cfg, found.interface_data))
    }

    /// Replaces both lists if the base is the current version. An edit that was accepted before is
    /// acknowledged again.
    ///
    /// # Errors
    /// [`ReplaceError`]: another replica leads, or none does. The replacement may still have been
    /// accepted.
    pub async fn replace(&self, replacement: Replacement) -> Result<ReplaceOutcome, ReplaceError> {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let outcome = self
            .answer(|| self.apply_replacement(replacement.clone()))
            .await?;
        if let ReplaceOutcome::Accepted { version } = outcome {
            self.await_in_force(version, deadline).await;
        }
        Ok(outcome)
    }

    /// Runs an operation that needs the leader, again with the next one if an election is due.
    pub(super) async fn answer<T, F>(&self, operation: impl Fn() -> F) -> Result<T, ReplaceError>
    where
        F: Future<Output = Result<T, ReplaceError>>,
    {
        let unavailable = |e: &ReplaceError| matches!(e, ReplaceError::Unavailable(_));
        let status = self.handle.watch();
        self.with_timeout(retry_with_next_leader(status, unavailable, operation))
            .await
    }

    pub(super) async fn with_timeout<T>(
        &self,
        work: impl Future<Output = Result<T, ReplaceError>>,
    ) -> Result<T, ReplaceError> {
        timeout(ANSWER_TIMEOUT, work).await.unwrap_or_else(|_late| {
            let reason = format!(
                "no majority answered within {} ms",
                ANSWER_TIMEOUT.as_millis()
            );
            Err(ReplaceError::Unavailable(reason))
        })
    }

    async fn read_state(&self, edit: Option<EditId>) -> Result<CurrentState, ReplaceError> {
        let read = self
            .handle
            .read_with_index(move |state, index| CurrentState {
                index,
                cfg: Arc::clone(state.store().config()),
                interface_data: state.interface_data().cloned(),
                accepted: edit.and_then(|edit| state.accepted_edit(edit).map(|edit| edit.version)),
            });
        match read.await {
            Ok(current) => Ok(current),
            Err(e) => Err(self.replace_error(e).await),
        }
    }

    /// Returns the error for a failed operation on the log, with the leader's operator address if
    /// it can be fetched.
    pub(super) async fn replace_error(&self, e: RequestError) -> ReplaceError {
        let RequestError::NotLeader(Some(leader)) = &e else {
            return ReplaceError::Unavailable(e.to_string());
        };
        match identity::fetch(&self.client, leader.address).await {
            Ok(identity) => match identity.operator_address {
                Some(address) => ReplaceError::NotLeader(address),
                None => ReplaceError::Unavailable(format!("{e}; the leader has no operator port")),
            },
            Err(fetch_error) => ReplaceError::Unavailable(format!("{e}; {fetch_error}")),
        }
    }

    /// Checks a replacement against the current state and proposes it after that state. If another
    /// command comes in between, the replacement is checked again: the version of the lists alone does
    /// not tell, since a replacement may change nothing but the data of the interface.
    async fn apply_replacement(
        &self,
        replacement: Replacement,
    ) -> Result<ReplaceOutcome, ReplaceError> {
        loop {
            let current = self.read_state(Some(replacement.edit_id)).await?;
            let command = match self.check_replacement(&replacement, &current)? {
                Checked::Decided(outcome) => return Ok(outcome),
                Checked::Propose(command) => command,
            };
            if let Some(outcome) = self.propose_replacement(&command, &current).await? {
                return Ok(outcome);
            }
        }
    }

    fn check_replacement(
        &self,
        replacement: &Replacement,
        current: &CurrentState,
    ) -> Result<Checked, ReplaceError> {
        let number = replacement.interface_data.number;
        if let Some(version) = current.accepted {
            log_event!(Event::EditRepeated, version = number);
            return Ok(Checked::Decided(ReplaceOutcome::Accepted { version }));
        }
        let current_number = current.number();
        if replacement.base != current_number {
            log_event!(
                Event::EditConflict,
                base = replacement.base,
                current = current_number
            );
            return Ok(Checked::Decided(ReplaceOutcome::Conflict {
                current: current_number,
            }));
        }
        if number <= current_number {
            let reason =
                format!("version {number} is not higher than the current version {current_number}");
            return Ok(Checked::Decided(invalid(number, reason)));
        }
        if current_number == 0 {
            self.check_voters()?;
        }
        Ok(Checked::Propose(EditCommand {
            edit_id: replacement.edit_id,
            base: current.cfg.version,
            change: change_between(&current.cfg, &replacement.lists),
            time: unix_time_ms(),
            interface_data: Some(replacement.interface_data.clone()),
        }))
    }

    /// Proposes a replacement that was checked against `current`; `None` if another command came in
    /// between.
    async fn propose_replacement(
        &self,
        command: &EditCommand,
        current: &CurrentState,
    ) -> Result<Option<ReplaceOutcome>, ReplaceError> {
        let data = command.interface_data.as_ref();
        let number = data.map_or(0, |data| data.number);
        let buf = match wire::encode(command) {
            Ok(buf) => buf,
            Err(e) => return Ok(Some(invalid(number, e.to_string()))),
        };
        let reply = match self.handle.propose_after(current.index, buf).await {
            Ok(reply) => reply,
            Err(RequestError::Superseded) => return Ok(None),
            Err(RequestError::Refused(reason)) => return Ok(Some(invalid(number, reason))),
            Err(e) => return Err(self.replace_error(e).await),
        };
        let reply = wire::decode(&reply).map_err(|e| ReplaceError::Unavailable(e.to_string()))?;
        Ok(Some(match reply {
            EditReply::Accepted { version } => {
                log_event!(Event::VersionAccepted, version = version, number = number);
                ReplaceOutcome::Accepted { version }
            }
            EditReply::Repeated { version } => ReplaceOutcome::Accepted { version },
            EditReply::Conflict { .. } => {
                log_event!(Event::EditConflict, number = number);
                ReplaceOutcome::Conflict {
                    current: current.number(),
                }
            }
            EditReply::Invalid { reason } => invalid(number, reason),
        }))
    }

    /// Waits until the daemons route by a version, so that calls that come after the acknowledgement
    /// are not routed by an older one.
    async fn await_in_force(&self, version: Version, deadline: Instant) {
        let deadline = deadline.min(Instant::now() + IN_FORCE_TIMEOUT);
        if !self.tree.await_in_force(version, deadline).await {
            log::info!("version {version} acknowledged before all daemons have reported it");
        }
    }

    /// Refuses the first edit until the group has enough voters to keep it after the loss of as
    /// many disks as the settings tolerate, or until [`GROWTH_TIMEOUT`] has passed.
    fn check_voters(&self) -> Result<(), ReplaceError> {
        let members = self.handle.members();
        let voters = members
            .iter()
            .filter(|m| m.role == MemberRole::Voter)
            .count();
        let required = self.required_voters();
        if voters >= required || Instant::now() > self.started + GROWTH_TIMEOUT {
            return Ok(());
        }
        let reason =
            format!("the group has {voters} of the {required} voters that the settings require");
        Err(ReplaceError::Unavailable(reason))
    }
}

fn invalid(number: u64, reason: String) -> ReplaceOutcome {
    log_event!(Event::EditRefused, number = number, reason = reason);
    ReplaceOutcome::Invalid { reason }
}
