//! The order in which a placement pass serves the queue.

use {
    super::{QueuedStep, Scheduler},
    crate::overload::{Feasibility, Position, QUEUE_ORDER, WaitingStep, remaining_paths},
    egretlb_types::Time,
    std::time::Duration,
};

/// Interval at which the positions of all waiting steps are computed anew; passes are far more frequent.
const REORDER_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the oldest workflow that is too late to be of use starts a task, which prevents starvation.
const HOPELESS_TURN_INTERVAL: Duration = Duration::from_secs(1);

/// How long all workflows must be in time until the queue counts as caught up.
const CALM_AFTER: Duration = Duration::from_secs(10);

/// A step that a placement pass tries to place.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedStep {
    pub(super) key: QueuedStep,
    /// What its workflow can still reach; none unless the queue is ordered by that.
    pub(super) feasibility: Option<Feasibility>,
    /// Starts at most one task, as for the oldest workflow that is too late to be of use.
    pub(super) one_only: bool,
}

impl PlannedStep {
    fn new(key: QueuedStep) -> PlannedStep {
        PlannedStep { key, feasibility: None, one_only: false }
    }
}

/// Deadline of a hopeless workflow and its step; the lowest is the oldest.
type HopelessKey = (u64, QueuedStep);

/// A step with its position in the queue.
#[derive(Clone, Copy, Debug)]
struct Positioned {
    position: Position,
    feasibility: Feasibility,
    key: QueuedStep,
}

impl Positioned {
    fn sort_key(&self) -> (Position, QueuedStep) {
        (self.position, self.key)
    }
}

/// The queue by feasibility; empty unless that policy is in force.
#[derive(Debug, Default)]
pub(super) struct FeasibilityQueue {
    computed_at: Option<Time>,
    /// In the order of their positions. May include steps that no longer wait.
    sorted: Vec<Positioned>,
    /// Steps queued since the last pass.
    added: Vec<QueuedStep>,
    /// The hopeless step whose turn it is, and since when.
    turn: Option<(HopelessKey, Time)>,
    /// When a hopeless workflow last used its turn.
    turn_used_at: Option<Time>,
    /// Since when, and until when, some workflow was late.
    behind: Option<(Time, Time)>,
}

/// Starts by what the workflow could still reach, while the queue is ordered by that.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StartsByFeasibility {
    /// It could end in time.
    pub in_time: u64,
    /// It could only end late.
    pub late: u64,
    /// It could only end so late that it is of no use.
    pub hopeless: u64,
}

impl Scheduler {
    /// Adds a step to the queue.
    pub(super) fn queue_step(&mut self, key: QueuedStep) {
        if self.queued_steps.insert(key) && self.orders_by_feasibility() {
            self.feasibility_queue.added.push(key);
        }
    }

    pub(super) fn orders_by_feasibility(&self) -> bool {
        self.limits.policies.feasibility_order
    }

    /// The queued steps in the order in which they are placed. Long-running tasks that were at work and have waited for too
    /// long come first: batch tasks may use up the starts and the freed capacity for as long as they keep arriving. Of these
    /// the one that has waited longest comes first, since little capacity may be freed at a time.
    pub(super) fn placement_order(&mut self, now: Time) -> Vec<PlannedStep> {
        let (mut overdue, mut others) = (Vec::new(), Vec::new());
        if self.orders_by_feasibility() {
            self.update_positions(now);
            let turn = self.hopeless_turn(now);
            others.extend(turn);
            for Positioned { feasibility, key, .. } in &self.feasibility_queue.sorted {
                let planned =
                    PlannedStep { feasibility: Some(*feasibility), ..PlannedStep::new(*key) };
                match self.overdue_since(now, *key) {
                    Some(since) => overdue.push((since, *key)),
                    None => others.push(planned),
                }
            }
        } else {
            for key in &self.queued_steps {
                match self.overdue_since(now, *key) {
                    Some(since) => overdue.push((since, *key)),
                    None => others.push(PlannedStep::new(*key)),
                }
            }
        }
        overdue.sort_unstable();
        let keys: Vec<QueuedStep> = overdue.into_iter().map(|(_, key)| key).collect();
        self.collect_overdue_demands(&keys);
        for key in &keys {
            self.sort_queue_by_downtime(*key);
        }
        keys.into_iter().map(PlannedStep::new).chain(others).collect()
    }

