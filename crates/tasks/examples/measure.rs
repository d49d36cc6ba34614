//! Measures the cost of a placement, the delay of urgent starts, and the effect of learning under
//! changing interference.
//!
//! `cargo run --release -p egretlb-tasks --example measure [placement|urgent|interference]`
//!
//! Uses the tests' simulated cluster in virtual time; only the cost of a placement is in real time.
//! All seeds are fixed.

#[path = "../tests/support/mod.rs"]
mod support;

use {
    egretlb_tasks::{
        JobSpec, Limits, Protections, RackEffect, RackEvent, RackTable, WorkerAnswer, WorkerCall,
        msg::{NodeMsg, Place, TaskRequest},
    },
    egretlb_types::{
        Attempt, Authority, ClassLoad, ClassName, Epoch, NodeId, Resources, SHARD_COUNT, ShardId,
        TaskId, Ticket, Time, worker::WorkerReport,
    },
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
    support::{
        Behaviour, World, WorldOptions, batch_class, document, latency_class, resources, vms,
    },
};

struct Always;

impl Authority for Always {
    fn epoch_if_held(&self, _: Time, _: ShardId) -> Option<Epoch> {
        Some(Epoch(1))
    }
}

fn main() {
    let what = std::env::args().nth(1).unwrap_or_default();
    let all = what.is_empty();
    if all || what == "placement" {
        placement();
    }
    if all || what == "urgent" {
        urgent();
    }
    if all || what == "interference" {
        println!(
            "deployment     learning  done  evictions  missed_pm  quarters_pm  replicas  starts"
        );
        for (name, vms, capacity) in [
            ("65x30c125GB", 65, resources(30.0, 125.0, 0)),
            ("50x64c250GB", 50, resources(64.0, 250.0, 0)),
        ] {
            for learning in [false, true] {
                interference(name, vms, capacity, learning);
            }
        }
    }
}

fn task_request(index: u32, resources: Resources) -> TaskRequest {
    TaskRequest {
        task: TaskId { job: "job".parse().unwrap(), index },
        attempt: Attempt(1),
        class: "night".parse().unwrap(),
        team: None,
        resources,
        learned_size: true,
        service: false,
        over_quota: false,
        reclaim: false,
        avoid: Default::default(),
        avoid_data_centres: Default::default(),
    }
}

/// A table that owns all racks of `count` VMs with uneven load.
fn loaded_table(count: usize) -> (RackTable, Time) {
    let mut table = RackTable::builder().seed(1).build();
    let mut now = Time::from_secs(10);
    let mut out = Vec::new();
    for shard in 0..SHARD_COUNT {
        let owned = RackEvent::Owned { shard: ShardId(shard), epoch: Epoch(1), released: true };
        table.step(now, owned, &Always, &mut out);
    }
    let list = vms(count, 8, resources(30.0, 125.0, 0));
    table.step(now, RackEvent::Vms { vms: list }, &Always, &mut out);
    for _ in 0..60 {
        now = now + Duration::from_millis(100);
        table.step(now, RackEvent::Tick, &Always, &mut out);
        for effect in std::mem::take(&mut out) {
            if let RackEffect::CallWorker { ticket, call: WorkerCall::Report, .. } = effect {
                let result = Ok(WorkerAnswer::Report(WorkerReport::default()));
                let answered = RackEvent::WorkerAnswered { ticket, result };
                table.step(now, answered, &Always, &mut out);
            }
        }
    }
    for i in 0..(count as u32 * 4) {
        let size = resources(1.0 + f64::from(i % 5), 4.0 + f64::from(i % 7) * 3.0, 0);
        place(&mut table, now, vec![task_request(1_000_000 + i, size)]);
    }
    (table, now)
}

