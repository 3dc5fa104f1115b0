//! Deterministic state machine of the config group: applies the edits in the replicated log.

use {
    crate::{
        error::{Error, Result},
        model::{Digest, Version},
        rollouts::Rollouts,
        versions::{Change, ConfigStore},
        wire,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

#[cfg(test)]
mod tests;

/// Maximum number of accepted edits that are remembered to recognise a resend: 1.9 to 2.2 days at
/// 3,700 edits a day, because an eighth is removed at a time. A later resend can't be accepted twice
/// either: its base version is no longer current, so the reply is a conflict.
pub const MAX_REMEMBERED_EDITS: usize = 8_192;

/// Maximum size of a snapshot in bytes.
pub const MAX_SNAPSHOT: usize = 128 * 1024 * 1024;

/// Identifies an edit, so that a resend is recognised. The command line of the operators generates
/// it at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditId(pub u128);

impl EditId {
    /// Returns the id of an edit that is identified by `text`: the first 128 bits of its SHA-256
    /// digest, big-endian.
    pub fn from_text(text: &[u8]) -> Self {
        let Digest(bytes) = Digest::of(text);
        let (head, _) = bytes.split_at(16);
        Self(head.iter().fold(0, |id, byte| id << 8 | u128::from(*byte)))
    }
}

/// Data that another interface stores with the lists, so that it can return a configuration in the
/// form in which it was received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterfaceData {
    /// Version number that operators use in that interface.
    pub number: u64,
    /// Text in the format of that interface; only the interface reads it.
    pub extra: String,
}

/// One edit, as an entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditCommand {
    /// Id of the edit, the same in each resend.
    pub edit_id: EditId,
    /// Version on which the edit is based; it must be current.
    pub base: Version,
    /// Plans and grants to add, replace or remove.
    pub change: Change,
    /// Time at which the leader proposed the command, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Data that the interface of the edit stores with the lists; `None` if it stores none.
    pub interface_data: Option<InterfaceData>,
}

/// Reply to an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EditReply {
    /// The edit was accepted.
    Accepted {
        /// Version that the edit created.
        version: Version,
    },
    /// An edit with the same id was accepted before.
    Repeated {
        /// Version that it created.
        version: Version,
    },
    /// The base version of the edit is not current.
    Conflict {
        /// The current version.
        current: Version,
    },
    /// The command can't be decoded or applied, or the resulting lists would be invalid.
    Invalid {
        /// What is wrong, with the name or the value.
        reason: String,
    },
}

/// An accepted edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedEdit {
    /// Version that it created.
    pub version: Version,
    /// [`EditCommand::time`], in milliseconds since the Unix epoch.
    pub time: u64,
}

/// State of the config group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    store: ConfigStore,
    /// The accepted edits that are remembered, oldest first.
    accepted_edits: IndexMap<EditId, AcceptedEdit>,
    /// Index of the last log entry that was applied; 0 before the first.
    applied: u64,
    /// Data of the interface of the last accepted edit; `None` if it stores none.
    interface_data: Option<InterfaceData>,
    /// Rollouts, which follow the other fields in a snapshot once there is one.
    #[serde(skip)]
    rollouts: Rollouts,
}

impl Default for State {
    fn default() -> Self {
        Self {
            store: ConfigStore::with_config(crate::model::Config::default()),
            accepted_edits: IndexMap::new(),
            applied: 0,
            interface_data: None,
            rollouts: Rollouts::default(),
        }
    }
}

impl State {
    /// Returns the store with the newest version.
    pub const fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// Returns the index of the last log entry that was applied; 0 before the first.
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the accepted edit with this id; `None` if there is none or it is no longer
    /// remembered.
    pub fn accepted_edit(&self, edit: EditId) -> Option<AcceptedEdit> {
        self.accepted_edits.get(&edit).copied()
    }

    /// Returns the data that the interface of the last accepted edit stores with the lists; `None`
    /// if that interface stores none.
    pub const fn interface_data(&self) -> Option<&InterfaceData> {
        self.interface_data.as_ref()
    }

