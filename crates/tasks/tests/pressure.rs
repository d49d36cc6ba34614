//! A service misses its target: throttle first, evict later, and not more than the budget.

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

/// Two VMs, each with one replica, both filled with batch work that disturbs it.
fn world() -> World {
    let suffers = HashMap::from([("night".parse().unwrap(), 0.4)]);
    let checks = Behaviour { suffers, ..Behaviour::default() };
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
        cells: Vec::new(),
        learning: true,
    });
    world.run(SECOND * 8);
    world.submit(spec("titles", 6));
    world.run(SECOND * 5);
    world
}

fn told(world: &mut World, seconds: u32, late: u32) {
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

// Noisy batch work makes surveyors wait. Evicting it at once would lose an hour's reconciliation
// for one slow moment; never evicting it would let callers wait all night.
#[test]
fn throttle_comes_before_eviction() {
    let mut world = world();
    let begin = world.now;
    told(&mut world, 16, 30);
    assert!(!throttles(&world).is_empty());
    assert_eq!(evictions(&world), []);
    told(&mut world, 240, 30);
    let first = evictions(&world)[0];
    assert!(first.since(throttles(&world)[0]) >= SECOND * 20, "a trial first");
    assert!(first.since(begin) >= SECOND * 50, "a minimum run first");
    // One a minute at least for each node that has any batch work, and no more with so little.
    let minutes = world.now.since(begin).as_secs() as usize / 60 + 1;
    assert!(evictions(&world).len() <= 2 * minutes, "{:?}", evictions(&world));
    world.finish();
    assert!(world.checker.violations.iter().all(|text| text.contains("isn't over")));
}

// The target is met again. A throttle lifted at the first good sign would bring the noise back
// with the next measurement, and one never lifted would cost the batch its target.
#[test]
fn throttle_is_lifted_after_calm() {
    let mut world = world();
    told(&mut world, 16, 30);
    let throttled = |world: &World| {
        let runs = world.workers.values().flat_map(|worker| worker.running.values());
        runs.filter(|run| run.throttle < 1.0).count()
    };
    assert!(throttled(&world) > 0);
    told(&mut world, 30, 0);
    assert!(throttled(&world) > 0, "kept for a while");
    told(&mut world, 60, 0);
    assert_eq!(throttled(&world), 0);
}
