//! Figures of serving tasks: what is learned from them, and relief for tasks over their target.

use {
    super::{Attempt, Effect, Phase, Ready, Scheduler, Worker, waits::StopReason},
    crate::{
        RunId, TaskId, WorkerId,
        colocation::{Exposure, ImageNo, Observation, Sample, median_headroom},
    },
    egretlb_types::Time,
    smallvec::SmallVec,
    std::time::Duration,
};

/// A serving task counts as over its target until its tail is below this share of it: a figure strays by
/// a fifth, and one good figure among bad ones is no recovery.
const CLEARED: f32 = 0.85;

/// A serving task over its target for this long is relieved of all fillers, whatever was learned of them: what
/// presses isn't known yet, and a filler is done sooner elsewhere than this is found out one by one. The
/// platform counts harm from 4 s on.
const RELIEF_AFTER: Duration = Duration::from_millis(1_800);

/// The pause between two reliefs at a worker: the figures show the first one by then.
const RELIEF_GAP: Duration = Duration::from_millis(600);

impl Attempt {
    /// It serves and is at work, so its figure says something.
    fn is_serving(&self) -> bool {
        self.latency_critical && self.percent >= 100
    }

    /// Its tail as a multiple of its target.
    fn ratio(&self) -> f32 {
        self.measurement as f32 / self.target_ms as f32
    }

    /// Whether its figure is another one than last time: the same figure is listed again until the next one
    /// is due, and counts once.
    fn has_news(&self) -> bool {
        self.is_serving() && self.measurement != self.learned_measurement
    }
}

/// A serving task that is over its target.
#[derive(Clone, Copy, Debug)]
struct OverTarget {
    since: Time,
    image: ImageNo,
    /// Its tail as a multiple of its target.
    ratio: f32,
}

impl Worker {
    /// The processor time that the fillers which run here were listed to use, in cores.
    fn fillers_use(&self) -> impl Iterator<Item = (ImageNo, f32)> {
        let fillers = self.attempts.values().filter(|copy| copy.best_effort);
        fillers.map(|copy| (copy.image, copy.measurement as f32 / 1_000.0))
    }

    /// The new figures of serving tasks, by workflow.
    fn fresh_figures(&mut self, now: Time, exposure: &Exposure) -> SmallVec<[Observation; 4]> {
        let mut seen: SmallVec<[Observation; 4]> = SmallVec::new();
        for ((task, _), copy) in self.attempts.iter().filter(|(_, copy)| copy.has_news()) {
            if seen.iter().any(|known| known.workflow == task.workflow) {
                continue;
            }
            let of_workflow = |(of, _): &&(TaskId, RunId)| of.workflow == task.workflow;
            let news =
                || self.attempts.iter().filter(|(key, copy)| of_workflow(key) && copy.has_news());
            let sample = Sample {
                headroom: median_headroom(news().map(|(_, copy)| copy.ratio())),
                count: news().count() as f32,
                exposure: exposure.clone(),
            };
            let (workflow, image) = (task.workflow, copy.image);
            seen.push(Observation { workflow, image, at: now, sample });
        }
        for copy in self.attempts.values_mut().filter(|copy| copy.is_serving()) {
            copy.learned_measurement = copy.measurement;
        }
        seen
    }

    /// Notes which serving tasks are over their target; returns the one that has been for longest.
    fn note_over_target(&mut self, now: Time) -> Option<OverTarget> {
        let mut worst: Option<OverTarget> = None;
        for copy in self.attempts.values_mut().filter(|copy| copy.is_serving()) {
            let ratio = copy.ratio();
            if ratio <= CLEARED {
                copy.over_target_since = None;
            }
            if ratio <= 1.0 && copy.over_target_since.is_none() {
                continue;
            }
            let since = *copy.over_target_since.get_or_insert(now);
            if worst.is_none_or(|known| since < known.since) {
                worst = Some(OverTarget { since, image: copy.image, ratio });
            }
        }
        self.over_target = worst.is_some();
        worst
    }
}

impl Scheduler {
    /// Takes in the figures that a worker has just listed, and relieves tasks that are over target.
    pub(super) fn check_latency_targets(
        &mut self,
        now: Time,
        id: &WorkerId,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.latency_critical == 0 {
            return;
        }
        let exposure = self.colocation.exposure(&worker.neighbours, worker.fillers_use());
        let seen = worker.fresh_figures(now, &exposure);
        worker.neighbours.add_observations(seen);
        if let Some(over) = worker.note_over_target(now) {
            let image = self.colocation.model().name(over.image);
            let (ratio, fillers) = (over.ratio, exposure.as_slice());
            log::debug!(worker:% = id, image:%, ratio, fillers:?; "over_target");
            self.evict_best_effort(now, id, over, out);
        }
    }

    fn evict_best_effort(
        &mut self,
        now: Time,
        id: &WorkerId,
        over: OverTarget,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if now.since(over.since) < RELIEF_AFTER || now.since(worker.evicted_at) < RELIEF_GAP {
            return;
        }
        let presses = |copy: &Attempt| {
            copy.best_effort && copy.pace > 0 && !matches!(copy.phase, Phase::Stopping { .. })
        };
        let pressing = worker.attempts.iter().filter(|(_, copy)| presses(copy));
        let pressing: Vec<(TaskId, RunId)> = pressing.map(|(key, _)| *key).collect();
        if pressing.is_empty() {
            return;
        }
        worker.evicted_at = now;
        self.stats.evicted += pressing.len() as u64;
        let image = self.colocation.model().name(over.image);
        log::info!(worker:% = id, image:%, stopped = pressing.len(); "serving_relieved");
        self.stop_runs(now, id, StopReason::Evicted, out, |task, run| {
            pressing.contains(&(task, run))
        });
    }

    /// Learns from the last figures of all workers, when that is due.
    pub(super) fn update_interference_model(&mut self, now: Time) {
        if !self.colocation.is_due(now) {
            return;
        }
        let asked = self.fillers_ask();
        let workers = self.workers.values().map(|worker| &worker.neighbours);
        self.learned_dirty |= self.colocation.learn(now, workers, asked);
        for worker in self.workers.values_mut() {
            self.colocation.cache_acceptance(&mut worker.neighbours);
        }
    }

    /// What fillers ask for, by image, in cores, whether they run or wait.
    fn fillers_ask(&mut self) -> Vec<(ImageNo, f32)> {
        let copies = self.workers.values().flat_map(|worker| worker.attempts.values());
        let mut asked: Vec<(ImageNo, f32)> =
            copies.filter(|copy| copy.best_effort).map(Attempt::best_effort_demand).collect();
        for key in &self.ready {
            let Ready { workflow, occurrence, step, .. } = *key;
            let Some(flow) = self.workflows.get(&workflow) else { continue };
            let Some(of_step) = flow.submission.workflow.steps.get(usize::from(step)) else {
                continue;
            };
            let state = flow.occurrences.get(&occurrence);
            let state = state.and_then(|state| state.steps.get(usize::from(step)));
            if of_step.best_effort {
                let waiting = state.map_or(0, |state| state.queue.len()) as f32;
                let cores = of_step.resources.cpu.0 as f32 / 1_000.0;
                asked.push((self.colocation.image(&of_step.image), waiting * cores));
            }
        }
        asked
    }
}
