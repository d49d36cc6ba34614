//! Findings on tasks that weren't running.

use {compact_str::CompactString, serde::Serialize, std::fmt};

/// A new leader held back what it inherited, for workers that might still run it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HeldWork {
    /// The leader.
    pub node: CompactString,
    /// When its term began.
    pub since: CompactString,
    /// When it held nothing back any more, if a line says so.
    pub until: Option<CompactString>,
    /// When that is at the latest.
    pub at_most: CompactString,
    /// How long, in milliseconds, if a line says so.
    pub held_ms: Option<u64>,
    /// When another became leader, if it still held something back then.
    pub deposed: Option<CompactString>,
    /// Workers that didn't answer, or some of them.
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

/// A leader gave no orders, since it couldn't know whether it still led.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Suspension {
    /// The leader.
    pub node: CompactString,
    /// Since when.
    pub since: CompactString,
    /// When it gave orders again, or another became leader; none if no line says so.
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

/// Tasks of a step waited.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StepWait {
    /// The step, as `OCCURRENCE.STEP`.
    pub step: CompactString,
    /// Since when the first of them wasn't running.
    pub since: CompactString,
    /// For how long by the last line that says so, in milliseconds.
    pub waited_ms: u64,
    /// How many tasks at most.
    pub tasks: u64,
    /// Some of them, by index.
    pub indices: CompactString,
    /// What for.
    pub reason: CompactString,
    /// Some of the workers that the reason is about; empty if it is about none.
    pub workers: CompactString,
    /// How many workers its service had, if a line says so.
    pub service_workers: Option<u64>,
    /// How many of them took work.
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

/// A lasting task didn't run for a while.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TaskGap {
    /// The task, as `OCCURRENCE.STEP.INDEX`.
    pub task: CompactString,
    /// Since when.
    pub since: CompactString,
    /// For how long, in milliseconds.
    pub down_ms: u64,
    /// How the run before had ended, and where.
    pub how: CompactString,
    /// Where it was started again.
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

/// A lasting task was started again, and no line tells the end of its run before.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TaskRestart {
    /// The task, as `OCCURRENCE.STEP.INDEX`.
    pub task: CompactString,
    /// When.
    pub at: CompactString,
    /// Where.
    pub worker: CompactString,
    /// Where it ran before.
    pub before: CompactString,
    /// How long the leader had known that it didn't run, in milliseconds.
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

/// A lasting task wasn't started again.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TaskDown {
    /// The task, as `OCCURRENCE.STEP.INDEX`.
    pub task: CompactString,
    /// Since when.
    pub since: CompactString,
    /// How its last run ended, and where.
    pub how: CompactString,
}

impl fmt::Display for TaskDown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskDown { task, since, how } = self;
        write!(f, "task {task} hasn't run since {since}, when it was {how}")
    }
}
