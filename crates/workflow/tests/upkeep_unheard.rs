//! A maintenance wave with a VM whose worker never answers the leader.

mod support;

use {
    egretlb_workflow::{Limits, Wave, WaveState},
    std::time::Duration,
    support::{fleet::vm, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// A worker that can't be reached after a change of leader doesn't block a wave: its runs have
/// lapsed, so its VM may go down.
#[test]
fn wave_goes_on() {
    for seed in 0..4 {
        let mut world = World::new(seed, 3, 8, Limits::default());
        world.assign_vms();
        world.run(2 * SECOND);
        world.submit(1, &submission(vec![step(4, 300)]));
        world.run(2 * SECOND);
        let leader = world.leader().expect("somebody leads");
        for node in &mut world.nodes {
            node.unreachable = vec![0];
        }
        world.kill(leader);
        world.run(3 * SECOND);
        let vms = (0..8).map(vm).collect();
        world.waves.push((1, Wave { vms, within: Duration::from_secs(60), max_down: 1 }));
        let completed = |world: &World| world.fleet.reported.contains(&WaveState::Completed);
        let took = world.run_until(80 * SECOND, completed);
        assert!(took.is_some(), "{seed}: {:?}", world.fleet.done);
        assert!(world.fleet.max_down <= 1, "{seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}
