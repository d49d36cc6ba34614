//! An attempt to run a task on a worker, and the resources it requires.

use {
    super::{run_times::ObservedProgress, waits::Stop},
    crate::{
        CrashEvidence, Step,
        colocation::{Colocation, ImageNo},
    },
    egretlb_types::{MilliCores, Resources, Time},
    std::time::Duration,
};

/// The state of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The start command was sent.
    Starting,
    /// The start command wasn't answered; the worker may have executed it, or may still do so.
    Unconfirmed {
        /// When the command timed out.
        since: Time,
    },
    /// The task runs.
    Running {
        /// The worker's clock when the run was last confirmed, in milliseconds.
        clock_ms: u64,
    },
    /// A stop command was sent. The resources stay reserved until the worker lists the end.
    Stopping {
        /// When the command was last sent.
        sent: Time,
        /// The worker's clock when it confirmed the stop, in milliseconds.
        confirmed_ms: Option<u64>,
    },
}

/// An attempt to run a task on a worker, from the start command until its end is known.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) phase: Phase,
    /// The task had been started before.
    pub(crate) is_restart: bool,
    /// How long the task was without a run before this one; zero for its first run.
    pub(crate) down_before: Duration,
    /// The worker's clock, in milliseconds, after which the worker rejects the start. None if a previous leader
    /// started it.
    pub(crate) start_deadline_ms: Option<u64>,
    /// An isolated start: nothing else is started on the worker while this attempt is in its crash window.
    pub(crate) isolated: bool,
    /// How likely it is the cause if its worker has crashed, by the record of the previous leader that started it; none if
    /// that leader didn't record it as in its crash window.
    pub(crate) inherited_evidence: Option<CrashEvidence>,
    /// The worker has answered the start or listed the run.
    pub(crate) confirmed: bool,
    /// The worker has listed the run under this leader.
    pub(crate) listed: bool,
    /// When it was started, or first listed by the worker.
    pub(crate) placed_at: Time,
    /// When it started running, as far as known.
    pub(crate) running_since: Time,
    /// When its progress last changed.
    pub(crate) progressed_at: Time,
    /// Time and progress, in percent, at the last speed sample.
    pub(crate) speed_sample: (Time, u32),
    /// Progress as measured for [`super::run_times`].
    pub(super) progress: ObservedProgress,
    /// Estimated run time in milliseconds; 0 if unknown, as for best-effort tasks.
    pub(crate) estimate_ms: u32,
    pub(crate) percent: u32,
    /// Last reported value: tail latency in milliseconds of a latency-critical task, otherwise CPU use in millicores.
    pub(crate) measurement: u32,
    pub(crate) image: ImageNo,
    pub(crate) target_ms: u32,
    /// Since when a latency-critical task exceeds its target.
    pub(crate) over_target_since: Option<Time>,
    /// The last value of `measurement` used by the interference model.
    pub(crate) last_modelled_measurement: u32,
    /// Share of its CPU that a best-effort task may use, in percent; 0 pauses it.
    pub(crate) pace: u32,
    /// The pace last sent to the worker; none if unknown.
    pub(crate) pace_sent: Option<u32>,
    /// Since when the pace is too low to keep the task on this worker.
    pub(crate) throttled_since: Option<Time>,
    /// Best-effort, and paused until its worker's latency-critical tasks have recovered: too many tasks of its step were
    /// unavailable for it to be evicted.
    pub(crate) paused_over_target: bool,
    /// Resources counted against the worker's capacity.
    pub(crate) reserved: Resources,
    /// CPU of a best-effort task, counted only against that of other best-effort tasks.
    pub(crate) best_effort_cpu: MilliCores,
    pub(crate) latency_critical: bool,
    pub(crate) best_effort: bool,
    /// The stop that was requested, if any.
    pub(crate) stop: Option<Stop>,
    /// Can continue on another worker without loss: it saves checkpoints or is long-running.
    pub(crate) movable: bool,
    /// Runs until its workflow is cancelled.
    pub(crate) long_running: bool,
    /// Long-running, and the step has no bound on interrupted tasks.
    pub(crate) preemptible: bool,
}

/// What a task requires of a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requirements<'a> {
    pub(crate) step: &'a Step,
    /// Resources counted against the worker's capacity.
    pub(crate) reserved: Resources,
    /// CPU of a best-effort task, counted only against that of other best-effort tasks.
    pub(crate) best_effort_cpu: MilliCores,
    pub(crate) image: ImageNo,
    /// The only rack that qualifies; any if none.
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

    /// Image, and CPU demand in cores; zero unless best-effort.
    pub(crate) fn best_effort_demand(&self) -> (ImageNo, f32) {
        (self.image, self.best_effort_cpu.0 as f32 / 1_000.0)
    }
}

impl Attempt {
    pub(crate) fn new(now: Time, requirements: &Requirements<'_>, phase: Phase) -> Attempt {
        let Requirements { step, reserved, best_effort_cpu, image, .. } = *requirements;
        Attempt {
            phase,
            is_restart: false,
            down_before: Duration::ZERO,
            start_deadline_ms: None,
            isolated: false,
            inherited_evidence: None,
            confirmed: false,
            listed: false,
            placed_at: now,
            running_since: now,
            progressed_at: now,
            speed_sample: (now, 0),
            progress: ObservedProgress::default(),
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
            last_modelled_measurement: 0,
            pace: FULL_PACE_PERCENT,
            pace_sent: Some(FULL_PACE_PERCENT),
            throttled_since: None,
            paused_over_target: false,
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

    /// Image, and CPU demand in cores; zero unless best-effort.
    pub(crate) fn best_effort_demand(&self) -> (ImageNo, f32) {
        (self.image, self.best_effort_cpu.0 as f32 / 1_000.0)
    }

    /// CPU that a best-effort task may use at its pace.
    pub(crate) fn paced_cpu(&self) -> MilliCores {
        MilliCores(self.best_effort_cpu.0 * self.pace / FULL_PACE_PERCENT)
    }
}

/// The pace of an unthrottled best-effort task, in percent.
pub(crate) const FULL_PACE_PERCENT: u32 = 100;
