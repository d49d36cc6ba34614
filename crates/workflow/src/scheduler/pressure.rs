//! Serving tasks under pressure of the fillers beside them: learning from their tails, and relief.

use {
    super::{Effect, Need, Phase, Scheduler, Worker},
    crate::{
        RunId, TaskId, WorkerId,
        interference::{Exposure, ImageNo, Interference, set},
    },
    egretlb_types::Time,
    std::time::Duration,
};

/// A figure covers this long, so the fillers' use is averaged over the same before the two are compared.
/// An exponential average explained recorded figures much worse (21 against 26% and 37% of what changes
/// within 4 s), and its weights came out half as large.
const FIGURE_SPAN: Duration = Duration::from_millis(500);

/// A serving task over its target for this long is relieved of the fillers that press: two figures in a
/// row. The platform counts harm from 4 s on.
const RELIEF_AFTER: Duration = Duration::from_millis(400);

/// After this long all fillers go, whatever was learned of them: what presses isn't known yet, and a
/// filler is done sooner elsewhere than this is found out one by one.
const FORCED_RELIEF_AFTER: Duration = Duration::from_millis(1_800);

/// The pause between two reliefs at a worker: the figures show the first one by then.
const RELIEF_GAP: Duration = Duration::from_millis(600);

/// A filler that adds less than this to the logarithm of a tail (8%) isn't worth stopping or avoiding.
const NOTICEABLE: f32 = 0.08;

/// All fillers beside a serving task together may add this much to the logarithm of its tail. Alone, a
/// task reaches six tenths of its target at the peak of its load; 0.35 more leaves a tenth to spare.
const MAX_PRESSURE: f32 = 0.1;

/// This share of the standard error counts as pressure when workers are compared, so that a pair known
/// to be harmless goes before one that was never seen.
const DOUBT_SHARE: f32 = 0.3;

/// Pressures are compared in steps of this size; finer ones are noise.
const PRESSURE_STEP: f32 = 0.08;

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
        let begin = now - FIGURE_SPAN;
        while self.exposures.get(1).is_some_and(|(until, _)| *until <= begin) {
            self.exposures.pop_front();
        }
        let mut mean = Exposure::new();
        let mut from = begin;
        for (until, fillers) in &self.exposures {
            let share = until.since(from).as_secs_f32() / FIGURE_SPAN.as_secs_f32();
            from = from.max(*until);
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
        for copy in worker.copies.values_mut().filter(|copy| copy.serves && copy.percent >= 100) {
            let ratio = copy.figure as f32 / copy.target_ms as f32;
            // The same figure is listed again until the next one is due; it counts once.
            if copy.figure != copy.taken_figure {
                let elapsed = now.since(copy.taken_at);
                (copy.taken_figure, copy.taken_at) = (copy.figure, now);
                let average = &mut copy.average;
                self.learned_news = true;
                self.interference.observe(copy.image, average, elapsed, ratio, &exposure);
            }
            if ratio <= 1.0 {
                copy.over_since = None;
                continue;
            }
            let since = *copy.over_since.get_or_insert(now);
            log::debug!(worker:% = id, image:% = self.interference.name(copy.image), ratio, fillers:? = exposure; "over_target");
            if worst.as_ref().is_none_or(|(earlier, _)| since < *earlier) {
                worst = Some((since, copy.image));
            }
        }
        worker.over_target = worst.is_some();
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
            if !copy.fills || matches!(copy.phase, Phase::Stopping { .. }) {
                continue;
            }
            let pressure = self.interference.pressure(serving, copy.image, copy.cores());
            if forced || pressure >= NOTICEABLE {
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
        self.stop_runs(now, id, out, |task, run| chosen.contains(&(task, run)));
    }

    /// How much one more task of a step would press or be pressed at a worker, in coarse steps; none if
    /// a serving task there would miss its target for it.
    pub(super) fn disturbance(&self, worker: &Worker, need: &Need<'_>) -> Option<u32> {
        let mut highest: f32 = 0.0;
        if need.step.fills {
            for (serving, _) in &worker.serving_images {
                let added = self.interference.pressure(*serving, need.image, need.cores());
                let doubt = self.interference.doubt(*serving, need.image, need.cores());
                highest = highest.max(added + doubt * DOUBT_SHARE);
                if added < NOTICEABLE {
                    continue;
                }
                if self.pressure_on(worker, *serving) + added > MAX_PRESSURE {
                    return None;
                }
            }
        } else if need.step.target_ms > 0 {
            highest = self.pressure_on(worker, need.image);
        }
        Some((highest / PRESSURE_STEP) as u32)
    }

    /// What all fillers of a worker add to the logarithm of a serving image's tail there.
    fn pressure_on(&self, worker: &Worker, serving: ImageNo) -> f32 {
        let pressure = |(image, cpu): &(ImageNo, u32)| {
            self.interference.pressure(serving, *image, *cpu as f32 / 1_000.0)
        };
        worker.filling_images.iter().map(pressure).sum()
    }
}
