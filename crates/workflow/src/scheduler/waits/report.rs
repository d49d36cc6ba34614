//! Log lines on steps whose tasks have waited for long.

use {
    super::{
        super::{QueuedStep, Scheduler},
        Joined, Reason, ServiceWorkers, WaitingStep, ms,
    },
    crate::StepId,
    egretlb_types::Time,
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Interval between scans of all waiting tasks and all attempts for long waits. A scan took up to 1.1 ms with 350 workers
/// and 2,800 long-running tasks.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum wait that is logged; normal restarts take less (a stop 0.4 s, a change of leader 1.6 s).
const MIN_LOGGED_WAIT: Duration = Duration::from_secs(2);

/// Interval after which a wait is logged again; its reason may have changed.
const REPEAT_INTERVAL: Duration = Duration::from_secs(4);

/// Maximum number of lines per scan: 3 KB a second at 300 bytes a line.
const MAX_LINES_PER_SCAN: usize = 10;

/// Minimum interval between lines that report how many waits were not logged.
const SKIPPED_INTERVAL: Duration = Duration::from_secs(5);

/// The waiting tasks of a step: its queued ones (`None`), or those held for a reason.
type Group = (StepId, Option<Reason>);

/// Which waits were logged, and when.
#[derive(Debug, Default)]
pub(super) struct WaitReports {
    scanned_at: Time,
    logged: BTreeMap<StepId, LoggedWaits>,
    skipped_logged_at: Time,
}

/// The logged waits of a step whose tasks still wait.
#[derive(Debug)]
struct LoggedWaits {
    since: Time,
    /// When each of its groups was last logged.
    groups: SmallVec<[(Option<Reason>, Time); 2]>,
}

/// A group of waiting tasks whose log line is due.
struct DueLine {
    group: Group,
    /// Its key in the queue; `None` if its tasks are held.
    key: Option<QueuedStep>,
    logged_at: Option<Time>,
    long_running: bool,
    since: Time,
}

impl WaitReports {
    fn logged_at(&self, (step, reason): Group) -> Option<Time> {
        let groups = &self.logged.get(&step)?.groups;
        groups.iter().find(|(logged_reason, _)| *logged_reason == reason).map(|(_, at)| *at)
    }

    fn is_due(&self, now: Time, group: Group, since: Time) -> bool {
        let not_recent = self.logged_at(group).is_none_or(|at| now.since(at) >= REPEAT_INTERVAL);
        not_recent && now.since(since) >= MIN_LOGGED_WAIT
    }

    /// Logs how many waiting steps got no line in this scan; their lines come in a later one.
    fn log_skipped(&mut self, now: Time, steps: usize) {
        if steps > 0 && now.since(self.skipped_logged_at) >= SKIPPED_INTERVAL {
            self.skipped_logged_at = now;
            log::info!(steps; "waits_untold");
        }
    }

    fn note(&mut self, now: Time, (step, reason): Group, since: Time) {
        let logged = self.logged.entry(step);
        let logged = logged.or_insert_with(|| LoggedWaits { since, groups: SmallVec::new() });
        logged.since = logged.since.min(since);
        match logged.groups.iter_mut().find(|(logged_reason, _)| *logged_reason == reason) {
            Some((_, at)) => *at = now,
            None => logged.groups.push((reason, now)),
        }
    }

    /// Logs the end of each wait that was logged.
    fn log_ended_waits(&mut self, now: Time, waiting: &BTreeSet<StepId>) {
        let ended: Vec<StepId> =
            self.logged.keys().filter(|step| !waiting.contains(step)).copied().collect();
        for step in ended {
            let Some(logged) = self.logged.remove(&step) else { continue };
            log::info!(step:%, waited_ms = ms(now.since(logged.since)); "tasks_wait_over");
        }
    }
}

impl Scheduler {
    pub(super) fn log_long_waits(&mut self, now: Time) {
        if now.since(self.waits.reports.scanned_at) < SCAN_INTERVAL {
            return;
        }
        self.waits.reports.scanned_at = now;
        let held = self.held_steps(now);
        let mut waiting: BTreeSet<StepId> = held.keys().map(|(step, _)| *step).collect();
        let mut due: Vec<DueLine> = Vec::new();
        for key in &self.queued_steps {
            let step = key.step_id();
            waiting.insert(step);
            let since = now - self.step_wait(now, *key);
            let (group, long_running) = ((step, None), key.long_running);
            if self.waits.reports.is_due(now, group, since) {
                let logged_at = self.waits.reports.logged_at(group);
                due.push(DueLine { group, key: Some(*key), logged_at, long_running, since });
            }
        }
        for ((step, reason), held) in &held {
            let group = (*step, Some(*reason));
            if self.waits.reports.is_due(now, group, held.since) {
                let logged_at = self.waits.reports.logged_at(group);
                due.push(DueLine {
                    group,
                    key: None,
                    logged_at,
                    long_running: true,
                    since: held.since,
                });
            }
        }
        self.waits.reports.log_ended_waits(now, &waiting);
        // The least recently logged come first, so that each gets its turn.
        due.sort_by_key(|due| (due.logged_at, !due.long_running, due.since));
        let mut written = 0;
        let mut skipped: BTreeSet<StepId> = BTreeSet::new();
        for DueLine { group, key, .. } in due {
            if written == MAX_LINES_PER_SCAN {
                skipped.insert(group.0);
                continue;
            }
            let row = match (key, group) {
                (Some(key), _) => self.long_queued_row(now, key),
                (None, (step, reason)) => reason.and_then(|reason| {
                    let held = held.get(&(step, reason))?.clone();
                    Some(self.held_row(now, (step, reason), held))
                }),
            };
            let Some(row) = row else { continue };
            written += 1;
            self.waits.reports.note(now, group, now - row.waited);
            log_row(&row);
        }
        self.waits.reports.log_skipped(now, skipped.len());
    }

    /// Returns `None` if no queued task has waited for long: the queue as a whole may be older than
    /// its tasks.
    fn long_queued_row(&mut self, now: Time, key: QueuedStep) -> Option<WaitingStep> {
        // Checked first, since finding the reason scans all workers.
        let since = self.queued_since(key)?;
        if now.since(since) < MIN_LOGGED_WAIT {
            return None;
        }
        self.queued_row(now, key)
    }
}

fn log_row(row: &WaitingStep) {
    let WaitingStep {
        step, tasks, indices, waited, reason, workers, until, service_workers, ..
    } = row;
    let (indices, workers) = (Joined(indices), Joined(workers));
    let waited_ms = ms(*waited);
    // Keys without a value are omitted to keep the lines short.
    match (until, service_workers) {
        (Some(until), _) => log::info!(
            step:%, tasks, indices:%, waited_ms, reason:%, workers:%, at_most_ms = ms(*until);
            "tasks_waiting"
        ),
        (None, Some(ServiceWorkers { all, eligible })) => log::info!(
            step:%, tasks, indices:%, waited_ms, reason:%, workers:%, service_workers = *all,
            fit_workers = *eligible;
            "tasks_waiting"
        ),
        (None, None) => log::info!(
            step:%, tasks, indices:%, waited_ms, reason:%, workers:%;
            "tasks_waiting"
        ),
    }
}
