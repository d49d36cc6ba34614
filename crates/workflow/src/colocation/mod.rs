//! Tasks that share workers: how fillers press on serving tasks, and what follows from it.
//!
//! Serving tasks last, and their tail must stay below a target. Fillers end soon and use what the others leave
//! unused; they lift the tail of serving tasks, some pairs of images greatly and most hardly.
//!
//! - In: the figures that workers list, as [`Seen`] at each worker's [`Neighbours`], and what fillers ask for.
//! - Belief: a weight for each pair of images with its error ([`Interference`]), the headroom that each workflow's
//!   serving tasks have by themselves (`load`), the [`Demand`] of fillers.
//! - Out: whether a worker's serving tasks bear one more filler ([`Colocation::disturbance`]), at what pace fillers
//!   may work ([`Colocation::bearable_shares`]), how much of the fillers' demand a worker is open to
//!   ([`Colocation::openness`]), and which serving tasks are better moved ([`Company::best_regrouping`]).
//!
//! Nothing here knows of workflows' steps, records or the leader; the scheduler asks and acts.

mod caution;
mod company;
mod demand;
mod interference;
mod load;
mod neighbours;
mod row;

pub(crate) use self::neighbours::{Neighbours, Seen};
pub use self::{
    company::{Company, Host, Movable, Regrouping, openness},
    demand::Demand,
    interference::{Exposure, ImageNo, Interference, Sighting, headroom_of, set},
};

