//! The in-memory part of the log.

use {
    super::types::{Entry, Member, Payload, Position},
    std::collections::VecDeque,
};

/// Entries after a base position, with the member lists that they contain.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Position of the entry before the first one in memory.
    base: Position,
    entries: VecDeque<Entry>,
    /// Member lists by the index at which they took effect; never empty after [`Log::new`].
    member_lists: Vec<(u64, Vec<Member>)>,
}

impl Log {
    pub(super) fn new(base: Position, members: Vec<Member>) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
            member_lists: vec![(base.index, members)],
        }
    }

    pub(super) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.at)
    }

    /// Returns the term of the entry at `index`; `None` if the log does not hold it.
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

    /// Returns the entries from index `from` on, up to `max_bytes` in total but at least one if
    /// there is any.
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
            "entry does not follow the last one"
        );
        if let Payload::Members(members) = &entry.payload {
            self.member_lists.push((entry.at.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries after `index`.
    pub(super) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index) as usize;
        self.entries.truncate(keep);
        self.member_lists
            .retain(|(at, _)| *at <= index.max(self.base.index));
    }

    /// Removes the entries up to `index`, which a snapshot covers.
    pub(super) fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let drop = (index - self.base.index) as usize;
        self.entries.drain(..drop);
        self.base = Position { index, term };
        let current = self.member_lists.partition_point(|(at, _)| *at <= index);
        self.member_lists.drain(..current.saturating_sub(1));
    }

    /// Returns the first index in memory of the consecutive entries that have the term of the
    /// entry at `index`.
    pub(super) fn start_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Returns the latest member list and the index at which it took effect.
    pub(super) fn members(&self) -> (u64, &[Member]) {
        self.member_lists
            .last()
            .map_or((0, &[]), |(index, members)| (*index, members))
    }

    /// Returns the member list that was in effect at `index`.
    pub(super) fn members_at(&self, index: u64) -> &[Member] {
        self.member_lists
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&[], |(_, members)| members)
    }
}
