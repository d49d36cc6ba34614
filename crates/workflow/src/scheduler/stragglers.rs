//! Tasks that stand still or are far slower than expected.
//!
//! Load: now and then a few workers let their tasks stand still for seconds, or run them several times
//! slower, while they look well otherwise. A workflow waits for its slowest task, so with ten tasks each
//! a twentieth of such workers delays nearly half of all workflows. A task that may run twice gets a
//! copy elsewhere; another one is stopped and goes on elsewhere.

use {
    super::{Copy, Effect, Need, Phase, Scheduler},
    crate::{RunId, Step, TaskId, WorkerId},
    egretlb_types::Time,
    std::time::Duration,
};

/// A task that hasn't got on for so long stands still. A task of a second gets on by a percent each
/// 10 ms, and one that resumes from a checkpoint waits for a quarter of a second.
const STANDS_AFTER: Duration = Duration::from_millis(900);

/// A worker where tasks stand still gets nothing new for so long.
const STANDING_BAR: Duration = Duration::from_secs(2);

/// A task is slow once it has run for its estimate times this, in percent; estimates of interactive
/// steps are off by a fifth.
const SLOW_PERCENT: u32 = 180;

/// And this much longer, which a short task takes to start.
const SLOW_SLACK: Duration = Duration::from_millis(200);

/// A slow task that is further than this is nearly done: elsewhere it would begin anew.
const WORTH_MOVING_PERCENT: u32 = 50;

/// The most tasks of one worker that are moved at a time.
const MOVES_PER_ANSWER: usize = 6;

enum Straggler {
    Standing,
    Slow,
}

fn judge(now: Time, copy: &Copy, step: &Step) -> Option<Straggler> {
    if step.lasting || step.gang || !matches!(copy.phase, Phase::Running { .. }) {
        return None;
    }
    let ran = now.since(copy.placed);
    if now.since(copy.moved_at) >= STANDS_AFTER && ran >= STANDS_AFTER {
        return Some(Straggler::Standing);
    }
    // Fillers are slowed down by what else runs, and their estimates are off by any factor.
    let expected = Duration::from_millis(u64::from(step.estimate_ms)) * SLOW_PERCENT / 100;
    let slow = !step.fills && step.estimate_ms > 0 && ran >= expected + SLOW_SLACK;
    (slow && copy.percent < WORTH_MOVING_PERCENT).then_some(Straggler::Slow)
}

impl Scheduler {
    /// Moves what stands still or is slow at a worker that has just been heard.
    pub(super) fn chase(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        let Some(worker) = self.workers.get(id) else { return };
        let mut found: Vec<(TaskId, RunId)> = Vec::new();
        let mut standing = 0;
        for ((task, run), copy) in &worker.copies {
            let Some(step) = self.step(*task) else { continue };
            match judge(now, copy, step) {
                Some(Straggler::Standing) => standing += 1,
                Some(Straggler::Slow) => {}
                None => continue,
            }
            found.push((*task, *run));
        }
        if standing > 0
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.barred_until = worker.barred_until.max(now + STANDING_BAR);
        }
        for (task, run) in found.into_iter().take(MOVES_PER_ANSWER) {
            self.move_straggler(now, id, task, run, out);
        }
    }

    fn move_straggler(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
        out: &mut Vec<Effect>,
    ) {
        let Some(step) = self.step(task).cloned() else { return };
        let Some(flow) = self.flows.get(&task.workflow) else { return };
        let service = flow.submission.service.clone();
        let Some(state) = self.task_mut(task) else { return };
        if state.copies.len() > 1 {
            return;
        }
        state.avoid = Some(id.clone());
        if step.speculative && !self.may_start() {
            return;
        }
        let need = Need::new(&step, &mut self.interference);
        // Without another place it is better off where it is.
        let Some(other) = self.choose(now, task, &service, &need) else { return };
        log::info!(task:%, run:%, worker:% = id, copied = step.speculative; "straggler_moved");
        if step.speculative {
            self.start(now, task, &need, &other, None, out);
        } else {
            self.stop_runs(now, id, out, |of, number| of == task && number == run);
        }
    }
}
