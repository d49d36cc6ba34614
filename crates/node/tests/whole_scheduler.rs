//! Whole schedulers under faults: the control stream, journals, recovery and the books together,
//! which the matrices of each crate prove apart.

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

/// Faults begin at each of these times after the submission: it is journalled, placed, started,
/// run and ended within some six seconds.
const STEPS: u64 = 24;
const STEP: Duration = Duration::from_millis(300);

/// Within this long after a fault all tasks are done; it covers an outage of 8 s, two takeovers
/// and the lapse of a lease of 60 s.
const DONE_WITHIN: Duration = Duration::from_secs(240);

/// Seeds of pairs of faults. A seed that found something stays, unchanged.
const PAIR_SEEDS: std::ops::Range<u64> = 0..60;

fn run(name: &str, seed: u64, faults: &[(Duration, WorldFault)]) {
    let mut world = World::new(3, seed);
    world.configure();
    world.advance(Duration::from_secs(4));
    world.submit();
    let start = world.now;
    let mut left = faults.to_vec();
    let done = world.run_until(DONE_WITHIN, |world| {
        left.retain(|(after, fault)| {
            let begins = world.now.since(start) >= *after;
            if begins {
                world.inject(*fault);
            }
            !begins
        });
        let done = world.done();
        if !world.accepted() && world.now.since(start) > Duration::from_secs(3) {
            world.submit();
        }
        left.is_empty() && done == Some(JOB_TASKS)
    });
    let violations = world.history().check();
    assert!(violations.is_empty(), "{name}: {violations:?}");
    assert!(world.accepted(), "{name}: the submission was never acknowledged");
    assert!(done, "{name}: not all tasks were done");
}

// Each fault begins at each step of a batch's life. The owner of the batch must see each task done,
// none of them twice and none in two places.
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

// Faults come together, or one while the other still lasts.
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
