//! Random faults. At every step, each task that is due must wait for a worker or have a run on one; any other task would
//! never be started again.

mod support;

use {
    egretlb_workflow::{Limits, WorkerState, WorkflowId},
    rand::Rng,
    std::time::Duration,
    support::{step, submission, world::World},
};

const SEEDS: u64 = 40;
const NODES: usize = 3;
const WORKERS: usize = 6;

fn cause_fault(world: &mut World) {
    let node = world.rng.random_range(0..NODES);
    let worker = world.rng.random_range(0..world.workers.len());
    let leader = world.leader().unwrap_or(node);
    let span = Duration::from_millis(world.rng.random_range(300..5_000));
    match world.rng.random_range(0..12) {
        0 => world.kill(leader),
        1 => world.freeze(leader, span),
        2 => world.nodes[leader].reaches_store = false,
        3 => world.nodes[leader].unreachable = vec![worker],
        4 => world.store_down = true,
        5 => world.lost_appends = 350,
        6 => world.late_commands = 60,
        7 => {
            world.workers[worker].crash(&mut world.checker);
            world.add_worker(8);
        }
        8 => world.workers[worker].fails_all = true,
        9 => world.workers[worker].listed = false,
        10 => world.workers[worker].info.state = WorkerState::Draining,
        _ => world.workers[worker].stop_ms = 400,
    }
}

fn end_faults(world: &mut World) {
    (world.store_down, world.lost_appends, world.late_commands) = (false, 0, 0);
    for worker in &mut world.workers {
        (worker.fails_all, worker.listed) = (false, true);
        worker.info.state = WorkerState::Ready;
    }
    for node in 0..NODES {
        world.nodes[node].reaches_store = true;
        world.nodes[node].unreachable.clear();
        if !world.nodes[node].up {
            world.restart(node);
        }
    }
}

fn submit(world: &mut World, id: u64) {
    let count = world.rng.random_range(1..6);
    let ms = world.rng.random_range(100..1_500);
    let mut first = step(count, ms);
    let mut second = step(3, 400);
    second.after.push(0);
    match world.rng.random_range(0..5) {
        0 => (first.long_running, second.long_running) = (true, true),
        1 => second.long_running = true,
        2 => second.gang = true,
        3 => first.speculative = true,
        _ => {}
    }
    world.submit(id, &submission(vec![first, second]));
}

/// Runs for `span` and checks all schedulers at every step.
fn run_checked(world: &mut World, span: Duration, seed: u64) {
    let ended_early = world.run_until(span, |world| {
        let schedulers = world.nodes.iter().filter_map(|node| node.scheduler.as_ref());
        let stranded: Vec<_> = schedulers.flat_map(|scheduler| scheduler.stranded()).collect();
        assert!(stranded.is_empty(), "seed {seed} at {:?}: {stranded:?}", world.now);
        false
    });
    assert_eq!(ended_early, None);
}

#[test]
fn all_seeds() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, NODES, WORKERS, Limits::default());
        run_checked(&mut world, Duration::from_secs(2), seed);
        let mut id = 0;
        for _ in 0..4 {
            for _ in 0..2 {
                cause_fault(&mut world);
            }
            for _ in 0..6 {
                id += 1;
                submit(&mut world, id);
                if world.rng.random_range(0..4) == 0 {
                    let cancelled = world.rng.random_range(1..=id);
                    world.cancel(WorkflowId(cancelled));
                }
                let pause = world.rng.random_range(50..600);
                run_checked(&mut world, Duration::from_millis(pause), seed);
            }
            end_faults(&mut world);
        }
        run_checked(&mut world, Duration::from_secs(15), seed);
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}
