//! State machine of the config group: applies edits from the replicated log, deterministically.

use {
    crate::{
        error::{Error, Result},
        model::{Digest, Version},
        versions::{Change, ConfigStore},
        wire,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

#[cfg(test)]
mod tests;

/// Accepted edits whose answers are remembered: 2.2 days at 3,700 edits a day. A resend that
/// comes later can't be accepted twice either, since its base is no longer current; it is
/// answered with a conflict.
pub const MAX_ANSWERS: usize = 8_192;

/// Largest snapshot in bytes.
pub const MAX_SNAPSHOT: usize = 128 * 1024 * 1024;

/// Identifies an edit over resends; drawn at random by the operator's command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditId(pub u128);

impl EditId {
    /// The id of an edit that is named by its text.
    pub fn of(text: &[u8]) -> Self {
        let Digest(bytes) = Digest::of(text);
        let (head, _) = bytes.split_at(16);
        Self(head.iter().fold(0, |id, byte| id << 8 | u128::from(*byte)))
    }
}

/// What another interface keeps with the lists so that it can give them back as it got them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Number by which the operators of that interface name the version.
    pub number: u64,
    /// Text of that interface; nothing else reads it.
    pub extra: String,
}

/// One edit as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditCommand {
    /// Id, the same in each resend.
    pub edit_id: EditId,
    /// Version on which the edit is based.
    pub base: Version,
    /// What is changed.
    pub change: Change,
    /// Time at the leader that accepted the command into the log, in milliseconds since the Unix
    /// epoch.
    pub time: u64,
    /// What the interface by which the edit came keeps with the lists.
    pub origin: Option<Origin>,
}

/// Answer to an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EditReply {
    /// The edit made this version.
    Accepted {
        /// The new version.
        version: Version,
    },
    /// The same edit was accepted before.
    Repeated {
        /// The version that it made then.
        version: Version,
    },
    /// The edit is based on a version that is not current.
    Conflict {
        /// The current version.
        current: Version,
    },
    /// The result would not be valid, or the command can't be read.
    Invalid {
        /// What is wrong.
        reason: String,
    },
}

/// An accepted edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that it made.
    pub version: Version,
    /// Time of the command, in milliseconds since the Unix epoch.
    pub time: u64,
}

/// State of the config group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    store: ConfigStore,
    /// Answers in the order of acceptance.
    answers: IndexMap<EditId, Accepted>,
    applied: u64,
    /// What another interface keeps with the lists.
    origin: Option<Origin>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            store: ConfigStore::with_config(crate::model::Config::default()),
            answers: IndexMap::new(),
            applied: 0,
            origin: None,
        }
    }
}

impl State {
    /// Configuration at the newest version.
    pub const fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// Index of the last log entry that was applied.
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// The answer to an edit that was accepted before, while it is remembered.
    pub fn accepted(&self, edit: EditId) -> Option<Accepted> {
        self.answers.get(&edit).copied()
    }

    /// What another interface keeps with the lists, if the last edit came through one.
    pub const fn origin(&self) -> Option<&Origin> {
        self.origin.as_ref()
    }

    fn decide(&mut self, command: &EditCommand) -> EditReply {
        if let Some(Accepted { version, .. }) = self.accepted(command.edit_id) {
            return EditReply::Repeated { version };
        }
        let current = self.store.version();
        if command.base != current {
            return EditReply::Conflict { current };
        }
        let version = if command.change.is_empty() && command.origin.is_some() {
            current
        } else {
            match self.store.edit(&command.change) {
                Ok(cfg) => cfg.version,
                Err(e) => return invalid(&e.to_string()),
            }
        };
        self.origin.clone_from(&command.origin);
        if self.answers.len() >= MAX_ANSWERS {
            // One pass for an eighth of the entries instead of one shift for each edit.
            self.answers.drain(..MAX_ANSWERS / 8);
        }
        let time = command.time;
        self.answers
            .insert(command.edit_id, Accepted { version, time });
        EditReply::Accepted { version }
    }
}

/// Applies one log entry and returns the encoded [`EditReply`].
///
/// A command that can't be read is answered as invalid. An entry at or below the last index
/// changes nothing.
///
/// ```
/// use anvilbeam::{edits::{self, *}, model::*, versions::Change, wire};
/// let plan = Plan { name: "bureau".into(), key_hashes: vec![], home_region: "fukuoka".into() };
/// let change = Change { plans: vec![plan], ..Change::default() };
/// let command = EditCommand { edit_id: EditId(7), base: Version(0), change, time: 0, origin: None };
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
        match wire::decode::<EditCommand>(command) {
            Ok(command) => state.decide(&command),
            Err(e) => invalid(&e.to_string()),
        }
    };
    // A reply is far below the limit, so encoding can't fail.
    wire::encode(&reply).unwrap_or_default()
}

fn invalid(reason: &str) -> EditReply {
    // Bounds what a long name can add to a message.
    const MAX_REASON: usize = 1024;
    EditReply::Invalid {
        reason: reason.chars().take(MAX_REASON).collect(),
    }
}

/// Encodes the state.
///
/// # Errors
/// [`Error::Codec`] or [`Error::TooLarge`].
pub fn snapshot(state: &State) -> Result<Vec<u8>> {
    let step = "encode snapshot of edits";
    let buf = bincode::serde::encode_to_vec(state, bincode::config::standard()).map_err(|e| {
        Error::Codec {
            step,
            reason: e.to_string(),
        }
    })?;
    if buf.len() > MAX_SNAPSHOT {
        return Err(Error::TooLarge {
            step,
            size: buf.len(),
            limit: MAX_SNAPSHOT,
        });
    }
    Ok(buf)
}

/// Decodes a state and checks its digest and references.
///
/// # Errors
/// [`Error::Codec`] when the snapshot can't be read or doesn't hold together.
pub fn restore(buf: &[u8]) -> Result<State> {
    let fail = |reason| Error::Codec {
        step: "decode snapshot of edits",
        reason,
    };
    let cfg = bincode::config::standard().with_limit::<MAX_SNAPSHOT>();
    let (state, used) =
        bincode::serde::decode_from_slice::<State, _>(buf, cfg).map_err(|e| fail(e.to_string()))?;
    if used != buf.len() {
        return Err(fail(format!("{} bytes follow the state", buf.len() - used)));
    }
    if !state.store.is_intact() {
        let version = state.store.version();
        return Err(fail(format!("version {version} doesn't match its digest")));
    }
    Ok(state)
}
