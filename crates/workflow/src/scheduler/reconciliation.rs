//! Takes over the workers and runs of the previous leader.
//!
//! Starts aren't recorded, so an inherited task waits until each worker has listed its runs and ends or until all
//! runs there must have lapsed. Two things shorten that wait. A predecessor whose process has
//! certainly ended, or that gave up its term, renews no leases any more. And a leader records which
//! workers haven't answered it and when their runs must have lapsed, so a successor doesn't wait
//! beyond that time. Otherwise one lost worker would delay all inherited tasks for nine seconds
//! after each change of leader.

use {
    super::{
        Attempt, Inherited, Phase, Requirements, Scheduler, Worker,
        active_workflow::{Announcement, TaskState},
    },
    crate::{
        Crash, CrashEvidence, Ledger, RosterEntry, RosterPage, RosterState, RunId, TaskId,
        WorkerId, WorkerInfo, WorkerState,
    },
    compact_str::CompactString,
    egretlb_types::{Resources, Time},
    smallvec::SmallVec,
    std::time::Duration,
};

/// How long a new leader waits for all workers to answer before it writes a roster that lists some
/// as unreconciled. These get no tasks until the next roster is recorded.
const MAX_ROSTER_DELAY: Duration = Duration::from_millis(400);

/// Pages of the predecessor's roster that can't be read. They aren't recorded anew before all runs at their workers must have
/// lapsed, since the next leader has to wait for these, too.
#[derive(Debug)]
pub(super) struct UnreadableRoster {
    /// When all runs at their workers must have lapsed.
    pub(super) until: Time,
    pages: SmallVec<[u32; 2]>,
}

impl Scheduler {
    /// Takes over the workers of the roster: they are polled, and get no tasks before they
    /// answer.
    pub(super) fn inherit_workers(&mut self, now: Time, ledger: &Ledger) {
        let entries = ledger
            .roster_pages()
            .flat_map(|(number, page)| page.entries.iter().map(move |entry| (number, page, entry)));
        for (number, page, entry) in entries {
            if self.workers.contains_key(&entry.id) {
                self.inherit_twice_listed(&entry.id);
                continue;
            }
            let mut worker = Worker::new(now, placeholder(entry));
            worker.roster_page = Some(number);
            self.roster.insert(number, entry.id.clone());
            (worker.in_directory, worker.entry_read) = (false, false);
            worker.in_roster = true;
            worker.extend_lease_bound(self.inherited_lease_bound(page, &entry.state));
            worker.listed_draining = matches!(entry.state, RosterState::Draining { .. });
            worker.listed_unresponsive = matches!(
                entry.state,
                RosterState::Unresponsive { .. } | RosterState::Unreconciled { .. }
            );
            let runs_listed = matches!(
                entry.state,
                RosterState::Unresponsive { .. } | RosterState::Draining { .. }
            );
            worker.inherited =
                Some(if runs_listed { Inherited::RunsListed } else { Inherited::RunsUnknown });
            if !runs_listed {
                self.unreconciled.insert(entry.id.clone(), worker.lease_bound());
            }
            self.workers.insert(entry.id.clone(), worker);
        }
    }

    /// Notes which pages of the predecessor's roster can't be read. Any worker may be listed there, and run any task.
    pub(super) fn inherit_unreadable_pages(&mut self, ledger: &Ledger) {
        let pages: SmallVec<[u32; 2]> = ledger.unreadable_roster_pages().collect();
        if pages.is_empty() {
            return;
        }
        log::warn!(pages:? = pages; "roster_unreadable");
        let until = self.succession.waits_until(&self.limits);
        self.unreadable_roster = Some(UnreadableRoster { until, pages });
    }

    /// Ends the wait for workers that only an unreadable page may list, and records that page anew.
    pub(super) fn expire_unreadable_roster(&mut self, now: Time) {
        if let Some(unreadable) = self.unreadable_roster.take_if(|roster| now >= roster.until) {
            unreadable.pages.into_iter().for_each(|page| self.roster.rewrite(page));
        }
    }

    /// Takes over a worker that two pages list, since a page was recorded after it had moved and the other one wasn't:
    /// anything may run there, by any earlier leader.
    fn inherit_twice_listed(&mut self, id: &WorkerId) {
        let latest = self.succession.waits_until(&self.limits);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.extend_lease_bound(latest);
        worker.inherited = Some(Inherited::RunsUnknown);
        self.unreconciled.insert(id.clone(), latest);
    }

    /// Takes over the runs that the last roster lists as under way.
    pub(super) fn inherit_runs(&mut self, now: Time, ledger: &Ledger) {
        for entry in ledger.roster_pages().flat_map(|(_, page)| &page.entries) {
            let (RosterState::Unresponsive { runs, .. } | RosterState::Draining { runs }) =
                &entry.state
            else {
                continue;
            };
            for (task, run) in runs {
                self.assume_running(now, &entry.id, *task, *run);
            }
            if let RosterState::Unresponsive { just_started, .. } = &entry.state {
                for key in just_started {
                    self.mark_in_crash_window(&entry.id, *key, CrashEvidence::Shared);
                }
            }
        }
    }

    /// Assumes that runs announced by a predecessor are under way at their workers until those
    /// answer. If a worker is gone, they may have crashed it.
    pub(super) fn inherit_announced(&mut self, now: Time) {
        // The longer nobody led, the more likely a worker was lost for another cause, long after the start.
        let unseen = if self.succession.heard_within(self.limits.authority) {
            CrashEvidence::Shared
        } else {
            CrashEvidence::Unsure
        };
        for (task, Announcement { run, worker: id, evidence }) in self.all_announced() {
            let assumed = self.task(task).is_some_and(|state| !state.attempts.is_empty());
            if !self.workers.contains_key(&id) {
                self.add_crash(
                    task,
                    Crash { run, worker: id.clone(), evidence: CrashEvidence::Unsure },
                );
            } else if !assumed {
                self.assume_running(now, &id, task, run);
            }
            self.mark_in_crash_window(&id, (task, run), evidence.unwrap_or(unseen));
        }
    }

