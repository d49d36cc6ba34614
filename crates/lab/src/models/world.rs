//! Nodes with their tables, journals and workers, in virtual time.
//!
//! The log answers after 5 to 20 ms, a message between nodes arrives after 1 ms, a worker answers
//! after 2 ms. Messages aren't lost. The workers are the stand-ins' state machines.

use {
    crate::{
        measure::OpTimer,
        models::{
            place::{Held, node_id, owner, shards_of, vm_list},
            timeline::Timeline,
        },
    },
    egretlb_log::{AppendOutcome, EntryKind, JournalEntry, JournalWriter, WriterOptions},
    egretlb_standins::worker::{WorkerSettings, WorkerState},
    egretlb_tasks::{
        CallId, JobEffect, JobEvent, JobReply, JobSpec, JobTable, RackEffect, RackEvent, RackTable,
        WorkerAnswer, WorkerCall,
    },
    egretlb_types::{
        ClassLoad, ClassName, ConfigDocument, JobId, NodeId, Offset, Seq, ShardId, Ticket, Time,
        VmId, shard_of_class, shard_of_job,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde::Serialize,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(100);
const PEER_DELAY: Duration = Duration::from_millis(1);
const WORKER_DELAY: Duration = Duration::from_millis(2);
const ANSWER_MS: std::ops::Range<u64> = 5..20;

/// Totals of all nodes since the last reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Duration of the steps of the job tables.
    pub jobs_time: Duration,
    /// Duration of the steps of the rack tables.
    pub racks_time: Duration,
    /// Duration of the journal writers' calls.
    pub journal_time: Duration,
    /// Messages between different nodes.
    pub messages: u64,
    /// Bytes of these messages.
    pub message_bytes: u64,
    /// Report calls to workers.
    pub reports: u64,
    /// Lease renewals at workers.
    pub renewals: u64,
    /// Other calls to workers.
    pub other_calls: u64,
    /// JSON bytes of all worker calls and their answers.
    pub worker_bytes: u64,
    /// JSON bytes of the reports.
    pub report_bytes: u64,
    /// Appends to the journals.
    pub appends: u64,
    /// Bytes of these appends.
    pub append_bytes: u64,
    /// Journal entries.
    pub entries: u64,
    /// Start calls to workers.
    pub starts: u64,
    /// Submissions accepted.
    pub accepted: u64,
    /// Submissions refused.
    pub refused: u64,
}

enum Event {
    Tick,
    Job(JobEvent),
    Rack(RackEvent),
    LogAnswer(Seq),
    Flush,
    Call { ticket: Ticket, vm: VmId, call: WorkerCall },
}

struct Node {
    jobs: JobTable,
    racks: RackTable,
    writer: JournalWriter,
    held: Held,
}

/// The nodes, their workers and the virtual time.
pub struct World {
    now: Time,
    rng: SmallRng,
    nodes: Vec<Node>,
    index: BTreeMap<NodeId, usize>,
    owners: Vec<usize>,
    workers: BTreeMap<VmId, WorkerState>,
    timeline: Timeline<(usize, Event)>,
    submitted: BTreeMap<JobId, Time>,
    watched: BTreeMap<ClassName, OpTimer>,
    others: OpTimer,
    totals: Totals,
    next_call: u64,
}

impl World {
    /// Creates nodes that own all shards, and idle workers.
    pub fn new(nodes: usize, workers: usize, document: Arc<ConfigDocument>, seed: u64) -> Self {
        let list = vm_list(workers);
        let worker = |record: &egretlb_types::VmRecord| {
            let settings = WorkerSettings::new(record.vm.clone(), record.capacity);
            (record.vm.clone(), WorkerState::new(settings))
        };
        let mut world = World {
            now: Time::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            index: (0..nodes).map(|n| (node_id(n), n)).collect(),
            owners: (0..egretlb_types::SHARD_COUNT).map(|s| owner(ShardId(s), nodes)).collect(),
            workers: list.iter().map(worker).collect(),
            timeline: Timeline::new(),
            submitted: BTreeMap::new(),
            watched: BTreeMap::new(),
            others: OpTimer::new(),
            totals: Totals::default(),
            next_call: 0,
        };
        let ids: Vec<_> = (0..nodes).map(node_id).collect();
        for n in 0..nodes {
            world.add_node(n, &ids, &list, &document, seed);
        }
        world
    }

    fn add_node(
        &mut self,
        n: usize,
        ids: &[NodeId],
        list: &[egretlb_types::VmRecord],
        document: &Arc<ConfigDocument>,
        seed: u64,
    ) {
        let shards = shards_of(n, ids.len());
        let seed = seed.wrapping_mul(1_000).wrapping_add(n as u64);
        self.nodes.push(Node {
            jobs: JobTable::builder().seed(seed).build(),
            racks: RackTable::builder().seed(seed).build(),
            writer: JournalWriter::new(WriterOptions::new(ids[n], seed)),
            held: Held::new(&shards),
        });
        self.job(n, JobEvent::Config { document: Arc::clone(document) });
        self.rack(n, RackEvent::Config { document: Arc::clone(document) });
        self.job(n, JobEvent::Nodes { nodes: ids.to_vec() });
        for shard in shards {
            self.job(n, JobEvent::Owned { shard, epoch: Held::EPOCH });
            self.rack(n, RackEvent::Owned { shard, epoch: Held::EPOCH, released: true });
        }
        self.rack(n, RackEvent::Vms { vms: list.to_vec() });
        let offset = TICK.mul_f64(n as f64 / ids.len() as f64);
        self.push(self.now + offset, n, Event::Tick);
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, (node, event))) = self.timeline.pop_before(until) {
            self.now = at;
            self.step(node, event);
        }
        self.now = until;
    }

    /// Submits a job at its owner; start delays count from now.
    pub fn submit(&mut self, spec: JobSpec) {
        self.submitted.insert(spec.job.clone(), self.now);
        let node = self.owners[usize::from(shard_of_job(&spec.job).0)];
        self.next_call += 1;
        self.job(node, JobEvent::Submit { call: CallId(self.next_call), spec });
    }

    /// Reports an entry's load to the owner of a class.
    pub fn report_load(&mut self, class: &ClassName, load: ClassLoad) {
        let node = self.owners[usize::from(shard_of_class(class).0)];
        self.job(node, JobEvent::Load { from: node_id(0), class: class.clone(), load });
    }

    /// Measures the start delays of a class separately.
    pub fn watch(&mut self, class: ClassName) {
        self.watched.insert(class, OpTimer::new());
    }

    /// Resets all counts and timers.
    pub fn reset(&mut self) {
        self.totals = Totals::default();
        self.others = OpTimer::new();
        for timer in self.watched.values_mut() {
            *timer = OpTimer::new();
        }
    }

    /// Returns the totals.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the delays from submission to start of a watched class, or of all others.
    pub fn delays(&self, class: Option<&ClassName>) -> &OpTimer {
        class.and_then(|class| self.watched.get(class)).unwrap_or(&self.others)
    }

    /// Returns the number of running tasks.
    pub fn running(&mut self) -> usize {
        let now = self.now;
        self.workers.values_mut().map(|worker| worker.report(now).running.len()).sum()
    }

    fn push(&mut self, at: Time, node: usize, event: Event) {
        self.timeline.push(at, (node, event));
    }

    fn step(&mut self, node: usize, event: Event) {
        match event {
            Event::Tick => {
                self.job(node, JobEvent::Tick);
                self.rack(node, RackEvent::Tick);
                self.push(self.now + TICK, node, Event::Tick);
            }
            Event::Job(event) => self.job(node, event),
            Event::Rack(event) => self.rack(node, event),
            Event::LogAnswer(seq) => self.log_answered(node, seq),
            Event::Flush => self.flush(node),
            Event::Call { ticket, vm, call } => self.call(node, ticket, &vm, call),
        }
    }

    fn job(&mut self, node: usize, event: JobEvent) {
        let mut out = Vec::new();
        let Node { jobs, held, .. } = &mut self.nodes[node];
        let start = Instant::now();
        jobs.step(self.now, event, held, &mut out);
        self.totals.jobs_time += start.elapsed();
        for effect in out {
            self.perform_job(node, effect);
        }
        self.flush(node);
    }

    fn rack(&mut self, node: usize, event: RackEvent) {
        let mut out = Vec::new();
        let Node { racks, held, .. } = &mut self.nodes[node];
        let start = Instant::now();
        racks.step(self.now, event, held, &mut out);
        self.totals.racks_time += start.elapsed();
        for effect in out {
            self.perform_rack(node, effect);
        }
    }

    fn perform_job(&mut self, node: usize, effect: JobEffect) {
        match effect {
            JobEffect::Journal { shard, entry, ticket } => {
                let body = postcard::to_stdvec(&entry).expect("entries encode");
                let kind = EntryKind::Change;
                let entry = JournalEntry { shard, epoch: Held::EPOCH, kind, body };
                self.totals.entries += 1;
                let pushed = self.nodes[node].writer.push(entry, ticket);
                pushed.expect("the model's log is never down");
            }
            JobEffect::SendToNode { node: to, msg } => {
                let to = self.index[&to];
                self.count_message(node, to, &msg);
                let event = RackEvent::NodeMessage { from: node_id(node), msg };
                self.push(self.now + PEER_DELAY, to, Event::Rack(event));
            }
            JobEffect::SendToRack { shard, msg } => {
                let to = self.owners[usize::from(shard.0)];
                self.count_message(node, to, &msg);
                let event = RackEvent::RackMessage { shard, msg };
                self.push(self.now + PEER_DELAY, to, Event::Rack(event));
            }
            JobEffect::Reply { reply, .. } => match reply {
                JobReply::Accepted { .. } => self.totals.accepted += 1,
                _ => self.totals.refused += 1,
            },
            JobEffect::Alarm(_) => {}
        }
    }

    fn perform_rack(&mut self, node: usize, effect: RackEffect) {
        match effect {
            RackEffect::CallWorker { vm, ticket, call, .. } => {
                self.push(self.now + WORKER_DELAY / 2, node, Event::Call { ticket, vm, call });
            }
            RackEffect::SendToJob { shard, msg } => {
                let to = self.owners[usize::from(shard.0)];
                self.count_message(node, to, &msg);
                let event = JobEvent::Message { from: node_id(node), msg };
                self.push(self.now + PEER_DELAY, to, Event::Job(event));
            }
            RackEffect::Backends { .. } | RackEffect::Alarm(_) => {}
        }
    }

    fn count_message(&mut self, from: usize, to: usize, msg: &impl Serialize) {
        if from != to {
            self.totals.messages += 1;
            self.totals.message_bytes += postcard::to_stdvec(msg).map_or(0, |b| b.len() as u64);
        }
    }

    fn flush(&mut self, node: usize) {
        let now = self.now;
        let start = Instant::now();
        let append = self.nodes[node].writer.poll(now);
        self.totals.journal_time += start.elapsed();
        if let Some(append) = append {
            self.totals.appends += 1;
            self.totals.append_bytes += append.bytes.len() as u64;
            let answer_delay = Duration::from_millis(self.rng.random_range(ANSWER_MS));
            self.push(now + answer_delay, node, Event::LogAnswer(append.seq));
        }
    }

    fn log_answered(&mut self, node: usize, seq: Seq) {
        let outcome = AppendOutcome::Appended(Offset(seq.0));
        let start = Instant::now();
        let answered = self.nodes[node].writer.answered(self.now, seq, outcome);
        let wake = self.nodes[node].writer.wake_at();
        self.totals.journal_time += start.elapsed();
        for ticket in answered.durable {
            self.job(node, JobEvent::Journaled { ticket });
        }
        if let Some(at) = wake {
            self.push(at.max(self.now), node, Event::Flush);
        }
    }

    fn call(&mut self, node: usize, ticket: Ticket, vm: &VmId, call: WorkerCall) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(vm) else { return };
        let mut started_task = None;
        let (call_len, answer, answer_len) = match call {
            WorkerCall::Start(start) => {
                self.totals.other_calls += 1;
                self.totals.starts += 1;
                started_task = Some((start.task.job.clone(), start.class.clone()));
                let call_len = json_len(&start);
                let answer = worker.start(now, start);
                (call_len, WorkerAnswer::Start(answer), json_len(&answer))
            }
            WorkerCall::Renew(renew) => {
                self.totals.renewals += 1;
                let call_len = json_len(&renew);
                let answer = worker.renew(now, renew);
                let answer_len = json_len(&answer);
                (call_len, WorkerAnswer::Renew(answer), answer_len)
            }
            WorkerCall::Stop(stop) => {
                self.totals.other_calls += 1;
                let (call_len, answer) = (json_len(&stop), worker.stop(now, stop));
                let answer_len = json_len(&answer);
                (call_len, WorkerAnswer::Stop(answer), answer_len)
            }
            WorkerCall::Throttle(throttle) => {
                self.totals.other_calls += 1;
                let (call_len, answer) = (json_len(&throttle), worker.throttle(now, throttle));
                let answer_len = json_len(&answer);
                (call_len, WorkerAnswer::Stop(answer), answer_len)
            }
            WorkerCall::Report => {
                self.totals.reports += 1;
                let report = worker.report(now);
                let answer_len = json_len(&report);
                self.totals.report_bytes += answer_len;
                (0, WorkerAnswer::Report(report), answer_len)
            }
        };
        self.totals.worker_bytes += call_len + answer_len;
        let event = RackEvent::WorkerAnswered { ticket, result: Ok(answer) };
        self.push(now + WORKER_DELAY / 2, node, Event::Rack(event));
        if let Some((job, class)) = started_task {
            self.time_start(&job, &class);
        }
    }

    fn time_start(&mut self, job: &JobId, class: &ClassName) {
        let Some(submitted) = self.submitted.get(job) else { return };
        let delay = self.now.since(*submitted);
        self.watched.get_mut(class).unwrap_or(&mut self.others).add(delay);
    }
}

fn json_len(value: &impl Serialize) -> u64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}
