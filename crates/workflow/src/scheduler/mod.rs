//! The leader's scheduler: reconciles with the workers, places tasks, renews leases, and processes
//! and records the ends of runs.
//!
//! Starts aren't recorded: a worker lists its runs, and each end until it is acknowledged. A new
//! leader polls every worker on the roster. From then on the worker rejects commands of the
//! predecessor, and the reply lists all runs there. A task that the predecessor may have started is
//! started again only once each worker on the roster has answered, or the predecessor may no longer
//! send commands and its longest lease there has expired.
//!
//! An end is acknowledged to the worker only after it is recorded, so it can't be lost in between.

mod active_workflow;
mod advice;
mod attempt;
mod audit;
mod batch_rooms;
mod candidates;
mod commands;
mod common_losses;
mod deadlines;
mod early_cancellations;
mod effect;
mod evacuation;
mod exits;
mod fallback;
mod gangs;
mod given_up;
mod held_rooms;
mod idle_share;
mod intervals;
mod isolated_start;
mod latency_critical;
mod lists;
mod load_estimate;
mod lost_workers;
mod maintenance;
mod overdue;
mod pacing;
mod partial_ends;
mod placement;
mod poll_reply;
mod polls;
mod preempt;
mod preempt_limits;
mod queue;
mod queue_order;
mod reconciliation;
mod recording;
mod regroup;
mod restarted_workers;
mod restore;
mod roster;
mod run_times;
mod start_window;
mod stop_grants;
mod stragglers;
mod unreadable_rows;
mod waits;
mod worker;
mod worker_evidence;

use {
    self::{
        active_workflow::ActiveWorkflow,
        attempt::{Attempt, Phase, Requirements},
        worker::{Inherited, Worker},
    },
    crate::{
        DirectoryChange, Ledger, LedgerChange, Limits, Record, StepId, Succession, TaskId,
        WorkerId, WorkerInfo, WorkerState, WorkflowId, colocation::Colocation,
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
    intervals::{IntervalCause, IntervalCounts},
    lists::{End, EndKind, PollReply, RunningTask, UnreadableRows},
    pacing::PaceResult,
    polls::PollResult,
    preempt_limits::RefusedPreemptions,
    queue_order::StartsByFeasibility,
    start_window::StartWindow,
    waits::{Reason, ServiceWorkers, WaitingStep},
};

/// Interval between scans of all workers for lapsed leases, unconfirmed stops and draining workers. Ticks follow each
/// event, hundreds of times a second.
const SCAN_INTERVAL: Duration = Duration::from_millis(20);

/// A step with tasks that wait for a worker: an entry of the queue of all steps, in the order of the fields.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuedStep {
    priority: u64,
    /// Long-running tasks come after batch tasks: they occupy capacity for minutes.
    long_running: bool,
    due_ms: u64,
    workflow: WorkflowId,
    occurrence: u32,
    step: u16,
}

