//! A leader whose wait for an unreachable worker ends while it has a successor that it doesn't know of.

mod support;

use {
    egretlb_workflow::{Limits, TaskId},
    std::time::Duration,
    support::{long_running, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Long-running tasks, each of which takes a worker.
const TASKS: u32 = 6;

/// The first leader loses the store and still renews leases on one worker for 4 s. The second one waits for that worker,
/// which it can't reach, and loses the store 2 to 3.5 s before the wait is over. The third one reaches the worker and renews
/// its task. Guards against the second one starting that task on a worker that the third one can't reach: it doesn't know
/// the task, so this counts as no restart.
#[test]
fn wait_ends_after_takeover() {
    for seed in 0..24 {
        let mut world = World::new(seed, 3, 6, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![long_running(TASKS, 8)]));
        world.run(2 * SECOND);
        let free = world.add_worker(8);
        world.run(SECOND);
        let first = world.leader().expect("a leader");
        let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
        let busy = busy.expect("six tasks run");
        world.nodes[first].reaches_store = false;
        // No other worker reports a later leader to it.
        let others = (0..world.workers.len()).filter(|worker| *worker != busy);
        world.nodes[first].unreachable = others.collect();
        for node in (0..3).filter(|node| *node != first) {
            world.nodes[node].unreachable = vec![busy];
        }
        let begin = world.now;
        let replaced = |world: &World| world.leader().is_some_and(|leader| leader != first);
        assert!(world.run_until(4 * SECOND, replaced).is_some(), "{seed}");
        let second = world.leader().expect("a leader");
        let third = 3 - first - second;
        // Authority and lease of the first leader are over 9.2 s after its last heartbeat.
        let before_end = Duration::from_millis(2_000 + seed * 67);
        let until_cut = begin + Duration::from_millis(9_100) - before_end;
        world.run(until_cut.since(world.now));
        world.nodes[second].reaches_store = false;
        // Nobody reports the third leader to it, and its own store calls get no answer.
        world.nodes[third].unreachable = vec![free];
        world.nodes[second].unreachable = (0..world.workers.len()).filter(|w| *w != free).collect();
        world.run(14 * SECOND);
        let task = |index| TaskId { workflow: id, occurrence: 0, step: 0, index };
        assert!((0..TASKS).all(|index| world.checker.is_running(task(index))), "{seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}
