//! How many workers are kept free for batch tasks that others of lower priority keep from finding room.
//!
//! Tasks of lower priority start in each gap as soon as it fits them. A larger task of higher priority then finds none, though
//! gaps of its size open all the time.

use std::time::Duration;

/// How long a worker is kept free, at most, and in how long it must be expected to have room: about as long as a stop takes.
pub(crate) const MAX_ROOM_WAIT: Duration = Duration::from_millis(300);

/// How long a worker is kept free for the oldest workflow that is too late to be of use; one is served per second.
pub(crate) const TURN_ROOM_WAIT: Duration = Duration::from_secs(1);

/// Interval of searches for the same step.
pub(crate) const STEP_SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of searches for any step; each scans all workers of a service.
pub(crate) const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Number of workers of a service per worker kept free at a time.
const WORKERS_PER_ROOM: usize = 4;

/// Number of further workers to keep free for a step with `waiting` tasks that holds `own` already, while `held` of a service's
/// `workers` are.
pub(crate) fn rooms_to_hold(waiting: usize, own: usize, held: usize, workers: usize) -> usize {
    let left = (workers / WORKERS_PER_ROOM).max(1).saturating_sub(held);
    waiting.saturating_sub(own).min(left)
}

#[cfg(test)]
#[path = "tests/rooms.rs"]
mod tests;
