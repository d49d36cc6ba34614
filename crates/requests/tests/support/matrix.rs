//! The fault matrix: all cells, run on some threads, and their table.

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
