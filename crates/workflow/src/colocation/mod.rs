//! Tasks that share workers: how fillers press on serving tasks, and what follows from it.
//!
//! Serving tasks last, and their tail must stay below a target. Fillers end soon and use what the others leave
//! unused; they lift the tail of serving tasks, some pairs of images greatly and most hardly.
//!
//! - In: the figures that workers list, as [`Observation`] at each worker's [`Neighbours`], and what fillers ask for.
//! - Belief: a weight for each pair of images with its error ([`InterferenceModel`]), the headroom that each workflow's
//!   serving tasks have by themselves (`load`), the [`Demand`] of fillers.
//! - Out: whether a worker's serving tasks bear one more filler ([`Colocation::added_interference`]), at what pace fillers
//!   may work ([`Colocation::tolerated_paces`]), how much of the fillers' demand a worker is open to
//!   ([`Colocation::acceptance`]), and which serving tasks are better moved ([`ColocationGroups::best_regrouping`]).
//!
//! Nothing here knows of workflows' steps, records or the leader; the scheduler asks and acts.

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

/// Figures are renewed each quarter of a second.
const LEARN_INTERVAL: Duration = Duration::from_millis(250);

/// A figure that was heard so long ago isn't compared with others: the load has changed since.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(500);

/// Serving tasks are left this headroom. 1 just meets their target; half of the figures stray by less than 5%.
const SAFE_HEADROOM: f32 = 1.05;

/// The headroom of a serving task that has no figure yet: where tasks alone are at the peak of their load.
const DEFAULT_OWN_HEADROOM: f32 = 1.6;

/// A filler that takes less than this from a serving task's headroom isn't worth holding back or avoiding: a
/// headroom is 2.2 at the usual load, and half of the figures stray by 5%.
const MIN_NOTICEABLE_INTERFERENCE: f32 = 0.08;

/// A filler works at this share of its pace at least, or not at all: below it its figures show nothing.
const MIN_PACE: f32 = 0.1;

/// Little is known of a filler while what is feared of it is so many times what is likely.
const UNCERTAIN_RATIO: f32 = 3.0;

/// Pressures are compared in steps of this size; finer ones are noise.
const INTERFERENCE_STEP: f32 = 0.1;

/// What the leader believes of tasks that share workers.
#[derive(Debug)]
pub(crate) struct Colocation {
    model: InterferenceModel,
    /// The serving tasks of each workflow that has some.
    loads: BTreeMap<WorkflowId, OwnHeadroom>,
    demand: Demand,
    caution: Caution,
    learned_at: Time,
}

