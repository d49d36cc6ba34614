//! Workers that crash and are replaced at the same addresses while the leader changes.

mod support;

use {
    egretlb_workflow::Limits,
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Half of the workers crash and new ones start at their addresses. The leader restarts their tasks elsewhere but can't
/// record it, so the roster still lists the old runs. When the next leader finds that these are gone, it must not start
/// the tasks again: the new runs are still active or being stopped.
#[test]
fn workers_replaced_before_takeover() {
    for seed in 0..24 {
        let mut world = World::new(seed, 3, 8, Limits::default());
        for worker in &mut world.workers {
            worker.stop_ms = 250;
        }
        world.run(2 * SECOND);
        world.submit(1, &submission(vec![step(24, 20_000)]));
        world.run(SECOND);
        for crashed in 0..4 {
            world.workers[crashed].crash(&mut world.checker);
        }
        world.run(Duration::from_millis(4_000 + 30 * seed));
        for crashed in 0..4 {
            world.revive(crashed);
        }
        let leader = world.leader().expect("a leader");
        world.nodes[leader].reaches_store = false;
        world.run(8 * SECOND);
        assert_ne!(world.leader(), Some(leader));
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}
