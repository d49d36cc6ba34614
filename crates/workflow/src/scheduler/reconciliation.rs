//! What a leader takes over from the one before it: the workers that may run something, and until when.
//!
//! Nothing that a predecessor started is on record, so whatever is inherited waits until each worker has
//! answered, or until what runs at it must have lapsed. Two things keep that wait short. A predecessor whose
//! process has certainly ended, or which gave up its term, renews nothing any more. And a leader records which
//! workers haven't answered it, and when what runs there must have lapsed: a successor waits only for what is
//! left of that. Otherwise one lost worker would hold back all inherited work for nine seconds after each change
//! of the leader, however long it has been lost.

use {
    super::{
        Attempt, Inherited, Phase, Requirements, Scheduler, Worker, active_workflow::TaskState,
    },
    crate::{
        AnnouncedRun, CrashEvidence, Ledger, Roster, RosterEntry, RosterState, RunId, TaskId,
        WorkerId, WorkerInfo, WorkerState,
    },
    compact_str::CompactString,
    egretlb_types::{Resources, Time},
    std::time::Duration,
};

/// A leader writes no roster of its own for so long, unless all workers have answered before. An answer takes
/// some 30 ms; a roster that lists workers as unanswered bars them until the next one is recorded.
const SURVEY_GRACE: Duration = Duration::from_millis(400);

impl Scheduler {
    /// Takes over the workers of the last roster: they are asked, and get no work before they answer.
    pub(super) fn inherit_workers(&mut self, now: Time, ledger: &Ledger) {
        let Some(roster) = ledger.roster() else { return };
        for entry in &roster.entries {
            let mut worker = Worker::new(now, placeholder(entry));
            worker.in_directory = false;
            worker.in_roster = true;
            worker.lease_bound = self.lapses_at(now, roster, &entry.state);
            worker.listed_draining = matches!(entry.state, RosterState::Draining { .. });
            worker.listed_unresponsive = matches!(
                entry.state,
                RosterState::Unresponsive { .. } | RosterState::Unreconciled { .. }
            );
            let known = matches!(
                entry.state,
                RosterState::Unresponsive { .. } | RosterState::Draining { .. }
            );
            worker.inherited = Some(if known { Inherited::Listed } else { Inherited::Unlisted });
            if !known {
                self.unreconciled.insert(entry.id.clone(), worker.lease_bound);
            }
            self.workers.insert(entry.id.clone(), worker);
        }
    }

    /// Takes the runs that the last roster lists as under way.
    pub(super) fn inherit_runs(&mut self, now: Time, ledger: &Ledger) {
        let Some(roster) = ledger.roster() else { return };
        for entry in &roster.entries {
            let (RosterState::Unresponsive { runs, .. } | RosterState::Draining { runs }) =
                &entry.state
            else {
                continue;
            };
            for (task, run) in runs {
                self.suppose(now, &entry.id, *task, *run);
            }
            if let RosterState::Unresponsive { just_started, .. } = &entry.state {
                just_started.iter().for_each(|key| self.suspect_inherited(&entry.id, *key));
            }
        }
    }

    /// Takes runs that a predecessor announced as under way where they were to run, until that worker answers. If it is
    /// gone, they may have crashed it.
    pub(super) fn inherit_announced(&mut self, now: Time) {
        for (task, AnnouncedRun { run, worker: id }) in self.all_announced() {
            let held = self.task(task).is_some_and(|state| !state.attempts.is_empty());
            if !self.workers.contains_key(&id) {
                self.add_crash(task, run, CrashEvidence::Unsure);
            } else if !held {
                self.suppose(now, &id, task, run);
            }
            self.suspect_inherited(&id, (task, run));
        }
    }

    fn suspect_inherited(&mut self, id: &WorkerId, key: (TaskId, RunId)) {
        let copy = self.workers.get_mut(id).and_then(|worker| worker.attempts.get_mut(&key));
        if let Some(copy) = copy {
            copy.inherited_in_probation = true;
        }
    }

