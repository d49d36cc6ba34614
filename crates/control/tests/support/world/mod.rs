//! The simulation: a queue of events in virtual time, the log and the processes.

mod fault_injection;
mod platform;
mod shards;

use {
    super::{
        app::{AppShard, Recovery, Waiter, change_entry, decode, snapshot_entry},
        checker::Checker,
        faults::{Fault, Moment, Step},
        log::FakeLog,
        node::{Delivery, SimNode},
    },
    egretlb_control::{
        Control, ControlEffect, ControlEvent, ControlOptions, ControlRecord, NodeInfo, Predecessor,
        ProposalId, ProposalOutcome, Protections, Role,
    },
    egretlb_log::{
        AppendOutcome, EntryKind, JournalBatch, JournalReader, JournalWriter, NotAppendedReason,
        ReadOutcome, ReadStep, StreamName, WriterOptions,
    },
    egretlb_types::{Authority, ConfigDocument, Epoch, NodeId, Offset, Seq, ShardId, Ticket, Time},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        sync::Arc,
        time::Duration,
    },
};

/// Number of shards that hold a state and whose owners are checked after every event.
pub const WATCHED_SHARDS: u16 = 8;

const MS: u64 = 1_000;
/// One second of virtual time, in microseconds.
pub const SEC: u64 = 1_000_000;
const NETWORK_DELAY: u64 = 500;
const TIMEOUT: u64 = SEC;

pub struct Options {
    pub seed: u64,
    pub schedulers: usize,
    pub entries: usize,
    pub protections: Protections,
    pub dedupe: bool,
    pub journal_retention: Duration,
}

impl Options {
    pub fn new(seed: u64, schedulers: usize) -> Self {
        let protections = Protections::default();
        let journal_retention = Duration::from_secs(24 * 3600);
        Options { seed, schedulers, entries: 1, protections, dedupe: true, journal_retention }
    }
}

#[derive(Clone, Debug)]
enum Reply {
    ControlRead { sent: Time },
    Recovery { recovery_id: u64 },
    ControlAppend { ticket: Ticket },
    Journal { seq: Seq },
    Nobody,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Tick(usize),
    Read { node: usize, stream: StreamName, from: Offset, reply: Reply },
    Append { node: usize, stream: StreamName, bytes: Vec<u8>, reply: Reply },
    Deliver { node: usize, delivery: Delivery },
    Start(usize),
    Inject(usize, Fault),
}

/// When to inject a fault.
#[derive(Clone, Copy, Debug)]
pub struct Trigger {
    pub node: usize,
    pub step: Step,
    pub moment: Moment,
    pub fault: Fault,
}

pub struct World {
    pub now: u64,
    pub log: FakeLog,
    pub checker: Checker,
    pub nodes: Vec<SimNode>,
    pub trigger: Option<Trigger>,
    pub fired_at: Option<u64>,
    pub heartbeat_bytes: u64,
    pub heartbeats: u64,
    pub log_down_until: u64,
    pub log_slow_until: u64,
    pub watched_changes: bool,
    options: Options,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, (SimEvent, u32)>,
    next_event: u64,
}

fn validate(text: &str) -> Result<ConfigDocument, compact_str::CompactString> {
    if text.contains("fault") { Err("a fault".into()) } else { Ok(ConfigDocument::default()) }
}

impl World {
    pub fn new(options: Options) -> Self {
        let mut world = World {
            now: 0,
            log: FakeLog::default(),
            checker: Checker::default(),
            nodes: Vec::new(),
            trigger: None,
            fired_at: None,
            heartbeat_bytes: 0,
            heartbeats: 0,
            log_down_until: 0,
            log_slow_until: 0,
            watched_changes: true,
            rng: SmallRng::seed_from_u64(options.seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            options,
        };
        for _ in 0..world.options.schedulers {
            world.add(Role::Scheduler);
        }
        for _ in 0..world.options.entries {
            world.add(Role::Entry);
        }
        world
    }

    /// Adds a process that starts now.
    pub fn add(&mut self, role: Role) -> usize {
        let index = self.nodes.len();
        let node = self.make(index, role, 0);
        self.nodes.push(node);
        self.tick_soon(index);
        index
    }

    fn make(&mut self, index: usize, role: Role, incarnation: u32) -> SimNode {
        let node = NodeId(self.rng.random());
        let addr = format!("10.0.0.{index}:7000");
        let info = NodeInfo {
            node,
            role,
            data_centre: "dc-1".parse().unwrap(),
            peer_addr: addr.as_str().into(),
            http_addr: addr.as_str().into(),
        };
        let options = ControlOptions::new(info.clone(), self.rng.random())
            .protections(self.options.protections);
        let control = Control::new(options, Arc::new(validate));
        let writer = WriterOptions::new(node, self.rng.random());
        let journal = JournalWriter::new(writer.retention(self.options.journal_retention));
        SimNode::new(info, incarnation, control, journal)
    }

    /// Replaces the process by a new one without state.
    pub fn restart(&mut self, index: usize) {
        let old = &self.nodes[index];
        let (role, incarnation) = (old.info.role, old.incarnation + 1);
        self.nodes[index] = self.make(index, role, incarnation);
        self.tick_soon(index);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].control = None;
        self.nodes[index].incarnation += 1;
    }

