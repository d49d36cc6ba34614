//! Cost of the control stream for a node: appends, bytes and processor time.

mod support;

use {
    egretlb_control::{
        ControlRecord, ControlState, NodeInfo, Phase, Role, ShardEpoch, ShardEpochs,
    },
    egretlb_types::{ConfigDocument, Epoch, NodeId, Offset, SHARD_COUNT, ShardId},
    std::time::Instant,
    support::{Options, SEC, World},
};

/// Overhead of each message in bytes: TCP and IP headers of four packets, and the framing of the
/// call.
const CALL_OVERHEAD: f64 = 216.0;

/// Overhead of a read in bytes: the HTTP request and the head of its answer.
const READ_OVERHEAD: f64 = 600.0;

/// Appends and bytes of each node while nothing changes must stay small.
#[test]
fn quiet_minute() {
    for schedulers in [3, 9, 17] {
        let mut world = World::new(Options { entries: schedulers, ..Options::new(31, schedulers) });
        world.run_until(30 * SEC);
        let before = (world.log.appends, world.log.reads, world.log.read_bytes);
        let sent = (world.heartbeats, world.heartbeat_bytes);
        world.watched_changes = false;
        world.run_until(90 * SEC);
        let nodes = world.nodes.len() as f64 * 60.0;
        let reads = (world.log.reads - before.1) as f64 / nodes;
        let beats = (world.heartbeats - sent.0) as f64 / nodes;
        let payload = (world.heartbeat_bytes - sent.1) as f64 / nodes;
        let log_payload = (world.log.read_bytes - before.2) as f64 / nodes;
        let both_ways = 2.0 * (payload + beats * CALL_OVERHEAD);
        println!(
            "nodes={} appends/min={} reads/s/node={reads:.2} heartbeats/s/node={beats:.2} \
             heartbeat payload B/s={payload:.0} log payload B/s={log_payload:.0} \
             estimate with overheads B/s/node={:.0}",
            world.nodes.len(),
            world.log.appends - before.0,
            both_ways + reads * READ_OVERHEAD + log_payload,
        );
        assert!(world.log.appends - before.0 <= 2);
        assert!(payload < 400.0);
    }
}

/// Records and bytes caused by the death of one of 17 schedulers must stay bounded.
#[test]
fn cost_of_a_death() {
    let mut world = World::new(Options { entries: 17, ..Options::new(32, 17) });
    world.run_until(30 * SEC);
    world.watched_changes = false;
    world.run_until(32 * SEC);
    let (appends, bytes) = (world.log.appends, world.log.append_bytes);
    world.kill(3);
    world.run_until(60 * SEC);
    println!(
        "records after a death={} bytes={}",
        world.log.appends - appends,
        world.log.append_bytes - bytes
    );
    assert_eq!(world.shards_without_owner(), 0);
    assert!(world.log.appends - appends < 100);
}

fn join(node: u64) -> ControlRecord {
    ControlRecord::Join(NodeInfo {
        node: NodeId(node),
        role: Role::Scheduler,
        data_centre: "dc-1".parse().unwrap(),
        peer_addr: "10.0.0.1:7000".into(),
        http_addr: "10.0.0.1:8000".into(),
    })
}

/// The size of a snapshot must stay bounded as members are added. The time per record is printed
/// only, since it depends on the machine.
#[test]
fn fold_cost() {
    for nodes in [3, 17, 34, 68] {
        let mut state = ControlState::default();
        let mut offset = 0;
        let mut apply = |state: &mut ControlState, record: &ControlRecord| {
            state.apply(Offset(offset), record, &|_| Ok(ConfigDocument::default()));
            offset += 1;
        };
        for node in 0..nodes {
            apply(&mut state, &join(u64::MAX - node));
        }
        let start = Instant::now();
        let rounds = 200_u64;
        for round in 0..rounds {
            for node in 0..nodes {
                let owner = NodeId(u64::MAX - node);
                let shards: ShardEpochs = (0..SHARD_COUNT)
                    .filter(|shard| u64::from(*shard) % nodes == node)
                    .map(|shard| ShardEpoch { shard: ShardId(shard), epoch: Epoch(round + 1) })
                    .collect();
                apply(&mut state, &ControlRecord::Claim { owner, shards: shards.clone() });
                apply(&mut state, &ControlRecord::Settled { owner, shards });
            }
        }
        let each = start.elapsed().as_nanos() as u64 / (rounds * nodes * 2);
        let snapshot = state.encode().len();
        println!("nodes={nodes} apply ns/record={each} snapshot bytes={snapshot}");
        assert!(state.shards().all(|(_, shard)| shard.phase() == Phase::Settled));
        assert!(snapshot < 64 * 1024);
    }
}
