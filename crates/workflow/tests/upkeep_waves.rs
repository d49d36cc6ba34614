//! Waves of upkeep: in time, never too many at once, and without harm to what runs.

mod support;

use {
    compact_str::CompactString,
    egretlb_types::MilliCores,
    egretlb_workflow::{Limits, Step, Wave, WaveState, WorkflowId},
    std::time::Duration,
    support::{fleet::vm, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Eight workers, each on a VM.
fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 8, Limits::default());
    world.assign_vms();
    world.run(2 * SECOND);
    world
}

fn wave(vms: std::ops::Range<usize>, max_down: u32, seconds: u64) -> Wave {
    Wave { vms: vms.map(vm).collect(), within: Duration::from_secs(seconds), max_down }
}

fn lasting(count: u32, may_miss: Option<u32>) -> Step {
    let mut step = step(count, 0);
    step.resources.cpu = MilliCores(2_000);
    step.long_running = true;
    step.per_worker = 1;
    step.image = CompactString::const_new("serving");
    step.max_unavailable = may_miss;
    step
}

fn completed(world: &World) -> bool {
    world.fleet.reported.contains(&WaveState::Completed)
}

/// Tasks of a guarded step that run, by the checker's view of the workers.
fn at_work(world: &World, id: WorkflowId, count: u32) -> u32 {
    let task = |index| egretlb_workflow::TaskId { workflow: id, occurrence: 0, step: 0, index };
    (0..count).map(|index| u32::from(world.checker.is_running(task(index)))).sum()
}

/// All VMs go through their upkeep, two at a time. Were the cap passed, too little would be left to run
/// the work; were completion told early, an operator would hand back VMs that weren't looked after.
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

/// Tasks of a second's work are under way all the time. None is lost with its VM: each is waited for.
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

/// A serving step allows one of its tasks to be away. The wave would take two VMs at a time; it moves one
/// task after the other, and never more than one is missing.
#[test]
fn guarded_step() {
    let mut world = world(63);
    let id = world.submit(1, &submission(vec![lasting(5, Some(1))]));
    world.run(2 * SECOND);
    assert_eq!(at_work(&world, id, 5), 5);
    world.waves.push((1, wave(0..8, 2, 60)));
    let mut least = 5;
    for _ in 0..6_000 {
        world.run(Duration::from_millis(5));
        least = least.min(at_work(&world, id, 5));
        if completed(&world) {
            break;
        }
    }
    assert!(completed(&world));
    assert_eq!(least, 4);
}

/// A step allows none of its tasks to be away. Its VMs stay up and the wave is late, which costs less than
/// the harm; it isn't told as completed.
#[test]
fn nothing_may_be_away() {
    let mut world = world(64);
    let id = world.submit(1, &submission(vec![lasting(3, Some(0))]));
    world.run(2 * SECOND);
    world.waves.push((1, wave(0..8, 2, 20)));
    world.run(30 * SECOND);
    assert_eq!(at_work(&world, id, 3), 3);
    assert_eq!(world.fleet.done.len(), 5);
    assert!(!completed(&world));
}

/// Calls get no answer and are carried out up to 12 s later. Until an order is confirmed its VM counts as
/// down; otherwise a late one would take down a third VM beside two others.
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

/// Leaders are killed again and again during a wave, with orders under way. What was ordered is recorded
/// before, so successors count it.
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

/// A VM of the wave is gone for good. The wave is complete without it.
#[test]
fn vm_is_gone() {
    let mut world = world(65);
    world.fleet.vms.remove(&vm(3));
    world.workers[3].crash(&mut world.checker);
    world.waves.push((1, wave(0..8, 3, 60)));
    assert!(world.run_until(40 * SECOND, completed).is_some());
    assert_eq!(world.fleet.done.len(), 7);
}

/// The store is away when a wave is to begin. An order that nobody could read of would be unknown to a
/// successor, so none is given until it can be recorded.
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

/// A new leader can't reach a worker on which a guarded task runs. What runs there isn't known to it, so
/// its VM isn't taken for an empty one.
#[test]
fn unheard_worker_stays() {
    let mut world = world(67);
    let id = world.submit(1, &submission(vec![lasting(8, Some(0))]));
    world.run(2 * SECOND);
    let leader = world.leader().expect("somebody leads");
    for node in &mut world.nodes {
        node.unreachable = vec![2];
    }
    world.kill(leader);
    world.waves.push((1, wave(0..8, 2, 10)));
    // Its leases end after 5 s; by then its VM would have gone down.
    world.run(4 * SECOND);
    assert_eq!(world.fleet.done.len(), 0);
    assert_eq!(at_work(&world, id, 8), 8);
}
