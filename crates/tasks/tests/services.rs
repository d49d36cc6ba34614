//! Service replicas: scaling with load, and replacement of lost ones.

mod support;

use {
    egretlb_tasks::{Limits, Protections, service_job},
    egretlb_types::{ClassLoad, ClassName, DataCentre},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
    support::{Behaviour, World, WorldOptions, document, latency_class, resources, vms},
};

const SECOND: Duration = Duration::from_secs(1);

fn class() -> ClassName {
    "checks".parse().unwrap()
}

fn world() -> World {
    let classes = vec![latency_class("checks", resources(2.0, 2.0, 0), true)];
    let mut world = World::new(WorldOptions {
        seed: 11,
        nodes: 4,
        vms: vms(12, 2, resources(4.0, 8.0, 0)),
        document: document(classes),
        classes: HashMap::from([(class(), Behaviour::default())]),
        limits: Limits { drain: SECOND * 2, ..WorldOptions::quick_limits() },
        protections: Protections::default(),
        faults: Vec::new(),
        learning: true,
    });
    world.run(SECOND * 8);
    world
}

fn replicas(world: &World) -> Vec<(String, DataCentre)> {
    let runs = |worker: &&support::FakeWorker| worker.alive && !worker.running.is_empty();
    let at = |worker: &support::FakeWorker| {
        (worker.record.vm.to_string(), worker.record.data_centre.clone())
    };
    world.workers.values().filter(runs).map(at).collect()
}

fn report_load(world: &mut World, seconds: u32, load: ClassLoad) {
    for _ in 0..seconds / 5 {
        world.load(&class(), load);
        world.run(SECOND * 5);
    }
}

fn load(within_target: u32, late: u32, open: u32) -> ClassLoad {
    let arrived = within_target + late;
    let open_permille = open * 1_000;
    ClassLoad { period: SECOND * 5, arrived, within_target, late, refused: 0, open_permille }
}

// Guards against a loss of all replicas with one data centre.
#[test]
fn replicas_are_spread() {
    let world = world();
    let found = replicas(&world);
    let centres: BTreeSet<_> = found.iter().map(|(_, centre)| centre).collect();
    assert_eq!(found.len(), 2);
    assert_eq!(centres.len(), 2);
}

// Guards against too few replicas under load, and against scaling down with each measurement.
#[test]
fn number_follows_load() {
    let mut world = world();
    report_load(&mut world, 30, load(900, 100, 16));
    let grown = replicas(&world).len();
    assert!(grown >= 4, "{grown}");
    report_load(&mut world, 60, load(1_000, 0, 4));
    assert_eq!(replicas(&world).len(), grown, "kept for a while");
    report_load(&mut world, 1_800, load(1_000, 0, 4));
    assert_eq!(replicas(&world).len(), 2, "one at a time, down to the least");
}

// Guards against a service without replicas while one is replaced, after a VM died or drains.
#[test]
fn lost_replica_is_replaced() {
    let mut world = world();
    let (vm, _) = replicas(&world)[0].clone();
    world.kill_worker(&vm.parse().unwrap());
    world.run(SECOND * 20);
    assert_eq!(replicas(&world).len(), 2);
    let (vm, _) = replicas(&world)[0].clone();
    world.leave(&vm, SECOND);
    for _ in 0..40 {
        world.run(Duration::from_millis(250));
        assert!(replicas(&world).len() >= 2, "replaced before it is stopped");
    }
    let found = replicas(&world);
    assert_eq!(found.len(), 2);
    assert!(found.iter().all(|(other, _)| *other != vm));
    assert!(world.status(&service_job(&class()).unwrap()).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

// Guards against replicas of a removed class that keep running.
#[test]
fn removed_class_is_stopped() {
    let mut world = world();
    assert_eq!(replicas(&world).len(), 2);
    world.configure(document(Vec::new()));
    world.run(SECOND * 10);
    assert_eq!(replicas(&world).len(), 0);
}
