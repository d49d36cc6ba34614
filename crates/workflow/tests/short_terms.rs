//! Leaders that end before they have recorded a roster.

mod support;

use {
    egretlb_workflow::{Limits, TaskId, WorkflowId},
    std::time::Duration,
    support::{long_running, worker::Worker, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Time from killing a process to its restart.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Creates a simulation in which six workers run one long-running task each, and one is free.
fn world(seed: u64) -> (World, WorkflowId) {
    let mut world = World::new(seed, 3, 6, Limits::default());
    world.watch_stalls();
    world.run(2 * SECOND);
    let mut step = long_running(6, 1);
    step.per_worker = 1;
    let id = world.submit(1, &support::submission(vec![step]));
    world.run(2 * SECOND);
    (0..2).for_each(|_| {
        world.add_worker(8);
    });
    world.run(SECOND);
    (world, id)
}

fn all_run(world: &World, id: WorkflowId) -> bool {
    let task = |index| TaskId { workflow: id, occurrence: 0, step: 0, index };
    (0..6).all(|index| world.checker.is_running(task(index)))
}

fn busy_worker(world: &World) -> usize {
    let is_busy = |worker: &Worker| !worker.running.is_empty();
    world.workers.iter().position(is_busy).expect("six tasks run")
}

/// Kills the leader and restarts it at the same address.
fn restart_leader(world: &mut World) {
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.run(RESTART_TIME);
    world.restart(leader);
}

/// Guards against waiting the full time for a lost worker's leases since the predecessor recorded no roster.
#[test]
fn ends_before_roster() {
    for seed in 0..12 {
        let (mut world, id) = world(seed);
        let busy = busy_worker(&world);
        world.workers[busy].crash(&mut world.checker);
        world.run(SECOND);
        for _ in 0..1 + seed % 3 {
            restart_leader(&mut world);
            let leads = |world: &World| world.leader().is_some();
            assert!(world.run_until(SECOND, leads).is_some(), "{seed}");
            // Up to just before the roster is recorded.
            world.run(Duration::from_millis(seed / 3 * 100));
        }
        let begin = world.now;
        restart_leader(&mut world);
        let took = world.run_until(12 * SECOND, |world| all_run(world, id));
        // The maximum lease on a slow clock, reconciliation and a start, from the end of the last process that may have renewed it.
        let limit = Duration::from_millis(5_200 + 300) + RESTART_TIME;
        let took = took.map(|_| world.now.since(begin));
        assert!(took.is_some_and(|took| took < limit), "{seed}: {took:?}");
        world.run(4 * SECOND);
        assert_eq!(world.take_stalls(), Vec::<String>::new(), "{seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}

/// Guards against forgetting a still earlier leader, which renews leases on a worker that only it reaches, after several
/// leaders without a roster.
#[test]
fn oldest_still_commands() {
    for seed in 0..36 {
        let (mut world, id) = world(seed);
        let first = world.leader().expect("somebody leads");
        let busy = busy_worker(&world);
        world.workers[busy].rate = 980;
        world.nodes[first].reaches_store = false;
        // No other worker reports the new leader to it.
        let others = (0..world.workers.len()).filter(|worker| *worker != busy);
        world.nodes[first].unreachable = others.collect();
        for node in (0..world.nodes.len()).filter(|node| *node != first) {
            world.nodes[node].unreachable = vec![busy];
        }
        let has_new_leader = |world: &World| world.leader().is_some_and(|leader| leader != first);
        assert!(world.run_until(4 * SECOND, has_new_leader).is_some(), "{seed}");
        for _ in 0..1 + seed % 3 {
            world.run(Duration::from_millis(seed / 3 * 40));
            assert!(world.run_until(4 * SECOND, has_new_leader).is_some(), "{seed}");
            let second = world.leader().expect("somebody leads");
            world.kill(second);
            world.run(RESTART_TIME);
            world.restart(second);
            world.nodes[second].unreachable = vec![busy];
        }
        world.run(14 * SECOND);
        assert!(all_run(&world, id), "{seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}
