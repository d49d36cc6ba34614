//! Colocation of latency-critical and best-effort tasks on shared workers.
//!
//! Latency-critical tasks are long-running, and their tail latency must stay below a target.
//! Best-effort tasks are short and use the CPU time that others leave unused. They raise the tail
//! latency of the latency-critical tasks beside them, for some pairs of images greatly and for most
//! hardly.
//!
//! - Input: the samples that workers report, as [`Observation`]s in each worker's [`Neighbours`],
//!   and the best-effort demand.
//! - Model: a weight with a standard error for each pair of images ([`InterferenceModel`]), the
//!   headroom of each workflow without best-effort tasks (`load`), and the [`Demand`].
//! - Output: whether a worker tolerates one more best-effort task
//!   ([`Colocation::added_interference`]), the pace of its best-effort tasks
//!   ([`Colocation::tolerated_paces`]), the share of best-effort demand that it accepts
//!   ([`Colocation::acceptance`]), and which latency-critical tasks to migrate
//!   ([`ColocationGroups::best_regrouping`]).

mod caution;
mod demand;
mod groups;
mod load;
mod model;
mod neighbours;
mod row;

pub(crate) use self::neighbours::{Neighbours, Observation};
pub use self::{
    demand::Demand,
    groups::{ColocationGroups, Host, MovableTask, Regrouping, acceptance},
    model::{Exposure, ImageNo, InterferenceModel, Sample, headroom_of, set_share},
};

