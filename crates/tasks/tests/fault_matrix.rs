//! Every fault at every protocol step, and pairs of faults by fixed seeds.

mod support;

use {
    bolero::{
        ValueGenerator,
        generator::bolero_generator::driver::{Options, Rng},
    },
    rand::{SeedableRng, rngs::SmallRng},
    support::{Fault, InjectedFault, Step, run_many, run_with_faults},
};

/// Faults are injected the first and the fourth time that a step is taken.
const TIMES: [u8; 2] = [0, 3];

/// Seeds of the pairs. A seed that found a defect stays.
const PAIR_SEEDS: std::ops::Range<u64> = 0..200;

fn matrix() -> Vec<InjectedFault> {
    let mut faults = Vec::new();
    for step in Step::ALL {
        for fault in Fault::ALL {
            faults.extend(TIMES.map(|after| InjectedFault { step, fault, after }));
        }
    }
    faults
}

fn report(what: &str, runs: &[(Vec<InjectedFault>, support::scenario::Outcome)]) {
    let faults_injected: u32 = runs.iter().map(|(_, outcome)| outcome.faults_injected).sum();
    let starts: u64 = runs.iter().map(|(_, outcome)| outcome.starts).sum();
    let evictions: u64 = runs.iter().map(|(_, outcome)| outcome.evictions).sum();
    let bad: Vec<_> = runs.iter().filter(|(_, outcome)| !outcome.violations.is_empty()).collect();
    println!(
        "{what}: runs={} faults_struck={faults_injected} starts={starts} evictions={evictions} bad={}",
        runs.len(),
        bad.len()
    );
    for (faults, outcome) in bad.iter().take(12) {
        println!("{faults:?}");
        outcome.violations.iter().take(4).for_each(|text| println!("    {text}"));
    }
    assert!(bad.is_empty(), "{} of {} runs break an invariant", bad.len(), runs.len());
}

// Guards against a single fault that makes a task run twice, loses one, or overcommits a VM.
#[test]
fn each_fault_at_each_step() {
    let faults = matrix();
    let outcomes = run_many(faults.len(), |i| run_with_faults(i as u64, &[faults[i]]));
    let runs: Vec<_> =
        faults.iter().map(|injected_fault| vec![*injected_fault]).zip(outcomes).collect();
    report("fault matrix", &runs);
}

// Guards against combinations of two faults that are each survived alone.
#[test]
fn pairs_of_faults() {
    let pair = |seed: u64| -> Vec<InjectedFault> {
        let mut driver = Rng::new(SmallRng::seed_from_u64(seed), &Options::default());
        let injected_fault = bolero::produce::<InjectedFault>();
        (0..2).filter_map(|_| injected_fault.generate(&mut driver)).collect()
    };
    let pairs: Vec<Vec<InjectedFault>> = PAIR_SEEDS.map(pair).collect();
    let outcomes = run_many(pairs.len(), |i| run_with_faults(1_000 + i as u64, &pairs[i]));
    let runs: Vec<_> = pairs.into_iter().zip(outcomes).collect();
    report("pairs of faults", &runs);
}
