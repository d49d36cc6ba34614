//! Serving tasks under pressure of the fillers beside them: learning from their tails, and relief.

use {
    super::{Copy, Effect, Need, Phase, Scheduler, Worker, pacing::Fresh, waits::StopReason},
    crate::{
        RunId, TaskId, WorkerId, WorkflowId,
        interference::{Exposure, ImageNo, Interference, headroom_of, set},
    },
    egretlb_types::Time,
    smallvec::SmallVec,
    std::time::Duration,
};

/// A figure covers this long, so the fillers' use is averaged over the same before the two are compared.
/// An exponential average explained recorded figures much worse (21 against 26% and 37% of what changes
/// within 4 s), and its weights came out half as large.
const FIGURE_SPAN: Duration = Duration::from_millis(500);

/// Figures are renewed each quarter of a second, so the one in an answer is half as old on average.
const FIGURE_LAG: Duration = Duration::from_millis(125);

/// A serving task over its target for this long is relieved of the fillers that press: two figures in a
/// row. The platform counts harm from 4 s on.
const RELIEF_AFTER: Duration = Duration::from_millis(400);

/// A serving task counts as over its target until its tail is below this share of it: a figure strays by
/// a fifth, and one good figure among bad ones is no recovery.
const CLEARED: f32 = 0.85;

/// After this long all fillers go, whatever was learned of them: what presses isn't known yet, and a
/// filler is done sooner elsewhere than this is found out one by one.
const FORCED_RELIEF_AFTER: Duration = Duration::from_millis(1_800);

/// The pause between two reliefs at a worker: the figures show the first one by then.
const RELIEF_GAP: Duration = Duration::from_millis(600);

/// A filler that takes less than this from a serving task's headroom isn't worth holding back or avoiding: a
/// headroom is 2.2 at the usual load, and single figures stray by a fifth.
pub(super) const NOTICEABLE: f32 = 0.08;

/// Pressures are compared in steps of this size; finer ones are noise.
const PRESSURE_STEP: f32 = 0.1;

/// Adds a figure to those of its workflow.
fn add(fresh: &mut SmallVec<[Fresh; 4]>, workflow: WorkflowId, image: ImageNo, headroom: f32) {
    match fresh.iter_mut().find(|known| known.workflow == workflow) {
        Some(known) => {
            known.sum += headroom;
            known.count += 1.0;
        }
        None => fresh.push(Fresh { workflow, image, sum: headroom, count: 1.0 }),
    }
}

impl Worker {
    /// The fillers that run, with the processor time that they ask for.
    fn fillers(&self, interference: &mut Interference) -> Exposure {
        let mut exposure = Exposure::new();
        for (image, cpu) in &self.filling_images {
            if let Some(column) = interference.column(*image) {
                set(&mut exposure, column, *cpu as f32 / 1_000.0);
            }
        }
        exposure
    }

    /// Adds the fillers' use since the worker was last heard, and returns its average over the span of
    /// a figure.
    fn expose(&mut self, now: Time, interference: &mut Interference) -> Exposure {
        let fillers = self.fillers(interference);
        self.exposures.push_back((now, fillers));
        let end = now - FIGURE_LAG;
        let begin = end - FIGURE_SPAN;
        while self.exposures.get(1).is_some_and(|(until, _)| *until <= begin) {
            self.exposures.pop_front();
        }
        let mut mean = Exposure::new();
        let mut from = begin;
        for (until, fillers) in &self.exposures {
            let until = (*until).min(end);
            let share = until.since(from).as_secs_f32() / FIGURE_SPAN.as_secs_f32();
            from = from.max(until);
            for (index, cores) in fillers.iter().enumerate() {
                let sum = mean.get(index).copied().unwrap_or(0.0) + cores * share;
                set(&mut mean, index, sum);
            }
        }
        mean
    }
}

impl Scheduler {
    /// Learns from the tails that a worker has just listed, and relieves tasks that are over target.
    pub(super) fn watch(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.serving == 0 {
            return;
        }
        let exposure = worker.expose(now, &mut self.interference);
        let mut worst: Option<(Time, ImageNo)> = None;
        let mut fresh: SmallVec<[Fresh; 4]> = SmallVec::new();
        let serving =
            |(_, copy): &(&(TaskId, RunId), &mut Copy)| copy.serves && copy.percent >= 100;
        for ((task, _), copy) in worker.copies.iter_mut().filter(serving) {
            let ratio = copy.figure as f32 / copy.target_ms as f32;
            // The same figure is listed again until the next one is due; it counts once.
            if copy.figure != copy.taken_figure {
                copy.taken_figure = copy.figure;
                add(&mut fresh, task.workflow, copy.image, headroom_of(ratio));
            }
            if ratio <= CLEARED {
                copy.over_since = None;
            }
            if ratio <= 1.0 && copy.over_since.is_none() {
                continue;
            }
            let since = *copy.over_since.get_or_insert(now);
            log::debug!(worker:% = id, image:% = self.interference.name(copy.image), ratio, fillers:? = exposure; "over_target");
            if worst.as_ref().is_none_or(|(earlier, _)| since < *earlier) {
                worst = Some((since, copy.image));
            }
        }
        worker.over_target = worst.is_some();
        self.measure_loads(now, id, &fresh, &exposure);
        if let Some((since, image)) = worst {
            self.relieve(now, id, since, image, out);
        }
    }

    fn relieve(
        &mut self,
        now: Time,
        id: &WorkerId,
        since: Time,
        serving: ImageNo,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if now.since(since) < RELIEF_AFTER || now.since(worker.relieved_at) < RELIEF_GAP {
            return;
        }
        let forced = now.since(since) >= FORCED_RELIEF_AFTER;
        let mut chosen: Vec<(TaskId, RunId)> = Vec::new();
        for (key, copy) in &worker.copies {
            let stops = matches!(copy.phase, Phase::Stopping { .. });
            if forced && copy.fills && copy.pace > 0 && !stops {
                chosen.push(*key);
            }
        }
        if chosen.is_empty() {
            return;
        }
        worker.relieved_at = now;
        self.measures.relieved += chosen.len() as u64;
        let image = self.interference.name(serving);
        log::info!(worker:% = id, image:%, stopped = chosen.len(), forced; "serving_relieved");
        self.stop_runs(now, id, StopReason::Relieved, out, |task, run| {
            chosen.contains(&(task, run))
        });
    }

    /// How much one more task of a step would press or be pressed at a worker, in coarse steps; none if
    /// a serving task there would miss its target for it.
    pub(super) fn disturbance(&self, worker: &Worker, need: &Need<'_>) -> Option<u32> {
        let mut highest: f32 = 0.0;
        if need.step.fills {
            for (serving, _) in &worker.serving_images {
                let added = self.interference.pressure(*serving, need.image, need.cores());
                highest = highest.max(added);
                if added < NOTICEABLE {
                    continue;
                }
                if self.pressure_on(worker, *serving) + added > self.budget_of(worker, *serving) {
                    return None;
                }
            }
        } else if need.step.target_ms > 0 {
            highest = self.pressure_on(worker, need.image);
        }
        Some((highest / PRESSURE_STEP) as u32)
    }

    /// What all fillers of a worker take from a serving image's headroom there.
    fn pressure_on(&self, worker: &Worker, serving: ImageNo) -> f32 {
        let pressure = |(image, cpu): &(ImageNo, u32)| {
            self.interference.pressure(serving, *image, *cpu as f32 / 1_000.0)
        };
        worker.filling_images.iter().map(pressure).sum()
    }
}
