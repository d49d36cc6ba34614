//! Colocation of latency-critical and best-effort tasks on shared workers.
//!
//! Latency-critical tasks are long-running, and their tail latency must stay below a target.
//! Best-effort tasks are short and use the CPU time that others leave unused. A few best-effort
//! images greatly raise the tail latency of a latency-critical image on the same worker; most
//! hardly do.
//!
//! - Headroom: target divided by tail latency; 1 just meets the target.
//! - Own headroom: the headroom that a task would have without best-effort tasks on its worker.
//! - Interference: the headroom that best-effort tasks take from a latency-critical task.
//! - Pace: the share of its CPU demand that a best-effort task may use, from 0 to 1.
//! - Acceptance: the share of best-effort demand that a worker's latency-critical tasks tolerate.
//!
//! Input: the samples that workers report, as [`Observation`]s in each worker's [`Neighbours`], and
//! the best-effort demand ([`Demand`]). Model: an interference weight with a standard error for each
//! pair of images ([`InterferenceModel`]), and the own headroom of each workflow (`load`). Output:
//! whether a worker tolerates one more best-effort task ([`Colocation::added_interference`]), the
//! pace of its best-effort tasks ([`Colocation::tolerated_paces`]), its acceptance
//! ([`Colocation::acceptance`]), and which latency-critical tasks to migrate
//! ([`ColocationGroups::best_regrouping`]).

mod caution;
mod demand;
mod forecast;
mod groups;
mod load;
mod model;
mod neighbours;
mod reserve;
mod row;
mod total_limit;

pub(crate) use self::neighbours::{Neighbours, Observation};
pub use self::{
    demand::Demand,
    forecast::{ForecastMethod, HeadroomForecast},
    groups::{ColocationGroups, Host, MovableTask, Regrouping, acceptance},
    model::{Exposure, ImageNo, InterferenceModel, Sample, headroom_of, set_share},
};

use {
    self::{
        caution::SafetyFactor,
        forecast::{PACE_STEPS, START_STEPS},
        model::median,
        neighbours::OwnForecast,
        reserve::WorkflowLoad,
    },
    crate::WorkflowId,
    compact_str::CompactString,
    egretlb_types::Time,
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// Minimum interval between updates of the model.
const LEARN_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum age of the samples used in an update, since load changes within seconds.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(500);

/// Minimum headroom left to latency-critical tasks. A headroom of 1 just meets the target, and half of the samples stray
/// by less than 5%.
const SAFE_HEADROOM: f32 = 1.05;

/// Assumed own headroom of a latency-critical task without samples, typical of peak load.
const DEFAULT_OWN_HEADROOM: f32 = 1.6;

/// Interference below this, in headroom, is ignored. It is within the noise: half of the samples
/// are off by 5% or more, and headroom is 2.2 at typical load.
const MIN_NOTICEABLE_INTERFERENCE: f32 = 0.08;

/// Minimum pace of a best-effort task whose interference is to be measured; a slower one has no
/// measurable effect.
const MIN_PACE: f32 = 0.1;

/// An interference estimate is uncertain if its upper bound is at least this many times its
/// expected value.
const UNCERTAIN_RATIO: f32 = 3.0;

/// Unit of [`Colocation::added_interference`], in headroom: smaller differences between workers
/// don't matter for placement.
const INTERFERENCE_STEP: f32 = 0.1;

/// The leader's estimates of interference, own headroom and best-effort demand.
#[derive(Debug)]
pub(crate) struct Colocation {
    model: InterferenceModel,
    /// Own headroom of each workflow with latency-critical tasks.
    loads: BTreeMap<WorkflowId, WorkflowLoad>,
    demand: Demand,
    safety_factor: SafetyFactor,
    updated_at: Time,
    /// Whether [`Policies::load_forecast`](crate::Policies::load_forecast) is on.
    load_forecast: bool,
}

/// The paces at which a latency-critical image tolerates the best-effort tasks of its worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ToleratedPace {
    latency_critical: ImageNo,
    /// For tasks whose own interference is noticeable.
    noticeable: f32,
    /// For tasks that count in the expected interference of all together.
    total: f32,
}

/// Returns the median headroom of a workflow's tasks on one worker. `ratios` are tail latencies as
/// multiples of the target.
pub(crate) fn median_headroom(ratios: impl Iterator<Item = f32>) -> f32 {
    let mut headrooms: SmallVec<[(f32, f32); 8]> =
        ratios.map(|ratio| (headroom_of(ratio), 1.0)).collect();
    median(&mut headrooms)
}

