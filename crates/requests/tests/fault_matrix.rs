//! Every fault at every step of a request.

mod support;

use {
    egretlb_requests::Protections,
    support::matrix::{SEED, all_cells, page, run_all},
};

/// A part fails while a request is at some step of its way. A user must get one answer, its own
/// and whole, be told the truth about whether the request ran, and never have a filing doubled.
#[test]
fn every_fault_at_every_step() {
    let cells = run_all(&all_cells(), Protections::default(), SEED);
    let broken: Vec<_> = cells.iter().filter(|cell| !cell.violations.is_empty()).collect();
    println!("cells={} broken={}", cells.len(), broken.len());
    for cell in &broken {
        println!("{:?} {:?}: {:?}", cell.kind, cell.faults, cell.violations);
    }
    assert!(broken.is_empty());
    let idle = cells.iter().find(|cell| !cell.fired);
    assert!(idle.is_none(), "the fault never happened: {idle:?}");
    let committed = include_str!("../../../docs/design/requests-faults.md");
    assert!(committed == page(&cells), "write the page again: see examples/fault_table.rs");
}
