//! Protection of services: throttling first, then eviction within the budget.

mod support;

use {
    egretlb_tasks::{Limits, Protections, RackAlarm},
    egretlb_types::{ClassLoad, Time},
    std::{collections::HashMap, time::Duration},
    support::{
        Behaviour, World, WorldOptions, batch_class, document, latency_class, resources,
        scenario::spec, vms,
    },
};

const SECOND: Duration = Duration::from_secs(1);

/// Two VMs, each with one replica and batch tasks that slow it down.
fn world() -> World {
    let slowdown_by = HashMap::from([("night".parse().unwrap(), 0.4)]);
    let checks = Behaviour { slowdown_by, ..Behaviour::default() };
    let night = Behaviour { work: SECOND * 3_600, ..Behaviour::default() };
    let classes = vec![
        latency_class("checks", resources(1.0, 1.0, 0), true),
        batch_class("night", resources(1.0, 1.0, 0), SECOND * 3_600, false),
    ];
    let mut world = World::new(WorldOptions {
        seed: 21,
        nodes: 3,
        vms: vms(2, 1, resources(4.0, 16.0, 0)),
        document: document(classes),
        classes: HashMap::from([
            ("checks".parse().unwrap(), checks),
            ("night".parse().unwrap(), night),
        ]),
        limits: Limits { max_poll_interval: SECOND * 3, ..Limits::default() },
        protections: Protections::default(),
        faults: Vec::new(),
        learning: true,
    });
    world.run(SECOND * 8);
    world.submit(spec("titles", 6));
    world.run(SECOND * 5);
    world
}

fn report_load(world: &mut World, seconds: u32, late: u32) {
    for _ in 0..seconds / 2 {
        let load = ClassLoad {
            period: SECOND * 2,
            arrived: 100,
            within_target: 100 - late,
            late,
            refused: 0,
            open_permille: 4_000,
        };
        world.load(&"checks".parse().unwrap(), load);
        world.run(SECOND * 2);
    }
}

fn times(world: &World, of: impl Fn(&RackAlarm) -> bool) -> Vec<Time> {
    world.rack_alarms.iter().filter(|(_, alarm)| of(alarm)).map(|(at, _)| *at).collect()
}

fn throttles(world: &World) -> Vec<Time> {
    times(world, |alarm| matches!(alarm, RackAlarm::Throttled { .. }))
}

fn evictions(world: &World) -> Vec<Time> {
    times(world, |alarm| matches!(alarm, RackAlarm::Evicting { .. }))
}

// Guards against evicting a task before throttling it, and against exceeding the eviction budget.
#[test]
fn throttle_comes_before_eviction() {
    let mut world = world();
    let begin = world.now;
    report_load(&mut world, 16, 30);
    assert!(!throttles(&world).is_empty());
    assert_eq!(evictions(&world), []);
    report_load(&mut world, 240, 30);
    let first = evictions(&world)[0];
    assert!(
        first.since(throttles(&world)[0]) >= SECOND * 20,
        "evicted before the throttle took effect"
    );
    assert!(first.since(begin) >= SECOND * 50, "evicted before the minimum run time");
    // The budget allows at least one eviction per minute on each node with batch tasks.
    let minutes = world.now.since(begin).as_secs() as usize / 60 + 1;
    assert!(evictions(&world).len() <= 2 * minutes, "{:?}", evictions(&world));
    world.finish();
    assert!(world.checker.violations.iter().all(|text| text.contains("isn't over")));
}

// Guards against lifting a throttle too soon, and against never lifting it.
#[test]
fn throttle_is_lifted_after_delay() {
    let mut world = world();
    report_load(&mut world, 16, 30);
    let throttled = |world: &World| {
        let runs = world.workers.values().flat_map(|worker| worker.running.values());
        runs.filter(|run| run.throttle < 1.0).count()
    };
    assert!(throttled(&world) > 0);
    report_load(&mut world, 30, 0);
    assert!(throttled(&world) > 0, "kept for a while");
    report_load(&mut world, 60, 0);
    assert_eq!(throttled(&world), 0);
}
