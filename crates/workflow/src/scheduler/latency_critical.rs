//! Latency-critical tasks: samples for the interference model, and eviction of best-effort tasks.

use {
    super::{Attempt, Effect, Phase, QueuedStep, Scheduler, Worker, waits::StopReason},
    crate::{
        RunId, TaskId, WorkerId,
        colocation::{Exposure, ImageNo, Observation, Sample, median_headroom},
    },
    egretlb_types::Time,
    smallvec::SmallVec,
    std::time::Duration,
};

/// A task counts as recovered once its tail latency is below this share of its target. A margin, since samples vary
/// by a fifth.
const RECOVERED_RATIO: f32 = 0.85;

/// How long a latency-critical task may exceed its target before all best-effort tasks of its worker are evicted.
/// Finding the one that interferes would take too long: the platform allows a target to be exceeded for 4 s.
const EVICT_AFTER: Duration = Duration::from_millis(1_800);

/// Minimum time between two evictions on a worker, until samples show the effect of the first.
const EVICTION_INTERVAL: Duration = Duration::from_millis(600);

impl Attempt {
    /// Whether it is latency-critical and has started up completely, so that its samples are meaningful.
    fn is_measurable(&self) -> bool {
        self.latency_critical && self.percent >= 100
    }

    /// Tail latency as a multiple of the target.
    fn ratio(&self) -> f32 {
        self.measurement as f32 / self.target_ms as f32
    }

    /// Whether the sample is new: workers list the same value again until they measure the next one.
    fn has_new_sample(&self) -> bool {
        self.is_measurable() && self.measurement != self.last_modelled_measurement
    }
}

/// A latency-critical task that exceeds its target or hasn't recovered since.
#[derive(Clone, Copy, Debug)]
struct OverTarget {
    since: Time,
    image: ImageNo,
    /// Tail latency as a multiple of the target.
    ratio: f32,
}

impl Worker {
    /// Reported CPU use of the best-effort tasks here by image, in cores.
    fn best_effort_use(&self) -> impl Iterator<Item = (ImageNo, f32)> {
        let best_effort = self.attempts.values().filter(|attempt| attempt.best_effort);
        best_effort.map(|attempt| (attempt.image, attempt.measurement as f32 / 1_000.0))
    }

    /// The new samples of the latency-critical tasks as observations, one for each workflow. Marks them as used by the
    /// interference model.
    fn take_new_observations(
        &mut self,
        now: Time,
        exposure: &Exposure,
    ) -> SmallVec<[Observation; 4]> {
        let mut observations: SmallVec<[Observation; 4]> = SmallVec::new();
        for ((task, _), attempt) in
            self.attempts.iter().filter(|(_, attempt)| attempt.has_new_sample())
        {
            if observations.iter().any(|observation| observation.workflow == task.workflow) {
                continue;
            }
            let of_workflow =
                |(other_task, _): &&(TaskId, RunId)| other_task.workflow == task.workflow;
            let samples = || {
                self.attempts
                    .iter()
                    .filter(|(key, attempt)| of_workflow(key) && attempt.has_new_sample())
            };
            let sample = Sample {
                headroom: median_headroom(samples().map(|(_, attempt)| attempt.ratio())),
                count: samples().count() as f32,
                exposure: exposure.clone(),
            };
            let (workflow, image) = (task.workflow, attempt.image);
            observations.push(Observation { workflow, image, at: now, changed_at: now, sample });
        }
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.is_measurable()) {
            attempt.last_modelled_measurement = attempt.measurement;
        }
        observations
    }

    /// Updates which latency-critical tasks exceed their targets or haven't recovered since, see [`RECOVERED_RATIO`].
    /// Returns the one that first exceeded its target.
    fn update_over_target(&mut self, now: Time) -> Option<OverTarget> {
        let mut longest: Option<OverTarget> = None;
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.is_measurable()) {
            let ratio = attempt.ratio();
            if ratio <= RECOVERED_RATIO {
                attempt.over_target_since = None;
            }
            if ratio <= 1.0 && attempt.over_target_since.is_none() {
                continue;
            }
            let since = *attempt.over_target_since.get_or_insert(now);
            if longest.is_none_or(|longest| since < longest.since) {
                longest = Some(OverTarget { since, image: attempt.image, ratio });
            }
        }
        self.over_target = longest.is_some();
        if !self.over_target {
            self.attempts.values_mut().for_each(|attempt| attempt.paused_over_target = false);
        }
        longest
    }
}

