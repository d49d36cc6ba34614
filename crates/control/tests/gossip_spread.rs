//! Heartbeats keep live processes in contact at a small cost.

mod support;

use support::{Options, SEC, World};

/// Without frequent contact, live owners would be suspected and lose their shards.
#[test]
fn live_processes_stay_in_contact() {
    for schedulers in [3, 9, 17] {
        let mut options = Options::new(5, schedulers);
        options.entries = schedulers;
        let mut world = World::new(options);
        world.run_until(10 * SEC);
        let (heartbeats, bytes) = (world.heartbeats, world.heartbeat_bytes);
        let mut idle_times = Vec::new();
        while world.now < 130 * SEC {
            world.run_until(world.now + SEC / 10);
            idle_times.extend(idle_times_of_all(&world, schedulers));
        }
        idle_times.sort();
        let nodes = world.nodes.len() as f64;
        println!(
            "schedulers={schedulers} entries={schedulers} silence in ms p50={} p99={} max={} \
             heartbeats/s/node={:.2} bytes/s/node={:.0}",
            idle_times[idle_times.len() / 2],
            idle_times[idle_times.len() * 99 / 100],
            idle_times[idle_times.len() - 1],
            (world.heartbeats - heartbeats) as f64 / 120.0 / nodes,
            (world.heartbeat_bytes - bytes) as f64 / 120.0 / nodes,
        );
        assert!(idle_times[idle_times.len() - 1] < 4_000);
    }
}

fn idle_times_of_all(world: &World, schedulers: usize) -> Vec<u128> {
    let mut idle_times = Vec::new();
    for node in &world.nodes[..schedulers] {
        let now = node.clock.read(world.now);
        for other in &world.nodes[..schedulers] {
            let idle_time = node.control.as_ref().unwrap().idle_time(now, other.info.node);
            idle_times.extend(idle_time.map(|idle_time| idle_time.as_millis()));
        }
    }
    idle_times
}
