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
mod dump;
mod effect;
mod ends;
mod flow;
mod gangs;
mod orders;
mod pacing;
mod place;
mod polls;
mod preempt;
mod pressure;
mod queue;
mod recording;
mod stragglers;
mod upkeep;
mod worker;

use {
    self::{
        flow::Flow,
        worker::{Copy, Need, Phase, Worker},
    },
    crate::{
        Change, DirectoryChange, Interference, Ledger, Limits, Outcome, RosterEntry, RunId, TaskId,
        WorkerId, WorkerInfo, WorkerState, WorkflowId,
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
    dump::{Reason, WaitingStep},
    effect::Effect,
    ends::{End, EndKind, HoldReply, RunningTask},
    orders::{StartResult, StopResult},
    pacing::PaceResult,
    polls::HoldResult,
};

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
    clients_wait: bool,
    recording: Option<recording::Recording>,
    recorded_at: Time,
    /// When the last append that was acknowledged had been sent.
    proven: Option<Time>,
    ended: Vec<(Time, WorkflowId)>,
    interference: Interference,
    /// The serving tasks of each workflow that has some.
    loads: BTreeMap<WorkflowId, pacing::Load>,
    /// When what was learned was last recorded, and whether there is more.
    learned_at: Time,
    learned_news: bool,
    /// When a task that ends soon last found no room.
    crowded_at: Option<Time>,
    advice: advice::Advice,
    upkeep: upkeep::Upkeep,
    caution: pacing::Caution,
    /// Starts that were decided and not answered.
    starts_under_way: usize,
    /// The records are read too late to start anything.
    behind: bool,
    measures: Measures,
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
    /// Lasting tasks stopped for tasks that end soon.
    pub preempted: u64,
    /// Fillers stopped for a serving task over its target.
    pub relieved: u64,
    /// Changes of fillers' paces.
    pub paced: u64,
}

impl Scheduler {
    /// The leader's state at the beginning of its term.
    pub fn new(
        now: Time,
        wall_ms: u64,
        epoch: Epoch,
        limits: Limits,
        ledger: &Ledger,
        directory: impl IntoIterator<Item = WorkerInfo>,
    ) -> Scheduler {
        let mut scheduler = Scheduler {
            epoch,
            limits,
            workers: BTreeMap::new(),
            flows: BTreeMap::new(),
            ready: BTreeSet::new(),
            unaccounted: BTreeMap::new(),
            dirty: BTreeSet::new(),
            spent: BTreeSet::new(),
            roster_dirty: false,
            clients_wait: false,
            recording: None,
            recorded_at: now,
            proven: None,
            ended: Vec::new(),
            interference: ledger.learned().cloned().unwrap_or_default(),
            loads: BTreeMap::new(),
            learned_at: now,
            learned_news: false,
            crowded_at: None,
            advice: advice::Advice::default(),
            upkeep: upkeep::Upkeep::default(),
            caution: pacing::Caution::new(now),
            starts_under_way: 0,
            behind: false,
            measures: Measures::default(),
            wall_ms,
        };
        // The predecessor may have renewed a lease just before its authority ended.
        let lapsed = now + limits.authority + limits.lease_bound();
        for entry in ledger.roster() {
            let mut worker = Worker::new(now, placeholder(entry));
            worker.present = false;
            worker.in_roster = true;
            worker.listed_silent = entry.closed.as_ref().is_some_and(|closed| !closed.renewed);
            worker.leaving = entry.closed.as_ref().is_some_and(|closed| closed.renewed);
            // The predecessor renewed nothing at a worker that it had listed as silent.
            let silent_bound = now + limits.lease_bound();
            worker.lease_bound = if worker.listed_silent { silent_bound } else { lapsed };
            if entry.closed.is_none() {
                scheduler.unaccounted.insert(entry.id.clone(), lapsed);
            }
            scheduler.workers.insert(entry.id.clone(), worker);
        }
        for info in directory {
            scheduler.on_directory(now, DirectoryChange::Present(info));
        }
        for (id, entry) in ledger.iter() {
            scheduler.add_flow(now, id, entry, true);
        }
        for entry in ledger.roster() {
            for (task, run) in entry.closed.iter().flat_map(|closed| &closed.runs) {
                scheduler.suppose(now, &entry.id, *task, *run);
            }
        }
        scheduler
    }

    /// Takes a run at a silent worker as under way, until the worker answers or its leases have lapsed.
    fn suppose(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId) {
        let step = self.step(task).cloned().unwrap_or_default();
        let need = Need::new(&step, &mut self.interference);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.insert(task, run, Copy::new(now, &need, Phase::Running { clock_ms: 0 }));
        }
        if let Some(state) = self.task_mut(task)
            && !state.done
        {
            state.copies.push((id.clone(), run));
            state.last_run = state.last_run.max(run);
        }
    }

    /// The worker's directory entry changed.
    pub fn on_directory(&mut self, now: Time, change: DirectoryChange) {
        match change {
            DirectoryChange::Present(info) => self.on_present(now, info),
            DirectoryChange::Absent(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.present = false;
                    worker.poll_at = now;
                }
            }
        }
    }

    fn on_present(&mut self, now: Time, info: WorkerInfo) {
        let drains = info.state == WorkerState::Draining;
        let id = info.id.clone();
        let worker =
            self.workers.entry(id.clone()).or_insert_with(|| Worker::new(now, info.clone()));
        let was_ready = worker.info.state == WorkerState::Ready;
        worker.info = info;
        worker.present = true;
        if !worker.in_roster {
            self.roster_dirty = true;
        }
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
        self.expire(now);
        while let Some(id) = self.spent.pop_first() {
            self.end_flow(now, id, Outcome::Failed, out);
        }
        self.begin_due(now);
        self.evacuate(now, out);
        self.keep_up(now, out);
        self.place_ready(now, out);
        self.ask_advice(now, out);
        self.poll(now, out);
        self.record(now, out);
    }

    /// Stops what can go on elsewhere on workers that are about to leave: when they go, all that still
    /// runs there is lost, and is found missing only after its lease.
    fn evacuate(&mut self, now: Time, out: &mut Vec<Effect>) {
        let moves = |copy: &Copy| copy.moves && matches!(copy.phase, Phase::Running { .. });
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
            self.stop_runs(now, &id, out, |task, run| moving.contains(&(task, run)));
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

/// A worker of which only the roster's entry is known: it is asked, and gets no work while its own entry is
/// missing. It counts as leaving only if the predecessor listed that. Entries also lapse while a worker or
/// the store is cut off, and a worker that is well would be taken for one that left as soon as a connection is
/// refused (its tasks would run twice), or be passed over for the whole term once its entry is back.
fn placeholder(entry: &RosterEntry) -> WorkerInfo {
    let leaves = entry.closed.as_ref().is_some_and(|closed| closed.renewed);
    WorkerInfo {
        id: entry.id.clone(),
        addr: entry.addr,
        service: CompactString::default(),
        data_centre: CompactString::default(),
        capacity: egretlb_types::Resources::default(),
        labels: smallvec::SmallVec::new(),
        state: if leaves { WorkerState::Draining } else { WorkerState::Ready },
    }
}
