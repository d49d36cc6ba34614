//! Two faults on one request, drawn by bolero's generators from committed seeds.

mod support;

use {
    bolero::{
        ValueGenerator,
        generator::bolero_generator::driver::{Options, Rng},
        produce,
    },
    egretlb_requests::Protections,
    rand::{SeedableRng, rngs::SmallRng},
    support::{
        faults::{Fault, Kind, Step},
        matrix::{CellPlan, run_all},
    },
};

/// One pair per seed. A seed that has found a fault must stay in the range.
const SEEDS: std::ops::Range<u64> = 0..400;

fn draw(seed: u64) -> CellPlan {
    let mut driver = Rng::new(SmallRng::seed_from_u64(seed), &Options::default());
    let mut index = |len: usize| {
        let number = produce::<u32>().generate(&mut driver).expect("a number");
        number as usize % len
    };
    let kind = Kind::ALL[index(Kind::ALL.len())];
    let steps: Vec<Step> = Step::ALL.iter().copied().filter(|step| step.applies(kind)).collect();
    let mut fault = || (steps[index(steps.len())], Fault::ALL[index(Fault::ALL.len())]);
    (kind, vec![fault(), fault()])
}

/// Guards against violations that only a second fault reveals.
#[test]
fn pairs_of_faults() {
    let plans: Vec<CellPlan> = SEEDS.map(draw).collect();
    let cells = run_all(&plans, Protections::default(), 50_000);
    let mut failed = 0;
    for cell in cells.iter().filter(|cell| !cell.violations.is_empty()) {
        println!("{:?} {:?}: {:?}", cell.kind, cell.faults, cell.violations);
        failed += 1;
    }
    println!("pairs={} broken={failed}", cells.len());
    assert_eq!(failed, 0);
}