    fn all_announced(&self) -> Vec<(TaskId, AnnouncedRun)> {
        let mut found = Vec::new();
        for (workflow, flow) in &self.workflows {
            for (occurrence, steps) in &flow.occurrences {
                for (step, state) in (0u16..).zip(&steps.steps) {
                    let of = |(index, task): (u32, &TaskState)| {
                        let (workflow, occurrence) = (*workflow, *occurrence);
                        let id = TaskId { workflow, occurrence, step, index };
                        Some((id, task.announced.clone()?))
                    };
                    found.extend((0u32..).zip(&state.tasks).filter_map(of));
                }
            }
        }
        found
    }

    /// When all that leaders before this one started at a worker must have lapsed.
    fn lapses_at(&self, now: Time, roster: &Roster, standing: &RosterState) -> Time {
        let lease = self.limits.lease_bound();
        // The last leader wrote no roster, so who of its predecessors may still give orders isn't known. All
        // of them had lost their authority so long after the last leader's claim at the latest.
        let latest = now + self.limits.authority + lease;
        let known = self.succession.follows(roster.epoch);
        match standing {
            RosterState::Open | RosterState::Draining { .. } if known => {
                self.succession.commands_until() + lease
            }
            RosterState::Unresponsive { lapses_ms, .. }
            | RosterState::Unreconciled { lapses_ms }
                if known =>
            {
                latest.min(self.succession.local_time(*lapses_ms))
            }
            // The writer of the roster starts and renews nothing at a worker that it lists as silent. Had that one
            // not answered it, though, a leader before it may still renew what runs there.
            _ => latest,
        }
    }

    /// Takes a run at a silent worker as under way, until the worker answers or its leases have lapsed.
    fn suppose(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId) {
        let step = self.step(task).cloned().unwrap_or_default();
        let need = Requirements::new(&step, &mut self.colocation);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.insert(task, run, Attempt::new(now, &need, Phase::Running { clock_ms: 0 }));
        }
        if let Some(state) = self.task_mut(task)
            && !state.done
        {
            state.attempts.push((id.clone(), run));
            state.last_run = state.last_run.max(run);
        }
    }

    /// Whether the roster may be written: it must tell which workers haven't answered, and they get a moment.
    pub(super) fn may_write_roster(&self, now: Time) -> bool {
        self.unreconciled.is_empty() || now.since(self.succession.began) >= SURVEY_GRACE
    }

    /// What the roster says of a worker.
    pub(super) fn standing(&self, now: Time, worker: &Worker) -> RosterState {
        let runs = || worker.attempts.keys().copied().collect();
        let lapses_ms = self.succession.term_ms(worker.lease_bound);
        if worker.inherited == Some(Inherited::Unlisted) && !worker.reconciled {
            return RosterState::Unreconciled { lapses_ms };
        }
        if worker.should_list_unresponsive(now, &self.limits) {
            let just_started = worker.runs_in_probation().collect();
            return RosterState::Unresponsive { runs: runs(), just_started, lapses_ms };
        }
        if worker.is_draining() {
            return RosterState::Draining { runs: runs() };
        }
        RosterState::Open
    }
}

/// A worker of which only the roster's entry is known: it is asked, and gets no work while its own entry is
/// missing. It counts as leaving only if the predecessor listed that. Entries also lapse while a worker or
/// the store is cut off, and a worker that is well would be taken for one that left as soon as a connection is
/// refused (its tasks would run twice), or be passed over for the whole term once its entry is back.
fn placeholder(entry: &RosterEntry) -> WorkerInfo {
    let leaves = matches!(entry.state, RosterState::Draining { .. });
    WorkerInfo {
        id: entry.id.clone(),
        addr: entry.addr,
        service: CompactString::default(),
        data_centre: CompactString::default(),
        capacity: Resources::default(),
        labels: smallvec::SmallVec::new(),
        state: if leaves { WorkerState::Draining } else { WorkerState::Ready },
    }
}
