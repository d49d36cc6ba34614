//! Every fault at every step of the protocols, and pairs of faults by fixed seeds.

mod support;

use {
    bolero::{
        ValueGenerator,
        generator::bolero_generator::driver::{Options, Rng},
    },
    rand::{SeedableRng, rngs::SmallRng},
    support::{Cell, Fault, Step, run_cells, run_many},
};

/// Each step is struck the first time it is taken and a later time.
const TIMES: [u8; 2] = [0, 3];

/// Seeds of the pairs. A seed that found a fault stays.
const PAIR_SEEDS: std::ops::Range<u64> = 0..200;

fn matrix() -> Vec<Cell> {
    let mut cells = Vec::new();
    for step in Step::ALL {
        for fault in Fault::ALL {
            cells.extend(TIMES.map(|after| Cell { step, fault, after }));
        }
    }
    cells
}

fn report(what: &str, runs: &[(Vec<Cell>, support::scenario::Outcome)]) {
    let struck: u32 = runs.iter().map(|(_, outcome)| outcome.struck).sum();
    let starts: u64 = runs.iter().map(|(_, outcome)| outcome.starts).sum();
    let evictions: u64 = runs.iter().map(|(_, outcome)| outcome.evictions).sum();
    let bad: Vec<_> = runs.iter().filter(|(_, outcome)| !outcome.violations.is_empty()).collect();
    println!(
        "{what}: runs={} faults_struck={struck} starts={starts} evictions={evictions} bad={}",
        runs.len(),
        bad.len()
    );
    for (cells, outcome) in bad.iter().take(12) {
        println!("{cells:?}");
        outcome.violations.iter().take(4).for_each(|text| println!("    {text}"));
    }
    assert!(bad.is_empty(), "{} of {} runs break an invariant", bad.len(), runs.len());
}

// A process is killed, paused past its authority or cut off, a message is lost, doubled or comes
// late, a VM dies, the log is down, just as a step is taken. A user would notice a reconciliation
// that ran twice, one that was lost, or a VM that is overrun.
#[test]
fn each_fault_at_each_step() {
    let cells = matrix();
    let outcomes = run_many(cells.len(), |i| run_cells(i as u64, &[cells[i]]));
    let runs: Vec<_> = cells.iter().map(|cell| vec![*cell]).zip(outcomes).collect();
    report("fault matrix", &runs);
}

// Two faults in one run, such as a log outage while a rack's owner is paused. Each is survived
// alone; together they may undo what one of them relied on.
#[test]
fn pairs_of_faults() {
    let pair = |seed: u64| -> Vec<Cell> {
        let mut driver = Rng::new(SmallRng::seed_from_u64(seed), &Options::default());
        let cell = bolero::produce::<Cell>();
        (0..2).filter_map(|_| cell.generate(&mut driver)).collect()
    };
    let pairs: Vec<Vec<Cell>> = PAIR_SEEDS.map(pair).collect();
    let outcomes = run_many(pairs.len(), |i| run_cells(1_000 + i as u64, &pairs[i]));
    let runs: Vec<_> = pairs.into_iter().zip(outcomes).collect();
    report("pairs of faults", &runs);
}
