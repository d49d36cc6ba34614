//! The pace of fillers beside serving tasks.
//!
//! Load: the own load of serving tasks swings threefold within 14 to 20 s, and fillers that press a little
//! do no harm in its valleys and much at its peaks. Keeping to what the peak allows leaves whole images
//! of fillers without a worker; stopping fillers when a target is missed throws their work away, and takes
//! a second in all. A change of pace works within a tenth of a second and loses nothing.
//!
//! Each answer of a worker tells what headroom its serving tasks would have without fillers. What is left up to
//! the target is shared by the fillers that press, each at the pace that fits.

use {
    super::{
        Copy, Effect, Phase, Scheduler, Worker, copy::FULL_PACE, pressure::NOTICEABLE,
        waits::StopReason,
    },
    crate::{ImageNo, RunId, TaskId, WorkerId, WorkflowId, interference::Exposure},
    egretlb_types::Time,
    smallvec::SmallVec,
    std::time::Duration,
};

/// What became of a change of pace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceResult {
    /// It is in force.
    Paced,
    /// The worker obeys a higher epoch.
    Outranked,
    /// Another incarnation answers at this address.
    OtherIncarnation,
    /// It may have had no effect.
    Unknown,
}

/// Serving tasks are left this headroom. 1 just meets their target, and single figures stray by a fifth.
const SAFE_HEADROOM: f32 = 1.15;

/// What fillers are known to take counts so many times while none of them waits: what an image takes
/// changes threefold within seconds, and it can run elsewhere.
const MOST_CAUTION: f32 = 5.0;

/// And so many times once fillers have waited for [`LONG_WAIT`]: on days with three serving tasks in four
/// of images that most fillers press on, more caution left these late by a minute.
const LEAST_CAUTION: f32 = 1.2;

/// Fillers have a second and as long as they run to spare; this much of it may be spent waiting.
const LONG_WAIT: Duration = Duration::from_millis(700);

/// How fast the factor grows again once fillers don't wait, each second.
const CAUTION_GROWTH: f32 = 1.0;

/// The span over which a workflow's own headroom is averaged: its load changes by a tenth within half a second,
/// and single figures stray by a fifth.
const LOAD_SPAN: Duration = Duration::from_millis(700);

/// Figures that come at the same time count as if so much had passed between them.
const LEAST_ELAPSED: Duration = Duration::from_millis(50);

/// A load that wasn't measured for so long isn't learned from.
const LOAD_FORGOTTEN: Duration = Duration::from_millis(1_500);

/// With this standard error of what its fillers take, a figure counts half in a workflow's own headroom.
const MUCH_UNSURE: f32 = 0.3;

/// The headroom of a serving task that has no figure yet: where tasks alone are at the peak of their load.
const UNKNOWN_OWN: f32 = 1.6;

/// How far a single figure strays by itself, as a share of it. A headroom that is below 1 by less isn't a
/// sign of anything.
const FIGURE_NOISE: f32 = 0.2;

/// Fillers keep this share of their pace for each figure in which a serving task is over its target.
const TRUST_LOST: f32 = 0.4;

/// And regain this much with each figure without that.
const TRUST_REGAINED: f32 = 0.25;

/// Paces are set in steps of this many percent: finer ones change less than figures stray.
const PACE_STEP: f32 = 10.0;

/// A change of less than this, in percent, isn't worth a call, unless it holds a filler back wholly or lets it
/// go: it takes less than a figure strays.
const LEAST_CHANGE: u32 = 20;

/// A filler at this pace or below, in percent, is better off elsewhere if there is such a place.
const SLOWED: u32 = 30;

/// A filler that was slowed for so long is moved.
const SLOWED_FOR: Duration = Duration::from_millis(1_200);

/// A filler that doesn't save its progress isn't moved once it is this far, in percent.
const WORTH_MOVING_PERCENT: u32 = 30;

/// How many times over the pressure of fillers is counted: often while none of them waits, hardly otherwise.
#[derive(Debug)]
pub(super) struct Caution {
    factor: f32,
    at: Time,
}

impl Caution {
    pub(super) fn new(now: Time) -> Caution {
        Caution { factor: MOST_CAUTION, at: now }
    }

