//! Tasks that crash each worker that starts them, and tasks that were merely beside them.

mod support;

use {
    egretlb_workflow::{EndKind, Limits, Outcome, Step, TaskId, WorkflowId, WorkflowState},
    std::{collections::BTreeMap, time::Duration},
    support::{lines, long_running, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// How long after its start a culprit crashes its worker.
const AT_ONCE: Duration = Duration::from_millis(10);

fn task(workflow: u64, index: u32) -> TaskId {
    TaskId { workflow: WorkflowId(workflow), occurrence: 0, step: 0, index }
}

/// Twelve workers, each with lasting tasks.
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

/// Guards against a task that takes down one worker after the other because it is started again without end.
#[test]
fn culprit_given_up() {
    let mut world = World::new(41, 3, 12, Limits::default());
    world.run(2 * SECOND);
    world.submit(1, &submission(vec![long_running(12, 2)]));
    let id = world.submit(2, &submission(vec![step(6, 800)]));
    world.crashing_tasks.tasks.insert(task(2, 3), AT_ONCE);
    world.run(40 * SECOND);
    assert_eq!(world.checker.violations, Vec::<String>::new());
    assert_eq!(world.state(id), Some(WorkflowState::Ended(Outcome::Failed)));
}

/// Guards against a suspected task that takes along, with the next worker, what shared the first one with it.
#[test]
fn bystanders_spared() {
    for seed in 0..20 {
        let mut world = busy_world(seed);
        world.submit(2, &submission(vec![step(12, 3_000)]));
        world.crashing_tasks.tasks.insert(task(2, 5), AT_ONCE);
        lines::collect();
        world.run(30 * SECOND);
        let mut lost: BTreeMap<String, u32> = BTreeMap::new();
        for line in lines::of(&lines::take(), "run_lost") {
            *lost.entry(line.get("task").to_owned()).or_default() += 1;
        }
        let culprit = task(2, 5).to_string();
        let twice: Vec<_> = lost.iter().filter(|(of, n)| **of != culprit && **n > 1).collect();
        assert!(twice.is_empty(), "seed {seed}: {twice:?}");
        assert!(failed(&world, 2), "seed {seed}");
        assert_eq!(world.checker.crashes_by(task(2, 5)), 2, "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a count of crashes that ends with the leader's term.
#[test]
fn leaders_change_meanwhile() {
    for seed in 0..20 {
        let mut world = busy_world(seed);
        world.submit(2, &submission(vec![step(6, 800)]));
        world.crashing_tasks.tasks.insert(task(2, 3), AT_ONCE);
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

/// Guards against a task whose starts are never answered, so that nobody knows whether it ran where a worker was lost.
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

/// Guards against workers that stay away for good, so that nothing tells a crash from a cut.
#[test]
fn workers_stay_away() {
    let mut world = busy_world(43);
    world.submit(2, &submission(vec![step(6, 800)]));
    world.crashing_tasks.tasks.insert(task(2, 3), AT_ONCE);
    world.crashing_tasks.away = 600 * SECOND;
    world.run(90 * SECOND);
    assert!(failed(&world, 2));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a task that is at work for a while before it crashes its worker.
#[test]
fn late_culprit() {
    for after in [1, 3, 7] {
        let mut world = busy_world(44);
        world.submit(2, &submission(vec![step(6, 60_000)]));
        world.crashing_tasks.tasks.insert(task(2, 3), after * SECOND);
        world.run(120 * SECOND);
        assert!(failed(&world, 2), "after {after} s");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "after {after} s");
    }
}

/// Guards against a lasting culprit, which has no limit of failed runs.
#[test]
fn lasting_culprit() {
    let mut world = busy_world(45);
    world.submit(2, &submission(vec![long_running(6, 1)]));
    world.crashing_tasks.tasks.insert(task(2, 3), AT_ONCE);
    world.run(40 * SECOND);
    assert!(failed(&world, 2));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a gang whose members are all lost with one worker after the other.
#[test]
fn gang_culprit() {
    let mut world = busy_world(46);
    let gang = Step { gang: true, ..step(6, 60_000) };
    world.submit(2, &submission(vec![gang]));
    world.crashing_tasks.tasks.insert(task(2, 3), AT_ONCE);
    world.run(90 * SECOND);
    assert!(failed(&world, 2));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against innocent tasks that are given up because many culprits come at once.
#[test]
fn many_culprits() {
    for seed in 0..20 {
        let mut world = busy_world(seed);
        for id in 10..40 {
            world.submit(id, &submission(vec![step(4, 700)]));
            if id % 5 == 0 {
                world.crashing_tasks.tasks.insert(task(id, 2), AT_ONCE);
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

/// Guards against tasks that are given up because racks were lost under them.
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

/// Guards against workers that are cut off, and come back, being held against what ran there.
#[test]
fn cut_is_no_crash() {
    let mut world = busy_world(47);
    let id = world.submit(2, &submission(vec![step(24, 60_000)]));
    for _ in 0..6 {
        let cut: Vec<usize> = (0..12).filter(|n| !world.workers[*n].running.is_empty()).collect();
        let cut: Vec<usize> = cut.into_iter().take(6).collect();
        world.nodes.iter_mut().for_each(|node| node.unreachable.clone_from(&cut));
        world.run(8 * SECOND);
        world.nodes.iter_mut().for_each(|node| node.unreachable.clear());
        world.run(Duration::from_millis(900));
    }
    world.run(120 * SECOND);
    assert!(world.completed(id), "{:?}", world.state(id));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a run that fails by itself, and thus left its worker alive, counting towards a conviction.
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