use {
    self::{caution::Caution, load::OwnHeadroom, model::median},
    crate::WorkflowId,
    compact_str::CompactString,
    egretlb_types::Time,
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// Interval between updates of the model.
const LEARN_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum age of samples that are compared, since load changes within seconds.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(500);

/// Minimum headroom left to latency-critical tasks; 1 just meets the target.
const SAFE_HEADROOM: f32 = 1.05;

/// Assumed headroom of a latency-critical task without samples, which is typical of peak load.
const DEFAULT_OWN_HEADROOM: f32 = 1.6;

/// Interference below this is ignored: headroom is 2.2 at typical load, and half of the samples are
/// off by 5%.
const MIN_NOTICEABLE_INTERFERENCE: f32 = 0.08;

/// Minimum pace of a best-effort task that runs at all; a slower one shows no measurable effect.
const MIN_PACE: f32 = 0.1;

/// An estimate is uncertain if its upper bound is at least this many times the expected value.
const UNCERTAIN_RATIO: f32 = 3.0;

/// Resolution at which interference is compared.
const INTERFERENCE_STEP: f32 = 0.1;

/// The leader's model of colocated tasks.
#[derive(Debug)]
pub(crate) struct Colocation {
    model: InterferenceModel,
    /// Headroom of each workflow with latency-critical tasks.
    loads: BTreeMap<WorkflowId, OwnHeadroom>,
    demand: Demand,
    caution: Caution,
    updated_at: Time,
}

/// Returns the median headroom of a workflow's tasks on one worker. `ratios` are tail latencies as
/// multiples of the target.
pub(crate) fn median_headroom(ratios: impl Iterator<Item = f32>) -> f32 {
    let mut headrooms: SmallVec<[(f32, f32); 8]> =
        ratios.map(|ratio| (headroom_of(ratio), 1.0)).collect();
    median(&mut headrooms)
}

impl Colocation {
    pub(crate) fn new(now: Time, learned: InterferenceModel) -> Colocation {
        Colocation {
            model: learned,
            loads: BTreeMap::new(),
            demand: Demand::default(),
            caution: Caution::new(now),
            updated_at: now,
        }
    }

    /// What was learned of pairs of images.
    pub(crate) fn model(&self) -> &InterferenceModel {
        &self.model
    }

    /// Returns the recent demand of best-effort tasks.
    pub(crate) fn demand(&self) -> &Demand {
        &self.demand
    }

    /// Returns the number of an image.
    pub(crate) fn image(&mut self, name: &CompactString) -> ImageNo {
        self.model.image(name)
    }

    /// Converts the CPU use of best-effort images on a worker, in cores, to an exposure.
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

    /// Updates the caution factor with the longest current wait of a best-effort task.
    pub(crate) fn adapt_caution(&mut self, now: Time, longest: Duration) {
        self.caution.adapt(now, longest);
    }

    /// Returns whether the model is due for an update.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        now.since(self.updated_at) >= LEARN_INTERVAL
    }

    /// Updates the model with recent samples of all workers, and the demand with `demand_cores`.
    /// Returns whether there were samples.
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
        for (workflow, (image, samples)) in &groups {
            let own = self.model.own_headroom(*image, samples);
            self.loads
                .entry(*workflow)
                .and_modify(|load| load.update(now, own))
                .or_insert_with(|| OwnHeadroom::new(now, own));
        }
        !groups.is_empty()
    }

    /// Drops the headroom of a workflow that ended.
    pub(crate) fn forget(&mut self, workflow: WorkflowId) {
        self.loads.remove(&workflow);
    }

    /// Updates the forecast headroom of a worker's latency-critical tasks.
    pub(crate) fn update_own_headroom(
        &self,
        worker: &mut Neighbours,
        latency_critical: impl Iterator<Item = (WorkflowId, ImageNo)>,
    ) {
        let own = |(workflow, image)| {
            let load = self.loads.get(&workflow);
            (image, load.map_or(DEFAULT_OWN_HEADROOM, OwnHeadroom::forecast))
        };
        worker.update_own_headroom(latency_critical.map(own));
    }

    /// Returns the interference that a latency-critical image on the worker tolerates in total.
    fn budget(&self, worker: &Neighbours, latency_critical: ImageNo) -> f32 {
        (worker.own_headroom(latency_critical).unwrap_or(DEFAULT_OWN_HEADROOM) - SAFE_HEADROOM)
            / self.caution.factor()
    }

    /// Returns an upper bound of the headroom that a best-effort task takes from a latency-critical
    /// image.
    fn interference_bound(
        &self,
        worker: &Neighbours,
        latency_critical: ImageNo,
        (best_effort, cores): (ImageNo, f32),
    ) -> f32 {
        self.model.interference_bound(latency_critical, best_effort, worker.share(cores))
    }

    /// Returns the expected value of the same, which is 0 for a pair without samples.
    fn expected_interference(
        &self,
        worker: &Neighbours,
        latency_critical: ImageNo,
        (best_effort, cores): (ImageNo, f32),
    ) -> f32 {
        self.model.expected_interference(latency_critical, best_effort, worker.share(cores))
    }

    /// Returns an upper bound of the headroom that all best-effort tasks on the worker take from a
    /// latency-critical image.
    fn total_interference_bound(&self, worker: &Neighbours, latency_critical: ImageNo) -> f32 {
        let interference_bound = |(image, cpu): &(ImageNo, u32)| {
            self.interference_bound(worker, latency_critical, (*image, cores(*cpu)))
        };
        worker.best_effort().iter().map(interference_bound).sum()
    }

    /// Returns the interference of one more best-effort task in units of [`INTERFERENCE_STEP`], or
    /// `None` if a latency-critical task would miss its target.
    pub(crate) fn added_interference(
        &self,
        worker: &Neighbours,
        best_effort: (ImageNo, f32),
    ) -> Option<u32> {
        let mut max_added: f32 = 0.0;
        for (latency_critical, _) in worker.latency_critical() {
            let added = self.interference_bound(worker, *latency_critical, best_effort);
            max_added = max_added.max(added);
            let noticeable = added >= MIN_NOTICEABLE_INTERFERENCE;
            if noticeable
                && self.total_interference_bound(worker, *latency_critical) + added
                    > self.budget(worker, *latency_critical)
            {
                return None;
            }
        }
        Some((max_added / INTERFERENCE_STEP) as u32)
    }

    /// Returns whether a worker may run a best-effort task to learn about it: the estimate is
    /// uncertain, its expected value is tolerated, and so is its upper bound at [`MIN_PACE`].
    pub(crate) fn may_probe(&self, worker: &Neighbours, best_effort: (ImageNo, f32)) -> bool {
        worker.latency_critical().iter().all(|(latency_critical, _)| {
            let remaining = self.budget(worker, *latency_critical)
                - self.total_interference_bound(worker, *latency_critical);
            let expected = self.expected_interference(worker, *latency_critical, best_effort);
            let pessimistic = self.interference_bound(worker, *latency_critical, best_effort);
            let uncertain = pessimistic < MIN_NOTICEABLE_INTERFERENCE
                || pessimistic >= UNCERTAIN_RATIO * expected;
            uncertain && expected <= remaining && pessimistic * MIN_PACE <= remaining
        })
    }

    /// Returns, for each latency-critical image on a worker, the pace of best-effort tasks that it
    /// tolerates, as a share of full pace.
    pub(crate) fn tolerated_paces(
        &self,
        worker: &Neighbours,
        best_effort_tasks: impl Iterator<Item = (ImageNo, f32)> + Clone,
    ) -> SmallVec<[(ImageNo, f32); 4]> {
        let share = |latency_critical: ImageNo| {
            let budget = self.budget(worker, latency_critical).max(0.0);
            let pessimistic: f32 = best_effort_tasks
                .clone()
                .map(|best_effort| self.interference_bound(worker, latency_critical, best_effort))
                .sum();
            let expected: f32 = best_effort_tasks
                .clone()
                .map(|best_effort| {
                    self.expected_interference(worker, latency_critical, best_effort)
                })
                .sum();
            let share = budget / pessimistic.max(f32::MIN_POSITIVE);
            // A single task with an uncertain estimate keeps a minimum pace; if it were paused,
            // nothing more could be learned about it.
            let uncertain =
                pessimistic >= UNCERTAIN_RATIO * expected && worker.best_effort().len() == 1;
            let keep_min_pace = uncertain && budget > 0.0 && expected * MIN_PACE <= budget;
            if keep_min_pace { share.max(MIN_PACE) } else { share }
        };
        worker
            .latency_critical()
            .iter()
            .map(|(latency_critical, _)| (*latency_critical, share(*latency_critical)))
            .collect()
    }

    /// Returns the pace at which a best-effort task may run, from 0 to 1.
    pub(crate) fn allowed_pace(
        &self,
        worker: &Neighbours,
        tolerated: &[(ImageNo, f32)],
        best_effort: (ImageNo, f32),
    ) -> f32 {
        let interferes = |latency_critical| {
            self.interference_bound(worker, latency_critical, best_effort)
                >= MIN_NOTICEABLE_INTERFERENCE
        };
        let tolerated =
            tolerated.iter().filter(|(latency_critical, _)| interferes(*latency_critical));
        tolerated.fold(worker.pace_limit(), |share, (_, pace)| share.min(*pace)).clamp(0.0, 1.0)
    }

    /// Returns the share of best-effort demand that a worker's latency-critical tasks tolerate,
    /// from 0 to 1.
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

    /// Returns how much acceptance drops with one more latency-critical task of an image.
    pub(crate) fn acceptance_loss_with(&self, worker: &Neighbours, image: ImageNo) -> f32 {
        let with_image = worker.latency_critical().iter().copied().chain([(image, 1)]);
        self.acceptance(worker) - self.acceptance_of(with_image)
    }

    /// Returns how much acceptance rises without a latency-critical image, per task of it.
    pub(crate) fn acceptance_gain_without(&self, worker: &Neighbours, image: ImageNo) -> f32 {
        let count = worker.latency_critical().iter().find(|(other, _)| *other == image);
        let Some((_, count)) = count else { return 0.0 };
        let others = worker.latency_critical().iter().copied().filter(|(other, _)| *other != image);
        (self.acceptance_of(others) - self.acceptance(worker)) / *count as f32
    }
}

fn cores(cpu: u32) -> f32 {
    cpu as f32 / 1_000.0
}
