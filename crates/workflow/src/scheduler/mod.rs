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

mod advice;
mod attempt;
mod audit;
mod candidates;
mod effect;
mod fallback;
mod flow;
mod gangs;
mod isolated_start;
mod latency_critical;
mod lists;
mod lost_workers;
mod orders;
mod pacing;
mod placement;
mod poll_reply;
mod polls;
mod preempt;
mod queue;
mod recording;
mod regroup;
mod restore;
mod start_window;
mod stragglers;
mod survey;
mod unreadable_rows;
mod upkeep;
mod waits;
mod worker;

use {
    self::{
        attempt::{Attempt, Phase, Requirements},
        flow::Flow,
        waits::StopReason,
        worker::{Inherited, Worker},
    },
    crate::{
        Change, DirectoryChange, Ledger, Limits, Outcome, Record, RunId, StepId, Succession,
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
    effect::Effect,
    lists::{End, EndKind, HoldReply, OddRows, RunningTask},
    orders::{StartResult, StopResult},
    pacing::PaceResult,
    polls::HoldResult,
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
    lasting: bool,
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
    flows: BTreeMap<WorkflowId, Flow>,
    ready: BTreeSet<Ready>,
    /// Workers of the predecessor that haven't answered, and when all that runs there has lapsed.
    unaccounted: BTreeMap<WorkerId, Time>,
    dirty: BTreeSet<WorkflowId>,
    /// Workflows of which a task has no attempt left and none under way.
    spent: BTreeSet<WorkflowId>,
    roster_dirty: bool,
    /// Records that another writer replaced, to be recorded anew.
    restored: Vec<Record>,
    clients_wait: bool,
    recording: Option<recording::Recording>,
    recorded_at: Time,
    /// When the last append that was acknowledged had been sent.
    proven: Option<Time>,
    ended: Vec<(Time, WorkflowId)>,
    /// What is believed of tasks that share workers.
    colocation: Colocation,
    /// When what was learned was last recorded, and whether there is more.
    learned_at: Time,
    learned_news: bool,
    /// When a task that ends soon last found no room.
    crowded_at: Option<Time>,
    /// Workers under quarantine, and maybe some that have just left it.
    quarantined: Vec<WorkerId>,
    /// Workers kept for trials, and maybe some that have just been released.
    kept: Vec<WorkerId>,
    advice: advice::Advice,
    upkeep: upkeep::Upkeep,
    /// How long the filler that waits longest has waited, as of the last pass over what waits.
    fillers_wait: Duration,
    /// When serving tasks were last considered for a better place.
    regrouped_at: Time,
    /// Which of the workers were considered then.
    regroup_turn: usize,
    starts: StartWindow,
    /// Workers of which something was heard, for steps that found no place.
    heard: candidates::UpdatedWorkers,
    nowhere: candidates::UnplaceableDemands,
    /// Processor time, in thousandths of a core, that stops will free, by service; summed up once in a pass.
    freed: Vec<(CompactString, u64)>,
    /// When workers were last looked through for what time alone changes.
    kept_at: Time,
    /// The records are read too late to start anything.
    behind: bool,
    losses: lost_workers::LostWorkers,
    /// Whether this pass looks for workers for suspected tasks: each takes a look at all of them.
    trials_due: bool,
    measures: Measures,
    waits: waits::Waits,
    wall_ms: u64,
}

/// What happened since it was last asked for, for metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Measures {
    /// How long the tasks that were started had waited.
    pub waits: Vec<Duration>,
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
    pub relieved: u64,
    /// Changes of fillers' paces.
    pub paced: u64,
    /// Serving tasks moved to better company.
    pub regrouped: u64,
    /// Workers looked at to place tasks.
    pub looked_at: u64,
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
            flows: BTreeMap::new(),
            ready: BTreeSet::new(),
            unaccounted: BTreeMap::new(),
            dirty: BTreeSet::new(),
            spent: BTreeSet::new(),
            roster_dirty: ledger.roster().is_some(),
            restored: Vec::new(),
            clients_wait: false,
            recording: None,
            recorded_at: now,
            proven: None,
            ended: Vec::new(),
            colocation: Colocation::new(now, ledger.learned().cloned().unwrap_or_default()),
            learned_at: now,
            learned_news: false,
            crowded_at: None,
            quarantined: Vec::new(),
            kept: Vec::new(),
            advice: advice::Advice::default(),
            upkeep: upkeep::Upkeep::default(),
            fillers_wait: Duration::ZERO,
            regrouped_at: now,
            regroup_turn: 0,
            starts: StartWindow::new(now),
            heard: candidates::UpdatedWorkers::default(),
            nowhere: candidates::UnplaceableDemands::default(),
            freed: Vec::new(),
            kept_at: Time::ZERO,
            behind: false,
            losses: lost_workers::LostWorkers::default(),
            trials_due: false,
            measures: Measures::default(),
            waits: waits::Waits::default(),
            wall_ms,
        };
        scheduler.inherit_workers(now, ledger);
        for change in directory {
            scheduler.on_directory(now, change);
        }
        for (id, entry) in ledger.iter() {
            scheduler.add_flow(now, id, entry, true);
        }
        scheduler.inherit_runs(now, ledger);
        scheduler.inherit_announced(now);
        scheduler
    }

    /// The worker's directory entry changed.
    pub fn on_directory(&mut self, now: Time, change: DirectoryChange) {
        self.heard.note(change.worker());
        match change {
            DirectoryChange::Present(info) => self.on_present(now, info),
            DirectoryChange::Absent(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.present = false;
                    worker.poll_at = now;
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
    pub fn on_change(&mut self, now: Time, ledger: &Ledger, change: Change, out: &mut Vec<Effect>) {
        match change {
            Change::Submitted(id) => {
                if let Some(entry) = ledger.get(id) {
                    self.add_flow(now, id, entry, false);
                }
            }
            Change::Cancelled(id) => self.cancel(now, id, out),
            Change::None | Change::Progressed(_) | Change::Leader | Change::Roster => {}
        }
    }

    /// Time has passed: begins what is due, places tasks, polls workers, records.
    pub fn tick(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Effect>) {
        self.wall_ms = wall_ms;
        self.starts.update_limit(now);
        let keeps = now.since(self.kept_at) >= KEEP_GAP;
        if keeps {
            self.kept_at = now;
            self.expire(now);
            self.announce_unresponsive(now);
        }
        self.trials_due = keeps;
        while let Some(id) = self.spent.pop_first() {
            self.log_given_up(id);
            self.end_flow(now, id, Outcome::Failed, out);
        }
        self.begin_due(now);
        if keeps {
            self.evacuate(now, out);
            self.repeat_stops(now, out);
            self.keep_up(now, out);
        }
        self.update_interference_model(now);
        self.place_ready(now, out);
        self.regroup(now, out);
        self.request_advice(now, out);
        self.poll(now, out);
        self.record(now, out);
        self.tell_waits(now);
        self.losses.log_suppressed_lines(now);
    }

    /// Stops what can go on elsewhere on workers that are about to leave: when they go, all that still
    /// runs there is lost, and is found missing only after its lease.
    fn evacuate(&mut self, now: Time, out: &mut Vec<Effect>) {
        let moves = |copy: &Attempt| copy.movable && matches!(copy.phase, Phase::Running { .. });
        let mut leaving: Vec<(WorkerId, Vec<(TaskId, RunId)>)> = Vec::new();
        for (id, worker) in &self.workers {
            if worker.info.state != WorkerState::Draining || !worker.present {
                continue;
            }
            let moving = worker.copies.iter().filter(|(_, copy)| moves(copy));
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
    pub fn take_measures(&mut self) -> Measures {
        std::mem::take(&mut self.measures)
    }

    /// How many workflows haven't ended.
    pub fn active(&self) -> usize {
        self.flows.len()
    }

    /// How many steps have tasks that wait for a worker.
    pub fn waiting(&self) -> usize {
        self.ready.len()
    }

    /// How many workers of the predecessor haven't answered yet.
    pub fn unaccounted(&self) -> usize {
        self.unaccounted.len()
    }
}
