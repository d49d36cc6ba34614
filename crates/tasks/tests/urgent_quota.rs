//! Quotas, and reclaiming capacity of teams over quota.

mod support;

use {
    egretlb_tasks::{JobSpec, Limits, Protections},
    egretlb_types::ClassSpec,
    std::{collections::HashMap, time::Duration},
    support::{Behaviour, World, WorldOptions, batch_class, document, resources, team, vms},
};

const SECOND: Duration = Duration::from_secs(1);

fn of_team(mut class: ClassSpec, team: &str) -> ClassSpec {
    class.team = team.parse().unwrap();
    class
}

/// Two teams with a quota of 9 of 18 cores each: `big` submits `bulk` jobs first, `small` a
/// `recall` job later.
fn world(learning: bool) -> World {
    let bulk = of_team(batch_class("bulk", resources(1.0, 1.0, 0), SECOND * 300, false), "big");
    let urgent = of_team(batch_class("recall", resources(1.0, 1.0, 0), SECOND * 4, true), "small");
    let mut config = document(vec![bulk, urgent]);
    config.teams.push(team("big", resources(9.0, 100.0, 0)));
    config.teams.push(team("small", resources(9.0, 100.0, 0)));
    let slow = Behaviour { work: SECOND * 300, ..Behaviour::default() };
    let mut world = World::new(WorldOptions {
        seed: 7,
        nodes: 4,
        vms: vms(6, 2, resources(3.0, 8.0, 0)),
        document: config,
        classes: HashMap::from([
            ("bulk".parse().unwrap(), slow),
            ("recall".parse().unwrap(), Behaviour::default()),
        ]),
        limits: Limits { min_run_time: SECOND * 5, ..WorldOptions::quick_limits() },
        protections: Protections::default(),
        faults: Vec::new(),
        learning,
    });
    world.run(SECOND * 3);
    world
}

fn job(name: &str, class: &str, tasks: u32) -> JobSpec {
    JobSpec {
        job: name.parse().unwrap(),
        class: class.parse().unwrap(),
        tasks,
        command: "match".into(),
        resources: None,
    }
}

// Guards against urgent jobs that wait for minutes behind a team over its quota.
#[test]
fn over_quota_capacity_is_reclaimed() {
    let mut world = world(true);
    for i in 0..10 {
        world.submit(job(&format!("bulk{i}"), "bulk", 2));
        world.run(SECOND);
    }
    world.run(SECOND * 10);
    let running = |world: &mut World, job: &str| {
        world.status(&job.parse().unwrap()).map_or(0, |status| status.counts.running)
    };
    let all: u32 = (0..10).map(|i| running(&mut world, &format!("bulk{i}"))).sum();
    assert_eq!(all, 18, "unused quota is lent");
    world.submit(job("notices", "recall", 2));
    let mut waited = 0;
    while running(&mut world, "notices") < 2 && waited < 200 {
        world.run(Duration::from_millis(100));
        waited += 1;
    }
    println!("urgent tasks ran after {} ms", waited * 100);
    assert!(waited < 94, "urgent work must start within 9.4 s");
    assert_eq!(world.checker.evictions, 2, "as few evictions as make room");
    world.run(SECOND * 30);
    world.finish();
    let broken: Vec<_> =
        world.checker.violations.iter().filter(|text| !text.contains("isn't over")).collect();
    assert!(broken.is_empty(), "{broken:?}");
}
