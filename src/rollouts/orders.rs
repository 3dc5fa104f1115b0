//! Rollouts in the config group's log: orders, their ends, and the version that each service may use.

use {
    super::VersionTag,
    crate::{
        error::{Error, Result},
        model::ServiceName,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    strum::Display,
};

/// Maximum length of the name of a version in bytes.
pub const MAX_VERSION_BYTES: usize = 128;
/// Bounds of the duration of a rollout in milliseconds: a second and a day.
const MIN_DURATION_MS: u64 = 1_000;
const MAX_DURATION_MS: u64 = 86_400_000;
/// Time after the deadline of a rollout in milliseconds within which the same order is a resend. An
/// operator's call lasts a few seconds.
const RESEND_MS: u64 = 10_000;
/// Maximum number of services with a rollout or a known version.
const MAX_SERVICES: usize = 4_096;
/// First bytes of a log entry of this module, and of its part of a snapshot. Neither an edit nor
/// anything else in bincode begins with the first one.
const MARKER: [u8; 2] = [255, b'r'];

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RolloutState {
    /// The new version is exposed and judged.
    Running,
    /// All calls go to the new version, and none is in flight on another one.
    Succeeded,
    /// All calls go to the version that was in use before.
    RolledBack,
}

/// Order of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Service whose version changes.
    pub service: ServiceName,
    /// Name of the new version.
    pub target: String,
    /// Time until the deadline in milliseconds.
    pub duration_ms: u64,
}

impl Order {
    /// Checks the name of the version and the duration.
    ///
    /// ```
    /// use anvilbeam::rollouts::Order;
    /// let order = Order { service: "desk".into(), target: "v2".to_owned(), duration_ms: 12_000 };
    /// assert!(order.check().is_ok());
    /// ```
    ///
    /// # Errors
    /// What is invalid, with the value.
    pub fn check(&self) -> std::result::Result<(), String> {
        let Self {
            target,
            duration_ms,
            ..
        } = self;
        if target.is_empty() || target.len() > MAX_VERSION_BYTES {
            return Err(format!(
                "the version has {} bytes, not 1 to {MAX_VERSION_BYTES}",
                target.len()
            ));
        }
        if target.chars().any(char::is_control) {
            return Err(format!("the version {target:?} has a control character"));
        }
        if !(MIN_DURATION_MS..=MAX_DURATION_MS).contains(duration_ms) {
            return Err(format!(
                "duration {duration_ms} ms is not {MIN_DURATION_MS} to {MAX_DURATION_MS} ms"
            ));
        }
        Ok(())
    }
}

/// A rollout that was ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Index of the log entry of the order, which identifies the rollout.
    pub number: u64,
    /// Name of the new version.
    pub target: String,
    /// Duration in the order, in milliseconds; tells a resend from another order.
    pub duration_ms: u64,
    /// Time by which it must have ended, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// State.
    pub state: RolloutState,
}

/// Entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutCommand {
    /// Start a rollout.
    Start {
        /// The order.
        order: Order,
        /// Time at which the leader accepted it, in milliseconds since the Unix epoch.
        time_ms: u64,
    },
    /// End a running rollout.
    End {
        /// Service.
        service: ServiceName,
        /// [`Rollout::number`].
        number: u64,
        /// Whether its version is used from now on.
        succeeded: bool,
    },
    /// Record the version that a service has before its first rollout.
    Allow {
        /// Service.
        service: ServiceName,
        /// Tag of its version.
        version: VersionTag,
    },
}

/// Reply to a [`RolloutCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutReply {
    /// The command was applied.
    Accepted,
    /// The same order was accepted before.
    Repeated,
    /// Another order for the service is in progress.
    InProgress {
        /// Its rollout.
        rollout: Rollout,
    },
    /// The command has no effect; the reason.
    Invalid {
        /// What is wrong.
        reason: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ServiceState {
    /// Version that calls may use without a running rollout; `None` if it is not recorded yet.
    allowed: Option<VersionTag>,
    /// The running rollout, or else the last one.
    last: Option<Rollout>,
}

/// Rollouts of all services, as the log has them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    services: IndexMap<ServiceName, ServiceState>,
}

impl Rollouts {
    /// Returns whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the running rollout of a service, or else its last one.
    pub fn rollout(&self, service: &ServiceName) -> Option<&Rollout> {
        self.services.get(service)?.last.as_ref()
    }

    /// Returns the version that calls may use without a running rollout.
    pub fn allowed(&self, service: &ServiceName) -> Option<VersionTag> {
        self.services.get(service)?.allowed
    }

    /// Returns each service with its allowed version and its running rollout.
    pub fn services(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, Option<VersionTag>, Option<&Rollout>)> {
        self.services.iter().map(|(service, state)| {
            let running = state.last.as_ref();
            let running = running.filter(|rollout| rollout.state == RolloutState::Running);
            (service, state.allowed, running)
        })
    }

