//! Tasks that crash every worker they start on, and the tasks that run beside them.

mod support;

use {
    egretlb_workflow::{EndKind, Limits, Outcome, Step, TaskId, WorkflowId, WorkflowState},
    std::{collections::BTreeMap, time::Duration},
    support::{lines, long_running, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// How long after its start a task crashes its worker.
const CRASH_DELAY: Duration = Duration::from_millis(10);

fn task(workflow: u64, index: u32) -> TaskId {
    TaskId { workflow: WorkflowId(workflow), occurrence: 0, step: 0, index }
}

/// Twelve workers with long-running tasks.
fn busy_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 12, Limits::default());
    world.run(2 * SECOND);
    world.submit(1, &submission(vec![long_running(12, 2)]));
    world.run(SECOND);
    world
}

fn failed(world: &World, id: u64) -> bool {
    world.state(WorkflowId(id)) == Some(WorkflowState::Ended(Outcome::Failed))
}

/// Guards against a crashing task that is restarted without end.
#[test]
fn culprit_given_up() {
    let mut world = World::new(41, 3, 12, Limits::default());
    world.run(2 * SECOND);
    world.submit(1, &submission(vec![long_running(12, 2)]));
    let id = world.submit(2, &submission(vec![step(6, 800)]));
    world.crashing_tasks.tasks.insert(task(2, 3), CRASH_DELAY);
    world.run(40 * SECOND);
    assert_eq!(world.checker.violations, Vec::<String>::new());
    assert_eq!(world.state(id), Some(WorkflowState::Ended(Outcome::Failed)));
}

