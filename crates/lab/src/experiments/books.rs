//! Memory of the job and rack tables, and cost of placements and takeovers.

use {
    crate::{
        measure::{CpuClock, OpTimer, Series, resident_bytes},
        models::{
            class_name, document,
            place::{Held, node_id, vm_list},
        },
        report::Report,
    },
    compact_str::format_compact,
    egretlb_log::{EntryKind, JournalBatch, JournalEntry, JournalReader, ReadOutcome, Record},
    egretlb_tasks::{
        CallId, JobEffect, JobEvent, JobSpec, JobTable, RackEffect, RackEvent, RackTable,
        WorkerAnswer, WorkerCall,
        msg::{NodeMsg, Place, TaskRequest},
    },
    egretlb_types::{
        Attempt, ClassName, Epoch, Fence, JobId, Megabytes, MilliCores, Offset, Resources,
        SHARD_COUNT, Seq, ShardId, TaskId, Ticket, Time, VmId, shard_of_job,
        worker::{RunningTask, TaskFence, WorkerReport},
    },
    std::{
        mem,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Running tasks per worker at the target size: 17,200 tasks on 1,300 workers.
const TASKS_PER_VM: usize = 13;

/// Number of placements per measurement.
const PLACEMENTS: u32 = 4_000;

/// Index of a batch class of the model's configuration.
const BATCH_CLASS: usize = 13;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("books", seed);
    jobs(seed, &mut report);
    racks(seed, &mut report);
    placement(seed, &mut report);
    takeover(seed, &mut report);
    report
}

/// Leaks a value, so that the next measurement of memory growth can't reuse its memory.
fn leak<T>(value: T) {
    mem::forget(value);
}

fn all_shards() -> Vec<ShardId> {
    (0..SHARD_COUNT).map(ShardId).collect()
}

fn size(cpu: u32, memory: u32) -> Resources {
    Resources { cpu: MilliCores(cpu), memory: Megabytes(memory), ..Resources::default() }
}

/// A rack table that owns all shards, with a model of its workers.
struct RackModel {
    table: RackTable,
    held: Held,
    now: Time,
    tasks_per_vm: usize,
}

impl RackModel {
    fn new(seed: u64, tasks_per_vm: usize) -> Self {
        let shards = all_shards();
        let table = RackTable::builder().seed(seed).build();
        let mut racks =
            RackModel { table, held: Held::new(&shards), now: Time::ZERO, tasks_per_vm };
        racks.step(RackEvent::Config { document: Arc::new(document(40, 25)) });
        for shard in shards {
            racks.step(RackEvent::Owned { shard, epoch: Held::EPOCH, released: true });
        }
        racks
    }

    fn step(&mut self, event: RackEvent) -> Vec<RackEffect> {
        let mut out = Vec::new();
        self.table.step(self.now, event, &self.held, &mut out);
        out
    }

    /// Adds VMs and answers the first calls for their reports.
    fn add_vms(&mut self, vms: usize) {
        self.step(RackEvent::Vms { vms: vm_list(vms) });
        for _ in 0..8 {
            self.now = self.now + Duration::from_secs(1);
            self.tick();
        }
    }

    fn tick(&mut self) {
        for effect in self.step(RackEvent::Tick) {
            let RackEffect::CallWorker { vm, ticket, call, .. } = effect else { continue };
            let answer = match call {
                WorkerCall::Report => WorkerAnswer::Report(self.report(&vm)),
                WorkerCall::Renew(_) => WorkerAnswer::Renew(Default::default()),
                _ => continue,
            };
            self.step(RackEvent::WorkerAnswered { ticket, result: Ok(answer) });
        }
    }

    fn report(&self, vm: &VmId) -> WorkerReport {
        let running = |n: usize| RunningTask {
            of: TaskFence {
                task: TaskId { job: job_id(vm.as_str(), n), index: 0 },
                fence: Fence { epoch: Epoch(1), attempt: Attempt(1) },
            },
            class: class_name(BATCH_CLASS),
            service: false,
            resources: size(1_000, 2_000),
            used: size(800, 1_500),
            slowdown_permille: 1_000,
        };
        let running = (0..self.tasks_per_vm).map(running).collect();
        WorkerReport { running, ..WorkerReport::default() }
    }
}

fn job_id(prefix: &str, n: usize) -> JobId {
    format_compact!("job-{prefix}-{n}").parse().expect("a name")
}

fn racks(seed: u64, report: &mut Report) {
    let mut empty = Series::new("rack book, VMs that run nothing", "VMs", "MB");
    let mut full = Series::new("rack book, 13 tasks on each VM", "VMs", "MB");
    for (series, tasks) in [(&mut empty, 0), (&mut full, TASKS_PER_VM)] {
        let mut racks = RackModel::new(seed, tasks);
        let before = resident_bytes();
        for vms in [1_300, 2_600, 5_200, 10_400] {
            racks.add_vms(vms);
            series.push(vms as f64, (resident_bytes() - before) / 1e6);
        }
        leak(racks);
    }
    report.series.extend([empty, full]);
}

fn placement(seed: u64, report: &mut Report) {
    let mut cost = Series::new("processor time of a placement", "VMs", "us");
    let mut tick = Series::new("processor time of a tick", "VMs", "us");
    for vms in [65, 1_300, 5_000] {
        let mut racks = RackModel::new(seed, TASKS_PER_VM);
        racks.add_vms(vms);
        let mut timer = OpTimer::new();
        let mut granted = 0;
        let mut spent = Duration::ZERO;
        for n in 0..PLACEMENTS {
            racks.now = racks.now + Duration::from_millis(50);
            let msg = NodeMsg::Place(place(n));
            let event = RackEvent::NodeMessage { from: node_id(1), msg };
            let start = Instant::now();
            let out = racks.step(event);
            spent += start.elapsed();
            timer.add(start.elapsed());
            granted += out.iter().filter(|effect| is_grant(effect)).count();
            if n % 20 == 0 {
                racks.tick();
            }
        }
        let cpu = CpuClock::start();
        for _ in 0..100 {
            racks.now = racks.now + Duration::from_millis(1);
            racks.step(RackEvent::Tick);
        }
        tick.push(vms as f64, cpu.micros_each(100));
        cost.push(vms as f64, spent.as_secs_f64() * 1e6 / f64::from(PLACEMENTS));
        report.spreads.push(timer.spread("placement", vms as f64));
        if vms == 1_300 {
            report.fact("placements granted, 1300 VMs", granted as f64 / f64::from(PLACEMENTS), "");
        }
    }
    report.series.extend([cost, tick]);
}

fn is_grant(effect: &RackEffect) -> bool {
    use egretlb_tasks::msg::JobMsg;
    matches!(effect, RackEffect::SendToJob { msg: JobMsg::Placed(p), .. } if !p.granted.is_empty())
}

fn place(n: u32) -> Place {
    let request = TaskRequest {
        task: TaskId { job: job_id("want", n as usize), index: 0 },
        attempt: Attempt(1),
        class: class_name(BATCH_CLASS),
        team: None,
        resources: size(1_000, 2_000),
        learned_size: false,
        service: false,
        over_quota: false,
        reclaim: false,
        avoid: Default::default(),
        avoid_data_centres: Default::default(),
    };
    Place { shard: ShardId(0), round: Ticket(u64::from(n) + 1), requests: vec![request] }
}

/// A job table that owns all shards but has no worker capacity.
struct JobModel {
    table: JobTable,
    held: Held,
    now: Time,
    entries: Vec<(ShardId, Vec<u8>)>,
    submitted: usize,
}

impl JobModel {
    fn new(seed: u64) -> Self {
        let shards = all_shards();
        let table = JobTable::builder().seed(seed).build();
        let held = Held::new(&shards);
        let mut jobs = JobModel { table, held, now: Time::ZERO, entries: Vec::new(), submitted: 0 };
        jobs.step(JobEvent::Config { document: Arc::new(document(40, 25)) });
        for shard in shards {
            jobs.step(JobEvent::Owned { shard, epoch: Held::EPOCH });
        }
        jobs
    }

    fn step(&mut self, event: JobEvent) {
        let mut out = Vec::new();
        self.table.step(self.now, event, &self.held, &mut out);
        for effect in out {
            if let JobEffect::Journal { shard, entry, ticket } = effect {
                self.entries.push((shard, postcard::to_stdvec(&entry).expect("entries encode")));
                self.step(JobEvent::Journaled { ticket });
            }
        }
    }

    fn submit(&mut self, tasks: u32) {
        self.submitted += 1;
        let class: ClassName = class_name(BATCH_CLASS);
        let command = "reconcile --registry bogota --night 2026-01-31".into();
        let job = job_id("batch", self.submitted);
        let spec = JobSpec { job, class, tasks, command, resources: None };
        self.step(JobEvent::Submit { call: CallId(self.submitted as u64), spec });
    }
}

fn jobs(seed: u64, report: &mut Report) {
    let mut memory = Series::new("job book, queued tasks", "tasks", "MB");
    let mut snapshot = Series::new("snapshots of all job shards, queued tasks", "tasks", "kB");
    let mut single_task_jobs = Series::new("job book, jobs of one task", "jobs", "MB");
    let mut model = JobModel::new(seed);
    let before = resident_bytes();
    for tasks in [50_000, 100_000, 200_000, 400_000] {
        while model.submitted * 25 < tasks {
            model.submit(25);
        }
        model.entries.clear();
        memory.push(tasks as f64, (resident_bytes() - before) / 1e6);
        let len = |shard: &ShardId| {
            postcard::to_stdvec(&model.table.snapshot(*shard)).map_or(0, |b| b.len())
        };
        let bytes: usize = all_shards().iter().map(len).sum();
        snapshot.push(tasks as f64, bytes as f64 / 1e3);
    }
    leak(model);
    let mut model = JobModel::new(seed);
    let before = resident_bytes();
    for jobs in [10_000, 20_000, 40_000, 80_000] {
        while model.submitted < jobs {
            model.submit(1);
        }
        model.entries.clear();
        single_task_jobs.push(jobs as f64, (resident_bytes() - before) / 1e6);
    }
    leak(model);
    report.series.extend([memory, snapshot, single_task_jobs]);
}

/// Measures the recovery of a shard from a snapshot of its jobs and one change per job.
fn takeover(seed: u64, report: &mut Report) {
    let mut read = Series::new("reading a shard's journal back", "tasks of the shard", "ms");
    let mut fold = Series::new("restoring, replaying, owning a shard", "tasks of the shard", "ms");
    let mut bytes = Series::new("journal read for a shard", "tasks of the shard", "kB");
    for tasks in [1_000, 10_000, 40_000] {
        let mut previous_owner = JobModel::new(seed);
        let shard = fill_shard(&mut previous_owner, tasks);
        let records = journal_of(&previous_owner, shard);
        let total: usize = records.iter().map(|record| record.bytes.len()).sum();
        bytes.push(tasks as f64, total as f64 / 1e3);
        let start = Instant::now();
        let mut reader = JournalReader::new(node_id(0), [(shard, Held::EPOCH)]);
        let next = Offset(records.len() as u64);
        reader.fold(ReadOutcome::Page { records, next, end: true });
        let recovered = reader.recovered(shard, Held::EPOCH).expect("a snapshot").clone();
        read.push(tasks as f64, start.elapsed().as_secs_f64() * 1e3);
        let start = Instant::now();
        let mut new = JobTable::builder().seed(seed).build();
        new.restore(shard, postcard::from_bytes(&recovered.snapshot).expect("a snapshot"));
        for change in &recovered.changes {
            new.replay(shard, &postcard::from_bytes(change).expect("an entry"));
        }
        let held = Held::new(&[shard]);
        let event = JobEvent::Owned { shard, epoch: Held::EPOCH };
        new.step(Time::ZERO, event, &held, &mut Vec::new());
        fold.push(tasks as f64, start.elapsed().as_secs_f64() * 1e3);
    }
    report.series.extend([read, fold, bytes]);
}

/// Submits jobs until one shard has `tasks` tasks; returns the shard.
fn fill_shard(jobs: &mut JobModel, tasks: usize) -> ShardId {
    let shard = shard_of_job(&job_id("batch", 1));
    let mut held = 0;
    while held < tasks {
        let next = job_id("batch", jobs.submitted + 1);
        if shard_of_job(&next) == shard {
            jobs.submit(25);
            held += 25;
        } else {
            jobs.submitted += 1;
        }
    }
    shard
}

fn journal_of(jobs: &JobModel, shard: ShardId) -> Vec<Record> {
    let snapshot = postcard::to_stdvec(&jobs.table.snapshot(shard)).expect("snapshots encode");
    let first = (EntryKind::Snapshot, snapshot);
    let changes = jobs.entries.iter().filter(|(of, _)| *of == shard);
    let changes = changes.map(|(_, body)| (EntryKind::Change, body.clone()));
    let entry = |(kind, body)| JournalEntry { shard, epoch: Held::EPOCH, kind, body };
    let record = |(n, entry)| {
        let batch = JournalBatch { writer: node_id(0), seq: Seq(n + 1), entries: vec![entry] };
        Record { offset: Offset(n), bytes: batch.encode() }
    };
    (0..).zip(std::iter::once(first).chain(changes).map(entry)).map(record).collect()
}
