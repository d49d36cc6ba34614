//! Heartbeats keep every living process known to all at a small cost.

mod support;

use support::{Options, SEC, World};

/// Each process hears of each other one well before it would suspect it. If it didn't, living
/// owners would lose their shards, and callers would be refused for some seconds each time.
#[test]
fn silence_stays_short() {
    for schedulers in [3, 9, 17] {
        let mut options = Options::new(5, schedulers);
        options.entries = schedulers;
        let mut world = World::new(options);
        world.run_until(10 * SEC);
        let (heartbeats, bytes) = (world.heartbeats, world.heartbeat_bytes);
        let mut silences = Vec::new();
        while world.now < 130 * SEC {
            world.run_until(world.now + SEC / 10);
            silences.extend(longest_silence(&world, schedulers));
        }
        silences.sort();
        let nodes = world.nodes.len() as f64;
        println!(
            "schedulers={schedulers} entries={schedulers} silence in ms p50={} p99={} max={} \
             heartbeats/s/node={:.2} bytes/s/node={:.0}",
            silences[silences.len() / 2],
            silences[silences.len() * 99 / 100],
            silences[silences.len() - 1],
            (world.heartbeats - heartbeats) as f64 / 120.0 / nodes,
            (world.heartbeat_bytes - bytes) as f64 / 120.0 / nodes,
        );
        assert!(silences[silences.len() - 1] < 4_000);
    }
}

fn longest_silence(world: &World, schedulers: usize) -> Vec<u128> {
    let mut silences = Vec::new();
    for of in &world.nodes[..schedulers] {
        let now = of.clock.read(world.now);
        for other in &world.nodes[..schedulers] {
            let silence = of.control.as_ref().unwrap().time_since_contact(now, other.info.node);
            silences.extend(silence.map(|silence| silence.as_millis()));
        }
    }
    silences
}