    /// Returns the rollouts.
    pub const fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    fn apply_edit(&mut self, command: &EditCommand) -> EditReply {
        if let Some(AcceptedEdit { version, .. }) = self.accepted_edit(command.edit_id) {
            return EditReply::Repeated { version };
        }
        let current = self.store.version();
        if command.base != current {
            return EditReply::Conflict { current };
        }
        let version = if command.change.is_empty() && command.interface_data.is_some() {
            // The lists are unchanged, so only the data of the interface is replaced.
            current
        } else {
            match self.store.edit(&command.change) {
                Ok(cfg) => cfg.version,
                Err(e) => return invalid(&e.to_string()),
            }
        };
        self.interface_data.clone_from(&command.interface_data);
        if self.accepted_edits.len() >= MAX_REMEMBERED_EDITS {
            // Removing the oldest entry shifts all others, so an eighth is removed at once.
            self.accepted_edits.drain(..MAX_REMEMBERED_EDITS / 8);
        }
        let time = command.time;
        self.accepted_edits
            .insert(command.edit_id, AcceptedEdit { version, time });
        EditReply::Accepted { version }
    }
}

/// Applies one log entry and returns the encoded [`EditReply`], or the encoded
/// [`crate::rollouts::RolloutReply`] for a command of a rollout.
///
/// The reply is [`EditReply::Invalid`] if the command can't be decoded, and also if the entry has
/// been applied before; neither changes the lists.
///
/// ```
/// use anvilbeam::{edits::{self, *}, model::*, versions::Change, wire};
/// let plan = Plan { name: "bureau".into(), key_hashes: vec![], home_region: "fukuoka".into() };
/// let change = Change { plans: vec![plan], ..Change::default() };
/// let command = EditCommand { edit_id: EditId(7), base: Version(0), change, time: 0, interface_data: None };
/// let command = wire::encode(&command).unwrap();
/// let mut state = State::default();
/// let reply = edits::apply(&mut state, 1, &command);
/// assert_eq!(wire::decode::<EditReply>(&reply).unwrap(), EditReply::Accepted { version: Version(1) });
/// ```
pub fn apply(state: &mut State, index: u64, command: &[u8]) -> Vec<u8> {
    let reply = if index <= state.applied {
        invalid(&format!(
            "log entry {index} was already applied; the last is {}",
            state.applied
        ))
    } else {
        state.applied = index;
        match Rollouts::decode_command(command) {
            Ok(Some(command)) => {
                let reply = state.rollouts.apply(index, command);
                return wire::encode(&reply).unwrap_or_default();
            }
            Ok(None) => {}
            Err(e) => log::error!("log entry {index} of a rollout ignored: {e}"),
        }
        match wire::decode::<EditCommand>(command) {
            Ok(command) => state.apply_edit(&command),
            Err(e) => invalid(&e.to_string()),
        }
    };
    // Encoding fails only above the size limit of the wire format; a reply is far smaller.
    wire::encode(&reply).unwrap_or_default()
}

fn invalid(reason: &str) -> EditReply {
    // The reason may quote a long name.
    const MAX_REASON_CHARS: usize = 1024;
    EditReply::Invalid {
        reason: reason.chars().take(MAX_REASON_CHARS).collect(),
    }
}

/// Encodes the state as a snapshot.
///
/// # Errors
/// [`Error::Codec`] if the state can't be encoded, [`Error::TooLarge`] above [`MAX_SNAPSHOT`].
pub fn snapshot(state: &State) -> Result<Vec<u8>> {
    let step = "encode snapshot of edits";
    let mut buf =
        bincode::serde::encode_to_vec(state, bincode::config::standard()).map_err(|e| {
            Error::Codec {
                step,
                reason: e.to_string(),
            }
        })?;
    buf.extend(state.rollouts.snapshot_part()?);
    if buf.len() > MAX_SNAPSHOT {
        return Err(Error::TooLarge {
            step,
            size: buf.len(),
            limit: MAX_SNAPSHOT,
        });
    }
    Ok(buf)
}

/// Decodes a snapshot and checks the digest and the references of its lists.
///
/// # Errors
/// [`Error::Codec`] if the snapshot can't be decoded or is inconsistent.
pub fn restore(buf: &[u8]) -> Result<State> {
    let codec_error = |reason| Error::Codec {
        step: "decode snapshot of edits",
        reason,
    };
    let cfg = bincode::config::standard().with_limit::<MAX_SNAPSHOT>();
    let (mut state, used) = bincode::serde::decode_from_slice::<State, _>(buf, cfg)
        .map_err(|e| codec_error(e.to_string()))?;
    state.rollouts = Rollouts::from_snapshot_part(&buf[used..])?;
    if !state.store.is_intact() {
        let version = state.store.version();
        return Err(codec_error(format!(
            "version {version} is inconsistent or doesn't match its digest"
        )));
    }
    Ok(state)
}
