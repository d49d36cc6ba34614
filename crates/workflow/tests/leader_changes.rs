//! Leader changes.

mod support;

use {
    egretlb_types::{Epoch, Seq},
    egretlb_workflow::{LeaderRecord, Leadership, Limits},
    std::time::Duration,
    support::{messages::Msg, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

fn world() -> World {
    let mut world = World::new(1, 4, 6, Limits::default());
    world.run(2 * SECOND);
    world
}

#[test]
fn one_leads_and_completes() {
    let mut world = world();
    let id = world.submit(
        1,
        &submission(vec![step(6, 300), {
            let mut second = step(3, 200);
            second.after.push(0);
            second
        }]),
    );
    let took = world.run_until(5 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < Duration::from_millis(900)), "{took:?}");
    assert_eq!(world.nodes.iter().map(|node| node.elections).sum::<u32>(), 1);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a new leader that loses work or runs a task twice after the leader is killed.
#[test]
fn killed_leader() {
    let mut world = world();
    let mut second = step(4, 400);
    second.after.push(0);
    let id = world.submit(1, &submission(vec![step(8, 900), second]));
    world.run(Duration::from_millis(500));
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    let took = world.run_until(10 * SECOND, |world| world.leader().is_some());
    assert!(took.is_some_and(|took| took < Duration::from_millis(2_000)), "{took:?}");
    let took = world.run_until(10 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < Duration::from_millis(2_500)), "{took:?}");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a restarted leader that waits for heartbeats of its own earlier process.
#[test]
fn restarted_leader() {
    let mut world = world();
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.run(Duration::from_millis(200));
    world.restart(leader);
    let took = world.run_until(10 * SECOND, |world| world.leader().is_some());
    assert!(took.is_some_and(|took| took < Duration::from_millis(200)), "{took:?}");
    let id = world.submit(1, &submission(vec![step(8, 300)]));
    assert!(world.run_until(3 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a leader that starts tasks twice when it wakes from a pause after a takeover.
#[test]
fn frozen_leader() {
    let mut world = world();
    for id in 1..20 {
        world.submit(id, &submission(vec![step(4, 700)]));
    }
    world.run(Duration::from_millis(300));
    let leader = world.leader().expect("somebody leads");
    world.freeze(leader, 5 * SECOND);
    world.run(12 * SECOND);
    assert!((1..20).all(|id| world.completed(egretlb_workflow::WorkflowId(id))));
    assert_ne!(world.leader(), Some(leader));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a leader that keeps sending commands although only it can't reach the store.
#[test]
fn leader_without_store() {
    let mut world = world();
    let leader = world.leader().expect("somebody leads");
    world.nodes[leader].reaches_store = false;
    world.run(5 * SECOND);
    assert!(!world.nodes[leader].leads(world.now));
    let id = world.submit(1, &submission(vec![step(8, 300)]));
    assert!(world.run_until(3 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against tasks that run twice because a new leader doesn't wait for the authority and
/// leases of a leader that still reaches a worker.
#[test]
fn unreachable_worker_waits() {
    let mut world = world();
    for id in 1..10 {
        world.submit(id, &submission(vec![step(5, 4_000)]));
    }
    world.run(Duration::from_millis(500));
    let leader = world.leader().expect("somebody leads");
    for node in 0..world.nodes.len() {
        if node != leader {
            world.nodes[node].unreachable = vec![0, 1];
        }
    }
    world.nodes[leader].reaches_store = false;
    world.run(30 * SECOND);
    assert!((1..10).all(|id| world.completed(egretlb_workflow::WorkflowId(id))));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a deposed leader that keeps renewing leases on workers that only it reaches.
#[test]
fn leader_stops_by_itself() {
    let mut world = world();
    for id in 1..10 {
        world.submit(id, &submission(vec![step(5, 25_000)]));
    }
    world.run(Duration::from_millis(500));
    let leader = world.leader().expect("somebody leads");
    for node in 0..world.nodes.len() {
        let cut = if node == leader { vec![2, 3, 4, 5] } else { vec![0, 1] };
        world.nodes[node].unreachable = cut;
    }
    world.nodes[leader].reaches_store = false;
    world.run(70 * SECOND);
    assert!((1..10).all(|id| world.completed(egretlb_workflow::WorkflowId(id))));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Verifies that the checker detects an authority and lease that are too short.
#[test]
fn short_bound_noticed() {
    let limits = Limits {
        lease: Duration::from_millis(400),
        authority: Duration::from_millis(600),
        ..Limits::default()
    };
    let mut detected = false;
    for seed in 0..8 {
        let mut world = World::new(seed, 4, 6, limits);
        world.run(2 * SECOND);
        for id in 1..10 {
            world.submit(id, &submission(vec![step(5, 4_000)]));
        }
        world.run(Duration::from_millis(500));
        // The leader trusts its own clock, but the workers granted longer leases.
        for worker in &mut world.workers {
            worker.lease_until += 5_000;
        }
        let Some(leader) = world.leader() else { continue };
        for node in 0..world.nodes.len() {
            if node != leader {
                world.nodes[node].unreachable = vec![0, 1];
            }
        }
        world.kill(leader);
        world.run(6 * SECOND);
        detected |= !world.checker.violations.is_empty();
    }
    assert!(detected);
}

/// Guards against a weak VM that claims first because others read the end of a term later.
#[test]
fn weak_waits() {
    let claims_after = |takeover_delay: u32| {
        let mut now = egretlb_types::Time::from_secs(10);
        let mut leadership = Leadership::new(now, "node", 7, takeover_delay, Limits::default());
        let gone = LeaderRecord {
            node: "other".into(),
            incarnation: 1,
            epoch: Epoch(3),
            released: true,
            addr: None,
            seq: Seq(9),
            term_ms: 0,
            earlier: Default::default(),
        };
        leadership.on_leader_record(now, &gone, &mut Vec::new());
        let started = now;
        let mut out = Vec::new();
        while out.is_empty() {
            now = now + Duration::from_millis(20);
            leadership.tick(now, true, &mut out);
        }
        now.since(started)
    };
    assert!(claims_after(999) < Duration::from_millis(250));
    assert!(claims_after(4_000) > Duration::from_millis(750));
}

/// Guards against a follower that takes hanging reads for missing heartbeats and deposes a healthy
/// leader.
#[test]
fn hung_reads() {
    let mut world = World::new(51, 3, 4, Limits::default());
    world.run(2 * SECOND);
    let leader = world.leader().expect("somebody leads by now");
    let other = (leader + 1) % 3;
    world.nodes[other].reaches_store = false;
    world.nodes[other].calls_hang = true;
    world.run(5 * SECOND);
    world.nodes[other].reaches_store = true;
    world.run(3 * SECOND);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.nodes.iter().map(|node| node.elections).sum::<u32>(), 1);
}

/// Guards against a late claim that fences the leader at the store while the claimant doesn't lead.
#[test]
fn late_claim() {
    let mut world = World::new(52, 2, 4, Limits::default());
    world.run(2 * SECOND);
    let leader = world.leader().expect("somebody leads by now");
    let claimant = 1 - leader;
    world.freeze(leader, 2 * SECOND);
    let claims = |world: &World| {
        let claims = |msg: &(_, Msg)| matches!(msg.1, Msg::Append { claim: true, .. });
        world.messages.iter().any(claims)
    };
    assert!(world.run_until(3 * SECOND, claims).is_some());
    world.nodes[claimant].reaches_store = false;
    world.nodes[claimant].calls_hang = true;
    world.run(5 * SECOND);
    assert_eq!(world.leader(), Some(leader));
    world.nodes[claimant].reaches_store = true;
    let id = world.submit(1, &submission(vec![step(4, 300)]));
    let took = world.run_until(4 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < SECOND), "{took:?}");
    assert_eq!(world.leader(), Some(claimant));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a leader that wakes with some authority left and restarts a task that has
/// finished under its successor.
#[test]
fn thawed_leader() {
    for seed in 0..16 {
        let mut world = World::new(seed, 3, 4, Limits::default());
        world.run(2 * SECOND);
        world.submit(1, &submission(vec![step(12, 5_500)]));
        world.submit(2, &submission(vec![step(8, 30_000)]));
        world.run(Duration::from_millis(500));
        let leader = world.leader().expect("somebody leads by now");
        world.nodes[leader].answers_lost_from = vec![0];
        for node in (0..3).filter(|node| *node != leader) {
            world.nodes[node].unreachable = vec![1];
        }
        world.run(Duration::from_millis(5_400));
        world.freeze(leader, Duration::from_millis(2_300 + 25 * seed));
        world.run(12 * SECOND);
        assert_ne!(world.leader(), Some(leader));
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}
