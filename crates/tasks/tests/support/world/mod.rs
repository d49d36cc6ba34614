//! Discrete-event simulation of nodes, workers, log and network.

mod control;
mod inject;
mod perform;

use {
    super::{
        checker::Checker,
        faults::{
            Fault, InjectedFault, Step, step_of_call, step_of_entry, step_of_job, step_of_node,
            step_of_rack,
        },
        worker::{Behaviour, FakeWorker},
    },
    egretlb_tasks::{
        CallError, CallId, Guard, JobEffect, JobEntry, JobEvent, JobReply, JobSnapshot, JobSpec,
        JobStatus, JobTable, Limits, Protections, RackAlarm, RackEffect, RackEvent, RackTable,
        WorkerAnswer, WorkerCall, job_shard_of_task,
        msg::{JobMsg, NodeMsg, RackMsg},
    },
    egretlb_types::{
        Authority, ClassName, ConfigDocument, Epoch, JobId, NodeId, SHARD_COUNT, ShardId, TaskId,
        Ticket, Time, VmId, VmRecord, VmState, rendezvous_score, shard_of_job, shard_of_rack,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// How long an owner holds authority after a read of the control stream.
const AUTHORITY: Duration = Duration::from_secs(3);
/// A node that hasn't read for this long is replaced.
const FAILED_AFTER: Duration = Duration::from_millis(1_500);
/// Timeout of a worker call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(100);

pub struct WorldOptions {
    pub seed: u64,
    pub nodes: usize,
    pub vms: Vec<VmRecord>,
    pub document: ConfigDocument,
    pub classes: HashMap<ClassName, Behaviour>,
    pub limits: Limits,
    pub protections: Protections,
    pub faults: Vec<InjectedFault>,
    pub learning: bool,
}

impl WorldOptions {
    /// Short limits, so that leases lapse within a test's few seconds.
    pub fn quick_limits() -> Limits {
        Limits {
            lease: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            max_call_delay: Duration::from_secs(1),
            clock_margin: Duration::from_millis(300),
            renewal_without_authority: Duration::from_secs(10),
            max_poll_interval: Duration::from_secs(2),
            running_check_interval: Duration::from_secs(5),
            probe_interval: Duration::from_secs(5),
            ..Limits::default()
        }
    }
}

struct Node {
    id: NodeId,
    alive: bool,
    paused_until: Time,
    cut_until: Time,
    jobs: JobTable,
    racks: RackTable,
    /// The shards that this node believes it owns.
    view: BTreeMap<ShardId, Epoch>,
    held_until: Time,
    read_at: Time,
    /// Entries in transit to the log, with the epochs under which they were made.
    journal: VecDeque<(ShardId, Epoch, JobEntry, Ticket)>,
}

/// Authority as this node knows it.
struct View<'a>(&'a BTreeMap<ShardId, Epoch>, Time);

impl Authority for View<'_> {
    fn epoch_if_held(&self, now: Time, shard: ShardId) -> Option<Epoch> {
        self.0.get(&shard).copied().filter(|_| now < self.1)
    }
}

#[derive(Clone, Copy)]
struct Owner {
    node: usize,
    epoch: Epoch,
    claimed: Time,
    settled: bool,
}

#[derive(Default)]
struct ShardLog {
    epoch: Epoch,
    snapshot: JobSnapshot,
    entries: Vec<JobEntry>,
}