    /// Computes the positions of all waiting steps if that is due, else only of those queued since.
    fn update_positions(&mut self, now: Time) {
        let queue = &self.feasibility_queue;
        let is_due = queue.computed_at.is_none_or(|at| now.since(at) >= REORDER_INTERVAL);
        if !is_due {
            let mut added = std::mem::take(&mut self.feasibility_queue.added);
            added.retain(|key| self.queued_steps.contains(key));
            for step in self.positions(added.iter()) {
                let sorted = &mut self.feasibility_queue.sorted;
                let at = sorted.partition_point(|other| other.sort_key() < step.sort_key());
                sorted.insert(at, step);
            }
            return;
        }
        let mut sorted = self.positions(self.queued_steps.iter());
        sorted.sort_unstable_by_key(Positioned::sort_key);
        let queue = &mut self.feasibility_queue;
        queue.computed_at = Some(now);
        queue.added.clear();
        queue.sorted = sorted;
        self.note_behind(now);
    }

    fn positions<'a>(&self, keys: impl Iterator<Item = &'a QueuedStep>) -> Vec<Positioned> {
        let mut positioned = Vec::new();
        // Steps of a workflow are mostly adjacent.
        let mut paths = (None, Vec::new());
        for key in keys {
            let Some(active) = self.workflows.get(&key.workflow) else { continue };
            let submission = &active.submission;
            if paths.0 != Some(key.workflow) {
                let run_time_ms = |step| self.expected_run_time(step).as_millis() as u64;
                let steps = &submission.workflow.steps;
                let steps = steps.iter().map(|step| (run_time_ms(step), step.after.as_slice()));
                paths = (Some(key.workflow), remaining_paths(steps));
            }
            // Repetitions are due one after the other.
            let begin_ms = submission.accepted_ms.max(active.due_at(key.occurrence));
            let target_ms = active.due_ms.saturating_sub(submission.accepted_ms);
            let step = WaitingStep {
                priority: key.priority,
                long_running: key.long_running,
                begin_ms,
                due_ms: begin_ms.saturating_add(target_ms),
                remaining_ms: paths.1.get(usize::from(key.step)).copied().unwrap_or(0),
            };
            let (feasibility, position) = step.position(QUEUE_ORDER, self.wall_ms);
            positioned.push(Positioned { position, feasibility, key: *key });
        }
        positioned
    }

    /// The oldest hopeless step, if a turn is due. One that didn't use its turn, such as for want of a worker with its label,
    /// passes it on to the next.
    fn hopeless_turn(&mut self, now: Time) -> Option<PlannedStep> {
        let queue = &self.feasibility_queue;
        let is_recent = |at: Time| now.since(at) < HOPELESS_TURN_INTERVAL;
        if queue.turn_used_at.is_some_and(is_recent) {
            return None;
        }
        let waits = |(_, key): &HopelessKey| self.queued_steps.contains(key);
        let current = queue.turn.filter(|(step, since)| is_recent(*since) && waits(step));
        let (step, since) = current.or_else(|| {
            let hopeless = |step: &&Positioned| step.feasibility == Feasibility::Hopeless;
            let sorted = queue.sorted.iter().filter(hopeless);
            let steps = sorted.map(|step| (step.key.due_ms, step.key)).filter(waits);
            let after = |step: &HopelessKey| queue.turn.is_some_and(|(last, _)| *step > last);
            let next = steps.clone().filter(after).min().or_else(|| steps.min());
            next.map(|step| (step, now))
        })?;
        self.feasibility_queue.turn = Some((step, since));
        let feasibility = Some(Feasibility::Hopeless);
        Some(PlannedStep { key: step.1, feasibility, one_only: true })
    }

    /// Counts the starts of a step in a placement pass.
    pub(super) fn note_starts(&mut self, now: Time, planned: &PlannedStep, starts: usize) {
        if starts == 0 {
            return;
        }
        if planned.one_only {
            self.feasibility_queue.turn_used_at = Some(now);
            self.feasibility_queue.turn = None;
        }
        let counts = &mut self.stats.starts_by_feasibility;
        match planned.feasibility {
            Some(Feasibility::InTime) => counts.in_time += starts as u64,
            Some(Feasibility::Late) => counts.late += starts as u64,
            Some(Feasibility::Hopeless) => counts.hopeless += starts as u64,
            None => {}
        }
    }

    /// Logs when workflows begin to be late, and when they no longer are.
    fn note_behind(&mut self, now: Time) {
        let queue = &mut self.feasibility_queue;
        let count = |feasibility: Feasibility| {
            queue.sorted.iter().filter(|step| step.feasibility == feasibility).count()
        };
        let (late, hopeless) = (count(Feasibility::Late), count(Feasibility::Hopeless));
        let is_behind = late + hopeless > 0;
        match queue.behind {
            None if is_behind => {
                log::info!(late, hopeless, waiting = queue.sorted.len(); "queue_behind");
                queue.behind = Some((now, now));
            }
            Some((since, _)) if is_behind => queue.behind = Some((since, now)),
            Some((since, last)) if now.since(last) >= CALM_AFTER => {
                let lasted_ms = last.since(since).as_millis() as u64;
                log::info!(lasted_ms; "queue_caught_up");
                queue.behind = None;
            }
            _ => {}
        }
    }
}