impl Colocation {
    pub(crate) fn new(
        now: Time,
        learned_model: InterferenceModel,
        load_forecast: bool,
    ) -> Colocation {
        Colocation {
            model: learned_model,
            loads: BTreeMap::new(),
            demand: Demand::default(),
            safety_factor: SafetyFactor::new(now),
            updated_at: now,
            load_forecast,
        }
    }

    /// Returns the interference weights of all pairs of images.
    pub(crate) fn model(&self) -> &InterferenceModel {
        &self.model
    }

    /// Returns the average recent demand of best-effort tasks.
    pub(crate) fn demand(&self) -> &Demand {
        &self.demand
    }

    /// Returns the number that stands for an image in the model, assigning one if needed.
    pub(crate) fn image(&mut self, name: &CompactString) -> ImageNo {
        self.model.image(name)
    }

    /// Converts the CPU use of best-effort images on a worker, in cores, to shares of the worker.
    /// Images that exceed the size of the model are left out.
    pub(crate) fn exposure(
        &mut self,
        worker: &Neighbours,
        used: impl Iterator<Item = (ImageNo, f32)>,
    ) -> Exposure {
        let mut exposure = Exposure::new();
        for (image, cores) in used {
            if let Some(column) = self.model.column(image) {
                let previous = exposure.get(column).copied().unwrap_or(0.0);
                set_share(&mut exposure, column, previous + worker.share(cores));
            }
        }
        exposure
    }

    /// Updates the safety factor on interference; it falls while best-effort tasks wait long.
    pub(crate) fn update_safety_factor(&mut self, now: Time, longest_wait: Duration) {
        self.safety_factor.update(now, longest_wait);
    }

