//! Findings about tasks that weren't running.

use {compact_str::CompactString, serde::Serialize, std::fmt};

/// A new leader delayed inherited tasks because unresponsive workers might still run them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HeldWork {
    /// The leader.
    pub node: CompactString,
    /// When its term began.
    pub since: CompactString,
    /// When the delay ended, if logged.
    pub until: Option<CompactString>,
    /// Latest end of the delay.
    pub at_most: CompactString,
    /// Length of the delay in milliseconds, if logged.
    pub held_ms: Option<u64>,
    /// When another leader was elected, if any.
    pub deposed: Option<CompactString>,
    /// Unresponsive workers; may be incomplete.
    pub workers: Vec<CompactString>,
}

impl fmt::Display for HeldWork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let HeldWork { node, since, until, at_most, held_ms, deposed, workers } = self;
        let workers = workers.join(" ");
        match (until, held_ms, deposed) {
            (Some(until), Some(ms), _) => write!(
                f,
                "the new leader {node} held inherited work until {until}, for {ms} ms, since workers \
                 didn't answer: {workers}"
            ),
            (_, _, Some(deposed)) => write!(
                f,
                "the new leader {node} held inherited work since {since}, until another became leader at \
                 {deposed}, for workers that hadn't answered: {workers}"
            ),
            _ => write!(
                f,
                "the new leader {node} has held inherited work since {since}, at most until {at_most}, \
                 for workers that haven't answered: {workers}"
            ),
        }
    }
}

/// A leader sent no commands, since it couldn't confirm that it still led.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Suspension {
    /// The leader.
    pub node: CompactString,
    /// When it stopped.
    pub since: CompactString,
    /// When it resumed or another leader was elected; none if neither is logged.
    pub until: Option<CompactString>,
}

impl fmt::Display for Suspension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Suspension { node, since, until } = self;
        write!(f, "the leader {node} gave no orders from {since} ")?;
        match until {
            Some(until) => write!(f, "until {until}")?,
            None => f.write_str("on")?,
        }
        f.write_str(": the store took no sign of life from it")
    }
}

/// Tasks of a step waited to be started.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StepWait {
    /// The step, as `OCCURRENCE.STEP`.
    pub step: CompactString,
    /// When the first of them began to wait.
    pub since: CompactString,
    /// Minimum length of the wait, in milliseconds.
    pub waited_ms: u64,
    /// Maximum number of waiting tasks.
    pub tasks: u64,
    /// Indices of some of them, separated by commas.
    pub indices: CompactString,
    /// Why they waited.
    pub reason: CompactString,
    /// Some of the workers concerned; empty for none.
    pub workers: CompactString,
    /// Number of workers of the service, if logged.
    pub service_workers: Option<u64>,
    /// Number of these workers that accept tasks, if logged.
    pub fit_workers: Option<u64>,
}

impl fmt::Display for StepWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StepWait { step, since, waited_ms, tasks, indices, reason, workers, .. } = self;
        write!(
            f,
            "step {step} waited since {since}, for {waited_ms} ms at least, {tasks} of its tasks \
             ({indices}): {reason}"
        )?;
        if !workers.is_empty() {
            write!(f, " ({workers})")?;
        }
        match (self.fit_workers, self.service_workers) {
            (Some(fit), Some(all)) => {
                write!(f, "; {fit} of its service's {all} workers take work")
            }
            _ => Ok(()),
        }
    }
}

/// A long-running task didn't run for a while.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TaskGap {
    /// The task, as `OCCURRENCE.STEP.INDEX`.
    pub task: CompactString,
    /// When its run ended.
    pub since: CompactString,
    /// Length of the gap, in milliseconds.
    pub down_ms: u64,
    /// How and on which worker the previous run ended.
    pub how: CompactString,
    /// The worker of the next run.
    pub worker: CompactString,
}

impl fmt::Display for TaskGap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskGap { task, since, down_ms, how, worker } = self;
        write!(
            f,
            "task {task} didn't run for {down_ms} ms, from {since} ({how}) until it was started at {worker}"
        )
    }
}

/// A long-running task was restarted, and the end of its previous run isn't logged.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TaskRestart {
    /// The task, as `OCCURRENCE.STEP.INDEX`.
    pub task: CompactString,
    /// When it was restarted.
    pub at: CompactString,
    /// The worker of the new run.
    pub worker: CompactString,
    /// The worker of the previous run.
    pub before: CompactString,
    /// Time from the detection of the gap to the restart, in milliseconds.
    pub waited_ms: u64,
}

impl fmt::Display for TaskRestart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskRestart { task, at, worker, before, waited_ms } = self;
        write!(
            f,
            "task {task} was started again at {at} at {worker}, {waited_ms} ms after it was found missing; \
             no line tells the end of its run at {before}"
        )
    }
}

/// A long-running task ended and wasn't restarted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TaskDown {
    /// The task, as `OCCURRENCE.STEP.INDEX`.
    pub task: CompactString,
    /// When its last run ended.
    pub since: CompactString,
    /// How and on which worker its last run ended.
    pub how: CompactString,
}

impl fmt::Display for TaskDown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskDown { task, since, how } = self;
        write!(f, "task {task} hasn't run since {since}, when it was {how}")
    }
}
