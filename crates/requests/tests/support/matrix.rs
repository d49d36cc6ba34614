//! The fault matrix: all cells, run in parallel, and their table.

use {
    super::faults::{Cell, Fault, Kind, Step, run_cell},
    egretlb_requests::Protections,
    std::{
        fmt::Write,
        sync::{
            Mutex,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

const THREADS: usize = 4;

/// One cell before its run.
pub type CellPlan = (Kind, Vec<(Step, Fault)>);

pub fn all_cells() -> Vec<CellPlan> {
    let mut cells = Vec::new();
    for kind in Kind::ALL {
        for fault in Fault::ALL {
            for step in Step::ALL.iter().filter(|step| step.applies(*kind)) {
                cells.push((*kind, vec![(*step, *fault)]));
            }
        }
    }
    cells
}

pub fn run_all(plans: &[CellPlan], protections: Protections, seed: u64) -> Vec<Cell> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    let Some((kind, faults)) = plans.get(i) else { return };
                    let cell = run_cell(*kind, faults, protections, seed + i as u64);
                    done.lock().unwrap().push((i, cell));
                }
            });
        }
    });
    let mut cells = done.into_inner().unwrap();
    cells.sort_by_key(|(i, _)| *i);
    cells.into_iter().map(|(_, cell)| cell).collect()
}

/// The table of the cells, in Markdown.
pub fn table(cells: &[Cell]) -> String {
    let mut text = String::from(
        "| request | fault | at step | first told | last told | tries | ran | `Egretlb-Ran` true \
         |\n|---|---|---|---|---|---|---|---|\n",
    );
    for cell in cells {
        let steps: Vec<_> = cell.faults.iter().map(|(step, _)| format!("{step:?}")).collect();
        let faults: Vec<_> = cell.faults.iter().map(|(_, fault)| format!("{fault:?}")).collect();
        let truthful = if cell.truthful { "yes" } else { "NO" };
        let _ = writeln!(
            text,
            "| {:?} | {} | {} | {} | {} | {} | {} | {truthful} |",
            cell.kind,
            faults.join(", "),
            steps.join(", "),
            cell.first,
            cell.last,
            cell.tries,
            cell.runs,
        );
    }
    text
}

/// Seed of the committed page.
pub const SEED: u64 = 11;

/// The docs page of the cells.
pub fn page(cells: &[Cell]) -> String {
    let broken = cells.iter().filter(|cell| !cell.violations.is_empty()).count();
    format!(
        "# Requests: every fault at every step\n\n\
         Written by `cargo run -p egretlb-requests --example fault_table > \
         docs/design/requests-faults.md`; a test compares it with a new run. Reasons are in \
         [requests.md](requests.md).\n\n\
         Each line is one run in virtual time: three entries, the owner of the racks, the owner of \
         the keys, a third scheduler that succeeds them, a log, four backend servers of two slots, \
         and other callers' requests around the one that meets the fault. `Idempotent` requests \
         and `Keyed` ones are sent again by their caller until it knows the outcome, through the \
         next entry; `Plain` ones (not idempotent, no key) only if they are said not to have run. \
         *First told* is the answer to the request that met the fault, *last told* that to the \
         last try, *ran* how often the work ran over all tries. An answer lost, late or truncated \
         is the next one after the step.\n\n\
         Cells: {}. Cells in which the checker found something: {broken}.\n\n{}",
        cells.len(),
        table(cells),
    )
}
