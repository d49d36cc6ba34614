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
    Unconfirmed {
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
pub(crate) struct Attempt {
    pub(crate) phase: Phase,
    /// Its task had been started before.
    pub(crate) is_restart: bool,
    /// The end of the lease that it was started with, on the worker's clock in milliseconds: a start that arrives
    /// later is rejected. None if this leader didn't start it.
    pub(crate) start_deadline_ms: Option<u64>,
    /// Nothing is started beside it until it has been at work for a moment.
    pub(crate) isolated: bool,
    /// A predecessor started it and didn't see it at work.
    pub(crate) inherited_in_probation: bool,
    /// The worker has answered its start or listed it.
    pub(crate) confirmed: bool,
    /// When it was started, or found.
    pub(crate) placed_at: Time,
    /// When it began to run, as far as is known.
    pub(crate) running_since: Time,
    /// When it was last seen to get on.
    pub(crate) progressed_at: Time,
    /// When its speed was last measured, and how far it was then.
    pub(crate) speed_sample: (Time, u32),
    /// How long it should take, in milliseconds; 0 if nobody can say, as for fillers.
    pub(crate) estimate_ms: u32,
    pub(crate) percent: u32,
    /// The last figure: a serving task's tail in milliseconds, another one's use of the processor.
    pub(crate) measurement: u32,
    pub(crate) image: ImageNo,
    pub(crate) target_ms: u32,
    /// Since when a serving task is over its target.
    pub(crate) over_target_since: Option<Time>,
    /// The last figure that was learned from.
    pub(crate) learned_measurement: u32,
    /// The share at which a filler may work and disturb, in percent.
    pub(crate) pace: u32,
    /// The pace that the worker was last told; none if that isn't known.
    pub(crate) pace_sent: Option<u32>,
    /// Since when its pace is too low to be worth its stay.
    pub(crate) throttled_since: Option<Time>,
    /// Counted against the worker.
    pub(crate) reserved: Resources,
    /// Processor time that a filling task would use, counted against other fillers only.
    pub(crate) best_effort_cpu: MilliCores,
    pub(crate) latency_critical: bool,
    pub(crate) best_effort: bool,
    /// The stop that was ordered, if one was.
    pub(crate) stop: Option<Stop>,
    /// It can go on elsewhere without loss: it saves its progress, or lasts.
    pub(crate) movable: bool,
    /// It runs until its workflow is cancelled.
    pub(crate) long_running: bool,
    /// It lasts, and any number of its step's tasks may be away.
    pub(crate) preemptible: bool,
}

/// What a task of a step needs of a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requirements<'a> {
    pub(crate) step: &'a Step,
    /// Counted against the worker.
    pub(crate) reserved: Resources,
    /// Processor time of a filling task, counted against other fillers only.
    pub(crate) best_effort_cpu: MilliCores,
    pub(crate) image: ImageNo,
    /// Only workers of this rack will do.
    pub(crate) rack: Option<&'a str>,
}

impl<'a> Requirements<'a> {
    pub(crate) fn new(step: &'a Step, colocation: &mut Colocation) -> Requirements<'a> {
        let mut reserved = step.resources;
        let mut best_effort_cpu = MilliCores(0);
        if step.best_effort {
            best_effort_cpu = std::mem::take(&mut reserved.cpu);
        }
        Requirements {
            step,
            reserved,
            best_effort_cpu,
            image: colocation.image(&step.image),
            rack: None,
        }
    }

    /// Its image and the processor time that it asks for, in cores, if it fills.
    pub(crate) fn best_effort_demand(&self) -> (ImageNo, f32) {
        (self.image, self.best_effort_cpu.0 as f32 / 1_000.0)
    }
}

impl Attempt {
    pub(crate) fn new(now: Time, need: &Requirements<'_>, phase: Phase) -> Attempt {
        let Requirements { step, reserved, best_effort_cpu, image, .. } = *need;
        Attempt {
            phase,
            is_restart: false,
            start_deadline_ms: None,
            isolated: false,
            inherited_in_probation: false,
            confirmed: false,
            placed_at: now,
            running_since: now,
            progressed_at: now,
            speed_sample: (now, 0),
            estimate_ms: if step.best_effort || step.long_running || step.gang {
                0
            } else {
                step.estimate_ms
            },
            percent: 0,
            measurement: 0,
            image,
            target_ms: step.target_ms,
            over_target_since: None,
            learned_measurement: 0,
            pace: FULL_PACE_PERCENT,
            pace_sent: Some(FULL_PACE_PERCENT),
            throttled_since: None,
            reserved,
            best_effort_cpu,
            latency_critical: step.target_ms > 0,
            best_effort: step.best_effort,
            stop: None,
            movable: step.checkpoints || step.long_running,
            long_running: step.long_running,
            preemptible: step.long_running && step.max_unavailable.is_none(),
        }
    }

    /// Its image and the processor time that it asks for, in cores, if it fills.
    pub(crate) fn best_effort_demand(&self) -> (ImageNo, f32) {
        (self.image, self.best_effort_cpu.0 as f32 / 1_000.0)
    }

    /// The processor time that a filling task may use at its pace.
    pub(crate) fn paced_cpu(&self) -> MilliCores {
        MilliCores(self.best_effort_cpu.0 * self.pace / FULL_PACE_PERCENT)
    }
}

/// The pace of a filler that nothing holds back, in percent.
pub(crate) const FULL_PACE_PERCENT: u32 = 100;
