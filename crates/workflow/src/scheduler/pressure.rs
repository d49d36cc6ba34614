//! Serving tasks under pressure of the fillers beside them: learning from their tails, and relief.

use {
    super::{Effect, Phase, Scheduler, Worker},
    crate::{RunId, TaskId, WorkerId, interference::Exposure},
    compact_str::CompactString,
    egretlb_types::Time,
    std::time::Duration,
};

/// The figures of workers average over this long, and so does the exposure they are compared with.
const FIGURE_SPAN: Duration = Duration::from_millis(500);

/// A serving task over its target for this long is relieved of the filler that presses most. Two
/// figures in a row; the platform counts harm from 4 s on.
const RELIEF_AFTER: Duration = Duration::from_millis(450);

/// After this long the largest filler goes even if nothing was learned against it.
const FORCED_RELIEF_AFTER: Duration = Duration::from_millis(1_500);

/// The pause between two reliefs at a worker: the figures show the first one by then.
const RELIEF_GAP: Duration = Duration::from_millis(600);

/// A filler that is expected to add less than this to a tail, as a multiple of the target, isn't worth
/// stopping.
const NOTICEABLE: f32 = 0.1;

impl Worker {
    /// The fillers' use of the processor, averaged as the figures are.
    fn expose(&mut self, now: Time) {
        let elapsed = now.since(self.exposed_at).as_secs_f32();
        let keep = (-elapsed / FIGURE_SPAN.as_secs_f32()).exp();
        self.exposed_at = now;
        for (_, cores) in &mut self.exposure {
            *cores *= keep;
        }
        for copy in self.copies.values().filter(|copy| copy.fills) {
            let cores = copy.cores() * (1.0 - keep);
            add(&mut self.exposure, &copy.image, cores);
        }
        self.exposure.retain(|(_, cores)| *cores > 0.01);
    }

    /// The fillers that run, each with the processor time it asks for.
    pub(super) fn fillers(&self) -> Exposure {
        let mut fillers = Exposure::new();
        for copy in self.copies.values().filter(|copy| copy.fills) {
            add(&mut fillers, &copy.image, copy.cores());
        }
        fillers
    }
}

/// Adds cores to an image's entry.
pub(super) fn add(exposure: &mut Exposure, image: &CompactString, cores: f32) {
    match exposure.iter_mut().find(|(known, _)| known == image) {
        Some((_, sum)) => *sum += cores,
        None => exposure.push((image.clone(), cores)),
    }
}

impl Scheduler {
    /// Learns from the tails that a worker has just listed, and relieves tasks that are over target.
    pub(super) fn watch(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.serving == 0 {
            return;
        }
        worker.expose(now);
        let mut worst: Option<(Time, CompactString)> = None;
        for copy in worker.copies.values_mut().filter(|copy| copy.serves && copy.percent >= 100) {
            let ratio = copy.figure as f32 / copy.target_ms as f32;
            self.interference.observe(&copy.image, ratio, &worker.exposure);
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
        log::info!(worker:% = id, stopped = chosen.len(), forced; "serving_relieved");
        self.stop_runs(now, id, out, |task, run| chosen.contains(&(task, run)));
    }

    /// The highest tail to expect at a worker if one more filler joins, as a multiple of its target.
    pub(super) fn expected(&self, worker: &Worker, image: &CompactString, cores: f32) -> f32 {
        let mut fillers = worker.fillers();
        add(&mut fillers, image, cores);
        let serving = worker.copies.values().filter(|copy| copy.serves);
        let tails = serving.map(|copy| self.interference.predict(&copy.image, &fillers));
        tails.fold(0.0, f32::max)
    }
}
