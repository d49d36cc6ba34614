//! A job without faults, from submission to end.

mod support;

use {
    egretlb_tasks::{JobReply, JobSpec, Limits, Protections},
    std::{collections::HashMap, time::Duration},
    support::{Behaviour, World, WorldOptions, batch_class, document, resources, vms},
};

fn world(seed: u64) -> World {
    let classes = vec![batch_class("night", resources(1.0, 1.0, 0), Duration::from_secs(4), false)];
    let behaviour = HashMap::from([("night".parse().unwrap(), Behaviour::default())]);
    World::new(WorldOptions {
        seed,
        nodes: 4,
        vms: vms(6, 2, resources(4.0, 8.0, 0)),
        document: document(classes),
        classes: behaviour,
        limits: Limits { max_call_delay: Duration::from_secs(1), ..Limits::default() },
        protections: Protections::default(),
        faults: Vec::new(),
        learning: true,
    })
}

fn spec(job: &str, tasks: u32) -> JobSpec {
    JobSpec {
        job: job.parse().unwrap(),
        class: "night".parse().unwrap(),
        tasks,
        command: "merge".into(),
        resources: None,
    }
}

#[test]
fn job_runs_to_its_end() {
    let mut world = world(1);
    world.run(Duration::from_secs(3));
    let call = world.submit(spec("registry", 10));
    world.run(Duration::from_secs(1));
    let accepted = JobReply::Accepted { job: "registry".parse().unwrap() };
    assert_eq!(world.reply(call), Some(&accepted));
    world.run(Duration::from_secs(30));
    let status = world.status(&"registry".parse().unwrap()).unwrap();
    assert!(status.over, "{status:?}");
    assert_eq!(status.counts.done, 10);
    world.finish();
    assert_eq!(world.checker.violations, Vec::<String>::new());
    assert_eq!(world.checker.starts, 10);
}
