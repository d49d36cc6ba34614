//! Crashes that a new leader counts for runs that its predecessor announced.

mod support;

use {
    egretlb_workflow::WorkflowState,
    std::time::Duration,
    support::{
        isolated_starts::{TASK, crash_rack, evidence, position, revive, started_world},
        lines,
        world::World,
    },
};

const SECOND: Duration = Duration::from_secs(1);

/// How long after its start a task crashes its worker.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Runs until an isolated start of the task is recorded; returns the index of its worker.
fn announced_worker(world: &mut World) -> usize {
    for _ in 0..2_000 {
        let lines = lines::take();
        if let Some(line) = lines::of(&lines, "start_announced").last() {
            let worker = line.get("worker").to_owned();
            // Until the record has been read, but not the start.
            world.run(Duration::from_millis(15));
            let named = |n: &usize| world.workers[*n].info.id.to_string() == worker;
            return (0..world.workers.len()).find(named).expect("a known worker");
        }
        world.run(Duration::from_millis(5));
    }
    panic!("no isolated start was announced");
}

/// Guards against giving up a task for losses of whole racks that no leader saw, after isolated starts that were announced
/// but perhaps never sent.
#[test]
fn unseen_losses() {
    for seed in 0..20 {
        let mut world = started_world(seed);
        world.run(Duration::from_millis(100));
        let number = position(&world);
        let mut lost = crash_rack(&mut world, number);
        world.run(4 * SECOND);
        for _ in 0..2 {
            revive(&mut world, &lost);
            let number = announced_worker(&mut world);
            (0..3).for_each(|node| world.kill(node));
            world.run(SECOND);
            lost = crash_rack(&mut world, number);
            world.run(4 * SECOND);
            revive(&mut world, &lost);
            (0..3).for_each(|node| world.restart(node));
        }
        world.run(30 * SECOND);
        let state = world.state(TASK.workflow);
        assert!(world.completed(TASK.workflow), "seed {seed}: {state:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// A world in which the leader stops at `stops_after` after an isolated start of the task has crashed its worker; returns
/// the evidence that the next one counts first.
fn evidence_after_crash(seed: u64, stops_after: Duration) -> Option<String> {
    let mut world = started_world(seed);
    let number = position(&world);
    world.run(Duration::from_millis(100));
    world.workers[number].crash(&mut world.checker);
    world.run(4 * SECOND);
    world.crashing_tasks.tasks.insert(TASK, CRASH_DELAY);
    world.revive(number);
    world.run_until(5 * SECOND, |world| world.checker.crashes_by(TASK) == 1).expect("a crash");
    world.run(stops_after);
    lines::take();
    let leader = world.leader().expect("a leader");
    world.kill(leader);
    world.run(6 * SECOND);
    let evidence = evidence(&lines::take()).first().cloned();
    world.restart(leader);
    world.run(30 * SECOND);
    assert!(matches!(world.state(TASK.workflow), Some(WorkflowState::Ended(_))), "seed {seed}");
    assert!(world.checker.crashes_by(TASK) <= 3, "seed {seed}");
    assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    evidence
}

/// Guards against forgetting that the predecessor saw a worker stop replying right after an isolated start.
#[test]
fn seen_before_change() {
    for seed in 0..20 {
        let evidence = evidence_after_crash(seed, Duration::from_millis(1_000 + 50 * seed));
        assert_eq!(evidence.as_deref(), Some("shared"), "seed {seed}");
    }
}

/// Guards against doubting a crash since the leader stopped before it saw it, although the next one led soon after.
#[test]
fn crash_at_change() {
    for seed in 0..20 {
        let evidence = evidence_after_crash(seed, Duration::from_millis(15 * seed));
        assert_eq!(evidence.as_deref(), Some("shared"), "seed {seed}");
    }
}