/// The headroom that tasks of one workflow at one worker show: the median, since one in twenty strays widely.
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
            learned_at: now,
        }
    }

    /// What was learned of pairs of images.
    pub(crate) fn model(&self) -> &InterferenceModel {
        &self.model
    }

    /// What fillers have asked for lately.
    pub(crate) fn demand(&self) -> &Demand {
        &self.demand
    }

    /// The number of an image.
    pub(crate) fn image(&mut self, name: &CompactString) -> ImageNo {
        self.model.image(name)
    }

    /// What fillers used at a worker, from the processor time in use by image, in cores.
    pub(crate) fn exposure(
        &mut self,
        worker: &Neighbours,
        used: impl Iterator<Item = (ImageNo, f32)>,
    ) -> Exposure {
        let mut exposure = Exposure::new();
        for (image, cores) in used {
            if let Some(column) = self.model.column(image) {
                let known = exposure.get(column).copied().unwrap_or(0.0);
                set_share(&mut exposure, column, known + worker.share(cores));
            }
        }
        exposure
    }

    /// Takes in how long fillers have waited for a worker, the longest of them.
    pub(crate) fn adapt_caution(&mut self, now: Time, longest: Duration) {
        self.caution.adapt(now, longest);
    }

    /// Whether another round of learning is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        now.since(self.learned_at) >= LEARN_INTERVAL
    }

    /// Learns from the last figures of all workers, and takes in what fillers ask for, in cores. Returns
    /// whether there were figures.
    pub(crate) fn learn<'a>(
        &mut self,
        now: Time,
        workers: impl Iterator<Item = &'a Neighbours>,
        asked: impl IntoIterator<Item = (ImageNo, f32)>,
    ) -> bool {
        let elapsed = now.since(self.learned_at);
        self.learned_at = now;
        self.demand.update(elapsed, asked);
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

    /// Forgets what is known of a workflow's load.
    pub(crate) fn forget(&mut self, workflow: WorkflowId) {
        self.loads.remove(&workflow);
    }

    /// Notes at a worker the own headrooms of the tasks that serve there.
    pub(crate) fn update_own_headroom(
        &self,
        worker: &mut Neighbours,
        latency_critical: impl Iterator<Item = (WorkflowId, ImageNo)>,
    ) {
        let own = |(workflow, image)| {
            let load = self.loads.get(&workflow);
            (image, load.map_or(DEFAULT_OWN_HEADROOM, OwnHeadroom::outlook))
        };
        worker.update_own_headroom(latency_critical.map(own));
    }

    /// What fillers may take in all, as far as is known, from the headroom of a serving image at a worker.
    fn budget(&self, worker: &Neighbours, latency_critical: ImageNo) -> f32 {
        (worker.own_headroom(latency_critical).unwrap_or(DEFAULT_OWN_HEADROOM) - SAFE_HEADROOM)
            / self.caution.factor()
    }

    /// What an amount of a filler's processor time takes from a serving image's headroom at a worker.
    fn interference_bound(
        &self,
        worker: &Neighbours,
        latency_critical: ImageNo,
        (best_effort, cores): (ImageNo, f32),
    ) -> f32 {
        self.model.interference_bound(latency_critical, best_effort, worker.share(cores))
    }

    /// The same by the best estimate, which is nothing for a pair that was never seen.
    fn expected_interference(
        &self,
        worker: &Neighbours,
        latency_critical: ImageNo,
        (best_effort, cores): (ImageNo, f32),
    ) -> f32 {
        self.model.expected_interference(latency_critical, best_effort, worker.share(cores))
    }

    /// What all fillers of a worker take from a serving image's headroom there.
    fn total_interference_bound(&self, worker: &Neighbours, latency_critical: ImageNo) -> f32 {
        let interference_bound = |(image, cpu): &(ImageNo, u32)| {
            self.interference_bound(worker, latency_critical, (*image, cores(*cpu)))
        };
        worker.best_effort().iter().map(interference_bound).sum()
    }

    /// How much one more filler would press at a worker, in coarse steps; none if a serving task there would
    /// miss its target for it.
    pub(crate) fn added_interference(
        &self,
        worker: &Neighbours,
        best_effort: (ImageNo, f32),
    ) -> Option<u32> {
        let mut highest: f32 = 0.0;
        for (latency_critical, _) in worker.latency_critical() {
            let added = self.interference_bound(worker, *latency_critical, best_effort);
            highest = highest.max(added);
            let noticeable = added >= MIN_NOTICEABLE_INTERFERENCE;
            if noticeable
                && self.total_interference_bound(worker, *latency_critical) + added
                    > self.budget(worker, *latency_critical)
            {
                return None;
            }
        }
        Some((highest / INTERFERENCE_STEP) as u32)
    }

    /// Whether a worker's serving tasks bear one more filler by the best estimate, and at [`MIN_PACE`] of its
    /// pace also by the cautious one: it is refused only since too little is known of it.
    pub(crate) fn may_probe(&self, worker: &Neighbours, best_effort: (ImageNo, f32)) -> bool {
        worker.latency_critical().iter().all(|(latency_critical, _)| {
            let left = self.budget(worker, *latency_critical)
                - self.total_interference_bound(worker, *latency_critical);
            let expected = self.expected_interference(worker, *latency_critical, best_effort);
            let pessimistic = self.interference_bound(worker, *latency_critical, best_effort);
            let unknown = pessimistic < MIN_NOTICEABLE_INTERFERENCE
                || pessimistic >= UNCERTAIN_RATIO * expected;
            unknown && expected <= left && pessimistic * MIN_PACE <= left
        })
    }

    /// For each image that serves at a worker, the share of their full pace at which it bears the fillers.
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
            // Held back wholly for what is only feared, a filler would stand still for good: nothing more would
            // be learned of it.
            let unknown =
                pessimistic >= UNCERTAIN_RATIO * expected && worker.best_effort().len() == 1;
            let safe = unknown && budget > 0.0 && expected * MIN_PACE <= budget;
            if safe { share.max(MIN_PACE) } else { share }
        };
        worker
            .latency_critical()
            .iter()
            .map(|(latency_critical, _)| (*latency_critical, share(*latency_critical)))
            .collect()
    }

    /// The share of its full pace at which the serving tasks of a worker can bear a filler.
    pub(crate) fn allowed_pace(
        &self,
        worker: &Neighbours,
        bearable: &[(ImageNo, f32)],
        best_effort: (ImageNo, f32),
    ) -> f32 {
        let presses = |latency_critical| {
            self.interference_bound(worker, latency_critical, best_effort)
                >= MIN_NOTICEABLE_INTERFERENCE
        };
        let bearable = bearable.iter().filter(|(latency_critical, _)| presses(*latency_critical));
        bearable.fold(worker.pace_limit(), |share, (_, bears)| share.min(*bears)).clamp(0.0, 1.0)
    }

    /// How much of the fillers' demand the serving tasks of a worker could bear, from 0 to 1.
    pub(crate) fn acceptance(&self, worker: &Neighbours) -> f32 {
        worker
            .acceptance
            .unwrap_or_else(|| self.acceptance_of(worker.latency_critical().iter().copied()))
    }

    /// Notes how open a worker is: it is asked for with each task that looks for a place.
    pub(crate) fn cache_acceptance(&self, worker: &mut Neighbours) {
        worker.acceptance = Some(self.acceptance_of(worker.latency_critical().iter().copied()));
    }

    fn acceptance_of(&self, latency_critical: impl Iterator<Item = (ImageNo, u32)> + Clone) -> f32 {
        acceptance(&self.model, &self.demand, latency_critical.map(|(image, _)| image))
    }

    /// How much less open a worker would be with one more serving task of an image.
    pub(crate) fn acceptance_loss_with(&self, worker: &Neighbours, image: ImageNo) -> f32 {
        let more = worker.latency_critical().iter().copied().chain([(image, 1)]);
        self.acceptance(worker) - self.acceptance_of(more)
    }

    /// How much more open a worker would be without an image that serves there, for each of its tasks.
    pub(crate) fn acceptance_gain_without(&self, worker: &Neighbours, image: ImageNo) -> f32 {
        let count = worker.latency_critical().iter().find(|(known, _)| *known == image);
        let Some((_, count)) = count else { return 0.0 };
        let others = worker.latency_critical().iter().copied().filter(|(known, _)| *known != image);
        (self.acceptance_of(others) - self.acceptance(worker)) / *count as f32
    }
}

fn cores(cpu: u32) -> f32 {
    cpu as f32 / 1_000.0
}