    pub fn restart_at(&mut self, index: usize, at: u64) {
        self.push(at, SimEvent::Start(index), 0);
    }

    pub fn inject_at(&mut self, index: usize, fault: Fault, at: u64) {
        self.push(at, SimEvent::Inject(index, fault), 0);
    }

    fn tick_soon(&mut self, index: usize) {
        let at = self.now + self.rng.random_range(0..100 * MS);
        self.push(at, SimEvent::Tick(index), self.nodes[index].incarnation);
    }

    fn push(&mut self, at: u64, event: SimEvent, incarnation: u32) {
        self.next_event += 1;
        self.events.insert(self.next_event, (event, incarnation));
        self.queue.push(Reverse((at, self.next_event)));
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let (event, incarnation) = self.events.remove(&id).unwrap();
            self.run(event, incarnation);
            self.check();
        }
        self.now = end;
    }

    /// Runs until `done`, for `limit` at most; returns the time it took.
    pub fn run_while(&mut self, limit: u64, mut done: impl FnMut(&World) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run_until(self.now + 20 * MS);
        }
        None
    }

    fn run(&mut self, event: SimEvent, incarnation: u32) {
        match event {
            SimEvent::Start(index) => {
                if self.nodes[index].control.is_none() {
                    self.restart(index);
                }
            }
            SimEvent::Inject(index, fault) => self.inject(index, fault),
            SimEvent::Tick(node) => self.tick(node, incarnation),
            SimEvent::Deliver { node, delivery } => self.deliver(node, delivery, incarnation),
            SimEvent::Read { node, stream, from, reply } => {
                self.read_at_log(node, &stream, from, reply, incarnation);
            }
            SimEvent::Append { node, stream, bytes, reply } => {
                self.append_at_log(node, stream, bytes, reply, incarnation);
            }
        }
    }

    fn is_current(&self, node: usize, incarnation: u32) -> bool {
        self.nodes[node].control.is_some() && self.nodes[node].incarnation == incarnation
    }

    fn tick(&mut self, node: usize, incarnation: u32) {
        if !self.is_current(node, incarnation) {
            return;
        }
        let paused_until = self.nodes[node].paused_until;
        if paused_until > self.now {
            self.push(paused_until, SimEvent::Tick(node), incarnation);
            return;
        }
        self.push(self.now + 100 * MS, SimEvent::Tick(node), incarnation);
        self.write_changes(node);
        self.step(node, ControlEvent::Tick);
    }

    fn deliver(&mut self, node: usize, delivery: Delivery, incarnation: u32) {
        if !self.is_current(node, incarnation) {
            return;
        }
        let paused_until = self.nodes[node].paused_until;
        if paused_until > self.now {
            self.push(paused_until, SimEvent::Deliver { node, delivery }, incarnation);
            return;
        }
        match delivery {
            Delivery::Control(event) => self.step(node, event),
            Delivery::JournalAnswer { seq, outcome } => self.journal_answer(node, seq, outcome),
            Delivery::RecoveryPage { recovery_id, outcome } => {
                self.recovery_page(node, recovery_id, outcome)
            }
        }
    }

    pub fn step(&mut self, node: usize, event: ControlEvent) {
        let now = self.local(node);
        let mut out = Vec::new();
        let Some(control) = &mut self.nodes[node].control else { return };
        control.step(now, event, &mut out);
        for effect in out {
            self.perform(node, effect);
        }
        self.flush(node);
        self.track_wait(node);
    }

    /// Proposes a document, based on the version in force at the process.
    pub fn propose(&mut self, node: usize, text: &str) -> ProposalId {
        let id = ProposalId(self.rng.random());
        let Some(control) = &self.nodes[node].control else { return id };
        let base = control.in_force().version;
        self.checker.proposed(id, base);
        let document = format!("{text} on {base}");
        let event = ControlEvent::Propose { id, base, by: "operator".into(), document };
        let incarnation = self.nodes[node].incarnation;
        let delivery = Delivery::Control(event);
        self.push(self.now, SimEvent::Deliver { node, delivery }, incarnation);
        id
    }

    pub fn is_accepted(&self, id: ProposalId) -> bool {
        matches!(self.checker.decided.get(&id), Some(ProposalOutcome::Accepted { .. }))
    }
}