    /// Returns whether the model is due for an update.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        now.since(self.updated_at) >= LEARN_INTERVAL
    }

    /// Updates the model and the own headrooms with recent samples of all workers, and the demand
    /// with `demand_cores`. Returns whether there were samples.
    pub(crate) fn learn<'a>(
        &mut self,
        now: Time,
        workers: impl Iterator<Item = &'a Neighbours>,
        demand_cores: impl IntoIterator<Item = (ImageNo, f32)>,
    ) -> bool {
        let elapsed = now.since(self.updated_at);
        self.updated_at = now;
        self.demand.update(elapsed, demand_cores);
        let mut groups: BTreeMap<WorkflowId, (ImageNo, SmallVec<[&Sample; 8]>)> = BTreeMap::new();
        for observation in workers.flat_map(Neighbours::observations) {
            if now.since(observation.at) < MAX_SAMPLE_AGE {
                let group = groups.entry(observation.workflow);
                let (_, samples) = group.or_insert_with(|| (observation.image, SmallVec::new()));
                samples.push(&observation.sample);
            }
        }
        for (image, samples) in groups.values() {
            self.model.observe(*image, samples);
        }
        self.model.solve(elapsed);
        // At most one line per update, which bounds them to four a second.
        let mut logged = !self.load_forecast;
        for (workflow, (image, samples)) in &groups {
            let own = self.model.own_headroom(*image, samples);
            match self.loads.get_mut(workflow) {
                Some(load) if self.load_forecast => {
                    load.forecast.update(now, own);
                    logged = logged || load.log_method(*workflow);
                }
                Some(load) => load.forecast.update_trend(now, own),
                None => {
                    let load = WorkflowLoad::new(HeadroomForecast::new(now, own));
                    self.loads.insert(*workflow, load);
                }
            }
        }
        !groups.is_empty()
    }

    /// Removes the own headroom of a workflow that ended.
    pub(crate) fn forget(&mut self, workflow: WorkflowId) {
        self.loads.remove(&workflow);
    }

    /// Updates the forecast own headroom of each latency-critical image on a worker from that of the
    /// workflows with tasks there.
    pub(crate) fn update_own_headroom(
        &self,
        worker: &mut Neighbours,
        latency_critical: impl Iterator<Item = (WorkflowId, ImageNo)>,
    ) {
        let own = |(workflow, image)| (image, self.own_forecast(workflow));
        worker.update_own_headroom(latency_critical.map(own));
    }

    fn own_forecast(&self, workflow: WorkflowId) -> OwnForecast {
        let Some(load) = self.loads.get(&workflow) else {
            let own = DEFAULT_OWN_HEADROOM;
            return OwnForecast { for_pace: own, for_start: own, reserve: SAFE_HEADROOM - 1.0 };
        };
        if !self.load_forecast {
            let own = load.forecast.by_trend();
            return OwnForecast { for_pace: own, for_start: own, reserve: SAFE_HEADROOM - 1.0 };
        }
        OwnForecast {
            for_pace: load.forecast.lowest_until(PACE_STEPS),
            for_start: load.forecast.lowest_until(START_STEPS),
            reserve: load.reserve(),
        }
    }

    /// Returns the total estimated interference that a latency-critical image on the worker
    /// tolerates: its own headroom above [`SAFE_HEADROOM`], divided by the safety factor. Negative if
    /// there is too little headroom even without best-effort tasks.
    fn interference_budget(&self, worker: &Neighbours, latency_critical: ImageNo) -> f32 {
        (worker.own_headroom(latency_critical).unwrap_or(DEFAULT_OWN_HEADROOM) - SAFE_HEADROOM)
            / self.safety_factor.get()
    }

    /// Returns an upper bound of the interference of a best-effort task with a latency-critical
    /// image.
    fn interference_bound(
        &self,
        worker: &Neighbours,
        latency_critical: ImageNo,
        (best_effort, cores): (ImageNo, f32),
    ) -> f32 {
        self.model.interference_bound(latency_critical, best_effort, worker.share(cores))
    }

    /// Returns the expected interference of a best-effort task with a latency-critical image, which
    /// is 0 for a pair without samples.
    fn expected_interference(
        &self,
        worker: &Neighbours,
        latency_critical: ImageNo,
        (best_effort, cores): (ImageNo, f32),
    ) -> f32 {
        self.model.expected_interference(latency_critical, best_effort, worker.share(cores))
    }

    /// Returns an upper bound of the interference of all best-effort tasks on the worker with a
    /// latency-critical image.
    fn total_interference_bound(&self, worker: &Neighbours, latency_critical: ImageNo) -> f32 {
        let interference_bound = |(image, cpu): &(ImageNo, u32)| {
            self.interference_bound(worker, latency_critical, (*image, cores(*cpu)))
        };
        worker.best_effort().iter().map(interference_bound).sum()
    }

    /// Returns an upper bound of the interference of one more best-effort task with the most affected
    /// latency-critical image on a worker, in units of [`INTERFERENCE_STEP`], or `None` if one of
    /// these images wouldn't tolerate it. The interference of all tasks together isn't limited for one
    /// that is short of time: it would miss its deadline.
    pub(crate) fn added_interference(
        &self,
        worker: &Neighbours,
        best_effort: (ImageNo, f32),
        short_of_time: bool,
    ) -> Option<u32> {
        let mut max_added: f32 = 0.0;
        for (latency_critical, _) in worker.latency_critical() {
            let added = self.interference_bound(worker, *latency_critical, best_effort);
            max_added = max_added.max(added);
            let noticeable = added >= MIN_NOTICEABLE_INTERFERENCE;
            if noticeable
                && self.total_interference_bound(worker, *latency_critical) + added
                    > self.interference_budget(worker, *latency_critical)
            {
                return None;
            }
        }
        let tolerated = short_of_time || self.total_tolerates(worker, best_effort);
        tolerated.then_some((max_added / INTERFERENCE_STEP) as u32)
    }

    /// Returns whether a worker may run a best-effort task to measure its interference: the estimate
    /// is uncertain or unnoticeable, its expected value is tolerated, and so is its upper bound at [`MIN_PACE`].
    pub(crate) fn may_probe(&self, worker: &Neighbours, best_effort: (ImageNo, f32)) -> bool {
        worker.latency_critical().iter().all(|(latency_critical, _)| {
            let remaining = self.interference_budget(worker, *latency_critical)
                - self.total_interference_bound(worker, *latency_critical);
            let expected = self.expected_interference(worker, *latency_critical, best_effort);
            let upper_bound = self.interference_bound(worker, *latency_critical, best_effort);
            let uncertain = upper_bound < MIN_NOTICEABLE_INTERFERENCE
                || upper_bound >= UNCERTAIN_RATIO * expected;
            uncertain && expected <= remaining && upper_bound * MIN_PACE <= remaining
        })
    }

    /// Returns, for each latency-critical image on a worker, the pace at which it tolerates the given
    /// best-effort tasks. Above 1 they could use more CPU than they demand.
    pub(crate) fn tolerated_paces(
        &self,
        worker: &Neighbours,
        best_effort_tasks: impl Iterator<Item = (ImageNo, f32)> + Clone,
    ) -> SmallVec<[ToleratedPace; 4]> {
        let pace = |latency_critical: ImageNo| {
            let budget = self.interference_budget(worker, latency_critical).max(0.0);
            let upper_bound: f32 = best_effort_tasks
                .clone()
                .map(|best_effort| self.interference_bound(worker, latency_critical, best_effort))
                .sum();
            let expected: f32 = best_effort_tasks
                .clone()
                .map(|best_effort| {
                    self.expected_interference(worker, latency_critical, best_effort)
                })
                .sum();
            let pace = budget / upper_bound.max(f32::MIN_POSITIVE);
            // A single task with an uncertain estimate keeps a minimum pace, since its interference
            // can't be measured while it is paused.
            let uncertain =
                upper_bound >= UNCERTAIN_RATIO * expected && worker.best_effort().len() == 1;
            let keep_min_pace = uncertain && budget > 0.0 && expected * MIN_PACE <= budget;
            if keep_min_pace { pace.max(MIN_PACE) } else { pace }
        };
        worker
            .latency_critical()
            .iter()
            .map(|(latency_critical, _)| ToleratedPace {
                latency_critical: *latency_critical,
                noticeable: pace(*latency_critical),
                total: self.total_pace(worker, *latency_critical, best_effort_tasks.clone()),
            })
            .collect()
    }

    /// Returns the pace at which a best-effort task may run, from 0 to 1: the lowest of the worker's
    /// limit and of what the latency-critical images that it interferes with tolerate.
    pub(crate) fn allowed_pace(
        &self,
        worker: &Neighbours,
        tolerated: &[ToleratedPace],
        best_effort: (ImageNo, f32),
        short_of_time: bool,
    ) -> f32 {
        let pace = |tolerated: &ToleratedPace| {
            let latency_critical = tolerated.latency_critical;
            let noticeable = self.interference_bound(worker, latency_critical, best_effort)
                >= MIN_NOTICEABLE_INTERFERENCE;
            let counted =
                !short_of_time && self.counts_in_total(worker, latency_critical, best_effort);
            let noticeable_pace = if noticeable { tolerated.noticeable } else { 1.0 };
            noticeable_pace.min(if counted { tolerated.total } else { 1.0 })
        };
        tolerated.iter().map(pace).fold(worker.pace_limit(), f32::min).clamp(0.0, 1.0)
    }

    /// Returns a worker's acceptance, from 0 to 1.
    pub(crate) fn acceptance(&self, worker: &Neighbours) -> f32 {
        worker
            .acceptance
            .unwrap_or_else(|| self.acceptance_of(worker.latency_critical().iter().copied()))
    }

    /// Caches the worker's acceptance, which every placement reads.
    pub(crate) fn cache_acceptance(&self, worker: &mut Neighbours) {
        worker.acceptance = Some(self.acceptance_of(worker.latency_critical().iter().copied()));
    }

    fn acceptance_of(&self, latency_critical: impl Iterator<Item = (ImageNo, u32)> + Clone) -> f32 {
        acceptance(&self.model, &self.demand, latency_critical.map(|(image, _)| image))
    }

    /// Returns how much a worker's acceptance drops with one more latency-critical task of an image.
    pub(crate) fn acceptance_loss_with(&self, worker: &Neighbours, image: ImageNo) -> f32 {
        let with_image = worker.latency_critical().iter().copied().chain([(image, 1)]);
        self.acceptance(worker) - self.acceptance_of(with_image)
    }

    /// Returns how much a worker's acceptance rises without a latency-critical image, divided by the
    /// number of its tasks there.
    pub(crate) fn acceptance_gain_without(&self, worker: &Neighbours, image: ImageNo) -> f32 {
        let tasks = worker.latency_critical().iter().find(|(other, _)| *other == image);
        let Some((_, tasks)) = tasks else { return 0.0 };
        let others = worker.latency_critical().iter().copied().filter(|(other, _)| *other != image);
        (self.acceptance_of(others) - self.acceptance(worker)) / *tasks as f32
    }
}

fn cores(cpu: u32) -> f32 {
    cpu as f32 / 1_000.0
}
