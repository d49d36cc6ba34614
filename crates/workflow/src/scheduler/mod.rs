//! What the leader does: it surveys the workers, places tasks, renews leases, takes ends in and
//! records them.
//!
//! The workers are the journal of what runs: each lists what runs there and every end until that is
//! acknowledged. So a start needs no record. A new leader asks every worker on the roster, which
//! fences its predecessor there and returns all that the leader needs. Of what it inherits it starts
//! nothing while a worker on the roster may still run it: until that worker answers, or until the
//! predecessor's authority and its longest lease there must have lapsed.
//!
//! An end is acknowledged to the worker after it is recorded, so that it can't be lost between the two.

mod active_workflow;
mod advice;
mod attempt;
mod audit;
mod candidates;
mod commands;
mod effect;
mod fallback;
mod gangs;
mod isolated_start;
mod latency_critical;
mod lists;
mod lost_workers;
mod maintenance;
mod pacing;
mod placement;
mod poll_reply;
mod polls;
mod preempt;
mod queue;
mod reconciliation;
mod recording;
mod regroup;
mod restore;
mod start_window;
mod stragglers;
mod unreadable_rows;
mod waits;
mod worker;

use {
    self::{
        active_workflow::ActiveWorkflow,
        attempt::{Attempt, Phase, Requirements},
        waits::StopReason,
        worker::{Inherited, Worker},
    },
    crate::{
        DirectoryChange, Ledger, LedgerChange, Limits, Outcome, Record, RunId, StepId, Succession,
        TaskId, WorkerId, WorkerInfo, WorkerState, WorkflowId, colocation::Colocation,
    },
    compact_str::CompactString,
    egretlb_types::{Epoch, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

pub use self::{
    advice::AdviceResult,
    commands::{StartResult, StopResult},
    effect::Effect,
    lists::{End, EndKind, PollReply, RunningTask, UnreadableRows},
    pacing::PaceResult,
    polls::PollResult,
    start_window::StartWindow,
    waits::{Reason, ServiceWorkers, WaitingStep},
};

/// The pause between two looks through all workers for leases that have lapsed, stops that aren't confirmed and
/// workers that leave. A pass over what waits follows each event, hundreds of times a second.
const KEEP_GAP: Duration = Duration::from_millis(20);

/// A step that has tasks to start. The order is that of the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Ready {
    priority: u8,
    /// Tasks that last go behind those that end soon: they would hold the room for minutes.
    long_running: bool,
    due_ms: u64,
    workflow: WorkflowId,
    occurrence: u32,
    step: u16,
}

/// The leader's state.
#[derive(Debug)]
pub struct Scheduler {
    epoch: Epoch,
    succession: Succession,
    limits: Limits,
    workers: BTreeMap<WorkerId, Worker>,
    workflows: BTreeMap<WorkflowId, ActiveWorkflow>,
    ready: BTreeSet<Ready>,
    /// Workers of the predecessor that haven't answered, and when all that runs there has lapsed.
    unreconciled: BTreeMap<WorkerId, Time>,
    dirty: BTreeSet<WorkflowId>,
    /// Workflows of which a task has no attempt left and none under way.
    exhausted: BTreeSet<WorkflowId>,
    roster_dirty: bool,
    /// Records that another writer replaced, to be recorded anew.
    records_to_rewrite: Vec<Record>,
    append_requested: bool,
    pending_append: Option<recording::PendingAppend>,
    append_sent_at: Time,
    /// When the last append that was acknowledged had been sent.
    last_acked_append: Option<Time>,
    ended: Vec<(Time, WorkflowId)>,
    /// What is believed of tasks that share workers.
    colocation: Colocation,
    /// When what was learned was last recorded, and whether there is more.
    learned_recorded_at: Time,
    learned_dirty: bool,
    /// When a task that ends soon last found no room.
    batch_blocked_at: Option<Time>,
    /// Workers under quarantine, and maybe some that have just left it.
    quarantined: Vec<WorkerId>,
    /// Workers kept for trials, and maybe some that have just been released.
    reserved: Vec<WorkerId>,
    advice: advice::Advice,
    maintenance: maintenance::Maintenance,
    /// How long the filler that waits longest has waited, as of the last pass over what waits.
    best_effort_wait: Duration,
    /// When serving tasks were last considered for a better place.
    regrouped_at: Time,
    /// Which of the workers were considered then.
    regroup_turn: usize,
    start_window: StartWindow,
    /// Workers of which something was heard, for steps that found no place.
    contacts: candidates::ContactLog,
    failed_searches: candidates::FailedSearches,
    /// Processor time, in thousandths of a core, that stops will free, by service; summed up once in a pass.
    cpu_being_freed: Vec<(CompactString, u64)>,
    /// When workers were last looked through for what time alone changes.
    swept_at: Time,
    /// The records are read too late to start anything.
    lagging: bool,
    lost_workers: lost_workers::LostWorkers,
    /// Whether this pass looks for workers for suspected tasks: each takes a look at all of them.
    isolated_starts_due: bool,
    stats: SchedulerStats,
    waits: waits::Waits,
    wall_ms: u64,
}

/// What happened since it was last asked for, for metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SchedulerStats {
    /// How long the tasks that were started had waited.
    pub start_waits: Vec<Duration>,
    /// Runs that were done.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were stopped or lapsed.
    pub stopped: u64,
    /// Runs that were lost with their worker.
    pub lost: u64,
    /// Tasks given up since they crash their workers.
    pub given_up: u64,
    /// Lasting tasks stopped for tasks that end soon.
    pub preempted: u64,
    /// Fillers stopped for a serving task over its target.
    pub evicted: u64,
    /// Changes of fillers' paces.
    pub paced: u64,
    /// Serving tasks moved to better company.
    pub regrouped: u64,
    /// Workers looked at to place tasks.
    pub workers_scanned: u64,
}

