//! Workers kept free for batch tasks of higher priority, if the queue is ordered by feasibility.

use {
    super::{
        QueuedStep, Scheduler,
        held_rooms::{HeldRoom, fits_in},
    },
    crate::{
        Step, WorkerId,
        overload::{
            MAX_ROOM_WAIT, ROOM_SEARCH_INTERVAL, STEP_SEARCH_INTERVAL, TURN_ROOM_WAIT,
            rooms_to_hold,
        },
    },
    compact_str::CompactString,
    egretlb_types::Time,
    std::time::Duration,
};

impl Scheduler {
    /// Keeps workers free for the waiting tasks of a batch step if steps of lower priority wait as well; one worker, for this
    /// step only, if it is the turn of its workflow.
    pub(super) fn hold_for_priority(
        &mut self,
        now: Time,
        key: QueuedStep,
        service: &CompactString,
        step: &Step,
        is_turn: bool,
    ) {
        let is_lower = |last: &QueuedStep| last.priority > key.priority;
        if !self.orders_by_feasibility()
            || step.long_running
            || step.best_effort
            || step.gang
            || !(is_turn || self.queued_steps.last().is_some_and(is_lower))
            || (is_turn && self.holds_room(key))
            || now.since(self.batch_room_searched_at) < ROOM_SEARCH_INTERVAL
        {
            return;
        }
        let task = key.task(0);
        let Some(state) = self.step_state(task) else { return };
        if state.hold_searched_at.is_some_and(|at| now.since(at) < STEP_SEARCH_INTERVAL) {
            return;
        }
        state.hold_searched_at = Some(now);
        let waiting = state.queue.len();
        let (waiting, own, max_wait, priority) = if is_turn {
            (1, 0, TURN_ROOM_WAIT, None)
        } else {
            (waiting, self.priority_rooms(key, service), MAX_ROOM_WAIT, Some(key.priority))
        };
        self.batch_room_searched_at = now;
        let (mut workers, mut held) = (0, 0);
        let mut soon: Vec<(Duration, &WorkerId)> = Vec::new();
        for (id, worker) in self.workers.iter().filter(|(_, w)| w.info.service == *service) {
            workers += 1;
            held += usize::from(now < worker.held_until);
            let eligible = worker.accepts_work(now, &self.limits)
                && !self.is_in_maintenance(id)
                && self.is_allowed(now, task, id)
                && step.per_worker == 0
                && step.label.as_ref().is_none_or(|label| worker.info.has_label(label));
            let room = eligible.then(|| fits_in(now, worker, &step.resources)).flatten();
            soon.extend(room.filter(|room| *room < max_wait).map(|room| (room, id)));
        }
        self.stats.workers_scanned += workers as u64;
        let rooms = rooms_to_hold(waiting, own, held, workers);
        soon.sort_unstable();
        let chosen: Vec<WorkerId> =
            soon.into_iter().take(rooms).map(|(_, id)| id.clone()).collect();
        self.stats.rooms_held += chosen.len() as u64;
        for worker in chosen {
            self.hold_for(now, key, worker, max_wait, priority);
        }
    }

    /// Number of workers of a service kept free for batch tasks of a step's priority.
    pub(super) fn priority_rooms(&self, key: QueuedStep, service: &CompactString) -> usize {
        let of_service = |held: &HeldRoom| {
            self.workers.get(held.worker()).is_some_and(|worker| worker.info.service == *service)
        };
        let is_open =
            |held: &&HeldRoom| held.is_open_to(key.priority, key.long_running) && of_service(held);
        self.held_rooms.iter().filter(is_open).count()
    }
}
