//! Every fault at every step of a request.

mod support;

use {
    egretlb_requests::Protections,
    support::matrix::{SEED, all_cells, page, run_all},
};

/// Guards against lost, foreign or truncated answers, a wrong `Egretlb-Ran` and a second run of a
/// non-idempotent request, for one fault at any step.
#[test]
fn every_fault_at_every_step() {
    let cells = run_all(&all_cells(), Protections::default(), SEED);
    let failed: Vec<_> = cells.iter().filter(|cell| !cell.violations.is_empty()).collect();
    println!("cells={} broken={}", cells.len(), failed.len());
    for cell in &failed {
        println!("{:?} {:?}: {:?}", cell.kind, cell.faults, cell.violations);
    }
    assert!(failed.is_empty());
    let not_injected = cells.iter().find(|cell| !cell.injected);
    assert!(not_injected.is_none(), "the fault never happened: {not_injected:?}");
    let expected_page = include_str!("../../../docs/design/requests-faults.md");
    assert!(expected_page == page(&cells), "the page is out of date: run examples/fault_table.rs");
}