impl Ready {
    fn task(self, index: u32) -> TaskId {
        let Ready { workflow, occurrence, step, .. } = self;
        TaskId { workflow, occurrence, step, index }
    }

    fn step_id(self) -> StepId {
        let Ready { workflow, occurrence, step, .. } = self;
        StepId { workflow, occurrence, step }
    }
}

impl Scheduler {
    /// The leader's state at the beginning of its term.
    pub fn new(
        now: Time,
        wall_ms: u64,
        (epoch, succession): (Epoch, Succession),
        limits: Limits,
        ledger: &Ledger,
        directory: impl IntoIterator<Item = DirectoryChange>,
    ) -> Scheduler {
        let mut scheduler = Scheduler {
            epoch,
            succession,
            limits,
            workers: BTreeMap::new(),
            workflows: BTreeMap::new(),
            ready: BTreeSet::new(),
            unreconciled: BTreeMap::new(),
            dirty: BTreeSet::new(),
            exhausted: BTreeSet::new(),
            roster_dirty: ledger.roster().is_some(),
            records_to_rewrite: Vec::new(),
            append_requested: false,
            pending_append: None,
            append_sent_at: now,
            last_acked_append: None,
            ended: Vec::new(),
            colocation: Colocation::new(
                now,
                ledger.interference_model().cloned().unwrap_or_default(),
            ),
            learned_recorded_at: now,
            learned_dirty: false,
            batch_blocked_at: None,
            quarantined: Vec::new(),
            reserved: Vec::new(),
            advice: advice::Advice::default(),
            maintenance: maintenance::Maintenance::default(),
            best_effort_wait: Duration::ZERO,
            regrouped_at: now,
            regroup_turn: 0,
            start_window: StartWindow::new(now),
            contacts: candidates::ContactLog::default(),
            failed_searches: candidates::FailedSearches::default(),
            cpu_being_freed: Vec::new(),
            swept_at: Time::ZERO,
            lagging: false,
            lost_workers: lost_workers::LostWorkers::default(),
            isolated_starts_due: false,
            stats: SchedulerStats::default(),
            waits: waits::Waits::default(),
            wall_ms,
        };
        scheduler.inherit_workers(now, ledger);
        for change in directory {
            scheduler.on_directory(now, change);
        }
        for (id, entry) in ledger.iter() {
            scheduler.add_workflow(now, id, entry, true);
        }
        scheduler.inherit_runs(now, ledger);
        scheduler.inherit_announced(now);
        scheduler
    }

