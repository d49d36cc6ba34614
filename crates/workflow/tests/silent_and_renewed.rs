//! A worker that a leader lists as silent and that an older leader still reaches.

mod support;

use {
    egretlb_workflow::{Limits, TaskId, WorkerState},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// A worker that had announced its leaving stays after all, just as the leader loses the store; that leader reaches
/// this worker alone, and renews all that runs there for four seconds more. The second leader doesn't reach the
/// worker, lists it as silent and is killed; a third is killed before it has recorded anything. Did the fourth
/// wait for a lease alone, it would start the worker's tasks a second time while they run.
#[test]
fn renewed_by_the_first() {
    for seed in 0..12 {
        let mut world = World::new(seed, 3, 6, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![step(6, 60_000)]));
        world.run(SECOND);
        let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
        let busy = busy.expect("six tasks run");
        world.workers[busy].info.state = WorkerState::Draining;
        world.run(2 * SECOND);
        let first = world.leader().expect("somebody leads");
        world.store.refused = world.nodes[first].leadership.term();
        world.workers[busy].info.state = WorkerState::Ready;
        world.run(Duration::from_millis(300));
        world.nodes[first].reaches_store = false;
        let others = (0..world.workers.len()).filter(|worker| *worker != busy);
        world.nodes[first].unreachable = others.collect();
        for node in 0..world.nodes.len() {
            if node != first {
                world.nodes[node].unreachable = vec![busy];
            }
        }
        let led = |world: &World| world.leader().is_some_and(|leader| leader != first);
        assert!(world.run_until(4 * SECOND, led).is_some(), "{seed}");
        let second = world.leader().expect("somebody leads");
        // It has written a roster by then.
        world.run(Duration::from_millis(550));
        for _ in 0..2 {
            world.kill(second);
            world.run(Duration::from_millis(20));
            world.restart(second);
            world.nodes[second].unreachable = vec![busy];
            let led = |world: &World| world.leader() == Some(second);
            assert!(world.run_until(SECOND, led).is_some(), "{seed}");
        }
        world.run(14 * SECOND);
        let task = |index| TaskId { workflow: id, occurrence: 0, step: 0, index };
        assert!((0..6).all(|index| world.checker.is_running(task(index))), "{seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}
