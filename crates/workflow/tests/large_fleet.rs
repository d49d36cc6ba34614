//! Placement cost of a leader with many workers.

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
    workers_scanned(&mut world);
    world
}

/// Number of workers that the leader has scanned for placement since the last call.
fn workers_scanned(world: &mut World) -> u64 {
    let leader = world.leader().expect("somebody leads");
    let scheduler = world.nodes[leader].scheduler.as_mut().expect("it leads");
    scheduler.take_stats().workers_scanned
}

fn large_step(count: u32) -> Step {
    let mut step = step(count, 300);
    step.resources.cpu = MilliCores(8_000);
    step
}

/// Guards against scanning all workers for each task of a wide step.
#[test]
fn wide_step_placed() {
    let mut world = world();
    let starts = world.checker.starts;
    let id = world.submit(1, &submission(vec![step(200, 300)]));
    assert!(world.run_until(5 * SECOND, |world| world.completed(id)).is_some());
    let started = (world.checker.starts - starts) as u64;
    let scanned = workers_scanned(&mut world);
    assert!(started >= 200);
    assert!(scanned <= 20 * started, "{scanned} workers for {started} starts");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against scanning all workers in each pass while the fleet is full and tasks wait.
#[test]
fn full_fleet_waited_for() {
    let mut world = world();
    let mut long_step = large_step(WORKERS as u32);
    long_step.estimate_ms = 20_000;
    world.submit(1, &submission(vec![long_step]));
    world.run(SECOND);
    world.submit(2, &submission(vec![large_step(50)]));
    world.run(SECOND);
    workers_scanned(&mut world);
    world.run(2 * SECOND);
    let scanned = workers_scanned(&mut world);
    // Each worker four times a second, and once per reply, of which the poll interval allows 40.
    let max_scanned = 2 * (4 + 40) * WORKERS as u64;
    assert!(scanned <= max_scanned, "{scanned} workers, {max_scanned} at most");
}

/// Number of workers that the leader scans within two seconds while the fleet is full and `steps` steps wait, none of which
/// demands as much as those before it.
fn scanned_for_backlog(steps: u32) -> u64 {
    let mut world = world();
    let mut long_step = large_step(WORKERS as u32);
    long_step.estimate_ms = 20_000;
    world.submit(1, &submission(vec![long_step]));
    world.run(SECOND);
    for index in 0..steps {
        let mut waiting_step = large_step(1);
        waiting_step.resources.cpu.0 -= 10 * index;
        world.submit(u64::from(2 + index), &submission(vec![waiting_step]));
    }
    world.run(SECOND);
    workers_scanned(&mut world);
    world.run(2 * SECOND);
    workers_scanned(&mut world)
}

/// Guards against placement passes whose cost grows with the number of waiting steps.
#[test]
fn backlog_waited_for() {
    let (short, long) = (scanned_for_backlog(10), scanned_for_backlog(300));
    assert!(long <= 2 * short, "{short} workers for 10 steps, {long} for 300");
}

/// Guards against a waiting task that uses freed capacity only at the next full scan.
#[test]
fn freed_room_used() {
    let mut world = world();
    world.submit(1, &submission(vec![large_step(WORKERS as u32)]));
    world.run(Duration::from_millis(100));
    let id = world.submit(2, &submission(vec![large_step(1)]));
    let took = world.run_until(3 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < SECOND), "{took:?}");
    assert!(world.completed(WorkflowId(1)));
}