    /// The worker's directory entry changed.
    pub fn on_directory(&mut self, now: Time, change: DirectoryChange) {
        self.contacts.note(change.worker());
        match change {
            DirectoryChange::Present(info) => self.on_present(now, info),
            DirectoryChange::Absent(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.in_directory = false;
                    worker.next_poll_at = now;
                }
            }
            DirectoryChange::Unreadable(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.mark_entry_unreadable();
                }
            }
        }
    }

    fn on_present(&mut self, now: Time, info: WorkerInfo) {
        let drains = info.state == WorkerState::Draining;
        let id = info.id.clone();
        // Nothing of ours runs there and nothing will be started, so it isn't called.
        if info.state == WorkerState::Other && !self.workers.contains_key(&id) {
            return;
        }
        let worker =
            self.workers.entry(id.clone()).or_insert_with(|| Worker::new(now, info.clone()));
        let was_ready = worker.info.state == WorkerState::Ready;
        worker.set_info(info);
        if drains && was_ready {
            // A successor needn't wait for it: nothing else will be started there.
            self.roster_dirty = true;
            log::info!(worker:% = id; "worker_drains");
        }
    }

    /// A record changed the ledger.
    pub fn on_change(
        &mut self,
        now: Time,
        ledger: &Ledger,
        change: LedgerChange,
        out: &mut Vec<Effect>,
    ) {
        match change {
            LedgerChange::Submitted(id) => {
                if let Some(entry) = ledger.get(id) {
                    self.add_workflow(now, id, entry, false);
                }
            }
            LedgerChange::Cancelled(id) => self.cancel(now, id, out),
            LedgerChange::None
            | LedgerChange::Progressed(_)
            | LedgerChange::Leader
            | LedgerChange::Roster => {}
        }
    }

    /// Time has passed: begins what is due, places tasks, polls workers, records.
    pub fn tick(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Effect>) {
        self.wall_ms = wall_ms;
        self.start_window.update_limit(now);
        let keeps = now.since(self.swept_at) >= KEEP_GAP;
        if keeps {
            self.swept_at = now;
            self.expire(now);
            self.announce_unresponsive(now);
        }
        self.isolated_starts_due = keeps;
        while let Some(id) = self.exhausted.pop_first() {
            self.log_given_up(id);
            self.end_workflow(now, id, Outcome::Failed, out);
        }
        self.begin_due(now);
        if keeps {
            self.evacuate(now, out);
            self.resend_stops(now, out);
            self.advance_waves(now, out);
        }
        self.update_interference_model(now);
        self.place_ready(now, out);
        self.regroup(now, out);
        self.request_advice(now, out);
        self.poll(now, out);
        self.record(now, out);
        self.log_waits(now);
        self.lost_workers.log_suppressed_lines(now);
    }

    /// Stops what can go on elsewhere on workers that are about to leave: when they go, all that still
    /// runs there is lost, and is found missing only after its lease.
    fn evacuate(&mut self, now: Time, out: &mut Vec<Effect>) {
        let moves = |copy: &Attempt| copy.movable && matches!(copy.phase, Phase::Running { .. });
        let mut leaving: Vec<(WorkerId, Vec<(TaskId, RunId)>)> = Vec::new();
        for (id, worker) in &self.workers {
            if worker.info.state != WorkerState::Draining || !worker.in_directory {
                continue;
            }
            let moving = worker.attempts.iter().filter(|(_, copy)| moves(copy));
            let moving: Vec<(TaskId, RunId)> = moving.map(|(key, _)| *key).collect();
            if !moving.is_empty() {
                leaving.push((id.clone(), moving));
            }
        }
        for (id, moving) in leaving {
            log::info!(worker:% = id, runs = moving.len(); "worker_evacuated");
            let why = StopReason::Evacuated;
            self.stop_runs(now, &id, why, out, |task, run| moving.contains(&(task, run)));
        }
    }

    /// What happened since the last call.
    pub fn take_stats(&mut self) -> SchedulerStats {
        std::mem::take(&mut self.stats)
    }

    /// How many workflows haven't ended.
    pub fn active_workflow_count(&self) -> usize {
        self.workflows.len()
    }

    /// How many steps have tasks that wait for a worker.
    pub fn waiting_step_count(&self) -> usize {
        self.ready.len()
    }

    /// How many workers of the predecessor haven't answered yet.
    pub fn unreconciled_count(&self) -> usize {
        self.unreconciled.len()
    }
}