    /// Applies the log entry at `index`.
    pub fn apply(&mut self, index: u64, command: RolloutCommand) -> RolloutReply {
        match command {
            RolloutCommand::Start { order, time_ms } => self.start(index, order, time_ms),
            RolloutCommand::End {
                service,
                number,
                succeeded,
            } => self.end(&service, number, succeeded),
            RolloutCommand::Allow { service, version } => {
                if self.is_full(&service) {
                    return invalid(format!("more than {MAX_SERVICES} services have a version"));
                }
                // The first one counts: a later one may have seen servers of a rollout.
                let state = self.services.entry(service).or_default();
                state.allowed.get_or_insert(version);
                RolloutReply::Accepted
            }
        }
    }

    fn is_full(&self, service: &ServiceName) -> bool {
        self.services.len() >= MAX_SERVICES && !self.services.contains_key(service)
    }

    fn start(&mut self, index: u64, order: Order, time_ms: u64) -> RolloutReply {
        if let Err(reason) = order.check() {
            return invalid(reason);
        }
        if self.is_full(&order.service) {
            return invalid(format!("more than {MAX_SERVICES} services have a version"));
        }
        let state = self.services.entry(order.service).or_default();
        if let Some(last) = &state.last {
            let same = (&last.target, last.duration_ms) == (&order.target, order.duration_ms);
            let running = last.state == RolloutState::Running;
            if same && (running || time_ms < last.deadline_ms.saturating_add(RESEND_MS)) {
                return RolloutReply::Repeated;
            }
            if running {
                return RolloutReply::InProgress {
                    rollout: last.clone(),
                };
            }
        }
        // Nothing is to be done for the version that is in use already.
        let in_use = state.allowed == Some(VersionTag::of(&order.target));
        state.last = Some(Rollout {
            number: index,
            target: order.target,
            duration_ms: order.duration_ms,
            deadline_ms: time_ms.saturating_add(order.duration_ms),
            state: if in_use {
                RolloutState::Succeeded
            } else {
                RolloutState::Running
            },
        });
        RolloutReply::Accepted
    }

    fn end(&mut self, service: &ServiceName, number: u64, succeeded: bool) -> RolloutReply {
        let state = self.services.get_mut(service);
        let running = state.and_then(|state| {
            let rollout = state.last.as_mut()?;
            let matches = rollout.number == number && rollout.state == RolloutState::Running;
            matches.then_some((&mut state.allowed, rollout))
        });
        let Some((allowed, rollout)) = running else {
            return invalid(format!("rollout {number} of {service} is not running"));
        };
        if succeeded {
            *allowed = Some(VersionTag::of(&rollout.target));
            rollout.state = RolloutState::Succeeded;
        } else {
            rollout.state = RolloutState::RolledBack;
        }
        RolloutReply::Accepted
    }

    /// Encodes a command as a log entry.
    ///
    /// # Errors
    /// [`Error::TooLarge`] or [`Error::Codec`]; see [`crate::wire::encode`].
    pub fn encode_command(command: &RolloutCommand) -> Result<Vec<u8>> {
        let mut buf = MARKER.to_vec();
        buf.extend(crate::wire::encode(command)?);
        Ok(buf)
    }

    /// Decodes a log entry of this module; `None` if it belongs to another one.
    ///
    /// # Errors
    /// [`Error::Codec`] for an entry of this module that can't be decoded.
    pub fn decode_command(entry: &[u8]) -> Result<Option<RolloutCommand>> {
        match entry.strip_prefix(&MARKER) {
            Some(buf) => crate::wire::decode(buf).map(Some),
            None => Ok(None),
        }
    }

    /// Returns what is appended to a snapshot of the config group: nothing while nothing is recorded.
    ///
    /// # Errors
    /// [`Error::TooLarge`] or [`Error::Codec`].
    pub fn snapshot_part(&self) -> Result<Vec<u8>> {
        if self.is_empty() {
            return Ok(Vec::new());
        }
        let mut buf = MARKER.to_vec();
        buf.extend(crate::wire::encode(self)?);
        Ok(buf)
    }

    /// Decodes what [`Self::snapshot_part`] has appended.
    ///
    /// # Errors
    /// [`Error::Codec`] if it is something else.
    pub fn from_snapshot_part(part: &[u8]) -> Result<Self> {
        if part.is_empty() {
            return Ok(Self::default());
        }
        let buf = part.strip_prefix(&MARKER).ok_or_else(|| Error::Codec {
            step: "decode snapshot of edits",
            reason: format!("{} unexpected bytes follow the state", part.len()),
        })?;
        crate::wire::decode(buf)
    }
}

const fn invalid(reason: String) -> RolloutReply {
    RolloutReply::Invalid { reason }
}