    /// Takes in how long fillers have waited for a worker, the longest of them.
    pub(super) fn adapt(&mut self, now: Time, longest: Duration) {
        let waited = (longest.as_secs_f32() / LONG_WAIT.as_secs_f32()).min(1.0);
        let wanted = MOST_CAUTION - (MOST_CAUTION - LEAST_CAUTION) * waited;
        let grown = self.factor + CAUTION_GROWTH * now.since(self.at).as_secs_f32();
        self.at = now;
        self.factor = wanted.min(grown);
    }
}

/// The serving tasks of one workflow.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// The headroom that they would have without fillers; a moving average over all workers.
    own: f32,
    at: Time,
    /// A worker that it was measured at, and whether it was at others, too: of what one worker shows alone
    /// it can't be told what is own and what fillers take.
    first: WorkerId,
    elsewhere: bool,
}

/// The new figures of one workflow's tasks at a worker.
pub(super) struct Fresh {
    pub(super) workflow: WorkflowId,
    pub(super) image: ImageNo,
    /// The sum of their headrooms.
    pub(super) sum: f32,
    pub(super) count: f32,
}

impl Scheduler {
    /// What became of a change of pace.
    pub fn on_pace(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
        result: PaceResult,
        out: &mut Vec<Effect>,
    ) {
        match result {
            PaceResult::Paced => {}
            PaceResult::Outranked => out.push(Effect::Outranked),
            PaceResult::OtherIncarnation => self.on_other_incarnation(now, id),
            PaceResult::Unknown => {
                let worker = self.workers.get_mut(id);
                if let Some(copy) = worker.and_then(|worker| worker.copies.get_mut(&(task, run))) {
                    copy.pace_told = None;
                }
            }
        }
    }

    /// Takes in the new figures of a worker's serving tasks. `exposure` is the fillers' use while they were
    /// measured.
    pub(super) fn measure_loads(
        &mut self,
        now: Time,
        id: &WorkerId,
        fresh: &[Fresh],
        exposure: &Exposure,
    ) {
        if fresh.is_empty() {
            return;
        }
        let missed =
            fresh.iter().any(|new| new.sum < new.count * (1.0 - FIGURE_NOISE / new.count.sqrt()));
        if let Some(worker) = self.workers.get_mut(id) {
            let trust = worker.trust;
            worker.trust =
                if missed { trust * TRUST_LOST } else { (trust + TRUST_REGAINED).min(1.0) };
        }
        for Fresh { workflow, image, sum, count } in fresh {
            self.measure_load(now, id, (*workflow, *image), (sum / count, *count), exposure);
        }
        self.learned_news = true;
    }

    fn measure_load(
        &mut self,
        now: Time,
        id: &WorkerId,
        (workflow, image): (WorkflowId, ImageNo),
        (headroom, count): (f32, f32),
        exposure: &Exposure,
    ) {
        let interference = &mut self.interference;
        let own = headroom + interference.taken(image, exposure);
        let Some(load) = self.loads.get_mut(&workflow) else {
            let load = Load { own, at: now, first: id.clone(), elsewhere: false };
            self.loads.insert(workflow, load);
            return;
        };
        load.elsewhere |= load.first != *id;
        let elapsed = now.since(load.at);
        if load.elsewhere && elapsed < LOAD_FORGOTTEN {
            interference.observe(image, load.own, headroom, count, exposure);
        }
        // What is measured beside fillers of which little is known says little.
        let unsure = interference.unsure(image, exposure) / MUCH_UNSURE;
        let passed = (elapsed + LEAST_ELAPSED).as_secs_f32() / LOAD_SPAN.as_secs_f32();
        let share = (1.0 - (-passed).exp()) / (1.0 + unsure * unsure);
        load.own += share * (own - load.own);
        load.at = now;
    }

    /// What fillers may take in all, as far as is known, from the headroom of a serving image at a worker.
    pub(super) fn budget_of(&self, worker: &Worker, image: ImageNo) -> f32 {
        let own = worker.own_headrooms.iter().find(|(known, _)| *known == image);
        (own.map_or(UNKNOWN_OWN, |(_, own)| *own) - SAFE_HEADROOM) / self.caution.factor
    }

    /// Notes at a worker the lowest own headroom of each image that serves there. It is asked for with each
    /// task that looks for a place, and changes little until the worker is heard again.
    fn note_own_headrooms(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.own_headrooms.clear();
        for ((task, _), copy) in worker.copies.iter().filter(|(_, copy)| copy.serves) {
            let own = self.loads.get(&task.workflow).map_or(UNKNOWN_OWN, |load| load.own);
            match worker.own_headrooms.iter_mut().find(|(image, _)| *image == copy.image) {
                Some((_, lowest)) => *lowest = lowest.min(own),
                None => worker.own_headrooms.push((copy.image, own)),
            }
        }
    }