fn place(table: &mut RackTable, now: Time, requests: Vec<TaskRequest>) -> usize {
    let mut out = Vec::new();
    let place = Place { shard: ShardId(0), round: Ticket(1), requests };
    let event = RackEvent::NodeMessage { from: NodeId(0), msg: NodeMsg::Place(place) };
    table.step(now, event, &Always, &mut out);
    let granted = |effect: &RackEffect| match effect {
        RackEffect::SendToJob { msg: egretlb_tasks::msg::JobMsg::Placed(placed), .. } => {
            placed.granted.len()
        }
        _ => 0,
    };
    out.iter().map(granted).sum()
}

fn placement() {
    const PLACEMENTS: u32 = 4_000;
    println!("vms    us/placement  us/tick  granted");
    for count in [65, 1_300, 5_000] {
        let (mut table, now) = loaded_table(count);
        let begin = Instant::now();
        let mut granted = 0;
        for i in 0..PLACEMENTS {
            granted += place(&mut table, now, vec![task_request(i, resources(0.1, 0.2, 0))]);
        }
        let each = begin.elapsed().as_secs_f64() * 1e6 / f64::from(PLACEMENTS);
        let begin = Instant::now();
        let mut out = Vec::new();
        for _ in 0..20 {
            table.step(now, RackEvent::Tick, &Always, &mut out);
        }
        let tick = begin.elapsed().as_secs_f64() * 1e6 / 20.0;
        println!("{count:5}  {each:12.2}  {tick:7.0}  {granted}");
    }
}

fn urgent() {
    const JOBS_A_SECOND: u32 = 25;
    const TASKS: u32 = 10;
    const SECONDS: u32 = 20;
    let class = batch_class("recall", resources(1.0, 1.0, 0), Duration::from_secs(2), true);
    let work = Behaviour { work: Duration::from_secs(2), ..Behaviour::default() };
    let mut world = World::new(WorldOptions {
        seed: 3,
        nodes: 17,
        vms: vms(1_300, 8, resources(30.0, 125.0, 0)),
        document: document(vec![class]),
        classes: HashMap::from([("recall".parse().unwrap(), work)]),
        limits: Limits::default(),
        protections: Protections::default(),
        faults: Vec::new(),
        learning: true,
    });
    world.run(Duration::from_secs(10));
    let before = world.appended;
    let mut submitted: HashMap<String, Time> = HashMap::new();
    for i in 0..JOBS_A_SECOND * SECONDS {
        let job = format!("recall{i}");
        submitted.insert(job.clone(), world.now);
        world.submit(spec(&job, "recall", TASKS));
        world.run(Duration::from_millis(u64::from(1_000 / JOBS_A_SECOND)));
    }
    let appended = (world.appended - before) as f64 / f64::from(SECONDS);
    world.run(Duration::from_secs(10));
    let mut delays: Vec<u128> = world
        .checker
        .first_starts
        .iter()
        .map(|(task, at)| at.since(submitted[task.job.as_str()]).as_millis())
        .collect();
    delays.sort_unstable();
    let at = |permille: usize| delays[(delays.len() - 1) * permille / 1_000];
    println!(
        "urgent starts: nodes=17 vms=1300 starts/s={} started={} p50={}ms p99={}ms max={}ms \
         appends/s={appended:.0} violations={}",
        JOBS_A_SECOND * TASKS,
        delays.len(),
        at(500),
        at(990),
        at(1_000),
        world.checker.violations.len()
    );
}

fn spec(job: &str, class: &str, tasks: u32) -> JobSpec {
    JobSpec {
        job: job.parse().unwrap(),
        class: class.parse().unwrap(),
        tasks,
        command: "run".into(),
        resources: None,
    }
}

/// Slowdown of a replica by one noisy task.
const NOISE: f64 = 0.2;

/// A replica with a larger slowdown misses its target.
const TARGET: f64 = 1.3;

