//! The part of the log that is held in memory.

use {
    super::types::{Entry, Member, Payload, Position},
    std::collections::VecDeque,
};

/// Entries after a base position, with the member lists among them.
#[derive(Debug, Default)]
pub(super) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    /// Member lists by the index at which they came into force; never empty after `reset`.
    lists: Vec<(u64, Vec<Member>)>,
}

impl Log {
    pub(super) fn new(base: Position, members: Vec<Member>) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
            lists: vec![(base.index, members)],
        }
    }

    pub(super) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.at)
    }

    /// Term of the entry at `index`; `None` if the log does not hold it.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.at.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `from` on, up to `max_bytes` but at least one if there is any.
    pub(super) fn slice(&self, from: u64, max_bytes: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.base.index + 1) as usize;
        let mut bytes = 0;
        self.entries
            .range(skip.min(self.entries.len())..)
            .take_while(|entry| {
                let fits = bytes == 0 || bytes + entry.size() <= max_bytes;
                bytes += entry.size();
                fits
            })
            .cloned()
            .collect()
    }

    pub(super) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(
            entry.at.index,
            self.last().index + 1,
            "entries are in order"
        );
        if let Payload::Members(members) = &entry.payload {
            self.lists.push((entry.at.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops all entries after `index`.
    pub(super) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index) as usize;
        self.entries.truncate(keep);
        self.lists
            .retain(|(at, _)| *at <= index.max(self.base.index));
    }

    /// Drops the entries up to `index`, which a snapshot covers.
    pub(super) fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let drop = (index - self.base.index) as usize;
        self.entries.drain(..drop);
        self.base = Position { index, term };
        let current = self.lists.partition_point(|(at, _)| *at <= index);
        self.lists.drain(..current.saturating_sub(1));
    }

    /// First index of the run of entries with the term of `index`.
    pub(super) fn start_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// The member list in force and the index that brought it.
    pub(super) fn members(&self) -> (u64, &[Member]) {
        self.lists
            .last()
            .map_or((0, &[]), |(index, members)| (*index, members))
    }

    /// The member list that was in force at `index`.
    pub(super) fn members_at(&self, index: u64) -> &[Member] {
        self.lists
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&[], |(_, members)| members)
    }
}
