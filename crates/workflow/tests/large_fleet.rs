//! What a leader of many workers does for each start.

mod support;

use {
    egretlb_types::MilliCores,
    egretlb_workflow::{Limits, Step, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

const WORKERS: usize = 300;

fn world() -> World {
    let mut world = World::new(41, 1, WORKERS, Limits::default());
    world.run(3 * SECOND);
    looked_at(&mut world);
    world
}

/// Workers that the leader has looked at to place tasks, since the last call.
fn looked_at(world: &mut World) -> u64 {
    let leader = world.leader().expect("somebody leads");
    let scheduler = world.nodes[leader].scheduler.as_mut().expect("it leads");
    scheduler.take_stats().workers_scanned
}

fn large(count: u32) -> Step {
    let mut step = step(count, 300);
    step.resources.cpu = MilliCores(8_000);
    step
}

/// Load: wide steps, thousands of starts a second, hundreds of workers. Looked at anew for each task, the workers
/// alone would take more of the leader's processor than it has.
#[test]
fn wide_step_placed() {
    let mut world = world();
    let starts = world.checker.starts;
    let id = world.submit(1, &submission(vec![step(200, 300)]));
    assert!(world.run_until(5 * SECOND, |world| world.completed(id)).is_some());
    let started = (world.checker.starts - starts) as u64;
    let looked = looked_at(&mut world);
    assert!(started >= 200);
    assert!(looked <= 20 * started, "{looked} workers for {started} starts");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Load: the fleet is full, and work waits. Nothing changes but at the workers that are heard of, so the others
/// needn't be looked at with each pass, hundreds of times a second.
#[test]
fn full_fleet_waited_for() {
    let mut world = world();
    let mut long = large(WORKERS as u32);
    long.estimate_ms = 20_000;
    world.submit(1, &submission(vec![long]));
    world.run(SECOND);
    world.submit(2, &submission(vec![large(50)]));
    world.run(SECOND);
    looked_at(&mut world);
    world.run(2 * SECOND);
    let looked = looked_at(&mut world);
    // Each of them four times a second, and with each of its answers, of which the gap between polls allows 40.
    let most = 2 * (4 + 40) * WORKERS as u64;
    assert!(looked <= most, "{looked} workers, {most} at most");
}

/// A worker becomes free while others wait for room. It is found at once, not with the next look at all.
#[test]
fn freed_room_used() {
    let mut world = world();
    world.submit(1, &submission(vec![large(WORKERS as u32)]));
    world.run(Duration::from_millis(100));
    let id = world.submit(2, &submission(vec![large(1)]));
    let took = world.run_until(3 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < SECOND), "{took:?}");
    assert!(world.completed(WorkflowId(1)));
}
