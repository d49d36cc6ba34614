//! Runs three schedulers and an entry up to a step, injects a fault, and checks the result.

use {
    super::{
        faults::{Cell, Fault, Pair, Step},
        world::{Options, SEC, Trigger, World},
    },
    egretlb_control::{ControlEvent, Role},
    egretlb_types::{SHARD_COUNT, ShardId},
    std::thread,
};

/// Every violation must be over this long after the last fault; the longest fault lasts 15 s.
const RECOVERY_LIMIT: u64 = 45 * SEC;

/// At the end of a run shards may still move to a restarted process; each then has no owner for
/// less than this.
const MOVING_LIMIT: u64 = 3 * SEC;

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    pub name: String,
    pub violations: Vec<String>,
    /// The longest time that any shard had no owner after the fault, in microseconds.
    pub longest_gap: u64,
}

fn settle(options: Options) -> World {
    let mut world = World::new(options);
    world.run_until(6 * SEC);
    world.propose(2, "first");
    world.run_until(8 * SEC);
    world.propose(0, "second");
    world.run_until(10 * SEC);
    world
}

/// Starts the protocol that contains the step; returns the process that gets the fault.
fn begin(world: &mut World, cell: Cell) -> usize {
    let node = if cell.step == Step::Join { world.add(Role::Scheduler) } else { 0 };
    world.trigger = Some(Trigger { node, step: cell.step, moment: cell.moment, fault: cell.fault });
    match cell.step {
        Step::Claim | Step::Wait | Step::Recover | Step::Snapshot | Step::Settle => {
            world.kill(1);
            world.restart_at(1, world.now + 14 * SEC);
        }
        Step::Release => {
            world.restart_at(0, world.now + 10 * SEC);
            world.step(0, ControlEvent::Shutdown);
        }
        Step::Propose => {
            world.propose(0, "third");
        }
        Step::Join | Step::Renew => {}
    }
    node
}

fn finish(world: &mut World, name: String, end: u64) -> Outcome {
    let mut longest_gap = 0;
    let mut last_owned_at = vec![world.now; usize::from(SHARD_COUNT)];
    while world.now < end {
        world.run_until(world.now + SEC / 4);
        world.compare_states();
        for (shard, last_owned_at) in (0..).map(ShardId).zip(&mut last_owned_at) {
            if !world.holders(shard).is_empty() {
                *last_owned_at = world.now;
            }
            longest_gap = longest_gap.max(world.now - *last_owned_at);
        }
    }
    let mut violations: Vec<String> = world.checker.violations.iter().cloned().collect();
    if world.fired_at.is_none() {
        violations.push("the step was never reached".into());
    }
    let shards_without_owner: Vec<_> = (0..)
        .map(ShardId)
        .zip(&last_owned_at)
        .filter(|(_, at)| world.now - **at > MOVING_LIMIT)
        .map(|(shard, at)| (shard, world.now - at))
        .collect();
    if !shards_without_owner.is_empty() {
        violations.push(format!("shards without an owner at the end: {shards_without_owner:?}"));
    }
    let versions: Vec<_> =
        world.nodes.iter().filter_map(|n| Some(n.control.as_ref()?.in_force().version)).collect();
    if versions.iter().any(|version| *version != versions[0]) {
        violations.push(format!("different configurations in force at the end: {versions:?}"));
    }
    Outcome { name, violations, longest_gap }
}

/// Runs one fault at one step.
pub fn run_cell(cell: Cell, options: Options) -> Outcome {
    let mut world = settle(options);
    begin(&mut world, cell);
    let limit = world.now + 30 * SEC;
    world.run_while(limit, |world| world.fired_at.is_some());
    let end = world.now + RECOVERY_LIMIT;
    finish(&mut world, format!("{cell:?}"), end)
}

/// Runs a fault at a step and a second fault some time later.
pub fn run_pair(pair: Pair, options: Options) -> Outcome {
    let mut world = settle(options);
    begin(&mut world, pair.first);
    let limit = world.now + 30 * SEC;
    world.run_while(limit, |world| world.fired_at.is_some());
    let victim = usize::from(pair.victim) % world.nodes.len();
    let second_at = world.now + u64::from(pair.gap) * SEC / 20;
    world.inject_at(victim, pair.second, second_at);
    finish(&mut world, format!("{pair:?}"), second_at + RECOVERY_LIMIT)
}

/// Runs all inputs on a few threads; the outcomes are in the order of the inputs.
pub fn in_parallel<T: Copy + Sync>(
    inputs: &[T],
    run: impl Fn(T) -> Outcome + Copy + Send + Sync,
) -> Vec<Outcome> {
    const THREADS: usize = 4;
    let chunk = inputs.len().div_ceil(THREADS).max(1);
    thread::scope(|scope| {
        let runs: Vec<_> = inputs
            .chunks(chunk)
            .map(|part| {
                scope.spawn(move || part.iter().map(|input| run(*input)).collect::<Vec<_>>())
            })
            .collect();
        runs.into_iter().flat_map(|run| run.join().unwrap()).collect()
    })
}
