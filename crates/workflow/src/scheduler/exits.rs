//! Long-running tasks that end successfully. They run until their workflow is cancelled, so they are started again.

use {
    super::Scheduler,
    crate::{End, TaskId, WorkerId},
    egretlb_types::Time,
    std::{collections::BTreeSet, time::Duration},
};

/// Minimum time from one start of a task that exits to the next one, so that a task that exits at once isn't started as fast as
/// its ends are listed. The platform allows 6 s without a run.
const MIN_START_INTERVAL: Duration = Duration::from_secs(2);

/// Tasks that have exited and wait for their next start, by its time.
#[derive(Debug, Default)]
pub(super) struct Restarts(BTreeSet<(Time, TaskId)>);

impl Restarts {
    /// Takes out a task that is due.
    fn take_due(&mut self, now: Time) -> Option<TaskId> {
        let (due, task) = *self.0.first()?;
        (due <= now).then(|| {
            self.0.pop_first();
            task
        })
    }

    /// Whether a task waits for its next start.
    pub(super) fn contains(&self, task: TaskId) -> bool {
        self.0.iter().any(|(_, waiting)| *waiting == task)
    }
}

impl Scheduler {
    /// Handles the successful end of a run of a long-running task. `placed_at` is when the run was placed, if that is known.
    pub(super) fn on_exit(&mut self, now: Time, id: &WorkerId, end: &End, placed_at: Option<Time>) {
        let Some(state) = self.task_mut(end.task) else { return };
        state.exits += 1;
        let exits = state.exits;
        log::info!(task:% = end.task, run:% = end.run, worker:% = id, exits; "task_exited");
        self.dirty.insert(end.task.workflow);
        let due = placed_at.map_or(now, |at| at + MIN_START_INTERVAL);
        if due <= now {
            self.enqueue(now, end.task);
        } else {
            self.restarts.0.insert((due, end.task));
        }
    }

    /// Queues the tasks that have exited and are due again.
    pub(super) fn queue_exited(&mut self, now: Time) {
        while let Some(task) = self.restarts.take_due(now) {
            self.enqueue(now, task);
        }
    }
}
