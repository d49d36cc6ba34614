//! A queue of events in virtual time.

use {
    egretlb_types::Time,
    std::{
        cmp::{Ordering, Reverse},
        collections::BinaryHeap,
    },
};

struct Due<E> {
    at: Time,
    order: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events ordered by time, then by insertion, so that runs are reproducible.
pub(super) struct Timeline<E> {
    due: BinaryHeap<Reverse<Due<E>>>,
    order: u64,
}

impl<E> Timeline<E> {
    pub(super) fn new() -> Self {
        Timeline { due: BinaryHeap::new(), order: 0 }
    }

    /// Schedules `event` at `at`.
    pub(super) fn push(&mut self, at: Time, event: E) {
        self.order += 1;
        self.due.push(Reverse(Due { at, order: self.order, event }));
    }

    /// Removes the next event before `until`.
    pub(super) fn pop_before(&mut self, until: Time) -> Option<(Time, E)> {
        if self.due.peek().is_none_or(|Reverse(due)| due.at >= until) {
            return None;
        }
        self.due.pop().map(|Reverse(due)| (due.at, due.event))
    }
}
