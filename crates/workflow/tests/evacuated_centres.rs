//! Data centres that the operator evacuates and takes back.

mod support;

use {
    egretlb_workflow::{Limits, Reason, Step, WorkflowId},
    rand::Rng,
    std::time::Duration,
    support::{lines, long_running, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

const CENTRES: [&str; 3] = ["east", "west", "north"];

/// Workers in three data centres, dealt in turn.
fn world(seed: u64, workers: usize) -> World {
    let mut world = World::new(seed, 3, workers, Limits::default());
    for (number, worker) in world.workers.iter_mut().enumerate() {
        worker.info.data_centre = CENTRES[number % 3].into();
    }
    world.run(2 * SECOND);
    world
}

/// Number of runs in a data centre.
fn running(world: &World, data_centre: &str) -> usize {
    let there = world.workers.iter().filter(|worker| worker.info.data_centre == data_centre);
    there.map(|worker| worker.running.len()).sum()
}

fn submit_some(world: &mut World, first: u64) {
    let gang = Step { gang: true, ..step(4, 500) };
    let copies = Step { speculative: true, ..step(4, 700) };
    let fillers = Step { best_effort: true, image: "filler".into(), ..step(4, 900) };
    for (id, step) in (first..).zip([step(8, 400), gang, copies, fillers]) {
        world.submit(id, &submission(vec![step]));
    }
}

/// Guards against starts in an evacuated data centre, of any kind of task.
#[test]
fn nothing_started_there() {
    let mut world = world(1, 12);
    world.evacuate("east");
    world.run(SECOND);
    world.submit(1, &submission(vec![long_running(6, 1)]));
    for round in 1..8 {
        submit_some(&mut world, 10 * round);
        world.run(Duration::from_millis(700));
        assert_eq!(running(&world, "east"), 0, "round {round}");
    }
    world.run(5 * SECOND);
    assert!((1..8).all(|round| world.completed(WorkflowId(10 * round))));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a check that can't notice a start in an evacuated data centre.
#[test]
fn checker_notices() {
    let mut world = world(2, 12);
    world.evacuations.unread = true;
    world.evacuate("east");
    world.run(2 * SECOND);
    submit_some(&mut world, 10);
    world.run(2 * SECOND);
    assert!(world.checker.violations.iter().any(|text| text.contains("in evacuated east")));
}

/// Guards against stopping what runs in a data centre when it is evacuated.
#[test]
fn runs_continue() {
    let mut world = world(3, 12);
    let id = world.submit(1, &submission(vec![long_running(12, 1)]));
    world.run(2 * SECOND);
    let before = running(&world, "west");
    assert!(before > 0);
    world.evacuate("west");
    world.run(5 * SECOND);
    assert_eq!(running(&world, "west"), before);
    assert!(!world.completed(id));
}

/// Guards against capacity that stays unused after a data centre is taken back, and against tasks
/// that are lost while all are evacuated.
#[test]
fn all_evacuated() {
    let mut world = world(4, 12);
    CENTRES.iter().for_each(|centre| world.evacuate(centre));
    world.run(SECOND);
    let id = world.submit(1, &submission(vec![step(24, 500)]));
    lines::collect();
    world.run(4 * SECOND);
    assert!(CENTRES.iter().all(|centre| running(&world, centre) == 0));
    let leader = world.leader().expect("one leads");
    let now = world.now;
    let scheduler = world.nodes[leader].scheduler.as_mut().expect("it leads");
    let reasons: Vec<Reason> =
        scheduler.waiting_steps(now, 10).into_iter().map(|waiting| waiting.reason).collect();
    assert_eq!(reasons, [Reason::Evacuated]);
    world.take_back("north");
    let waited = world.run_until(5 * SECOND, |world| running(world, "north") > 0);
    assert!(waited.is_some_and(|waited| waited <= SECOND), "{waited:?}");
    world.run(4 * SECOND);
    assert!(world.completed(id));
    assert_eq!(world.checker.violations, Vec::<String>::new());
    let lines = lines::take();
    assert_eq!(lines::of(&lines, "evacuation_ended").len(), 1);
}

/// Guards against a name that no worker has: starts go on everywhere.
#[test]
fn unknown_centre() {
    let mut world = world(5, 12);
    world.evacuate("nowhere");
    let id = world.submit(1, &submission(vec![step(60, 300)]));
    world.run(3 * SECOND);
    assert!(world.completed(id));
}

/// Guards against starts decided before the evacuation was read and sent after it.
#[test]
fn decided_before() {
    let mut world = world(6, 12);
    world.command_wait = 3 * SECOND;
    world.submit(1, &submission(vec![step(40, 500)]));
    world.run(Duration::from_millis(500));
    world.evacuate("east");
    world.run(10 * SECOND);
    world.command_wait = Duration::ZERO;
    world.run(10 * SECOND);
    assert_eq!(world.checker.violations, Vec::<String>::new());
    assert!(world.completed(WorkflowId(1)));
}

/// Guards against leaders that take over without the evacuations, or thaw with outdated ones.
#[test]
fn leader_changes() {
    for seed in 0..40 {
        let mut world = world(100 + seed, 12);
        world.submit(1, &submission(vec![long_running(9, 2)]));
        for round in 1..8_u64 {
            let centre = CENTRES[world.rng.random_range(0..3)];
            if world.rng.random_range(0..3) == 0 {
                world.take_back(centre);
            } else {
                world.evacuate(centre);
            }
            submit_some(&mut world, 10 * round);
            let span = Duration::from_millis(world.rng.random_range(100..2_500));
            world.run(span);
            if let Some(leader) = world.leader() {
                match world.rng.random_range(0..4) {
                    0 => world.kill(leader),
                    1 => world.freeze(leader, span * 3),
                    2 => world.nodes[leader].reaches_store = false,
                    _ => world.late_commands = 60,
                }
            }
            submit_some(&mut world, 10 * round + 5);
            world.run(3 * SECOND);
            world.late_commands = 0;
            for node in 0..3 {
                world.nodes[node].reaches_store = true;
                if !world.nodes[node].up {
                    world.restart(node);
                }
            }
        }
        CENTRES.iter().for_each(|centre| world.take_back(centre));
        world.run(30 * SECOND);
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
        let unfinished: Vec<WorkflowId> = world.submitted.clone();
        let unfinished: Vec<_> =
            unfinished.into_iter().filter(|id| id.0 > 1 && !world.completed(*id)).collect();
        assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
    }
}
