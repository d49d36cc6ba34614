//! Seeded days with several concurrent faults. No task may run twice at once, after its end was
//! acknowledged, before its dependencies or more often than allowed. Once the faults are over, all
//! work finishes.

mod support;

use {
    egretlb_workflow::{Limits, WorkflowId},
    rand::Rng,
    std::time::Duration,
    support::{step, submission, world::World},
};

const SEEDS: u64 = 60;
const NODES: usize = 4;
const WORKERS: usize = 6;

fn second_step() -> egretlb_workflow::Step {
    let mut step = step(3, 400);
    step.after.push(0);
    step
}

fn inject_fault(world: &mut World, kind: u32) {
    let node = world.rng.random_range(0..NODES);
    let worker = world.rng.random_range(0..world.workers.len());
    let leader = world.leader().unwrap_or(node);
    let span = Duration::from_millis(world.rng.random_range(300..6_000));
    match kind {
        0 => world.kill(leader),
        1 => world.freeze(leader, span),
        2 => world.nodes[leader].reaches_store = false,
        3 => world.nodes[node].unreachable = vec![worker, (worker + 1) % WORKERS],
        4 => world.nodes[leader].unreachable = vec![worker],
        5 => world.store_down = true,
        6 => world.lost_appends = 350,
        7 => world.late_commands = 60,
        8 => {
            world.workers[worker].crash(&mut world.checker);
            world.add_worker(8);
        }
        9 => world.workers[worker].fails_all = true,
        10 => (0..NODES).for_each(|node| world.kill(node)),
        _ => world.workers[worker].rate = 980,
    }
}

fn heal(world: &mut World) {
    world.store_down = false;
    world.lost_appends = 0;
    world.late_commands = 0;
    for worker in &mut world.workers {
        worker.fails_all = false;
    }
    for node in 0..NODES {
        world.nodes[node].reaches_store = true;
        world.nodes[node].unreachable.clear();
        if !world.nodes[node].up {
            world.restart(node);
        }
    }
}

fn run_seed(seed: u64) -> World {
    let mut world = World::new(seed, NODES, WORKERS, Limits::default());
    world.watch_stalls();
    world.run(Duration::from_secs(2));
    let mut id = 0;
    for _ in 0..4 {
        for _ in 0..2 {
            let kind = world.rng.random_range(0..12);
            inject_fault(&mut world, kind);
        }
        for _ in 0..6 {
            id += 1;
            let count = world.rng.random_range(1..6);
            let ms = world.rng.random_range(100..1_500);
            world.submit(id, &submission(vec![step(count, ms), second_step()]));
            let pause = world.rng.random_range(50..600);
            world.run(Duration::from_millis(pause));
        }
        heal(&mut world);
    }
    world.run(Duration::from_secs(40));
    world
}

#[test]
fn all_seeds() {
    let mut starts = 0;
    for seed in 0..SEEDS {
        let mut world = run_seed(seed);
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.take_stalls(), Vec::<String>::new(), "seed {seed}");
        for id in 1..=24 {
            let state = world.state(WorkflowId(id));
            assert!(
                matches!(state, Some(egretlb_workflow::WorkflowState::Ended(_))),
                "seed {seed} workflow {id}: {state:?}"
            );
        }
        starts += world.checker.starts;
    }
    println!("{SEEDS} days, {starts} starts");
}
