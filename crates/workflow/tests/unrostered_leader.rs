//! A leader is killed before it records a roster, and another process takes over.

mod support;

use {
    egretlb_types::{Epoch, Offset, Seq, Time},
    egretlb_workflow::{
        LeaderRecord, Leadership, LeadershipEffect, Ledger, Limits, TaskId, WorkflowId,
    },
    std::time::Duration,
    support::{long_running, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Long-running tasks, each of which takes a worker.
const TASKS: u32 = 6;

/// Creates a simulation in which six workers run one long-running task each, and two workers are free.
fn world(seed: u64) -> (World, WorkflowId) {
    let mut world = World::new(seed, 4, 6, Limits::default());
    world.run(2 * SECOND);
    let id = world.submit(1, &submission(vec![long_running(TASKS, 8)]));
    world.run(2 * SECOND);
    world.add_worker(8);
    world.add_worker(8);
    world.run(SECOND);
    (world, id)
}

fn all_run(world: &World, id: WorkflowId) -> bool {
    let task = |index| TaskId { workflow: id, occurrence: 0, step: 0, index };
    (0..TASKS).all(|index| world.checker.is_running(task(index)))
}

/// Returns the number of a worker that runs a task.
fn busy_worker(world: &World) -> usize {
    let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
    busy.expect("six tasks run")
}

/// Waits for a leader other than `earlier`.
fn next_leader(world: &mut World, seed: u64, earlier: &[usize]) -> usize {
    let replaced = |world: &World| world.leader().is_some_and(|leader| !earlier.contains(&leader));
    assert!(world.run_until(4 * SECOND, replaced).is_some(), "{seed}");
    world.leader().expect("somebody leads")
}

/// Time from its election at which the second leader is killed. It waits for 400 ms for the lost worker before it records a
/// roster.
fn killed_after(seed: u64) -> Duration {
    Duration::from_millis(50 + seed * 37 % 300)
}

/// Guards against a leader that waits for a lost worker from its own election, 1.6 s after its predecessor was killed.
#[test]
fn waits_from_last_heartbeat() {
    for seed in 0..12 {
        let (mut world, id) = world(seed);
        let lost = busy_worker(&world);
        world.workers[lost].crash(&mut world.checker);
        world.run(Duration::from_millis(seed * 220));
        let first = world.leader().expect("somebody leads");
        world.kill(first);
        let second = next_leader(&mut world, seed, &[first]);
        world.run(killed_after(seed));
        world.kill(second);
        // The second leader's authority (4 s), the maximum lease (5.2 s) and a start.
        let took = world.run_until(14 * SECOND, |world| all_run(world, id));
        assert!(took.is_some_and(|took| took < Duration::from_millis(9_400)), "{seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}

/// Guards against a third leader that doesn't wait for the first one, which has lost the store and renews leases on a worker
/// that only it reaches.
#[test]
fn first_leader_still_commands() {
    for seed in 0..24 {
        let (mut world, id) = world(seed);
        let first = world.leader().expect("somebody leads");
        let busy = busy_worker(&world);
        world.workers[busy].rate = 980;
        world.nodes[first].reaches_store = false;
        // No other worker reports a later leader to it.
        let others = (0..world.workers.len()).filter(|worker| *worker != busy);
        world.nodes[first].unreachable = others.collect();
        for node in (0..world.nodes.len()).filter(|node| *node != first) {
            world.nodes[node].unreachable = vec![busy];
        }
        let second = next_leader(&mut world, seed, &[first]);
        world.run(killed_after(seed));
        world.kill(second);
        next_leader(&mut world, seed, &[first, second]);
        world.run(14 * SECOND);
        assert!(all_run(&world, id), "{seed}");
        world.nodes.iter_mut().for_each(|node| node.unreachable.clear());
        world.run(4 * SECOND);
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}

/// Guards against a wait that counts from a heartbeat that was read before the records were loaded anew: of each key only the
/// newest is read then, so a leader in between may be unknown.
#[test]
fn records_loaded_anew() {
    let limits = Limits::default();
    let elected = |earlier: Option<Epoch>| {
        let mut now = Time::from_secs(10);
        let mut leadership = Leadership::new(now, "node", 7, 0, limits);
        if let Some(epoch) = earlier {
            let record = LeaderRecord {
                node: "other".into(),
                incarnation: 1,
                epoch,
                released: false,
                addr: None,
                seq: Seq(9),
                term_ms: 500,
                earlier: Default::default(),
            };
            leadership.on_leader_record(now, &record, &mut Vec::new());
        }
        let mut out = Vec::new();
        while out.is_empty() {
            now = now + Duration::from_millis(20);
            leadership.on_read(now);
            leadership.tick(now, true, &mut out);
        }
        let Some(LeadershipEffect::Claim { records, .. }) = out.pop() else { panic!("no claim") };
        let mut ledger = Ledger::default();
        let record = records.first().expect("a leader record");
        ledger.apply(Offset(0), &record.key, &record.value).expect("a record of this crate");
        leadership.on_records_lost();
        let read_at = now + 2 * SECOND;
        let claim = ledger.leader().expect("the claim");
        leadership.on_leader_record(read_at, claim, &mut out);
        let Some(LeadershipEffect::Elected { succession, .. }) = out.pop() else {
            panic!("not elected")
        };
        (succession.waits_until(&limits), read_at)
    };
    for earlier in [None, Some(Epoch(3))] {
        let (waits_until, read_at) = elected(earlier);
        assert_eq!(waits_until, read_at + limits.authority + limits.lease_bound(), "{earlier:?}");
    }
}