#[derive(Clone)]
enum Item {
    Tick(usize),
    Control,
    Job(usize, JobEvent),
    Rack(usize, RackEvent),
    ToRack(ShardId, RackMsg),
    ToJob(usize, ShardId, JobMsg),
    Call { node: usize, vm: VmId, ticket: Ticket, call: WorkerCall, fate: CallFate },
    Flush(usize),
    Perform(usize, Vec<JobEffect>, Vec<RackEffect>),
    Leave(VmId),
    Unlist(VmId),
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum CallFate {
    Answered,
    AnswerLost,
    AnswerLate,
}

pub struct World {
    pub now: Time,
    pub options: WorldOptions,
    pub workers: BTreeMap<VmId, FakeWorker>,
    pub checker: Checker,
    pub replies: Vec<(Time, CallId, JobReply)>,
    pub rack_alarms: Vec<(Time, RackAlarm)>,
    pub job_alarms: Vec<(Time, egretlb_tasks::JobAlarm)>,
    pub faults_injected: u32,
    rng: SmallRng,
    queue: BTreeMap<(Time, u64), Item>,
    seq: u64,
    nodes: Vec<Node>,
    owners: Vec<Owner>,
    log: BTreeMap<ShardId, ShardLog>,
    log_down_until: Time,
    log_late_until: Time,
    reports_late_until: Time,
    list_stale_until: Time,
    list: Vec<VmRecord>,
    faults: Vec<(InjectedFault, bool)>,
    lose_next: HashMap<StepNumber, u32>,
    next_call: u64,
    jobs: Vec<JobSpec>,
    pub appended: u64,
}

type StepNumber = u8;

impl World {
    pub fn new(options: WorldOptions) -> Self {
        let rng = SmallRng::seed_from_u64(options.seed);
        let nodes = (0..options.nodes).map(|i| new_node(i, &options)).collect();
        let workers =
            options.vms.iter().map(|vm| (vm.vm.clone(), FakeWorker::new(vm.clone()))).collect();
        let owner = |shard: u16| {
            let best = (0..options.nodes)
                .max_by_key(|i| rendezvous_score(ShardId(shard), NodeId(*i as u64)));
            Owner { node: best.unwrap(), epoch: Epoch(1), claimed: Time::ZERO, settled: false }
        };
        let mut world = World {
            now: Time::from_secs(100),
            owners: (0..SHARD_COUNT).map(owner).collect(),
            list: options.vms.clone(),
            faults: options.faults.iter().map(|injected_fault| (*injected_fault, false)).collect(),
            options,
            workers,
            checker: Checker::default(),
            replies: Vec::new(),
            rack_alarms: Vec::new(),
            job_alarms: Vec::new(),
            faults_injected: 0,
            rng,
            queue: BTreeMap::new(),
            seq: 0,
            nodes,
            log: BTreeMap::new(),
            log_down_until: Time::ZERO,
            log_late_until: Time::ZERO,
            reports_late_until: Time::ZERO,
            list_stale_until: Time::ZERO,
            lose_next: HashMap::new(),
            next_call: 0,
            jobs: Vec::new(),
            appended: 0,
        };
        world.configure(world.options.document.clone());
        let ids: Vec<NodeId> = world.nodes.iter().map(|node| node.id).collect();
        for i in 0..world.nodes.len() {
            let nodes = ids.clone();
            world.push(Duration::ZERO, Item::Job(i, JobEvent::Nodes { nodes }));
            let offset = Duration::from_millis(7 * i as u64);
            world.push(offset, Item::Tick(i));
            world.push(offset, Item::Flush(i));
        }
        world.push(Duration::ZERO, Item::Control);
        world
    }

    /// Puts a configuration into force at every node.
    pub fn configure(&mut self, document: ConfigDocument) {
        let document = Arc::new(document);
        for i in 0..self.nodes.len() {
            let config = JobEvent::Config { document: Arc::clone(&document) };
            self.push(Duration::ZERO, Item::Job(i, config));
            let config = RackEvent::Config { document: Arc::clone(&document) };
            self.push(Duration::ZERO, Item::Rack(i, config));
        }
    }