/// The state of the leader's scheduler.
#[derive(Debug)]
pub struct Scheduler {
    epoch: Epoch,
    succession: Succession,
    limits: Limits,
    workers: BTreeMap<WorkerId, Worker>,
    workflows: BTreeMap<WorkflowId, ActiveWorkflow>,
    queued_steps: BTreeSet<QueuedStep>,
    /// Positions of the queued steps if the queue is ordered by feasibility.
    feasibility_queue: queue_order::FeasibilityQueue,
    /// Workers of the predecessor that haven't listed all their runs and ends, and when all runs there have lapsed; see
    /// [`Scheduler::reconciled_by`].
    unreconciled: BTreeMap<WorkerId, Time>,
    /// Set while workers that neither the roster nor the directory lists may run inherited tasks.
    unreadable_roster: Option<reconciliation::UnreadableRoster>,
    /// Data centres in which nothing may be started.
    evacuated: BTreeSet<CompactString>,
    /// Workflows whose progress has changed since it was last recorded.
    dirty: BTreeSet<WorkflowId>,
    /// Workflows in which a task may have no attempts left. Crashes may be cleared from the task before they are ended.
    exhausted: BTreeSet<WorkflowId>,
    /// The roster has changed since it was last recorded.
    roster: roster::RosterPages,
    /// Records that another writer replaced, to be written again.
    records_to_rewrite: Vec<Record>,
    /// An append is to be sent soon even without changes.
    append_requested: bool,
    /// The append to the store that isn't acknowledged yet.
    pending_append: Option<recording::PendingAppend>,
    /// When the last append was sent.
    append_sent_at: Time,
    /// When the last acknowledged append was sent.
    last_acked_append: Option<Time>,
    early_cancellations: early_cancellations::EarlyCancellations,
    restarts: exits::Restarts,
    /// Ended workflows, and when this leader recorded or read that. Their records are dropped later.
    ended: Vec<(Time, WorkflowId)>,
    /// Estimated interference between tasks that share workers.
    colocation: Colocation,
    /// When the interference model was last recorded.
    model_recorded_at: Time,
    /// It has changed since.
    model_dirty: bool,
    /// When a batch task last found no free capacity.
    batch_blocked_at: Option<Time>,
    /// Bounds on stops of long-running tasks for batch tasks; unused unless that policy is in force.
    preempt_limits: preempt_limits::PreemptLimits,
    /// Workers that get only tasks that fit no other worker, since runs there failed in a row. May include some whose
    /// quarantine has just ended.
    quarantined: Vec<WorkerId>,
    /// Workers reserved for isolated starts of tasks that may crash them. May include some just released.
    reserved: Vec<WorkerId>,
    /// What overdue long-running tasks demand, as of the begin of the last placement pass.
    overdue_demands: Vec<overdue::OverdueDemand>,
    /// Workers kept free for large long-running tasks.
    held_rooms: Vec<held_rooms::HeldRoom>,
    /// When a worker was last kept free for a batch task, by service.
    batch_holds: Vec<(CompactString, Time)>,
    /// When workers to keep free for a batch step of higher priority were last searched.
    batch_room_searched_at: Time,
    /// This placement pass has searched for a worker to keep free; each search scans all workers.
    hold_searched: bool,
    /// Tickets that permit workers to run certain steps.
    advice: advice::Advice,
    /// Maintenance waves under way.
    maintenance: maintenance::Maintenance,
    /// Longest current wait of a best-effort task, as of the last placement pass.
    best_effort_wait: Duration,
    /// When regrouping last scanned latency-critical tasks for a better worker.
    regrouped_at: Time,
    /// Which block of workers the last regrouping pass scanned.
    regroup_block: usize,
    start_window: StartWindow,
    /// Workers that recently had more to offer or changed; a step that found no worker searches only these again.
    contacts: candidates::ContactLog,
    pauses: restarted_workers::PauseDetector,
    /// Workers with free capacity, shared by the searches of a placement pass.
    pass_cache: candidates::PassCache,
    idle_share: idle_share::IdleShare,
    /// Demands of running best-effort tasks that recently fit no other worker.
    failed_searches: candidates::FailedSearches,
    /// CPU that pending stops will free, in millicores, by service; computed once per pass.
    cpu_being_freed: Vec<(CompactString, u64)>,
    /// When all workers were last scanned, see [`SCAN_INTERVAL`].
    scanned_at: Time,
    /// The records are read too late to start anything.
    lagging: bool,
    lost_workers: lost_workers::LostWorkers,
    /// What this leader has learned about run times and speeds.
    experience: run_times::Experience,
    /// Whether this tick searches workers for tasks that may crash them; each search scans all workers.
    isolated_starts_due: bool,
    intervals: intervals::IntervalMeter,
    /// Estimated queueing delays, for the admission of submissions.
    load: load_estimate::LoadRecorder,
    stats: SchedulerStats,
    /// State of the log lines on waiting tasks.
    waits: waits::Waits,
    /// Wall-clock time of the last tick, in milliseconds since 1970.
    wall_ms: u64,
}

/// Counts, and the waiting times, since the previous call of [`Scheduler::take_stats`], for metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SchedulerStats {
    /// Waiting times of the tasks that were started.
    pub start_waits: Vec<Duration>,
    /// Runs that succeeded.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that ended in any other way, such as by a stop.
    pub stopped: u64,
    /// Runs lost with their worker.
    pub lost: u64,
    /// Tasks given up because they crash their workers.
    pub given_up: u64,
    /// Long-running tasks stopped for batch tasks.
    pub preempted: u64,
    /// Those of them that were stopped for batch tasks of lower priority. Counted while preemption is limited.
    pub preempted_by_lower: u64,
    /// Searches for a long-running task to stop that the limits on preemption made fail.
    pub refused_preemptions: RefusedPreemptions,
    /// Workers kept free for batch tasks while others of lower priority waited.
    pub rooms_held: u64,
    /// Starts by what the workflow could still reach.
    pub starts_by_feasibility: StartsByFeasibility,
    /// Best-effort tasks stopped for a latency-critical task over its target, or moved since they were throttled.
    pub evicted: u64,
    /// Changes of pace of best-effort tasks.
    pub paced: u64,
    /// Latency-critical tasks moved next to others that tolerate the same best-effort tasks.
    pub regrouped: u64,
    /// Tasks moved or copied since they made no progress.
    pub moved_stalled: u64,
    /// Tasks moved since their worker is slow.
    pub moved_slow: u64,
    /// Second copies of speculative tasks, since their worker is slow.
    pub copied: u64,
    /// Tasks slower than their siblings that stay, since their worker isn't slow.
    pub long_kept: u64,
    /// Quarantines of workers after failures.
    pub quarantined: u64,
    /// Failures in a row on a worker that chance explains.
    pub failures_by_chance: u64,
    /// Workers scanned to place tasks.
    pub workers_scanned: u64,
    /// Intervals of workflows with latency-critical tasks.
    pub intervals: IntervalCounts,
    /// Estimates of the load that were recorded.
    pub load_estimates: u64,
}

