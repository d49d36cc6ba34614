//! Gangs that are slower across racks.

mod support;

use {
    egretlb_types::MilliCores,
    egretlb_workflow::{Limits, Step, WorkflowId},
    std::{collections::BTreeSet, time::Duration},
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Three racks of four workers with eight cores each.
fn world(seed: u64) -> World {
    let mut world = World::new(seed, 2, 12, Limits::default());
    world.run(2 * SECOND);
    world
}

fn gang(count: u32, cores: u32) -> Step {
    let mut gang = step(count, 1_500);
    gang.resources.cpu = MilliCores(cores * 1_000);
    gang.gang = true;
    gang.rack_sensitive = true;
    gang
}

fn racks(world: &World, id: WorkflowId) -> BTreeSet<usize> {
    let runs_gang =
        |number: &usize| world.workers[*number].running.keys().any(|t| t.workflow == id);
    (0..world.workers.len()).filter(runs_gang).map(|number| number / 4).collect()
}

/// Guards against a gang spread over racks because single workers elsewhere have more free capacity.
#[test]
fn one_rack() {
    for seed in 0..6 {
        let mut world = world(seed);
        // Part of each rack is in use.
        world.submit(1, &submission(vec![step(18, 8_000)]));
        world.run(Duration::from_millis(200));
        let id = world.submit(2, &submission(vec![gang(8, 3)]));
        world.run(Duration::from_millis(300));
        assert_eq!(racks(&world, id).len(), 1, "seed {seed}");
        assert!(world.run_until(4 * SECOND, |world| world.completed(id)).is_some());
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Guards against a start across racks when one rack will soon fit the whole gang.
#[test]
fn waits_for_rack() {
    let mut world = world(11);
    let mut short_step = step(12, 900);
    short_step.resources.cpu = MilliCores(6_000);
    world.submit(1, &submission(vec![short_step]));
    world.run(Duration::from_millis(100));
    let id = world.submit(2, &submission(vec![gang(8, 4)]));
    world.run(Duration::from_millis(400));
    assert!(racks(&world, id).is_empty());
    world.run(SECOND);
    assert_eq!(racks(&world, id).len(), 1);
}

/// Guards against a gang that waits forever because no rack fits it.
#[test]
fn wider_than_rack() {
    let mut world = world(12);
    let id = world.submit(1, &submission(vec![gang(10, 6)]));
    assert!(world.run_until(6 * SECOND, |world| world.completed(id)).is_some());
}
