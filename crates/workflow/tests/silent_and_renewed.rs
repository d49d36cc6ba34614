//! A worker that a leader lists as unresponsive and an earlier leader still reaches.

mod support;

use {
    egretlb_workflow::{Limits, TaskId, WorkerState},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// The first leader loses the store but still renews leases on one worker for four seconds. The second leader lists the
/// worker as unresponsive and is killed, and the third is killed before it records anything. The fourth must not start
/// the worker's tasks again after the time of a lease only, since they still run.
#[test]
fn renewed_by_first_leader() {
    for seed in 0..12 {
        let mut world = World::new(seed, 3, 6, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![step(6, 60_000)]));
        world.run(SECOND);
        let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
        let busy = busy.expect("six tasks run");
        world.workers[busy].info.state = WorkerState::Draining;
        world.run(2 * SECOND);
        let first = world.leader().expect("a leader");
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
        let replaced = |world: &World| world.leader().is_some_and(|leader| leader != first);
        assert!(world.run_until(4 * SECOND, replaced).is_some(), "{seed}");
        let second = world.leader().expect("a leader");
        // The second leader has recorded a roster by then.
        world.run(Duration::from_millis(550));
        for _ in 0..2 {
            world.kill(second);
            world.run(Duration::from_millis(20));
            world.restart(second);
            world.nodes[second].unreachable = vec![busy];
            let leads_again = |world: &World| world.leader() == Some(second);
            assert!(world.run_until(SECOND, leads_again).is_some(), "{seed}");
        }
        world.run(14 * SECOND);
        let task = |index| TaskId { workflow: id, occurrence: 0, step: 0, index };
        assert!((0..6).all(|index| world.checker.is_running(task(index))), "{seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}
