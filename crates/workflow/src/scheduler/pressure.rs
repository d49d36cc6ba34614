//! Serving tasks under pressure of the fillers beside them: learning from their tails, and relief.

use {
    super::{Effect, Phase, Scheduler, Worker},
    crate::{
        RunId, Step, TaskId, WorkerId,
        interference::{Exposure, Interference, set},
    },
    compact_str::CompactString,
    egretlb_types::Time,
    std::time::Duration,
};

/// The fillers' use is averaged over about this span before it is compared with a figure, which itself
/// covers half a second. Of 0.25, 0.5 and 0.8 s the shortest explained recorded figures best.
const EXPOSURE_SPAN: Duration = Duration::from_millis(200);

/// A serving task over its target for this long is relieved of the fillers that press: two figures in a
/// row. The platform counts harm from 4 s on.
const RELIEF_AFTER: Duration = Duration::from_millis(400);

/// After this long the largest filler goes even if nothing was learned against it.
const FORCED_RELIEF_AFTER: Duration = Duration::from_millis(1_800);

/// The pause between two reliefs at a worker: the figures show the first one by then.
const RELIEF_GAP: Duration = Duration::from_millis(600);

/// A filler that adds less than this to the logarithm of a tail (8%) isn't worth stopping or avoiding.
const NOTICEABLE: f32 = 0.08;

/// A filler that presses isn't placed where a tail is expected above this multiple of its target: the
/// expectation is off by some tenths, and the task's own load swings.
const MAX_EXPECTED: f32 = 0.7;

/// Pressures are compared in steps of this size; finer ones are noise.
const PRESSURE_STEP: f32 = 0.08;

impl Worker {
    /// The fillers that run, each with the processor time it asks for.
    fn fillers(&self, interference: &mut Interference) -> Exposure {
        let mut exposure = Exposure::new();
        for copy in self.copies.values().filter(|copy| copy.fills) {
            if let Some(number) = interference.number(&copy.image) {
                let sum = exposure.get(number).copied().unwrap_or(0.0) + copy.cores();
                set(&mut exposure, number, sum);
            }
        }
        exposure
    }

    /// Moves the average of the fillers' use to the present.
    fn expose(&mut self, now: Time, interference: &mut Interference) {
        let elapsed = now.since(self.exposed_at).as_secs_f32();
        let share = 1.0 - (-elapsed / EXPOSURE_SPAN.as_secs_f32()).exp();
        self.exposed_at = now;
        let fillers = self.fillers(interference);
        let present = std::mem::replace(&mut self.present_fillers, fillers);
        for index in 0..present.len().max(self.exposure.len()) {
            let mean = self.exposure.get(index).copied().unwrap_or(0.0);
            let used = present.get(index).copied().unwrap_or(0.0);
            set(&mut self.exposure, index, mean + share * (used - mean));
        }
    }
}

impl Scheduler {
    /// Learns from the tails that a worker has just listed, and relieves tasks that are over target.
    pub(super) fn watch(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.serving == 0 {
            return;
        }
        worker.expose(now, &mut self.interference);
        let mut worst: Option<(Time, CompactString)> = None;
        for copy in worker.copies.values_mut().filter(|copy| copy.serves && copy.percent >= 100) {
            let ratio = copy.figure as f32 / copy.target_ms as f32;
            // The same figure is listed again until the next one is due; it counts once.
            if copy.figure != copy.taken_figure {
                let elapsed = now.since(copy.taken_at);
                (copy.taken_figure, copy.taken_at) = (copy.figure, now);
                let average = &mut copy.average;
                self.interference.observe(&copy.image, average, elapsed, ratio, &worker.exposure);
            }
            if ratio <= 1.0 {
                copy.over_since = None;
                continue;
            }
            let since = *copy.over_since.get_or_insert(now);
            if worst.as_ref().is_none_or(|(earlier, _)| since < *earlier) {
                worst = Some((since, copy.image.clone()));
            }
        }
        if let Some((since, image)) = worst {
            self.relieve(now, id, since, &image, out);
        }
    }

    fn relieve(
        &mut self,
        now: Time,
        id: &WorkerId,
        since: Time,
        serving: &CompactString,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if now.since(since) < RELIEF_AFTER || now.since(worker.relieved_at) < RELIEF_GAP {
            return;
        }
        let forced = now.since(since) >= FORCED_RELIEF_AFTER;
        let mut chosen: Vec<(TaskId, RunId)> = Vec::new();
        let mut largest: Option<(f32, (TaskId, RunId))> = None;
        for (key, copy) in &worker.copies {
            if !copy.fills || matches!(copy.phase, Phase::Stopping { .. }) {
                continue;
            }
            let pressure = self.interference.pressure(serving, &copy.image, copy.cores());
            if pressure >= NOTICEABLE {
                chosen.push(*key);
            }
            let weight = pressure + copy.cores() / 1_000.0;
            if largest.is_none_or(|(known, _)| weight > known) {
                largest = Some((weight, *key));
            }
        }
        if chosen.is_empty() && forced {
            chosen.extend(largest.map(|(_, key)| key));
        }
        if chosen.is_empty() {
            return;
        }
        worker.relieved_at = now;
        log::info!(worker:% = id, image:% = serving, stopped = chosen.len(), forced; "serving_relieved");
        self.stop_runs(now, id, out, |task, run| chosen.contains(&(task, run)));
    }

    /// How much one more task of a step would press or be pressed at a worker, in coarse steps; none if
    /// a serving task there would miss its target for it.
    pub(super) fn disturbance(&self, worker: &Worker, step: &Step) -> Option<u32> {
        let mut highest: f32 = 0.0;
        if step.fills {
            let cores = step.resources.cpu.0 as f32 / 1_000.0;
            for copy in worker.copies.values().filter(|copy| copy.serves) {
                let added = self.interference.pressure(&copy.image, &step.image, cores);
                if added < NOTICEABLE {
                    continue;
                }
                let average = copy.average.as_ref();
                let present = &worker.present_fillers;
                let expected = self.interference.expect(&copy.image, average, present) + added;
                if expected > MAX_EXPECTED.ln() {
                    return None;
                }
                highest = highest.max(added);
            }
        } else if step.target_ms > 0 {
            for copy in worker.copies.values().filter(|copy| copy.fills) {
                highest += self.interference.pressure(&step.image, &copy.image, copy.cores());
            }
        }
        Some((highest / PRESSURE_STEP) as u32)
    }
}
