//! Jobs and tasks: repeated submissions, failing tasks, failing workers, tasks too large for any
//! VM.

mod support;

use {
    egretlb_tasks::{JobAlarm, JobRefusal, JobReply, Protections, RackAlarm},
    std::{collections::HashMap, time::Duration},
    support::{
        Behaviour, World, WorldOptions, batch_class, document, resources, scenario::spec, vms,
        worker::BROKEN,
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn world(seed: u64) -> World {
    let classes = vec![batch_class("night", resources(1.0, 1.0, 0), SECOND * 4, false)];
    let mut world = World::new(WorldOptions {
        seed,
        nodes: 4,
        vms: vms(6, 2, resources(3.0, 8.0, 0)),
        document: document(classes),
        classes: HashMap::from([("night".parse().unwrap(), Behaviour::default())]),
        limits: WorldOptions::quick_limits(),
        protections: Protections::default(),
        faults: Vec::new(),
        learning: true,
    });
    world.run(SECOND * 3);
    world
}

fn counts(world: &mut World, job: &str) -> egretlb_tasks::JobCounts {
    world.status(&job.parse().unwrap()).unwrap().counts
}

// Guards against running a repeated submission twice, and against accepting another job under its
// id.
#[test]
fn submission_is_idempotent() {
    let mut world = world(1);
    world.submit(spec("titles", 4));
    world.run(SECOND);
    let again = world.submit(spec("titles", 4));
    let other = world.submit(spec("titles", 5));
    world.run(SECOND * 20);
    assert_eq!(world.reply(again), Some(&JobReply::Accepted { job: "titles".parse().unwrap() }));
    assert_eq!(world.reply(other), Some(&JobReply::Refused(JobRefusal::OtherSpec)));
    assert_eq!(world.checker.starts, 4);
}

// Guards against restarting a task that always fails.
#[test]
fn bad_task_is_parked() {
    let mut world = world(2);
    let mut bad = spec("broken", 1);
    bad.command = BROKEN.into();
    world.submit(bad);
    world.submit(spec("titles", 12));
    world.run(SECOND * 60);
    assert_eq!(counts(&mut world, "broken").parked, 1);
    assert_eq!(counts(&mut world, "titles").done, 12);
    assert_eq!(world.checker.starts, 12 + 3);
    let parked =
        |alarm: &JobAlarm| matches!(alarm, JobAlarm::TaskParked { vms, .. } if vms.len() == 3);
    assert!(world.job_alarms.iter().any(|(_, alarm)| parked(alarm)));
}

// Guards against a faulty worker that fails the whole queue.
#[test]
fn bad_worker_is_quarantined() {
    let mut world = world(3);
    world.workers.get_mut(&"vm0".parse().unwrap()).unwrap().fails_all = true;
    world.submit(spec("titles", 80));
    world.run(SECOND * 100);
    assert_eq!(counts(&mut world, "titles").done, 80);
    let quarantined = |alarm: &RackAlarm| matches!(alarm, RackAlarm::Quarantined { .. });
    assert!(world.rack_alarms.iter().any(|(_, alarm)| quarantined(alarm)));
    // A repaired worker leaves quarantine by a probe.
    world.workers.get_mut(&"vm0".parse().unwrap()).unwrap().fails_all = false;
    world.submit(spec("recalls", 60));
    world.run(SECOND * 60);
    assert_eq!(counts(&mut world, "recalls").done, 60);
    let over = |alarm: &RackAlarm| matches!(alarm, RackAlarm::QuarantineOver { .. });
    assert!(world.rack_alarms.iter().any(|(_, alarm)| over(alarm)));
}

// Guards against a job that waits forever since no VM is large enough for it.
#[test]
fn impossible_job_is_refused() {
    let mut world = world(4);
    let mut early = spec("early", 2);
    early.resources = Some(resources(64.0, 1.0, 0));
    world.submit(early);
    world.run(SECOND * 70);
    assert_eq!(counts(&mut world, "early").never_fits, 2);
    let mut late = spec("late", 2);
    late.resources = Some(resources(1.0, 1.0, 1));
    let call = world.submit(late);
    world.run(SECOND);
    assert_eq!(world.reply(call), Some(&JobReply::Refused(JobRefusal::NeverFits)));
}

// Guards against tasks that start or keep running after a mass cancellation, and other jobs that
// stop.
#[test]
fn cancel_wave_stops_all() {
    let mut world = world(5);
    for i in 0..12 {
        world.submit(spec(&format!("wave{i}"), 20));
    }
    world.run(SECOND * 2);
    for i in 0..12 {
        world.cancel(format!("wave{i}").parse().unwrap());
    }
    world.submit(spec("titles", 6));
    world.run(SECOND * 15);
    for i in 0..12 {
        let status = world.status(&format!("wave{i}").parse().unwrap()).unwrap();
        assert!(status.over && status.cancelled, "{status:?}");
    }
    assert_eq!(counts(&mut world, "titles").done, 6);
    world.finish();
    assert_eq!(world.checker.violations, Vec::<String>::new());
}
