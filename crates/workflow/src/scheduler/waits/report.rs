//! Lines on steps whose tasks have waited for long.

use {
    super::{
        super::{Ready, Scheduler},
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

/// How often it is looked for long waits: one pass over what waits and what may run. It took 0.2 to 1.1 ms with
/// 350 workers, 2,800 lasting tasks and 100 steps that wait for room (release build, one core).
const CHECK_EVERY: Duration = Duration::from_secs(1);

/// A wait is told once it has lasted so long: below it are restarts that go well (a stop takes 0.4 s, a
/// change of the leader 1.6 s).
const LONG_WAIT: Duration = Duration::from_secs(2);

/// A wait is told again after this; its reason may have changed.
const TELL_AGAIN: Duration = Duration::from_secs(4);

/// The most steps of which a line is written in one pass: 3 KB a second at 300 bytes a line.
const LINES_PER_PASS: usize = 10;

/// How often it is told how many waits there are without a line.
const UNTOLD_EVERY: Duration = Duration::from_secs(5);

/// The waiting tasks of a step: those in its queue, or those that are held for a reason.
type Group = (StepId, Option<Reason>);

#[derive(Debug, Default)]
pub(super) struct Reports {
    checked_at: Time,
    told: BTreeMap<StepId, Told>,
    untold_at: Time,
}

/// What was told of a step whose tasks still wait.
#[derive(Debug)]
struct Told {
    since: Time,
    /// When each of its groups was last told.
    groups: SmallVec<[(Option<Reason>, Time); 2]>,
}

/// A group of which a line is due.
struct Due {
    group: Group,
    /// Its place in the queue; none if its tasks are held.
    key: Option<Ready>,
    told_at: Option<Time>,
    lasting: bool,
    since: Time,
}

impl Reports {
    fn told_at(&self, (step, reason): Group) -> Option<Time> {
        let groups = &self.told.get(&step)?.groups;
        groups.iter().find(|(known, _)| *known == reason).map(|(_, at)| *at)
    }

    fn is_due(&self, now: Time, group: Group, since: Time) -> bool {
        let again = self.told_at(group).is_none_or(|at| now.since(at) >= TELL_AGAIN);
        again && now.since(since) >= LONG_WAIT
    }

    /// Tells how many steps wait without a line for now. Their lines are put off, not lost: those told least
    /// lately come first.
    fn tell_untold(&mut self, now: Time, steps: usize) {
        if steps > 0 && now.since(self.untold_at) >= UNTOLD_EVERY {
            self.untold_at = now;
            log::info!(steps; "waits_untold");
        }
    }

    fn note(&mut self, now: Time, (step, reason): Group, since: Time) {
        let told = self.told.entry(step);
        let told = told.or_insert_with(|| Told { since, groups: SmallVec::new() });
        told.since = told.since.min(since);
        match told.groups.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, at)) => *at = now,
            None => told.groups.push((reason, now)),
        }
    }

    /// Tells of steps that were told and wait no more: a line for each, as there was one at least on its wait.
    fn tell_over(&mut self, now: Time, waiting: &BTreeSet<StepId>) {
        let over: Vec<StepId> =
            self.told.keys().filter(|step| !waiting.contains(step)).copied().collect();
        for step in over {
            let Some(told) = self.told.remove(&step) else { continue };
            log::info!(step:%, waited_ms = ms(now.since(told.since)); "tasks_wait_over");
        }
    }
}

impl Scheduler {
    pub(super) fn tell_long_waits(&mut self, now: Time) {
        if now.since(self.waits.reports.checked_at) < CHECK_EVERY {
            return;
        }
        self.waits.reports.checked_at = now;
        let held = self.held_steps(now);
        let mut waiting: BTreeSet<StepId> = held.keys().map(|(step, _)| *step).collect();
        let mut due: Vec<Due> = Vec::new();
        for ready in &self.ready {
            let step = ready.step_id();
            waiting.insert(step);
            let since = now - self.step_wait(now, *ready);
            let (group, lasting) = ((step, None), ready.long_running);
            if self.waits.reports.is_due(now, group, since) {
                let told_at = self.waits.reports.told_at(group);
                due.push(Due { group, key: Some(*ready), told_at, lasting, since });
            }
        }
        for ((step, reason), held) in &held {
            let group = (*step, Some(*reason));
            if self.waits.reports.is_due(now, group, held.since) {
                let told_at = self.waits.reports.told_at(group);
                due.push(Due { group, key: None, told_at, lasting: true, since: held.since });
            }
        }
        self.waits.reports.tell_over(now, &waiting);
        // Those that were told least lately come first, so that each comes in turn in a flood.
        due.sort_by_key(|due| (due.told_at, !due.lasting, due.since));
        let mut written = 0;
        let mut untold: BTreeSet<StepId> = BTreeSet::new();
        for Due { group, key, .. } in due {
            if written == LINES_PER_PASS {
                untold.insert(group.0);
                continue;
            }
            let row = match (key, group) {
                (Some(key), _) => self.row_of_queue(now, key),
                (None, (step, reason)) => reason.and_then(|reason| {
                    let held = held.get(&(step, reason))?.clone();
                    Some(self.held_row(now, (step, reason), held))
                }),
            };
            let Some(row) = row else { continue };
            written += 1;
            self.waits.reports.note(now, group, now - row.waited);
            tell(&row);
        }
        self.waits.reports.tell_untold(now, untold.len());
    }

    /// None if no task of the queue has waited for long: the queue may only never have been empty for long.
    fn row_of_queue(&mut self, now: Time, key: Ready) -> Option<WaitingStep> {
        // Asked first, since the reason takes a look at all workers.
        let since = self.queued_since(key)?;
        if now.since(since) < LONG_WAIT {
            return None;
        }
        self.queued_row(now, key)
    }
}

fn tell(row: &WaitingStep) {
    let WaitingStep {
        step, tasks, indices, waited, reason, workers, until, service_workers, ..
    } = row;
    let (indices, workers) = (Joined(indices), Joined(workers));
    let waited_ms = ms(*waited);
    // Pairs that say nothing are left out: there are many lines.
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
