//! Workers that are lost with what runs there.

use {
    super::{Copy, Scheduler, Worker, waits::LineBudget},
    crate::{RunId, TaskId, WorkerId},
    egretlb_types::Time,
    std::{fmt, time::Duration},
};

/// The most lines on lost runs at once: as many as a rack of eight workers holds.
const BURST: u32 = 200;

/// The most lines on lost runs each second in the long run: 4 KB at 200 bytes a line.
const LINES_PER_SECOND: u32 = 20;

/// How a worker was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Loss {
    /// It left as it had announced, or for upkeep.
    Left,
    /// Another incarnation answers at its address.
    Replaced,
    /// It has been silent until its leases had lapsed; it may be cut off.
    Lapsed,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Loss::Left => "left",
            Loss::Replaced => "replaced",
            Loss::Lapsed => "lapsed",
        })
    }
}

/// What is kept of lost runs.
#[derive(Debug)]
pub(super) struct Losses {
    lines: LineBudget,
}

impl Default for Losses {
    fn default() -> Losses {
        Losses { lines: LineBudget::new("lost_runs", BURST, LINES_PER_SECOND) }
    }
}

impl Losses {
    pub(super) fn tell_left_out(&mut self, now: Time) {
        self.lines.tell_left_out(now);
    }
}

/// How long a run is known to have been at work; none if it may never have begun.
fn worked(worker: &Worker, copy: &Copy) -> Option<Duration> {
    let heard = worker.last_heard.unwrap_or(copy.began);
    copy.confirmed.then(|| heard.max(copy.began).since(copy.began))
}

impl Scheduler {
    /// Forgets what ran at a worker that was lost, and queues its tasks.
    pub(super) fn lose_runs(&mut self, now: Time, id: &WorkerId, loss: Loss) {
        let Some(worker) = self.workers.get(id) else { return };
        let beside = worker.copies.len().saturating_sub(1);
        let runs: Vec<(TaskId, RunId, Option<Duration>)> = worker
            .copies
            .iter()
            .map(|((task, run), copy)| (*task, *run, worked(worker, copy)))
            .collect();
        for (task, run, worked) in runs {
            self.measures.lost += 1;
            if self.losses.lines.take(now, 0) {
                let in_doubt = worked.is_none();
                let worked_ms = worked.unwrap_or_default().as_millis() as u64;
                log::info!(
                    task:%, run:%, worker:% = id, loss:%, in_doubt, worked_ms, beside;
                    "run_lost"
                );
            }
            self.drop_copy(now, id, task, run);
        }
    }
}
