//! The simulation: schedulers, a log and workers.

mod performing;

use {
    self::performing::Traffic,
    egretlb_config::parse_config,
    egretlb_control::{NodeInfo, Role},
    egretlb_node::{
        CallTicket, NodeEvent, OperatorReply, OperatorRequest, Scheduler, SchedulerOptions,
    },
    egretlb_standins::{
        checker::History,
        log::{LogSettings, LogState},
        worker::{WorkerSettings, WorkerState},
    },
    egretlb_types::{Megabytes, MilliCores, NodeId, Resources, Time, VmId, VmRecord, VmState},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
};

/// Number of tasks of the submitted job.
pub const JOB_TASKS: u32 = 6;

const JOB: &str = "recall-1";
const TICK: Duration = Duration::from_millis(100);
const WORKERS: usize = 3;

const CLASSES: &str = r#"{
  "teams": [{ "name": "all", "member": "firm", "quota": { "cpu": "90000m", "memory": "90000MB" } }],
  "classes": [{ "name": "merge", "member": "firm", "team": "all",
      "batch": { "amount": 100, "within": "1h", "run_time": "3s", "urgent": true,
                 "task": { "cpu": "1000m", "memory": "1000MB" } } }],
}"#;

/// A fault of one scheduler, or of the log for all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorldFault {
    /// The process dies; a new one without state takes its place.
    Kill,
    /// The process is paused for longer than its lease, then continues.
    Pause,
    /// It can't reach the log.
    CutFromLog,
    /// It can't reach its peers.
    CutFromPeers,
    /// It can't reach the workers.
    CutFromWorkers,
    /// It shuts down gracefully; a new one without state takes its place.
    Shutdown,
    /// No process can reach the log.
    LogDown,
    /// Appends succeed, but their answers are lost, for all processes.
    AnswersLost,
}

impl WorldFault {
    /// All faults.
    pub const ALL: [WorldFault; 8] = [
        WorldFault::Kill,
        WorldFault::Pause,
        WorldFault::CutFromLog,
        WorldFault::CutFromPeers,
        WorldFault::CutFromWorkers,
        WorldFault::Shutdown,
        WorldFault::LogDown,
        WorldFault::AnswersLost,
    ];

    /// How long a fault lasts; longer than a lease and the wait for its expiry.
    const DURATION: Duration = Duration::from_secs(8);
}

struct Node {
    scheduler: Scheduler,
    addr: String,
    paused_until: Time,
    cut: Option<(WorldFault, Time)>,
    next_tick: Time,
    gone: bool,
}

impl Node {
    fn is_cut(&self, now: Time, from: WorldFault) -> bool {
        self.cut.is_some_and(|(fault, until)| fault == from && now < until)
    }
}

/// Schedulers, a log and workers in virtual time.
pub struct World {
    pub now: Time,
    rng: SmallRng,
    nodes: Vec<Node>,
    log: LogState,
    log_down_until: Time,
    answers_lost_until: Time,
    workers: Vec<WorkerState>,
    traffic: BTreeMap<(Time, u64), (usize, Traffic)>,
    next: u64,
    replies: BTreeMap<CallTicket, OperatorReply>,
    /// Whether the submission was acknowledged.
    accepted: bool,
}

fn capacity() -> Resources {
    Resources { cpu: MilliCores(4_000), memory: Megabytes(8_000), ..Resources::default() }
}

fn vm(n: usize) -> VmId {
    format!("w-{n}").parse().expect("a valid name")
}

impl World {
    /// Schedulers that have just started.
    pub fn new(schedulers: usize, seed: u64) -> Self {
        let settings = |n| WorkerSettings::new(vm(n), capacity());
        let mut world = World {
            now: Time::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            log: LogState::new(LogSettings::default()),
            log_down_until: Time::ZERO,
            answers_lost_until: Time::ZERO,
            workers: (0..WORKERS).map(|n| WorkerState::new(settings(n))).collect(),
            traffic: BTreeMap::new(),
            next: 0,
            replies: BTreeMap::new(),
            accepted: false,
        };
        for _ in 0..schedulers {
            world.add_scheduler();
        }
        world
    }

    fn add_scheduler(&mut self) {
        let id = NodeId(self.rng.random::<u64>() >> 11);
        let addr = format!("10.0.0.{}:7000", self.nodes.len());
        let info = NodeInfo {
            node: id,
            role: Role::Scheduler,
            data_centre: "dc-1".parse().expect("a valid name"),
            peer_addr: addr.as_str().into(),
            http_addr: addr.as_str().into(),
        };
        let options = SchedulerOptions { info, seed: id.0, seeds: Default::default() };
        let scheduler = Scheduler::new(options);
        self.nodes.push(Node {
            scheduler,
            addr,
            paused_until: Time::ZERO,
            cut: None,
            next_tick: self.now,
            gone: false,
        });
    }

    fn records(&self) -> Vec<VmRecord> {
        let record = |n| VmRecord {
            vm: vm(n),
            addr: format!("worker-{n}").into(),
            data_centre: "dc-1".parse().expect("a valid name"),
            rack: format!("rack-{n}").parse().expect("a valid name"),
            state: VmState::Live,
            capacity: capacity(),
            slots: 8,
            connections: 64,
        };
        (0..self.workers.len()).map(record).collect()
    }