fn behaviours(noisy: &str) -> HashMap<ClassName, Behaviour> {
    let of = |noise: f64, work: u64, cores: f64| Behaviour {
        work: Duration::from_secs(work),
        used: resources(cores, 2.0, 0),
        slowdown_by: HashMap::from([(noisy.parse().unwrap(), noise)]),
    };
    HashMap::from([
        ("checks".parse().unwrap(), of(NOISE, 0, 2.0)),
        ("titles".parse().unwrap(), of(0.01, 60, 1.5)),
        ("gazette".parse().unwrap(), of(0.01, 60, 1.5)),
    ])
}

/// Number of steps of two seconds: a quarter of an hour.
const STEPS: u32 = 450;

/// Runs batch tasks at two thirds of the capacity beside a service for a quarter of an hour.
/// Halfway through, the class that slows the service changes.
fn interference(name: &str, count: usize, capacity: Resources, learning: bool) {
    let task = resources(2.0, 4.0, 0);
    let run_time = Duration::from_secs(60);
    let classes = vec![
        latency_class("checks", resources(2.0, 4.0, 0), true),
        batch_class("titles", task, run_time, false),
        batch_class("gazette", task, run_time, false),
    ];
    let mut world = World::new(WorldOptions {
        seed: 9,
        nodes: 8,
        vms: vms(count, 8, capacity),
        document: document(classes),
        classes: behaviours("titles"),
        limits: Limits::default(),
        protections: Protections::default(),
        faults: Vec::new(),
        learning,
    });
    world.run(Duration::from_secs(10));
    let cores = f64::from(capacity.cpu.0) / 1_000.0 * count as f64;
    let tasks_a_step = (cores / 2.0 * 0.66 / 60.0 * 2.0) as u32;
    let mut quarters = [(0_u64, 0_u64); 4];
    for step in 0..STEPS {
        if step == STEPS / 2 {
            world.options.classes = behaviours("gazette");
        }
        let class = if step % 2 == 0 { "titles" } else { "gazette" };
        world.submit(spec(&format!("{class}{step}"), class, tasks_a_step));
        let (bad, all) = service_load(&mut world);
        let quarter = &mut quarters[(step * 4 / STEPS) as usize];
        quarter.0 += bad;
        quarter.1 += all;
        world.run(Duration::from_secs(2));
    }
    let checks: HashSet<ClassName> = HashSet::from(["checks".parse().unwrap()]);
    let replicas = world
        .workers
        .values()
        .flat_map(|worker| worker.running.values())
        .filter(|run| checks.contains(&run.start.class))
        .count();
    let done: u64 = world.workers.values().map(|worker| worker.done).sum();
    let permille = |missed: u64, asked: u64| missed * 1_000 / asked.max(1);
    let missed = quarters.iter().map(|(missed, _)| missed).sum();
    let asked = quarters.iter().map(|(_, asked)| asked).sum();
    println!(
        "{name:13}  {learning:8}  {done:5}  {:9}  {:9}  {:?}  {replicas:8}  {}",
        world.checker.evictions,
        permille(missed, asked),
        quarters.map(|(missed, asked)| permille(missed, asked)),
        world.checker.starts
    );
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations.first());
}

/// Reports the service's load of the last two seconds, derived from the slowdown of its replicas.
/// Returns the late requests and all requests.
fn service_load(world: &mut World) -> (u64, u64) {
    const REQUESTS: u32 = 40;
    const OPEN: u32 = 90;
    let class: ClassName = "checks".parse().unwrap();
    let (mut within, mut late) = (0, 0);
    for worker in world.workers.values() {
        if worker.running.values().any(|run| run.start.class == class) {
            let slow = worker.slowdown(&class, &world.options.classes) > TARGET;
            *(if slow { &mut late } else { &mut within }) += REQUESTS;
        }
    }
    let load = ClassLoad {
        period: Duration::from_secs(2),
        arrived: within + late,
        within_target: within,
        late,
        refused: 0,
        open_permille: OPEN * 1_000,
    };
    world.load(&class, load);
    (u64::from(late), u64::from(within + late))
}