    /// Runs the simulation for the given time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), item) = entry.remove_entry();
            self.now = at;
            self.handle_item(item);
        }
        self.now = end;
    }

    pub fn submit(&mut self, spec: JobSpec) -> CallId {
        let shard = shard_of_job(&spec.job);
        if !self.jobs.contains(&spec) {
            self.jobs.push(spec.clone());
        }
        let call = self.call_id();
        self.push(Duration::ZERO, Item::Job(self.owner(shard), JobEvent::Submit { call, spec }));
        call
    }

    pub fn cancel(&mut self, job: JobId) -> CallId {
        let call = self.call_id();
        let owner = self.owner(shard_of_job(&job));
        self.push(Duration::ZERO, Item::Job(owner, JobEvent::Cancel { call, job }));
        call
    }

    pub fn load(&mut self, class: &ClassName, load: egretlb_types::ClassLoad) {
        let owner = self.owner(egretlb_types::shard_of_class(class));
        let event = JobEvent::Load { from: NodeId(99), class: class.clone(), load };
        self.push(Duration::ZERO, Item::Job(owner, event));
    }

    pub fn status(&mut self, job: &JobId) -> Option<JobStatus> {
        let call = self.call_id();
        let owner = self.owner(job_shard_of_task(&TaskId { job: job.clone(), index: 0 }));
        let event = JobEvent::Status { call, job: job.clone() };
        self.step_job(owner, event);
        self.replies.iter().rev().find_map(|(_, of, reply)| match reply {
            JobReply::Status(status) if *of == call => Some(status.clone()),
            _ => None,
        })
    }

    pub fn reply(&self, call: CallId) -> Option<&JobReply> {
        self.replies.iter().find(|(_, of, _)| *of == call).map(|(_, _, reply)| reply)
    }

    pub fn leave(&mut self, vm: &str, after: Duration) {
        self.push(after, Item::Leave(vm.parse().unwrap()));
    }

    /// Delays reports by half a second during the given time.
    pub fn delay_reports(&mut self, span: Duration) {
        self.reports_late_until = self.now + span;
    }

    pub fn kill_worker(&mut self, vm: &VmId) {
        let Some(worker) = self.workers.get_mut(vm) else { return };
        worker.die(&mut self.checker);
        self.push(Duration::from_secs(5), Item::Unlist(vm.clone()));
    }

    pub fn vm_summaries(&self, node: usize) -> Vec<egretlb_tasks::VmSummary> {
        self.nodes[node].racks.summary()
    }

    /// Reports the final state of each accepted job to the checker.
    pub fn finish(&mut self) {
        for worker in self.workers.values_mut() {
            worker.advance(self.now, &self.options.classes, &mut self.checker);
        }
        let jobs: Vec<JobSpec> = self.jobs.clone();
        for spec in jobs {
            if !self.checker.accepted.contains(&spec.job) {
                continue;
            }
            let status = self.status(&spec.job);
            let over = status.as_ref().is_some_and(|status| status.over);
            let done = status.map_or(0, |status| status.counts.done);
            self.checker.final_state(self.now, &spec.job, over, done, spec.tasks);
        }
    }

    fn call_id(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    fn owner(&self, shard: ShardId) -> usize {
        self.owners[shard.0 as usize].node
    }

    fn push(&mut self, after: Duration, item: Item) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), item);
    }

    fn jitter(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(min * 1_000..=max * 1_000))
    }

    fn handle_item(&mut self, item: Item) {
        let target = match &item {
            Item::Tick(n) | Item::Job(n, _) | Item::Rack(n, _) | Item::Flush(n) => Some(*n),
            Item::Perform(n, ..) => Some(*n),
            Item::ToRack(shard, _) => Some(self.owner(*shard)),
            Item::ToJob(_, shard, _) => Some(self.owner(*shard)),
            _ => None,
        };
        if let Some(node) = target.map(|n| &self.nodes[n]) {
            if !node.alive {
                return;
            }
            if self.now < node.paused_until {
                let after = node.paused_until.since(self.now);
                return self.push(after, item);
            }
        }
        match item {
            Item::Tick(n) => {
                self.push(TICK, Item::Tick(n));
                self.step_job(n, JobEvent::Tick);
                self.step_rack(n, RackEvent::Tick);
            }
            Item::Control => self.control(),
            Item::Job(n, event) => self.step_job(n, event),
            Item::Rack(n, event) => self.step_rack(n, event),
            Item::ToRack(shard, msg) => {
                let n = self.owner(shard);
                self.step_rack(n, RackEvent::RackMessage { shard, msg });
            }
            Item::ToJob(from, shard, msg) => {
                let (n, from) = (self.owner(shard), self.nodes[from].id);
                self.step_job(n, JobEvent::Message { from, msg });
            }
            Item::Call { node, vm, ticket, call, fate } => {
                self.worker_call(node, vm, ticket, call, fate);
            }
            Item::Flush(n) => self.flush(n),
            Item::Perform(n, jobs, racks) => {
                self.perform_jobs(n, jobs);
                self.perform_racks(n, racks);
            }
            Item::Leave(vm) => {
                for record in self.list.iter_mut().filter(|record| record.vm == vm) {
                    record.state = VmState::Leaving;
                }
            }
            Item::Unlist(vm) => self.list.retain(|record| record.vm != vm),
        }
    }

    fn step_job(&mut self, n: usize, event: JobEvent) {
        let now = self.now;
        let Node { jobs, view, held_until, .. } = &mut self.nodes[n];
        let mut out = Vec::new();
        jobs.step(now, event, &View(view, *held_until), &mut out);
        self.perform_jobs(n, out);
    }

    fn step_rack(&mut self, n: usize, event: RackEvent) {
        let now = self.now;
        let Node { racks, view, held_until, .. } = &mut self.nodes[n];
        let mut out = Vec::new();
        racks.step(now, event, &View(view, *held_until), &mut out);
        self.perform_racks(n, out);
    }

    pub fn kill_rack_owner(&mut self, rack: &str) {
        let owner = self.owner(shard_of_rack(&rack.parse().unwrap()));
        self.kill(owner);
    }

    pub fn kill(&mut self, n: usize) {
        if self.nodes.iter().filter(|node| node.alive).count() > 2 {
            self.nodes[n].alive = false;
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Deliver,
    Lose,
    Late,
    VeryLate,
    Twice,
}

fn new_node(i: usize, options: &WorldOptions) -> Node {
    let seed = options.seed.wrapping_mul(31).wrapping_add(i as u64);
    let jobs = JobTable::builder()
        .limits(options.limits.clone())
        .protections(options.protections)
        .seed(seed)
        .build();
    let racks = RackTable::builder()
        .limits(options.limits.clone())
        .protections(options.protections)
        .learning(options.learning)
        .seed(seed + 1)
        .build();
    Node {
        id: NodeId(i as u64),
        alive: true,
        paused_until: Time::ZERO,
        cut_until: Time::ZERO,
        jobs,
        racks,
        view: BTreeMap::new(),
        held_until: Time::ZERO,
        read_at: Time::ZERO,
        journal: VecDeque::new(),
    }
}
