//! Runs the fault matrix of the request path and prints its page:
//! `cargo run -p egretlb-requests --example fault_table > docs/design/requests-faults.md`

#[path = "../tests/support/mod.rs"]
mod support;

use {
    egretlb_requests::Protections,
    support::matrix::{SEED, all_cells, page, run_all},
};

fn main() {
    let cells = run_all(&all_cells(), Protections::default(), SEED);
    print!("{}", page(&cells));
}
