//! Reports why tasks aren't running, in log lines and the state dump.
//!
//! The number of lines per second is limited. There is one for each start and end of a run of a
//! long-running task, one for each step that has waited for long, and one for the tasks that a new
//! leader doesn't start before all workers have answered.

mod budget;
mod held;
mod queued;
mod reason;
mod report;
mod runs;
mod term;

use {
    self::{held::HeldTasks, report::WaitReports, runs::RunLines, term::InheritedHold},
    super::{QueuedStep, Scheduler},
    crate::{StepId, WorkerId},
    egretlb_types::Time,
    smallvec::SmallVec,
    std::{collections::BTreeMap, fmt, time::Duration},
};

pub(super) use self::budget::LineBudget;
pub use self::reason::Reason;
pub(super) use self::runs::{Stop, StopReason};

/// Maximum number of tasks and of workers named per step; keeps a line below 500 bytes.
const MAX_NAMED: usize = 8;

/// Maximum number of workers with free capacity named per step.
const MAX_NAMED_WITH_CAPACITY: usize = 3;

/// A reason and its details.
#[derive(Clone, Debug)]
struct Cause {
    reason: Reason,
    /// The workers it concerns, at most [`MAX_NAMED`].
    workers: SmallVec<[WorkerId; 1]>,
    /// Latest time at which it ends, if known.
    until: Option<Time>,
    /// Workers of the service, if the wait is for capacity.
    service_workers: Option<ServiceWorkers>,
}

/// Counts of the workers of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceWorkers {
    /// All known workers.
    pub all: usize,
    /// Workers that accept tasks: responsive, healthy and not draining.
    pub eligible: usize,
}

impl Cause {
    fn from_reason(reason: Reason) -> Cause {
        Cause { reason, workers: SmallVec::new(), until: None, service_workers: None }
    }
}

/// Tasks of a step that wait for the same reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingStep {
    /// The step.
    pub step: StepId,
    /// Number of its tasks that wait.
    pub tasks: usize,
    /// Indices of some of them.
    pub indices: Vec<u32>,
    /// Whether they are long-running.
    pub long_running: bool,
    /// How long the longest-waiting of them hasn't run, as far as this leader knows.
    pub waited: Duration,
    /// Why they wait; for queued tasks, why the next one isn't running.
    pub reason: Reason,
    /// Some of the workers that the reason concerns.
    pub workers: Vec<WorkerId>,
    /// Maximum remaining duration of the reason, if known.
    pub until: Option<Duration>,
    /// Workers of the service, if the wait is for capacity.
    pub service_workers: Option<ServiceWorkers>,
}

/// State of the log lines on waits.
#[derive(Debug, Default)]
pub(super) struct Waits {
    reports: WaitReports,
    runs: RunLines,
    inherited_hold: InheritedHold,
}

impl Scheduler {
    /// Returns steps with waiting tasks, at most `limit`: queued ones in the order of the queue,
    /// then those whose tasks aren't queued since a run of them isn't settled.
    pub fn waiting_steps(&mut self, now: Time, limit: usize) -> Vec<WaitingStep> {
        let keys: Vec<QueuedStep> = self.queued_steps.iter().take(limit).copied().collect();
        let mut rows: Vec<WaitingStep> =
            keys.into_iter().filter_map(|key| self.queued_row(now, key)).collect();
        let held = self.held_steps(now);
        let remaining = limit.saturating_sub(rows.len());
        rows.extend(
            held.into_iter().take(remaining).map(|(key, held)| self.held_row(now, key, held)),
        );
        rows
    }

    /// Writes the due log lines on waits.
    pub(super) fn log_waits(&mut self, now: Time) {
        self.log_inherited_hold(now);
        self.log_long_waits(now);
        self.waits.runs.log_suppressed(now);
    }

    fn held_row(
        &self,
        now: Time,
        (step, reason): (StepId, Reason),
        held: HeldTasks,
    ) -> WaitingStep {
        let task = crate::TaskId {
            workflow: step.workflow,
            occurrence: step.occurrence,
            step: step.step,
            index: 0,
        };
        WaitingStep {
            step,
            tasks: held.tasks,
            indices: held.indices.to_vec(),
            long_running: self.is_long_running(task),
            waited: now.since(held.since),
            reason,
            workers: held.workers.to_vec(),
            until: held.until.map(|until| until.since(now)),
            service_workers: None,
        }
    }
}

/// Steps with held tasks, by reason.
type HeldSteps = BTreeMap<(StepId, Reason), HeldTasks>;

/// Ids joined by commas, for a log line.
struct Joined<'a, T>(&'a [T]);

impl<T: fmt::Display> fmt::Display for Joined<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, id) in self.0.iter().enumerate() {
            let comma = if place == 0 { "" } else { "," };
            write!(f, "{comma}{id}")?;
        }
        Ok(())
    }
}

/// Milliseconds, for a log line.
fn ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
