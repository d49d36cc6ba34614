//! Progress that exceeds the size of one append.

mod support;

use {
    compact_str::CompactString,
    egretlb_types::{Megabytes, MilliCores, Offset},
    egretlb_workflow::{Ledger, Limits, WorkerState, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

/// Number of the worker with the large checkpoints.
const LARGE: usize = 3;

/// Workflows whose progress fills an append each.
const LARGE_WORKFLOWS: u64 = 6;

/// Returns what the store holds.
fn stored(world: &World) -> Ledger {
    let mut ledger = Ledger::default();
    for (offset, record) in world.store.from(Offset(0)) {
        ledger.apply(offset, &record.key, &record.value).expect("a readable record");
    }
    ledger
}

/// Whether the stored progress of a workflow has a checkpoint.
fn has_checkpoint(world: &World, id: u64) -> bool {
    let ledger = stored(world);
    let progress = ledger.get(WorkflowId(id)).map(|entry| &entry.progress);
    let mut steps = progress.into_iter().flat_map(|progress| &progress.occurrences);
    steps.any(|occurrence| occurrence.steps.iter().any(|step| !step.saved.is_empty()))
}

/// Guards against a roster that is recorded before all ends that it counts on: the leader is killed in between, and its successor
/// takes a task whose end was left for a later append for one that never ran.
#[test]
fn roster_before_progress() {
    let mut reached = 0;
    for seed in 0..24 {
        let mut world = World::new(seed, 3, 3, Limits::default());
        let large = world.add_worker(200);
        world.workers[large].info.labels.push(CompactString::const_new("large"));
        world.workers[large].info.capacity.memory = Megabytes(1_000_000);
        world.workers[large].checkpoint = CompactString::from("x".repeat(4_000));
        world.workers[large].fails = |_, _| true;
        world.run(2 * SECOND);
        let mut small = step(1, 1_500);
        small.label = Some(CompactString::const_new("rack-0"));
        for worker in 1..=LARGE {
            world.workers[worker].info.labels.retain(|label| label != "rack-0");
        }
        world.run(SECOND);
        for id in 1..=LARGE_WORKFLOWS {
            let mut step = step(200, 1_400);
            step.resources.cpu = MilliCores(50);
            step.label = Some(CompactString::const_new("large"));
            world.submit(id, &submission(vec![step]));
        }
        world.run(100 * MS);
        let id = world.submit(LARGE_WORKFLOWS + 1, &submission(vec![small]));
        world.run(100 * MS);
        let other = world.add_worker(8);
        world.workers[other].info.labels = world.workers[0].info.labels.clone();
        world.run(900 * MS);
        world.workers[0].info.state = WorkerState::Draining;
        world.workers[LARGE].info.state = WorkerState::Draining;
        assert!(world.run_until(SECOND, |world| world.workers[0].ended.len() == 1).is_some());
        // The small workflow comes last.
        let recorded = 1 + seed % LARGE_WORKFLOWS;
        let took = world.run_until(SECOND, |world| has_checkpoint(world, recorded));
        assert!(took.is_some(), "seed {seed}");
        if world.completed(id) {
            continue;
        }
        reached += 1;
        let leader = world.leader().expect("somebody leads by now");
        world.kill(leader);
        // The successor reaches the worker later than the others.
        for node in &mut world.nodes {
            node.unreachable = vec![0];
        }
        let starts = world.checker.starts;
        world.run_until(1_900 * MS, |world| world.checker.starts > starts);
        for node in &mut world.nodes {
            node.unreachable.clear();
        }
        assert!(world.run_until(10 * SECOND, |world| world.completed(id)).is_some());
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.checker.starts, starts, "seed {seed}");
    }
    assert!(reached >= 4, "reached in {reached} of 24 seeds");
}
