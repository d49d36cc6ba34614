//! Complete schedulers under faults: control stream, journals, recovery and tables together.

mod support;

use {
    bolero::{
        TypeGenerator,
        generator::bolero_generator::driver::{self, Driver},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
    support::{JOB_TASKS, World, WorldFault},
};

/// Faults are injected at each of these times after the submission; a job without a fault takes
/// about 6 s.
const STEPS: u64 = 24;
const STEP: Duration = Duration::from_millis(300);

/// Time for all tasks to finish after a fault; covers an outage of 8 s, two takeovers and the
/// expiry of a lease of 60 s.
const DONE_TIMEOUT: Duration = Duration::from_secs(240);

/// Seeds of the pairs of faults. Seeds that found a fault stay.
const PAIR_SEEDS: std::ops::Range<u64> = 0..60;

fn run(name: &str, seed: u64, faults: &[(Duration, WorldFault)]) {
    let mut world = World::new(3, seed);
    world.configure();
    world.advance(Duration::from_secs(4));
    world.submit();
    let start = world.now;
    let mut pending_faults = faults.to_vec();
    let done = world.run_until(DONE_TIMEOUT, |world| {
        pending_faults.retain(|(after, fault)| {
            let is_due = world.now.since(start) >= *after;
            if is_due {
                world.inject(*fault);
            }
            !is_due
        });
        let done = world.done();
        if !world.accepted() && world.now.since(start) > Duration::from_secs(3) {
            world.submit();
        }
        pending_faults.is_empty() && done == Some(JOB_TASKS)
    });
    let violations = world.history().check();
    assert!(violations.is_empty(), "{name}: {violations:?}");
    assert!(world.accepted(), "{name}: the submission was never acknowledged");
    assert!(done, "{name}: not all tasks were done");
}

// A fault at any step must not lose a task, run it twice or run it in two places.
#[test]
fn each_fault_at_each_step() {
    let mut cells = 0;
    for fault in WorldFault::ALL {
        for step in 0..STEPS {
            let after = STEP * u32::try_from(step).expect("a small number");
            run(&format!("{fault:?} after {after:?}"), 1, &[(after, fault)]);
            cells += 1;
        }
    }
    println!("whole scheduler: {cells} cells, all hold");
}

#[derive(Debug, TypeGenerator)]
struct Pair {
    first: u8,
    first_step: u8,
    second: u8,
    second_step: u8,
}

fn pick(fault: u8, step: u8) -> (Duration, WorldFault) {
    let fault = WorldFault::ALL[usize::from(fault) % WorldFault::ALL.len()];
    (STEP * (u32::from(step) % 40), fault)
}

// The guarantees for a single fault also hold for two overlapping faults.
#[test]
fn pairs_of_faults() {
    for seed in PAIR_SEEDS {
        let rng = SmallRng::seed_from_u64(seed);
        let mut driver = driver::Rng::new(rng, &driver::Options::default());
        let pair: Pair = driver.produce().expect("a pair");
        let faults = [pick(pair.first, pair.first_step), pick(pair.second, pair.second_step)];
        run(&format!("seed {seed}: {faults:?}"), seed, &faults);
    }
    println!("whole scheduler: {} pairs, all hold", PAIR_SEEDS.count());
}
