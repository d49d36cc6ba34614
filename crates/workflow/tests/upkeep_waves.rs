//! Maintenance waves meet their deadline and cap, and harm no running task.

mod support;

use {
    compact_str::CompactString,
    egretlb_types::MilliCores,
    egretlb_workflow::{Limits, Step, Wave, WaveState, WorkflowId},
    std::time::Duration,
    support::{fleet::vm, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Creates eight workers, each on its own VM.
fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 8, Limits::default());
    world.assign_vms();
    world.run(2 * SECOND);
    world
}

fn wave(vms: std::ops::Range<usize>, max_down: u32, seconds: u64) -> Wave {
    Wave { vms: vms.map(vm).collect(), within: Duration::from_secs(seconds), max_down }
}

fn long_running(count: u32, max_unavailable: Option<u32>) -> Step {
    let mut step = step(count, 0);
    step.resources.cpu = MilliCores(2_000);
    step.long_running = true;
    step.per_worker = 1;
    step.image = CompactString::const_new("serving");
    step.max_unavailable = max_unavailable;
    step
}

fn completed(world: &World) -> bool {
    world.fleet.reported.contains(&WaveState::Completed)
}

/// Number of tasks of the first step that run, by the checker's view of the workers.
fn running_tasks(world: &World, id: WorkflowId, count: u32) -> u32 {
    let task = |index| egretlb_workflow::TaskId { workflow: id, occurrence: 0, step: 0, index };
    (0..count).map(|index| u32::from(world.checker.is_running(task(index)))).sum()
}

/// All VMs get their maintenance, at most two at a time, before the wave is reported as complete.
#[test]
fn two_at_a_time() {
    let mut world = world(61);
    world.waves.push((1, wave(0..8, 2, 60)));
    let took = world.run_until(40 * SECOND, completed);
    assert!(took.is_some(), "{:?}", world.fleet.done);
    assert_eq!(world.fleet.done.len(), 8);
    assert_eq!(world.fleet.max_down, 2);
    assert!(world.fleet.down.is_empty());
    assert_eq!(world.fleet.reported.first(), Some(&WaveState::Running));
}

/// No batch task is lost with its VM: the wave waits for them.
#[test]
fn short_work_ends_first() {
    let mut world = world(62);
    world.waves.push((1, wave(0..8, 2, 90)));
    for id in 1..40 {
        world.submit(id, &submission(vec![step(6, 900)]));
        world.run(Duration::from_millis(500));
    }
    assert!(world.run_until(40 * SECOND, completed).is_some());
    world.run(3 * SECOND);
    assert!((1..40).all(|id| world.completed(WorkflowId(id))));
    assert_eq!(world.checker.starts, 39 * 6);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// At most one task of a step that allows one unavailable task is down at a time.
#[test]
fn guarded_step() {
    let mut world = world(63);
    let id = world.submit(1, &submission(vec![long_running(5, Some(1))]));
    world.run(2 * SECOND);
    assert_eq!(running_tasks(&world, id, 5), 5);
    world.waves.push((1, wave(0..8, 2, 60)));
    let mut min_running = 5;
    for _ in 0..6_000 {
        world.run(Duration::from_millis(5));
        min_running = min_running.min(running_tasks(&world, id, 5));
        if completed(&world) {
            break;
        }
    }
    assert!(completed(&world));
    assert_eq!(min_running, 4);
}

/// VMs of a step that allows no unavailable task stay up, and the wave isn't reported as complete.
#[test]
fn nothing_may_be_away() {
    let mut world = world(64);
    let id = world.submit(1, &submission(vec![long_running(3, Some(0))]));
    world.run(2 * SECOND);
    world.waves.push((1, wave(0..8, 2, 20)));
    world.run(30 * SECOND);
    assert_eq!(running_tasks(&world, id, 3), 3);
    assert_eq!(world.fleet.done.len(), 5);
    assert!(!completed(&world));
}

/// An unconfirmed request counts as a VM that is down, so a late one doesn't exceed the cap.
#[test]
fn late_orders() {
    for seed in 70..78 {
        let mut world = world(seed);
        world.late_commands = 400;
        world.waves.push((1, wave(0..8, 2, 60)));
        assert!(world.run_until(120 * SECOND, completed).is_some(), "seed {seed}");
        assert!(world.fleet.max_down <= 2, "seed {seed}");
        assert_eq!(world.fleet.done.len(), 8);
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Requests are recorded before they are sent, so successors of killed leaders count them.
#[test]
fn leaders_killed() {
    for seed in 80..90 {
        let mut world = world(seed);
        world.late_commands = 250;
        world.waves.push((1, wave(0..8, 2, 60)));
        for _ in 0..8 {
            world.run(1_700 * SECOND / 1_000);
            let Some(leader) = world.leader() else { continue };
            world.kill(leader);
            world.run(300 * SECOND / 1_000);
            world.restart(leader);
        }
        assert!(world.run_until(120 * SECOND, completed).is_some(), "seed {seed}");
        assert!(world.fleet.max_down <= 2, "seed {seed}: {}", world.fleet.max_down);
        assert_eq!(world.fleet.done.len(), 8);
    }
}

/// A wave completes without a VM that no longer exists.
#[test]
fn vm_is_gone() {
    let mut world = world(65);
    world.fleet.vms.remove(&vm(3));
    world.workers[3].crash(&mut world.checker);
    world.waves.push((1, wave(0..8, 3, 60)));
    assert!(world.run_until(40 * SECOND, completed).is_some());
    assert_eq!(world.fleet.done.len(), 7);
}

/// No request is sent before it is recorded, since a successor wouldn't know of it.
#[test]
fn no_order_unrecorded() {
    let mut world = world(66);
    world.store_down = true;
    world.waves.push((1, wave(0..8, 2, 60)));
    world.run(3 * SECOND);
    assert_eq!(world.fleet.done.len(), 0);
    world.store_down = false;
    assert!(world.run_until(40 * SECOND, completed).is_some());
}

/// A VM whose worker hasn't answered a new leader isn't taken for a drained one.
#[test]
fn unheard_worker_stays() {
    let mut world = world(67);
    let id = world.submit(1, &submission(vec![long_running(8, Some(0))]));
    world.run(2 * SECOND);
    let leader = world.leader().expect("somebody leads");
    for node in &mut world.nodes {
        node.unreachable = vec![2];
    }
    world.kill(leader);
    world.waves.push((1, wave(0..8, 2, 10)));
    // Its leases end after 5 s; a drained VM would be down by now.
    world.run(4 * SECOND);
    assert_eq!(world.fleet.done.len(), 0);
    assert_eq!(running_tasks(&world, id, 8), 8);
}
