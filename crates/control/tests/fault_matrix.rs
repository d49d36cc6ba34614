//! Every fault at every step of joining, takeover, release and configuration.

mod support;

use {
    bolero::generator::bolero_generator::driver::{self, Driver},
    rand::{SeedableRng, rngs::SmallRng},
    std::env,
    support::{Cell, Fault, Options, Outcome, Pair, SEC, Step, in_parallel, run_cell, run_pair},
};

/// Number of pairs, generated from the seeds 0.. up to this; `EGRETLB_PAIRS` overrides it.
const PAIRS: u64 = 160;

fn failures(outcomes: &[Outcome]) -> Vec<String> {
    let failed = outcomes.iter().filter(|outcome| !outcome.violations.is_empty());
    failed.map(|outcome| format!("{}: {:?}", outcome.name, outcome.violations)).collect()
}

/// Prints the longest time without an owner, by fault and step.
fn print_gaps(cells: &[Cell], outcomes: &[Outcome]) {
    for fault in Fault::ALL {
        let gap = |step: Step| {
            let matching =
                cells.iter().zip(outcomes).filter(|(c, _)| (c.step, c.fault) == (step, fault));
            matching.map(|(_, outcome)| outcome.longest_gap).max().unwrap_or(0)
        };
        let gaps: Vec<String> =
            Step::ALL.map(|s| format!("{s:?}={:.1}", gap(s) as f64 / SEC as f64)).to_vec();
        println!("longest gap in s: fault={fault:?} {}", gaps.join(" "));
    }
}

/// A single fault at any step must not cause two owners of a shard, a lost acknowledged entry, an
/// older configuration in force or a shard that stays without an owner.
#[test]
fn each_fault() {
    let cells = Cell::all();
    let outcomes = in_parallel(&cells, |cell| run_cell(cell, Options::new(7, 3)));
    let failed = failures(&outcomes);
    println!("cells={} failed={}", cells.len(), failed.len());
    print_gaps(&cells, &outcomes);
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// The guarantees for a single fault also hold if a second fault follows within seconds.
#[test]
fn pairs_of_faults() {
    let count = env::var("EGRETLB_PAIRS").ok().and_then(|text| text.parse().ok());
    let pairs: Vec<Pair> = (0..count.unwrap_or(PAIRS)).map(pair).collect();
    let outcomes = in_parallel(&pairs, |pair| run_pair(pair, Options::new(11, 3)));
    let failed = failures(&outcomes);
    println!("pairs={} failed={}", pairs.len(), failed.len());
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

fn pair(seed: u64) -> Pair {
    let rng = SmallRng::seed_from_u64(seed);
    driver::Rng::new(rng, &driver::Options::default()).produce().unwrap()
}