    /// Forgets what is known of a workflow's load.
    pub(super) fn forget_load(&mut self, workflow: WorkflowId) {
        self.loads.remove(&workflow);
    }

    /// Sets the paces of a worker's fillers by what its serving tasks can bear.
    pub(super) fn pace_fillers(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        self.note_own_headrooms(id);
        let Some(worker) = self.workers.get(id) else { return };
        if worker.filling == 0 {
            return;
        }
        let bearable = self.bearable_shares(worker);
        let mut changes: Vec<(TaskId, RunId, u32)> = Vec::new();
        for ((task, run), copy) in &worker.copies {
            if copy.fills && matches!(copy.phase, Phase::Running { .. }) {
                let pace = self.fitting_pace(worker, &bearable, copy);
                if worth_telling(copy, pace) {
                    changes.push((*task, *run, pace));
                }
            }
        }
        let (epoch, addr) = (self.epoch, worker.info.addr);
        self.measures.paced += changes.len() as u64;
        let Some(worker) = self.workers.get_mut(id) else { return };
        for (task, run, percent) in changes {
            worker.set_pace(task, run, percent);
            if let Some(copy) = worker.copies.get_mut(&(task, run)) {
                copy.pace_told = Some(percent);
                copy.moved_at = now;
                let slowed = percent <= SLOWED;
                copy.slowed_since = slowed.then(|| copy.slowed_since.unwrap_or(now));
            }
            log::debug!(task:%, run:%, worker:% = id, percent; "filler_paced");
            out.push(Effect::Pace { worker: id.clone(), addr, epoch, task, run, percent });
        }
        self.move_slowed(now, id, out);
    }

    /// For each image that serves at a worker, the share of their full pace at which it bears all fillers.
    fn bearable_shares(&self, worker: &Worker) -> SmallVec<[(ImageNo, f32); 4]> {
        let fillers = || worker.copies.values().filter(|copy| copy.fills);
        let share = |serving: ImageNo| {
            let all: f32 = fillers()
                .map(|copy| self.interference.pressure(serving, copy.image, copy.cores()))
                .sum();
            self.budget_of(worker, serving).max(0.0) / all.max(f32::MIN_POSITIVE)
        };
        worker.serving_images.iter().map(|(serving, _)| (*serving, share(*serving))).collect()
    }

    /// The pace at which the serving tasks of a worker can bear a filler, in percent.
    fn fitting_pace(&self, worker: &Worker, bearable: &[(ImageNo, f32)], filler: &Copy) -> u32 {
        let mut share: f32 = if worker.serving > 0 { worker.trust } else { 1.0 };
        for (serving, bears) in bearable {
            let own = self.interference.pressure(*serving, filler.image, filler.cores());
            if own >= NOTICEABLE {
                share = share.min(*bears);
            }
        }
        let steps = (share.clamp(0.0, 1.0) * FULL_PACE as f32 / PACE_STEP).floor();
        (steps * PACE_STEP) as u32
    }

    /// Moves fillers that were slowed down for long and find a better place.
    fn move_slowed(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        let Some(worker) = self.workers.get(id) else { return };
        let long = |copy: &Copy| {
            let running = matches!(copy.phase, Phase::Running { .. });
            let worth = copy.moves || copy.percent < WORTH_MOVING_PERCENT;
            running && worth && copy.slowed_since.is_some_and(|at| now.since(at) >= SLOWED_FOR)
        };
        let slowed: Vec<(TaskId, RunId)> =
            worker.copies.iter().filter(|(_, copy)| long(copy)).map(|(key, _)| *key).collect();
        for (task, run) in slowed {
            if self.fits_elsewhere(now, id, task) {
                self.measures.relieved += 1;
                log::info!(task:%, run:%, worker:% = id; "slowed_filler_moved");
                self.stop_runs(now, id, StopReason::HeldBack, out, |of, number| {
                    of == task && number == run
                });
            }
        }
    }
}

/// Whether a change of pace is worth a call.
fn worth_telling(copy: &Copy, pace: u32) -> bool {
    match copy.pace_told {
        None => true,
        Some(told) => {
            told.abs_diff(pace) >= LEAST_CHANGE
                || (told != pace && (pace == 0 || pace == FULL_PACE))
        }
    }
}