/// Guards against a suspected task that crashes a second worker together with the same other tasks.
#[test]
fn bystanders_spared() {
    for seed in 0..20 {
        let mut world = busy_world(seed);
        world.submit(2, &submission(vec![step(12, 3_000)]));
        world.crashing_tasks.tasks.insert(task(2, 5), CRASH_DELAY);
        lines::collect();
        world.run(30 * SECOND);
        let mut lost: BTreeMap<String, u32> = BTreeMap::new();
        for line in lines::of(&lines::take(), "run_lost") {
            *lost.entry(line.get("task").to_owned()).or_default() += 1;
        }
        let crashing_task = task(2, 5).to_string();
        let lost_twice: Vec<_> = lost
            .iter()
            .filter(|(lost_task, count)| **lost_task != crashing_task && **count > 1)
            .collect();
        assert!(lost_twice.is_empty(), "seed {seed}: {lost_twice:?}");
        assert!(failed(&world, 2), "seed {seed}");
        assert_eq!(world.checker.crashes_by(task(2, 5)), 2, "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a crash history that is lost when the leader changes.
#[test]
fn leaders_change_meanwhile() {
    for seed in 0..20 {
        let mut world = busy_world(seed);
        world.submit(2, &submission(vec![step(6, 800)]));
        world.crashing_tasks.tasks.insert(task(2, 3), CRASH_DELAY);
        for _ in 0..6 {
            world.run(Duration::from_millis(3_600 + 70 * seed));
            let Some(leader) = world.leader() else { continue };
            world.kill(leader);
            world.run(SECOND);
            world.restart(leader);
        }
        world.run(20 * SECOND);
        assert!(failed(&world, 2), "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a crashing task whose starts are never answered, so that it is unknown whether it ran.
#[test]
fn unanswered_starts() {
    let mut world = busy_world(42);
    world.submit(2, &submission(vec![step(6, 800)]));
    world.crashing_tasks.tasks.insert(task(2, 3), Duration::ZERO);
    world.crashing_tasks.unanswered = true;
    world.run(60 * SECOND);
    assert!(failed(&world, 2));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against workers that never return, so that crashes can't be told from partitions.
#[test]
fn workers_stay_away() {
    let mut world = busy_world(43);
    world.submit(2, &submission(vec![step(6, 800)]));
    world.crashing_tasks.tasks.insert(task(2, 3), CRASH_DELAY);
    world.crashing_tasks.away = 600 * SECOND;
    world.run(90 * SECOND);
    assert!(failed(&world, 2));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a task that crashes its worker after running for a while.
#[test]
fn late_culprit() {
    for after_seconds in [1, 3, 7] {
        let mut world = busy_world(44);
        world.submit(2, &submission(vec![step(6, 60_000)]));
        world.crashing_tasks.tasks.insert(task(2, 3), after_seconds * SECOND);
        world.run(120 * SECOND);
        assert!(failed(&world, 2), "after {after_seconds} s");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "after {after_seconds} s");
    }
}

/// Guards against a long-running crashing task, which has no limit of failed runs.
#[test]
fn lasting_culprit() {
    let mut world = busy_world(45);
    world.submit(2, &submission(vec![long_running(6, 1)]));
    world.crashing_tasks.tasks.insert(task(2, 3), CRASH_DELAY);
    world.run(40 * SECOND);
    assert!(failed(&world, 2));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a gang that is lost with one worker after the other.
#[test]
fn gang_culprit() {
    let mut world = busy_world(46);
    let gang = Step { gang: true, ..step(6, 60_000) };
    world.submit(2, &submission(vec![gang]));
    world.crashing_tasks.tasks.insert(task(2, 3), CRASH_DELAY);
    world.run(90 * SECOND);
    assert!(failed(&world, 2));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against giving up harmless tasks when many crashing tasks run at once.
#[test]
fn many_culprits() {
    for seed in 0..20 {
        let mut world = busy_world(seed);
        for id in 10..40 {
            world.submit(id, &submission(vec![step(4, 700)]));
            if id % 5 == 0 {
                world.crashing_tasks.tasks.insert(task(id, 2), CRASH_DELAY);
            }
            world.run(Duration::from_millis(150));
        }
        world.run(60 * SECOND);
        for id in 10..40 {
            assert_eq!(failed(&world, id), id % 5 == 0, "seed {seed} workflow {id}");
            assert!(id % 5 == 0 || world.completed(WorkflowId(id)), "seed {seed} workflow {id}");
        }
        assert_eq!(world.state(WorkflowId(1)), Some(WorkflowState::Running), "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against giving up tasks because of lost racks.
#[test]
fn racks_lost() {
    for seed in 0..20 {
        let mut world = busy_world(seed);
        for round in 0..4_usize {
            let rack = (round + seed as usize) % 3 * 4;
            for id in 0..10 {
                world.submit(100 * (1 + round as u64) + id, &submission(vec![step(4, 900)]));
            }
            world.run(Duration::from_millis(60 + 25 * seed));
            let of_rack = |port: u16| (1_000 + rack..1_004 + rack).contains(&usize::from(port));
            let lost: Vec<usize> = (0..world.workers.len())
                .filter(|n| world.workers[*n].up && of_rack(world.workers[*n].info.addr.port()))
                .collect();
            lost.iter().for_each(|n| world.workers[*n].crash(&mut world.checker));
            world.run(4 * SECOND);
            for number in lost {
                world.revive(number);
            }
            world.run(Duration::from_millis(1_500));
        }
        world.run(20 * SECOND);
        for id in (1..=4).flat_map(|round| 100 * round..100 * round + 10) {
            let state = world.state(WorkflowId(id));
            assert_eq!(
                state,
                Some(WorkflowState::Ended(Outcome::Completed)),
                "seed {seed} workflow {id}"
            );
        }
        assert_eq!(world.state(WorkflowId(1)), Some(WorkflowState::Running), "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against giving up tasks that ran for a while on workers that tasks since given up have crashed.
#[test]
fn late_crashes_explained() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 1, Limits::default());
        world.run(2 * SECOND);
        world.submit(1, &submission(vec![long_running(3, 1)]));
        world.run(SECOND);
        for id in 10..16 {
            world.submit(id, &submission(vec![step(1, 700)]));
            world.crashing_tasks.tasks.insert(task(id, 0), CRASH_DELAY);
            world.run_until(20 * SECOND, |world| failed(world, id)).expect("it is given up");
            world.run(SECOND);
        }
        world.run(10 * SECOND);
        assert_eq!(world.state(WorkflowId(1)), Some(WorkflowState::Running), "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against counting partitioned workers that return as crashes.
#[test]
fn cut_is_no_crash() {
    let mut world = busy_world(47);
    let id = world.submit(2, &submission(vec![step(24, 60_000)]));
    for _ in 0..6 {
        let partitioned: Vec<usize> =
            (0..12).filter(|n| !world.workers[*n].running.is_empty()).collect();
        let partitioned: Vec<usize> = partitioned.into_iter().take(6).collect();
        world.nodes.iter_mut().for_each(|node| node.unreachable.clone_from(&partitioned));
        world.run(8 * SECOND);
        world.nodes.iter_mut().for_each(|node| node.unreachable.clear());
        world.run(Duration::from_millis(900));
    }
    world.run(120 * SECOND);
    assert!(world.completed(id), "{:?}", world.state(id));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against crashes that still count after a run that failed by itself and left its worker alive.
#[test]
fn failure_clears() {
    let mut world = busy_world(48);
    let id = world.submit(2, &submission(vec![step(1, 60_000)]));
    for round in 0..3 {
        world.run(4 * SECOND);
        let at =
            |world: &World| world.workers.iter().position(|w| w.running.contains_key(&task(2, 0)));
        let number = at(&world).expect("it runs");
        if round == 1 {
            world.workers[number].finish(task(2, 0), EndKind::Failed, &mut world.checker);
            continue;
        }
        world.workers[number].crash(&mut world.checker);
        world.run(4 * SECOND);
        world.revive(number);
    }
    world.run(80 * SECOND);
    assert!(world.completed(id), "{:?}", world.state(id));
}

/// Guards against counting one partitioned worker as several losses, which would hide that a task crashed its worker
/// alone.
#[test]
fn cut_beside_crash() {
    // The partition begins up to 2 s before the second crash or up to 1 s after it.
    for round in (0..60).step_by(3) {
        let mut world = World::new(49, 3, 12, Limits::default());
        world.run(2 * SECOND);
        world.crashing_tasks.away = Duration::from_millis(5_800);
        world.submit(2, &submission(vec![step(1, 800)]));
        world.crashing_tasks.tasks.insert(task(2, 0), CRASH_DELAY);
        world.run(Duration::from_millis(4_000 + 50 * round));
        world.nodes.iter_mut().for_each(|node| node.unreachable = vec![11]);
        world.run(30 * SECOND);
        assert!(failed(&world, 2), "round {round}");
        assert_eq!(world.checker.crashes_by(task(2, 0)), 2, "round {round}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "round {round}");
    }
}
