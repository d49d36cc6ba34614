//! A run of a task at a worker, and what it needs there.

use {
    super::waits::Stop,
    crate::{
        Step,
        colocation::{Colocation, ImageNo},
    },
    egretlb_types::{MilliCores, Resources, Time},
};

/// How far an order to run a task has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The start was sent.
    Starting,
    /// The start has no answer; it may have been carried out, or may yet be.
    Doubtful {
        /// When that was noticed.
        since: Time,
    },
    /// It runs; the worker's clock when that was last known, in milliseconds.
    Running {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// A stop was sent. Until its end is listed it holds its resources.
    Stopping {
        /// When it was last sent.
        sent: Time,
        /// The worker's clock when it confirmed, in milliseconds; none before.
        confirmed_ms: Option<u64>,
    },
}

/// One run of a task at a worker, from the order until its end is known.
#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub(crate) phase: Phase,
    /// Its task had been started before.
    pub(crate) again: bool,
    /// The end of the lease that it was started with, on the worker's clock in milliseconds: a start that arrives
    /// later is rejected. None if this leader didn't start it.
    pub(crate) starts_until_ms: Option<u64>,
    /// Nothing is started beside it until it has been at work for a moment.
    pub(crate) trial: bool,
    /// A predecessor started it and didn't see it at work.
    pub(crate) inherited_unproved: bool,
    /// The worker has answered its start or listed it.
    pub(crate) confirmed: bool,
    /// When it was started, or found.
    pub(crate) placed: Time,
    /// When it began to run, as far as is known.
    pub(crate) began: Time,
    /// When it was last seen to get on.
    pub(crate) moved_at: Time,
    /// When its speed was last measured, and how far it was then.
    pub(crate) sampled: (Time, u32),
    /// How long it should take, in milliseconds; 0 if nobody can say, as for fillers.
    pub(crate) estimate_ms: u32,
    pub(crate) percent: u32,
    /// The last figure: a serving task's tail in milliseconds, another one's use of the processor.
    pub(crate) figure: u32,
    pub(crate) image: ImageNo,
    pub(crate) target_ms: u32,
    /// Since when a serving task is over its target.
    pub(crate) over_since: Option<Time>,
    /// The last figure that was learned from.
    pub(crate) taken_figure: u32,
    /// The share at which a filler may work and disturb, in percent.
    pub(crate) pace: u32,
    /// The pace that the worker was last told; none if that isn't known.
    pub(crate) pace_told: Option<u32>,
    /// Since when its pace is too low to be worth its stay.
    pub(crate) slowed_since: Option<Time>,
    /// Counted against the worker.
    pub(crate) hard: Resources,
    /// Processor time that a filling task would use, counted against other fillers only.
    pub(crate) soft: MilliCores,
    pub(crate) serves: bool,
    pub(crate) fills: bool,
    /// The stop that was ordered, if one was.
    pub(crate) stop: Option<Stop>,
    /// It can go on elsewhere without loss: it saves its progress, or lasts.
    pub(crate) moves: bool,
    /// It runs until its workflow is cancelled.
    pub(crate) lasts: bool,
    /// It lasts, and any number of its step's tasks may be away.
    pub(crate) yields: bool,
}

/// What a task of a step needs of a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need<'a> {
    pub(crate) step: &'a Step,
    /// Counted against the worker.
    pub(crate) hard: Resources,
    /// Processor time of a filling task, counted against other fillers only.
    pub(crate) soft: MilliCores,
    pub(crate) image: ImageNo,
    /// Only workers of this rack will do.
    pub(crate) rack: Option<&'a str>,
}

impl<'a> Need<'a> {
    pub(crate) fn new(step: &'a Step, colocation: &mut Colocation) -> Need<'a> {
        let mut hard = step.resources;
        let mut soft = MilliCores(0);
        if step.best_effort {
            soft = std::mem::take(&mut hard.cpu);
        }
        Need { step, hard, soft, image: colocation.image(&step.image), rack: None }
    }

    /// Its image and the processor time that it asks for, in cores, if it fills.
    pub(crate) fn filler(&self) -> (ImageNo, f32) {
        (self.image, self.soft.0 as f32 / 1_000.0)
    }
}

impl Copy {
    pub(crate) fn new(now: Time, need: &Need<'_>, phase: Phase) -> Copy {
        let Need { step, hard, soft, image, .. } = *need;
        Copy {
            phase,
            again: false,
            starts_until_ms: None,
            trial: false,
            inherited_unproved: false,
            confirmed: false,
            placed: now,
            began: now,
            moved_at: now,
            sampled: (now, 0),
            estimate_ms: if step.best_effort || step.long_running || step.gang {
                0
            } else {
                step.estimate_ms
            },
            percent: 0,
            figure: 0,
            image,
            target_ms: step.target_ms,
            over_since: None,
            taken_figure: 0,
            pace: FULL_PACE,
            pace_told: Some(FULL_PACE),
            slowed_since: None,
            hard,
            soft,
            serves: step.target_ms > 0,
            fills: step.best_effort,
            stop: None,
            moves: step.checkpoints || step.long_running,
            lasts: step.long_running,
            yields: step.long_running && step.max_unavailable.is_none(),
        }
    }

    /// Its image and the processor time that it asks for, in cores, if it fills.
    pub(crate) fn filler(&self) -> (ImageNo, f32) {
        (self.image, self.soft.0 as f32 / 1_000.0)
    }

    /// The processor time that a filling task may use at its pace.
    pub(crate) fn paced_cpu(&self) -> MilliCores {
        MilliCores(self.soft.0 * self.pace / FULL_PACE)
    }
}

/// The pace of a filler that nothing holds back, in percent.
pub(crate) const FULL_PACE: u32 = 100;
