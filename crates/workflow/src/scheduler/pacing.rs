//! The pace of fillers beside serving tasks.
//!
//! Load: the own load of serving tasks swings threefold within 14 to 20 s, and fillers that press a little
//! do no harm in its valleys and much at its peaks. Keeping to what the peak allows leaves whole images
//! of fillers without a worker; stopping fillers when a target is missed throws their work away, and takes
//! a second in all. A change of pace works within a tenth of a second and loses nothing.
//!
//! Each answer of a worker tells what headroom its serving tasks would have without fillers. What is left up to
//! the target is shared by the fillers that press, each at the pace that fits.

use {
    super::{
        Attempt, Effect, Phase, Scheduler, Worker, attempt::FULL_PACE_PERCENT, waits::StopReason,
    },
    crate::{RunId, TaskId, WorkerId},
    egretlb_types::Time,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What became of a change of pace.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PaceResult {
    /// It is in force.
    Paced,
    /// The worker obeys a higher epoch.
    Outranked,
    /// Another incarnation answers at this address.
    OtherIncarnation,
    /// It may have had no effect.
    Unknown,
}

/// Paces are set in steps of this many percent: finer ones change less than figures stray.
const PACE_STEP: f32 = 10.0;

/// A change of less than this, in percent, isn't worth a call, unless it holds a filler back wholly or lets it
/// go: it takes less than a figure strays.
const LEAST_CHANGE: u32 = 20;

/// A filler at this pace or below, in percent, is better off elsewhere if there is such a place.
const SLOWED: u32 = 30;

/// A filler that was slowed for so long is moved.
const SLOWED_FOR: Duration = Duration::from_millis(1_200);

/// A filler that doesn't save its progress isn't moved once it is this far, in percent.
const WORTH_MOVING_PERCENT: u32 = 30;

impl Scheduler {
    /// What became of a change of pace.
    pub fn on_pace(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
        result: PaceResult,
        out: &mut Vec<Effect>,
    ) {
        match result {
            PaceResult::Paced => {}
            PaceResult::Outranked => out.push(Effect::Outranked),
            PaceResult::OtherIncarnation => self.on_other_incarnation(now, id),
            PaceResult::Unknown => {
                let worker = self.workers.get_mut(id);
                if let Some(copy) = worker.and_then(|worker| worker.attempts.get_mut(&(task, run)))
                {
                    copy.pace_sent = None;
                }
            }
        }
    }

    /// Sets the paces of a worker's fillers by what its serving tasks can bear.
    pub(super) fn pace_best_effort(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        self.note_own_headrooms(id);
        let Some(worker) = self.workers.get(id) else { return };
        if worker.best_effort == 0 {
            return;
        }
        let changes = self.changes_of_pace(worker);
        let (epoch, addr) = (self.epoch, worker.info.addr);
        self.stats.paced += changes.len() as u64;
        let Some(worker) = self.workers.get_mut(id) else { return };
        for (task, run, percent) in changes {
            worker.set_pace(task, run, percent);
            if let Some(copy) = worker.attempts.get_mut(&(task, run)) {
                copy.pace_sent = Some(percent);
                copy.progressed_at = now;
                let slowed = percent <= SLOWED;
                copy.throttled_since = slowed.then(|| copy.throttled_since.unwrap_or(now));
            }
            log::debug!(task:%, run:%, worker:% = id, percent; "filler_paced");
            out.push(Effect::Pace { worker: id.clone(), addr, epoch, task, run, percent });
        }
        self.move_slowed(now, id, out);
    }

    /// Notes at a worker the own headrooms of the tasks that serve there.
    fn note_own_headrooms(&mut self, id: &WorkerId) {
        let Some(Worker { attempts, neighbours, .. }) = self.workers.get_mut(id) else { return };
        let serving = attempts.iter().filter(|(_, copy)| copy.latency_critical);
        let serving = serving.map(|((task, _), copy)| (task.workflow, copy.image));
        self.colocation.update_own_headroom(neighbours, serving);
    }

    /// The fillers of a worker that are to work at another pace, in percent.
    fn changes_of_pace(&self, worker: &Worker) -> Vec<(TaskId, RunId, u32)> {
        let fillers = worker
            .attempts
            .values()
            .filter(|copy| copy.best_effort)
            .map(Attempt::best_effort_demand);
        let bearable = self.colocation.tolerated_paces(&worker.neighbours, fillers);
        let mut changes: Vec<(TaskId, RunId, u32)> = Vec::new();
        for ((task, run), copy) in &worker.attempts {
            if copy.best_effort && matches!(copy.phase, Phase::Running { .. }) {
                let share = self.colocation.allowed_pace(
                    &worker.neighbours,
                    &bearable,
                    copy.best_effort_demand(),
                );
                let pace = pace_of(share);
                if worth_telling(copy, pace) {
                    changes.push((*task, *run, pace));
                }
            }
        }
        changes
    }

    /// Moves fillers that were slowed down for long and find a better place.
    fn move_slowed(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        let Some(worker) = self.workers.get(id) else { return };
        let long = |copy: &Attempt| {
            let running = matches!(copy.phase, Phase::Running { .. });
            let worth = copy.movable || copy.percent < WORTH_MOVING_PERCENT;
            running && worth && copy.throttled_since.is_some_and(|at| now.since(at) >= SLOWED_FOR)
        };
        let slowed: Vec<(TaskId, RunId)> =
            worker.attempts.iter().filter(|(_, copy)| long(copy)).map(|(key, _)| *key).collect();
        for (task, run) in slowed {
            if self.fits_elsewhere(now, id, task) {
                self.stats.evicted += 1;
                log::info!(task:%, run:%, worker:% = id; "slowed_filler_moved");
                self.stop_runs(now, id, StopReason::Throttled, out, |of, number| {
                    of == task && number == run
                });
            }
        }
    }
}

/// A pace in percent, in whole steps.
fn pace_of(share: f32) -> u32 {
    let steps = (share * FULL_PACE_PERCENT as f32 / PACE_STEP).floor();
    (steps * PACE_STEP) as u32
}

/// Whether a change of pace is worth a call.
fn worth_telling(copy: &Attempt, pace: u32) -> bool {
    match copy.pace_sent {
        None => true,
        Some(told) => {
            told.abs_diff(pace) >= LEAST_CHANGE
                || (told != pace && (pace == 0 || pace == FULL_PACE_PERCENT))
        }
    }
}