impl Scheduler {
    /// Processes the samples that a worker has just reported, and evicts best-effort tasks if a target has been
    /// exceeded for [`EVICT_AFTER`].
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
        let exposure = self.colocation.exposure(&worker.neighbours, worker.best_effort_use());
        let observations = worker.take_new_observations(now, &exposure);
        self.colocation.observe(now, &mut worker.neighbours, &exposure, observations);
        if let Some(over_target) = worker.update_over_target(now) {
            let image = self.colocation.model().name(over_target.image);
            let (ratio, fillers) = (over_target.ratio, exposure.as_slice());
            log::debug!(worker:% = id, image:%, ratio, fillers:?; "over_target");
            self.evict_best_effort(now, id, over_target, out);
        }
    }

    /// Evicts all best-effort tasks of a worker that aren't paused, unless the target has been exceeded only briefly or
    /// the worker's last eviction was within [`EVICTION_INTERVAL`]. Those that may not be stopped are paused.
    fn evict_best_effort(
        &mut self,
        now: Time,
        id: &WorkerId,
        over_target: OverTarget,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if now.since(over_target.since) < EVICT_AFTER
            || now.since(worker.evicted_at) < EVICTION_INTERVAL
        {
            return;
        }
        let is_evictable = |attempt: &Attempt| {
            attempt.best_effort
                && attempt.pace > 0
                && !matches!(attempt.phase, Phase::Stopping { .. })
        };
        let victims = worker.attempts.iter().filter(|(_, attempt)| is_evictable(attempt));
        let victims: Vec<(TaskId, RunId)> = victims.map(|(key, _)| *key).collect();
        if victims.is_empty() {
            return;
        }
        worker.evicted_at = now;
        let mut stopped = 0;
        for (task, run) in &victims {
            if let Some(grant) = self.grant_stop(*task, *run, StopReason::Evicted) {
                stopped += 1;
                self.stop_run(now, id, grant, out);
            } else if let Some(worker) = self.workers.get_mut(id)
                && let Some(attempt) = worker.attempts.get_mut(&(*task, *run))
            {
                attempt.paused_over_target = true;
            }
        }
        self.stats.evicted += stopped;
        let (image, paused) =
            (self.colocation.model().name(over_target.image), victims.len() as u64 - stopped);
        log::info!(worker:% = id, image:%, stopped, paused; "serving_relieved");
    }

    /// Updates the interference model from the latest samples of all workers, when due.
    pub(super) fn update_interference_model(&mut self, now: Time) {
        if !self.colocation.is_due(now) {
            return;
        }
        let demand = self.best_effort_demand();
        let workers = self.workers.values().map(|worker| &worker.neighbours);
        self.model_dirty |= self.colocation.learn(now, workers, demand);
        for worker in self.workers.values_mut() {
            self.colocation.cache_acceptance(&mut worker.neighbours);
        }
    }

    /// CPU demand in cores of running and waiting best-effort tasks, by image.
    fn best_effort_demand(&mut self) -> Vec<(ImageNo, f32)> {
        let attempts = self.workers.values().flat_map(|worker| worker.attempts.values());
        let mut demand: Vec<(ImageNo, f32)> = attempts
            .filter(|attempt| attempt.best_effort)
            .map(Attempt::best_effort_demand)
            .collect();
        for key in &self.queued_steps {
            let QueuedStep { workflow, occurrence, step, .. } = *key;
            let Some(active_workflow) = self.workflows.get(&workflow) else { continue };
            let Some(step_spec) = active_workflow.submission.workflow.steps.get(usize::from(step))
            else {
                continue;
            };
            let state = active_workflow.occurrences.get(&occurrence);
            let state = state.and_then(|state| state.steps.get(usize::from(step)));
            if step_spec.best_effort {
                let waiting = state.map_or(0, |state| state.queue.len()) as f32;
                let cores = step_spec.resources.cpu.0 as f32 / 1_000.0;
                demand.push((self.colocation.image(&step_spec.image), waiting * cores));
            }
        }
        demand
    }
}