impl QueuedStep {
    fn task(self, index: u32) -> TaskId {
        let QueuedStep { workflow, occurrence, step, .. } = self;
        TaskId { workflow, occurrence, step, index }
    }

    fn step_id(self) -> StepId {
        let QueuedStep { workflow, occurrence, step, .. } = self;
        StepId { workflow, occurrence, step }
    }
}

impl Scheduler {
    /// Builds the leader's state at the beginning of its term.
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
            queued_steps: BTreeSet::new(),
            feasibility_queue: queue_order::FeasibilityQueue::default(),
            unreconciled: BTreeMap::new(),
            unreadable_roster: None,
            evacuated: BTreeSet::new(),
            dirty: BTreeSet::new(),
            exhausted: BTreeSet::new(),
            roster: roster::RosterPages::inherited(ledger),
            records_to_rewrite: Vec::new(),
            append_requested: false,
            pending_append: None,
            append_sent_at: now,
            last_acked_append: None,
            early_cancellations: early_cancellations::EarlyCancellations::inherited(now, ledger),
            restarts: exits::Restarts::default(),
            ended: Vec::new(),
            colocation: Colocation::new(
                now,
                ledger.interference_model().cloned().unwrap_or_default(),
                limits.policies.load_forecast,
            ),
            model_recorded_at: now,
            model_dirty: false,
            batch_blocked_at: None,
            preempt_limits: preempt_limits::PreemptLimits::new(now),
            quarantined: Vec::new(),
            reserved: Vec::new(),
            overdue_demands: Vec::new(),
            held_rooms: Vec::new(),
            batch_holds: Vec::new(),
            batch_room_searched_at: Time::ZERO,
            hold_searched: false,
            advice: advice::Advice::default(),
            maintenance: maintenance::Maintenance::default(),
            best_effort_wait: Duration::ZERO,
            regrouped_at: now,
            regroup_block: 0,
            start_window: StartWindow::new(now),
            contacts: candidates::ContactLog::default(),
            pauses: restarted_workers::PauseDetector::new(now),
            pass_cache: candidates::PassCache::default(),
            idle_share: idle_share::IdleShare::default(),
            failed_searches: candidates::FailedSearches::default(),
            cpu_being_freed: Vec::new(),
            scanned_at: Time::ZERO,
            lagging: false,
            lost_workers: lost_workers::LostWorkers::default(),
            experience: run_times::Experience::default(),
            isolated_starts_due: false,
            intervals: intervals::IntervalMeter::default(),
            load: load_estimate::LoadRecorder::default(),
            stats: SchedulerStats::default(),
            waits: waits::Waits::default(),
            wall_ms,
        };
        scheduler.inherit_workers(now, ledger);
        scheduler.inherit_unreadable_pages(ledger);
        for change in directory {
            scheduler.apply_directory(now, change);
        }
        for (id, entry) in ledger.iter() {
            scheduler.add_workflow(now, id, entry, true);
        }
        scheduler.inherit_runs(now, ledger);
        scheduler.inherit_announced(now);
        scheduler.replace_earlier_incarnations(now);
        scheduler
    }

    /// Handles a change of a worker's directory entry.
    pub fn on_directory(&mut self, now: Time, change: DirectoryChange) {
        let present = matches!(&change, DirectoryChange::Present(_));
        let id = change.worker().clone();
        self.apply_directory(now, change);
        let Some(later) = self.newest_incarnation(&id).filter(|_| present).cloned() else { return };
        let same_name = self.workers.range(WorkerId::new(id.name)..later.clone());
        let earlier: Vec<WorkerId> = same_name.map(|(id, _)| id.clone()).collect();
        for earlier in earlier {
            self.on_restarted(now, &earlier, &later);
        }
    }

    fn apply_directory(&mut self, now: Time, change: DirectoryChange) {
        self.contacts.note(change.worker());
        match change {
            DirectoryChange::Present(info) => self.on_present(now, info),
            DirectoryChange::Absent(id) => {
                if let Some(worker) = self.newest_worker(&id) {
                    worker.in_directory = false;
                    worker.next_poll_at = now;
                }
            }
            DirectoryChange::Unreadable(id) => {
                if let Some(worker) = self.newest_worker(&id) {
                    worker.mark_entry_unreadable();
                }
            }
        }
    }

    /// The newest known incarnation under a worker's name.
    fn newest_worker(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        let id = self.newest_incarnation(id)?.clone();
        self.workers.get_mut(&id)
    }

    fn on_present(&mut self, now: Time, info: WorkerInfo) {
        let draining = info.state == WorkerState::Draining;
        let id = info.id.clone();
        let known = self.newest_incarnation(&id);
        // The entry of an earlier incarnation tells nothing of the present one.
        if known.is_some_and(|known| known.is_restart_of(&id)) {
            return;
        }
        // Nothing runs there and nothing will be started, so it isn't polled.
        if info.state == WorkerState::Other && known.is_none() {
            return;
        }
        if let Some(worker) = self.newest_worker(&id).filter(|worker| worker.may_be_foreign(&info))
        {
            worker.mark_entry_unreadable();
            return;
        }
        let worker =
            self.workers.entry(id.clone()).or_insert_with(|| Worker::new(now, info.clone()));
        let was_ready = worker.info.state == WorkerState::Ready;
        worker.evacuated = self.evacuated.contains(&info.data_centre);
        worker.set_info(info);
        if draining && was_ready {
            // Nothing more is started there, so the roster lists its runs, and a successor needn't wait for its answer.
            self.mark_entry_dirty(&id);
            log::info!(worker:% = id; "worker_drains");
        }
    }

    /// Handles a record that changed the ledger.
    pub fn on_change(
        &mut self,
        now: Time,
        ledger: &Ledger,
        change: LedgerChange,
        out: &mut Vec<Effect>,
    ) {
        match change {
            LedgerChange::Submitted(id) => {
                self.early_cancellations.remove(id);
                if let Some(entry) = ledger.get(id) {
                    self.add_workflow(now, id, entry, false);
                }
            }
            LedgerChange::Cancelled(id) if ledger.get(id).is_none() => {
                self.early_cancellations.note(now, id);
            }
            LedgerChange::Cancelled(id) => self.cancel(now, id, out),
            LedgerChange::EarlyCancellationDropped(id) => self.restore_early_cancellation(id),
            LedgerChange::None
            | LedgerChange::Progressed(_)
            | LedgerChange::Leader
            | LedgerChange::Roster
            | LedgerChange::Load => {}
        }
    }

    /// Advances to `now`: begins due occurrences, places tasks, polls workers, records.
    pub fn tick(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Effect>) {
        self.pauses.note_event(now);
        self.wall_ms = wall_ms;
        self.start_window.update_limit(now);
        let scan_due = now.since(self.scanned_at) >= SCAN_INTERVAL;
        if scan_due {
            self.scanned_at = now;
            self.expire(now);
            self.announce_runs_on_unresponsive(now);
        }
        self.isolated_starts_due = scan_due;
        self.end_exhausted_workflows(now, out);
        self.begin_due_occurrences(now);
        self.queue_exited(now);
        if scan_due {
            self.move_off_draining_workers(now, out);
            self.resend_stops(now, out);
            self.advance_waves(now, out);
        }
        self.update_interference_model(now);
        self.sample_intervals(now);
        self.count_idle_workers(now);
        self.place_queued_steps(now, out);
        self.regroup(now, out);
        self.request_advice(now, out);
        self.poll(now, out);
        self.record(now, out);
        self.log_waits(now);
        self.lost_workers.log_suppressed_lines(now);
        self.experience.move_lines.log_suppressed(now);
    }

    /// Returns the counts since the last call and resets them.
    pub fn take_stats(&mut self) -> SchedulerStats {
        std::mem::take(&mut self.stats)
    }

    /// Number of workflows that haven't ended.
    pub fn active_workflow_count(&self) -> usize {
        self.workflows.len()
    }

    /// Number of steps with tasks that wait for a worker.
    pub fn waiting_step_count(&self) -> usize {
        self.queued_steps.len()
    }

    /// Number of the predecessor's workers that haven't listed all their runs and ends yet.
    pub fn unreconciled_count(&self) -> usize {
        self.unreconciled.len()
    }
}