    /// A node that is neither gone nor paused.
    fn any_node(&self) -> usize {
        let is_available = |node: &Node| !node.gone && node.paused_until <= self.now;
        self.nodes.iter().rposition(is_available).expect("some scheduler is up")
    }

    fn send_call(&mut self, call: CallTicket, request: OperatorRequest) {
        let node = self.any_node();
        self.step(node, NodeEvent::Operator { call, request }.into());
    }

    /// Runs until `done`, for `limit` at most. Returns whether `done` was reached.
    pub fn run_until(&mut self, limit: Duration, mut done: impl FnMut(&mut World) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.advance(Duration::from_millis(50));
        }
        done(self)
    }

    /// Runs the events of the next `span`.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let tick = self
                .nodes
                .iter()
                .filter(|n| !n.gone)
                .map(|n| n.next_tick.max(n.paused_until))
                .min();
            let traffic = self.traffic.keys().next().map(|(at, _)| *at);
            let Some(at) = [tick, traffic].into_iter().flatten().min().filter(|at| *at <= end)
            else {
                break;
            };
            self.now = self.now.max(at);
            if traffic == Some(at) {
                let (_, (node, traffic)) = self.traffic.pop_first().expect("just seen");
                self.arrive(node, traffic);
            } else {
                self.tick();
            }
        }
        self.now = end;
    }

    fn tick(&mut self) {
        for ix in 0..self.nodes.len() {
            let node = &mut self.nodes[ix];
            if node.gone || node.next_tick > self.now || node.paused_until > self.now {
                continue;
            }
            node.next_tick = self.now + TICK;
            self.step(ix, NodeEvent::Tick.into());
            let second = self.now.as_micros() / 1_000_000;
            if second != (self.now - TICK).as_micros() / 1_000_000 {
                let vms = self.records();
                self.step(ix, NodeEvent::Vms(vms).into());
            }
        }
    }

    /// The scheduler that owns the most shards.
    fn victim(&self) -> usize {
        let owned = |ix: &usize| self.nodes[*ix].scheduler.control().shard_counts().0;
        let live = (0..self.nodes.len()).filter(|ix| !self.nodes[*ix].gone);
        live.max_by_key(owned).expect("some scheduler is up")
    }

    /// Injects a fault now.
    pub fn inject(&mut self, fault: WorldFault) {
        let (ix, until) = (self.victim(), self.now + WorldFault::DURATION);
        match fault {
            WorldFault::Kill => {
                self.nodes[ix].gone = true;
                self.add_scheduler();
            }
            WorldFault::Pause => self.nodes[ix].paused_until = until,
            WorldFault::CutFromLog | WorldFault::CutFromPeers | WorldFault::CutFromWorkers => {
                self.nodes[ix].cut = Some((fault, until));
            }
            WorldFault::Shutdown => self.step(ix, NodeEvent::Shutdown.into()),
            WorldFault::LogDown => self.log_down_until = until,
            WorldFault::AnswersLost => self.answers_lost_until = until,
        }
    }

    /// Proposes the configuration until it is accepted.
    pub fn configure(&mut self) {
        let document = parse_config(CLASSES).expect("no faults");
        let call = CallTicket(1);
        let proposal = egretlb_api::ProposalId(7);
        let propose =
            egretlb_api::ProposeConfig { proposal, base: None, document, by: "test".into() };
        let in_force = self.run_until(Duration::from_secs(30), |world| {
            let request = OperatorRequest::Propose(Box::new(propose.clone()));
            world.send_call(call, request);
            world.advance(Duration::from_secs(2));
            matches!(
                world.replies.remove(&call),
                Some(OperatorReply::Propose(egretlb_api::ProposeAnswer::Accepted { .. }))
            )
        });
        assert!(in_force, "the configuration wasn't accepted");
    }

    /// Submits the job unless it was acknowledged.
    pub fn submit(&mut self) {
        let submit = egretlb_api::SubmitJob {
            job: JOB.parse().expect("a valid name"),
            class: "merge".parse().expect("a valid name"),
            tasks: JOB_TASKS,
            command: "merge run=3s checkpoint=500ms".into(),
            resources: None,
        };
        let call = CallTicket(2);
        if !self.accepted {
            self.send_call(call, OperatorRequest::Submit(submit));
        }
    }

    /// Number of finished tasks, if a node answered the previous call.
    pub fn done(&mut self) -> Option<u32> {
        if let Some(OperatorReply::Submit(answer)) = self.replies.remove(&CallTicket(2)) {
            self.accepted |= answer == egretlb_api::SubmitAnswer::Accepted;
        }
        let call = CallTicket(3);
        let answer = match self.replies.remove(&call) {
            Some(OperatorReply::Job(egretlb_api::JobAnswer::Found { job })) => Some(job.tasks.done),
            _ => None,
        };
        self.send_call(call, OperatorRequest::Job(JOB.parse().expect("a valid name")));
        answer
    }

    /// Whether the submission was acknowledged.
    pub fn accepted(&self) -> bool {
        self.accepted
    }

    /// The history recorded by the workers.
    pub fn history(&mut self) -> History {
        let now = self.now;
        self.workers.iter_mut().for_each(|worker| worker.advance(now));
        let worker_events = self.workers.iter().flat_map(|w| w.history().to_vec()).collect();
        let capacities = (0..self.workers.len()).map(|n| (vm(n), capacity())).collect();
        History { worker_events, capacities, ..History::default() }
    }
}