use {
    self::{caution::Caution, interference::median, load::OwnHeadroom},
    crate::WorkflowId,
    compact_str::CompactString,
    egretlb_types::Time,
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// Figures are renewed each quarter of a second.
const LEARN_GAP: Duration = Duration::from_millis(250);

/// A figure that was heard so long ago isn't compared with others: the load has changed since.
const SEEN_FOR: Duration = Duration::from_millis(500);

/// Serving tasks are left this headroom. 1 just meets their target; half of the figures stray by less than 5%.
const SAFE_HEADROOM: f32 = 1.05;

/// The headroom of a serving task that has no figure yet: where tasks alone are at the peak of their load.
const UNKNOWN_OWN: f32 = 1.6;

/// A filler that takes less than this from a serving task's headroom isn't worth holding back or avoiding: a
/// headroom is 2.2 at the usual load, and half of the figures stray by 5%.
const NOTICEABLE: f32 = 0.08;

/// A filler works at this share of its pace at least, or not at all: below it its figures show nothing.
const LEAST_SHARE: f32 = 0.1;

/// Little is known of a filler while what is feared of it is so many times what is likely.
const MOSTLY_FEAR: f32 = 3.0;

/// Pressures are compared in steps of this size; finer ones are noise.
const PRESSURE_STEP: f32 = 0.1;

/// What the leader believes of tasks that share workers.
#[derive(Debug)]
pub(crate) struct Colocation {
    interference: Interference,
    /// The serving tasks of each workflow that has some.
    loads: BTreeMap<WorkflowId, OwnHeadroom>,
    demand: Demand,
    caution: Caution,
    learned_at: Time,
}

/// The headroom that tasks of one workflow at one worker show: the median, since one in twenty strays widely.
pub(crate) fn headroom_together(ratios: impl Iterator<Item = f32>) -> f32 {
    let mut headrooms: SmallVec<[(f32, f32); 8]> =
        ratios.map(|ratio| (headroom_of(ratio), 1.0)).collect();
    median(&mut headrooms)
}

impl Colocation {
    pub(crate) fn new(now: Time, learned: Interference) -> Colocation {
        Colocation {
            interference: learned,
            loads: BTreeMap::new(),
            demand: Demand::default(),
            caution: Caution::new(now),
            learned_at: now,
        }
    }

    /// What was learned of pairs of images.
    pub(crate) fn learned(&self) -> &Interference {
        &self.interference
    }

    /// What fillers have asked for lately.
    pub(crate) fn demand(&self) -> &Demand {
        &self.demand
    }

    /// The number of an image.
    pub(crate) fn image(&mut self, name: &CompactString) -> ImageNo {
        self.interference.image(name)
    }

    /// What fillers used at a worker, from the processor time in use by image, in cores.
    pub(crate) fn exposure(
        &mut self,
        worker: &Neighbours,
        used: impl Iterator<Item = (ImageNo, f32)>,
    ) -> Exposure {
        let mut exposure = Exposure::new();
        for (image, cores) in used {
            if let Some(column) = self.interference.column(image) {
                let known = exposure.get(column).copied().unwrap_or(0.0);
                set(&mut exposure, column, known + worker.share(cores));
            }
        }
        exposure
    }

    /// Takes in how long fillers have waited for a worker, the longest of them.
    pub(crate) fn fillers_waited(&mut self, now: Time, longest: Duration) {
        self.caution.adapt(now, longest);
    }

    /// Whether another round of learning is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        now.since(self.learned_at) >= LEARN_GAP
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
        self.demand.follow(elapsed, asked);
        let mut groups: BTreeMap<WorkflowId, (ImageNo, SmallVec<[&Sighting; 8]>)> = BTreeMap::new();
        for seen in workers.flat_map(Neighbours::seen) {
            if now.since(seen.at) < SEEN_FOR {
                let group = groups.entry(seen.workflow);
                let (_, sightings) = group.or_insert_with(|| (seen.image, SmallVec::new()));
                sightings.push(&seen.sighting);
            }
        }
        for (image, sightings) in groups.values() {
            self.interference.observe(*image, sightings);
        }
        self.interference.solve(elapsed);
        for (workflow, (image, sightings)) in &groups {
            let own = self.interference.own_headroom(*image, sightings);
            self.loads
                .entry(*workflow)
                .and_modify(|load| load.follow(now, own))
                .or_insert_with(|| OwnHeadroom::new(now, own));
        }
        !groups.is_empty()
    }

    /// Forgets what is known of a workflow's load.
    pub(crate) fn forget(&mut self, workflow: WorkflowId) {
        self.loads.remove(&workflow);
    }

    /// Notes at a worker the own headrooms of the tasks that serve there.
    pub(crate) fn note_own(
        &self,
        worker: &mut Neighbours,
        serving: impl Iterator<Item = (WorkflowId, ImageNo)>,
    ) {
        let own = |(workflow, image)| {
            let load = self.loads.get(&workflow);
            (image, load.map_or(UNKNOWN_OWN, OwnHeadroom::outlook))
        };
        worker.note_own(serving.map(own));
    }

    /// What fillers may take in all, as far as is known, from the headroom of a serving image at a worker.
    fn budget(&self, worker: &Neighbours, serving: ImageNo) -> f32 {
        (worker.own(serving).unwrap_or(UNKNOWN_OWN) - SAFE_HEADROOM) / self.caution.factor()
    }

    /// What an amount of a filler's processor time takes from a serving image's headroom at a worker.
    fn pressure(
        &self,
        worker: &Neighbours,
        serving: ImageNo,
        (filler, cores): (ImageNo, f32),
    ) -> f32 {
        self.interference.pressure(serving, filler, worker.share(cores))
    }

    /// The same by the best estimate, which is nothing for a pair that was never seen.
    fn likely_pressure(
        &self,
        worker: &Neighbours,
        serving: ImageNo,
        (filler, cores): (ImageNo, f32),
    ) -> f32 {
        self.interference.likely_pressure(serving, filler, worker.share(cores))
    }

    /// What all fillers of a worker take from a serving image's headroom there.
    fn pressure_on(&self, worker: &Neighbours, serving: ImageNo) -> f32 {
        let pressure =
            |(image, cpu): &(ImageNo, u32)| self.pressure(worker, serving, (*image, cores(*cpu)));
        worker.filling().iter().map(pressure).sum()
    }

    /// How much one more filler would press at a worker, in coarse steps; none if a serving task there would
    /// miss its target for it.
    pub(crate) fn disturbance(&self, worker: &Neighbours, filler: (ImageNo, f32)) -> Option<u32> {
        let mut highest: f32 = 0.0;
        for (serving, _) in worker.serving() {
            let added = self.pressure(worker, *serving, filler);
            highest = highest.max(added);
            let noticeable = added >= NOTICEABLE;
            if noticeable
                && self.pressure_on(worker, *serving) + added > self.budget(worker, *serving)
            {
                return None;
            }
        }
        Some((highest / PRESSURE_STEP) as u32)
    }

    /// Whether a worker's serving tasks bear one more filler by the best estimate, and at [`LEAST_SHARE`] of its
    /// pace also by the cautious one: it is refused only since too little is known of it.
    pub(crate) fn is_unproved(&self, worker: &Neighbours, filler: (ImageNo, f32)) -> bool {
        worker.serving().iter().all(|(serving, _)| {
            let left = self.budget(worker, *serving) - self.pressure_on(worker, *serving);
            let likely = self.likely_pressure(worker, *serving, filler);
            let feared = self.pressure(worker, *serving, filler);
            let unknown = feared < NOTICEABLE || feared >= MOSTLY_FEAR * likely;
            unknown && likely <= left && feared * LEAST_SHARE <= left
        })
    }

    /// For each image that serves at a worker, the share of their full pace at which it bears the fillers.
    pub(crate) fn bearable_shares(
        &self,
        worker: &Neighbours,
        fillers: impl Iterator<Item = (ImageNo, f32)> + Clone,
    ) -> SmallVec<[(ImageNo, f32); 4]> {
        let share = |serving: ImageNo| {
            let budget = self.budget(worker, serving).max(0.0);
            let feared: f32 =
                fillers.clone().map(|filler| self.pressure(worker, serving, filler)).sum();
            let likely: f32 =
                fillers.clone().map(|filler| self.likely_pressure(worker, serving, filler)).sum();
            let share = budget / feared.max(f32::MIN_POSITIVE);
            // Held back wholly for what is only feared, a filler would stand still for good: nothing more would
            // be learned of it.
            let unknown = feared >= MOSTLY_FEAR * likely && worker.filling().len() == 1;
            let safe = unknown && budget > 0.0 && likely * LEAST_SHARE <= budget;
            if safe { share.max(LEAST_SHARE) } else { share }
        };
        worker.serving().iter().map(|(serving, _)| (*serving, share(*serving))).collect()
    }

    /// The share of its full pace at which the serving tasks of a worker can bear a filler.
    pub(crate) fn fitting_share(
        &self,
        worker: &Neighbours,
        bearable: &[(ImageNo, f32)],
        filler: (ImageNo, f32),
    ) -> f32 {
        let presses = |serving| self.pressure(worker, serving, filler) >= NOTICEABLE;
        let bearable = bearable.iter().filter(|(serving, _)| presses(*serving));
        bearable.fold(worker.trust(), |share, (_, bears)| share.min(*bears)).clamp(0.0, 1.0)
    }

    /// How much of the fillers' demand the serving tasks of a worker could bear, from 0 to 1.
    pub(crate) fn openness(&self, worker: &Neighbours) -> f32 {
        worker.openness.unwrap_or_else(|| self.openness_of(worker.serving().iter().copied()))
    }

    /// Notes how open a worker is: it is asked for with each task that looks for a place.
    pub(crate) fn note_openness(&self, worker: &mut Neighbours) {
        worker.openness = Some(self.openness_of(worker.serving().iter().copied()));
    }

    fn openness_of(&self, serving: impl Iterator<Item = (ImageNo, u32)> + Clone) -> f32 {
        openness(&self.interference, &self.demand, serving.map(|(image, _)| image))
    }

    /// How much less open a worker would be with one more serving task of an image.
    pub(crate) fn closed_by(&self, worker: &Neighbours, image: ImageNo) -> f32 {
        let more = worker.serving().iter().copied().chain([(image, 1)]);
        self.openness(worker) - self.openness_of(more)
    }

    /// How much more open a worker would be without an image that serves there, for each of its tasks.
    pub(crate) fn opened_without(&self, worker: &Neighbours, image: ImageNo) -> f32 {
        let count = worker.serving().iter().find(|(known, _)| *known == image);
        let Some((_, count)) = count else { return 0.0 };
        let others = worker.serving().iter().copied().filter(|(known, _)| *known != image);
        (self.openness_of(others) - self.openness(worker)) / *count as f32
    }
}

fn cores(cpu: u32) -> f32 {
    cpu as f32 / 1_000.0
}
