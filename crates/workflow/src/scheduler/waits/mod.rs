//! Why tasks aren't running, for log lines and the state dump.
//!
//! A lasting task's user sees it gone for seconds and asks why, long after the leader that knew is
//! another one. Production writes no line for each start and end of all tasks; what is written here is
//! bounded each second, whatever waits: each start and end of a lasting task's run, a line for a step
//! that has waited for long, and a line for work that a new leader holds back.

mod budget;
mod held;
mod queued;
mod reason;
mod report;
mod runs;
mod term;

use {
    self::{held::Held, report::Reports, runs::RunLines, term::TermHold},
    super::{Ready, Scheduler},
    crate::{StepId, WorkerId},
    egretlb_types::Time,
    smallvec::SmallVec,
    std::{collections::BTreeMap, fmt, time::Duration},
};

pub(super) use self::budget::LineBudget;
pub use self::reason::Reason;
pub(super) use self::runs::{Stop, StopReason};

/// The most tasks and workers that are named of a step. Those left out are counted; eight indices and
/// eight workers' ids keep a line below 500 bytes.
const MOST_NAMED: usize = 8;

/// The most workers with room that are named: any of them shows what keeps the task off.
const MOST_PLACES: usize = 3;

/// A reason with what is known of it.
#[derive(Clone, Debug)]
struct Cause {
    reason: Reason,
    /// The workers that it is about, at most [`MOST_NAMED`].
    workers: SmallVec<[WorkerId; 1]>,
    /// When it ends at the latest, where that is known.
    until: Option<Time>,
    /// The workers of its service, where room is what it waits for.
    service_workers: Option<ServiceWorkers>,
}

/// The workers of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceWorkers {
    /// All that are known.
    pub all: usize,
    /// Those that take work: heard lately, well and not about to leave.
    pub eligible: usize,
}

impl Cause {
    fn plain(reason: Reason) -> Cause {
        Cause { reason, workers: SmallVec::new(), until: None, service_workers: None }
    }
}

/// Tasks of a step that wait for the same reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingStep {
    /// The step.
    pub step: StepId,
    /// How many of its tasks wait.
    pub tasks: usize,
    /// Some of them, by index.
    pub indices: Vec<u32>,
    /// Whether they run until their workflow is cancelled.
    pub long_running: bool,
    /// How long the first of them hasn't run, as far as this leader knows.
    pub waited: Duration,
    /// Why; of tasks in a queue, why the next one isn't running.
    pub reason: Reason,
    /// Some of the workers that the reason is about.
    pub workers: Vec<WorkerId>,
    /// How long the reason lasts at most, where that is known.
    pub until: Option<Duration>,
    /// The workers of its service, where room is what it waits for.
    pub service_workers: Option<ServiceWorkers>,
}

/// What was told of waits, and how many lines that took lately.
#[derive(Debug, Default)]
pub(super) struct Waits {
    reports: Reports,
    runs: RunLines,
    term: TermHold,
}

impl Scheduler {
    /// Steps with tasks that wait, at most `limit`: those in the queue, in its order, then those whose
    /// tasks are held by a run.
    pub fn waiting_steps(&mut self, now: Time, limit: usize) -> Vec<WaitingStep> {
        let keys: Vec<Ready> = self.ready.iter().take(limit).copied().collect();
        let mut rows: Vec<WaitingStep> =
            keys.into_iter().filter_map(|key| self.queued_row(now, key)).collect();
        let held = self.held_steps(now);
        let room = limit.saturating_sub(rows.len());
        rows.extend(held.into_iter().take(room).map(|(key, held)| self.held_row(now, key, held)));
        rows
    }

    /// Writes the lines on waits that are due.
    pub(super) fn log_waits(&mut self, now: Time) {
        self.tell_term_hold(now);
        self.tell_long_waits(now);
        self.waits.runs.log_suppressed(now);
    }

    fn held_row(&self, now: Time, (step, reason): (StepId, Reason), held: Held) -> WaitingStep {
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
type HeldSteps = BTreeMap<(StepId, Reason), Held>;

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