    fn mark_in_crash_window(
        &mut self,
        id: &WorkerId,
        key: (TaskId, RunId),
        evidence: CrashEvidence,
    ) {
        let attempt = self.workers.get_mut(id).and_then(|worker| worker.attempts.get_mut(&key));
        if let Some(attempt) = attempt {
            attempt.inherited_evidence = attempt.inherited_evidence.max(Some(evidence));
        }
    }

    fn all_announced(&self) -> Vec<(TaskId, Announcement)> {
        let mut found = Vec::new();
        for (workflow, active) in &self.workflows {
            for (occurrence, steps) in &active.occurrences {
                for (step, state) in (0u16..).zip(&steps.steps) {
                    let announced_of = |(index, task): (u32, &TaskState)| {
                        let (workflow, occurrence) = (*workflow, *occurrence);
                        let id = TaskId { workflow, occurrence, step, index };
                        Some((id, task.announced.clone()?))
                    };
                    found.extend((0u32..).zip(&state.tasks).filter_map(announced_of));
                }
            }
        }
        found
    }

    /// When all runs that earlier leaders started at a worker must have lapsed.
    fn inherited_lease_bound(&self, page: &RosterPage, roster_state: &RosterState) -> Time {
        let max_lease = self.limits.lease_bound();
        // If nothing is known of the page's writer, any earlier leader may still send commands.
        let latest = self.succession.waits_until(&self.limits);
        let bound = match roster_state {
            // Leaders after the page's writer may have started tasks there, too.
            RosterState::Open | RosterState::Draining { .. } => {
                self.succession.commands_until(page.epoch).map(|until| until + max_lease)
            }
            // A leader starts and renews nothing at a worker that it lists so, or that it finds listed so, until it has
            // recorded it otherwise. If the worker never answered, still earlier leaders may; the time allows for them.
            RosterState::Unresponsive { lapses_ms, .. }
            | RosterState::Unreconciled { lapses_ms } => {
                self.succession.local_time(page.epoch, *lapses_ms)
            }
        };
        bound.map_or(latest, |bound| bound.min(latest))
    }

    /// Assumes that a run is under way at a worker, until that worker answers or its leases have
    /// lapsed. Adds it to the attempts of its task, so that the task isn't started meanwhile.
    fn assume_running(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId) {
        self.begin_found_occurrence(now, task);
        let step = self.step(task).cloned().unwrap_or_default();
        let requirements = Requirements::new(&step, &mut self.colocation);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.insert(
                task,
                run,
                Attempt::new(now, &requirements, Phase::Running { clock_ms: 0 }),
            );
        }
        if let Some(state) = self.task_mut(task)
            && !state.done
        {
            state.attempts.push((id.clone(), run));
            state.last_run = state.last_run.max(run);
        }
    }

    /// Whether the roster may be written: all workers have answered, or [`MAX_ROSTER_DELAY`] has
    /// passed.
    pub(super) fn may_write_roster(&self, now: Time) -> bool {
        self.has_all_running_lists() || now.since(self.succession.began) >= MAX_ROSTER_DELAY
    }

    fn is_announced_as_lost_with_rack(&self, (task, run): (TaskId, RunId)) -> bool {
        let announced = self.task(task).and_then(|state| state.announced.as_ref());
        announced.is_some_and(|announced| {
            announced.run == run && announced.evidence == Some(CrashEvidence::Unsure)
        })
    }

    /// Returns the state of a worker to record in the roster. `ends_recorded` tells whether all ends that it has listed are
    /// recorded by then.
    pub(super) fn roster_state(
        &self,
        now: Time,
        worker: &Worker,
        ends_recorded: bool,
    ) -> RosterState {
        let runs = || worker.attempts.keys().copied().collect();
        let lapses_ms = self.succession.term_ms(worker.lease_bound());
        let unresponsive = worker.should_list_unresponsive(now, &self.limits);
        let unreconciled = worker.inherited == Some(Inherited::RunsUnknown) && !worker.reconciled;
        // A successor takes runs that the roster doesn't list for ended, so none are listed while ends may be missing.
        let lists_runs = ends_recorded && !worker.hides_inherited_ends();
        if unreconciled || (unresponsive && !lists_runs) {
            return RosterState::Unreconciled { lapses_ms };
        }
        if unresponsive {
            let just_started = worker.runs_in_crash_window();
            let just_started =
                just_started.filter(|run| !self.is_announced_as_lost_with_rack(*run)).collect();
            return RosterState::Unresponsive { runs: runs(), just_started, lapses_ms };
        }
        if worker.is_draining() && lists_runs {
            return RosterState::Draining { runs: runs() };
        }
        RosterState::Open
    }
}

/// Builds the state of a worker known only from the roster: it is polled, and gets no tasks while
/// its directory entry is missing. It counts as draining only if the predecessor listed it as
/// draining: a directory entry also expires while its worker or the store is cut off, and the runs
/// of a draining worker get short leases.
fn placeholder(entry: &RosterEntry) -> WorkerInfo {
    let draining = matches!(entry.state, RosterState::Draining { .. });
    WorkerInfo {
        id: entry.id.clone(),
        addr: entry.addr,
        service: CompactString::default(),
        data_centre: CompactString::default(),
        capacity: Resources::default(),
        labels: SmallVec::new(),
        state: if draining { WorkerState::Draining } else { WorkerState::Ready },
    }
}
