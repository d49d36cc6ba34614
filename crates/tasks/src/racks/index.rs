//! Index of VMs by free capacity.
//!
//! VMs are grouped in cells by free processor time and memory, in quarter powers of two, and by
//! free accelerators. VMs of cells above the demand certainly fit; a bounded number of those in the
//! demand's own cell are tried. The number of cells depends on the sizes of VMs, not on their
//! number.

use {
    egretlb_types::Resources,
    rand::{Rng, rngs::SmallRng},
    std::collections::BTreeMap,
};

/// Larger numbers of accelerators share this cell.
const ACCELERATORS_MAX: u32 = 15;

/// Rounded free capacity, the key of a group of VMs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Cell {
    accelerators: u8,
    cpu: u8,
    memory: u8,
}

/// Index of the quarter power of two at or below `size`.
fn step(size: u32) -> u8 {
    if size < 4 {
        return size as u8;
    }
    let log = size.ilog2();
    let quarter = (size >> (log - 2)) & 3;
    (log * 4 + quarter) as u8
}

fn cell(free: &Resources) -> Cell {
    Cell {
        accelerators: free.accelerators.0.min(ACCELERATORS_MAX) as u8,
        cpu: step(free.cpu.0),
        memory: step(free.memory.0),
    }
}

impl Cell {
    /// Whether a VM of this cell may fit a demand of the other cell.
    fn may_fit(&self, demand: &Cell) -> bool {
        self.accelerators >= demand.accelerators
            && self.cpu >= demand.cpu
            && self.memory >= demand.memory
    }
}

/// VMs by free capacity, identified by slot numbers that the caller assigns.
#[derive(Debug, Default)]
pub(super) struct CapacityIndex {
    cells: BTreeMap<Cell, Vec<u32>>,
    positions: Vec<Option<(Cell, usize)>>,
}

impl CapacityIndex {
    /// Moves the VM to the cell of its free capacity, or removes it if it accepts no tasks.
    pub(super) fn set(&mut self, slot: u32, free: Option<&Resources>) {
        let index = slot as usize;
        if self.positions.len() <= index {
            self.positions.resize(index + 1, None);
        }
        let to = free.map(cell);
        if self.positions[index].map(|(from, _)| from) == to {
            return;
        }
        self.take_out(index);
        if let Some(to) = to {
            let slots = self.cells.entry(to).or_default();
            slots.push(slot);
            self.positions[index] = Some((to, slots.len() - 1));
        }
    }

    fn take_out(&mut self, index: usize) {
        let Some((from, at)) = self.positions[index].take() else { return };
        let Some(slots) = self.cells.get_mut(&from) else { return };
        slots.swap_remove(at);
        if let Some(moved) = slots.get(at) {
            self.positions[*moved as usize] = Some((from, at));
        }
        if slots.is_empty() {
            self.cells.remove(&from);
        }
    }

    /// Up to `limit` VMs that may fit the demand, drawn at random from cells spread over the range.
    /// The caller checks each.
    pub(super) fn sample(&self, demand: &Resources, limit: usize, rng: &mut SmallRng) -> Vec<u32> {
        let demand = cell(demand);
        let fitting: Vec<&Vec<u32>> = self
            .cells
            .range(Cell { accelerators: demand.accelerators, cpu: 0, memory: 0 }..)
            .filter(|(cell, _)| cell.may_fit(&demand))
            .map(|(_, slots)| slots)
            .collect();
        let total: usize = fitting.iter().map(|slots| slots.len()).sum();
        let mut picked = Vec::with_capacity(limit.min(total));
        if total <= limit {
            fitting.iter().for_each(|slots| picked.extend_from_slice(slots));
            return picked;
        }
        // Takes VMs from cells spread over the whole range, so that tight and loose fits are among
        // the candidates.
        let cells = fitting.len();
        let each = limit.div_ceil(cells);
        let first = rng.random_range(0..cells);
        for step in 0..cells.min(limit) {
            let slots = fitting[(first + step * cells.div_ceil(limit)) % cells];
            let from = rng.random_range(0..slots.len());
            let count = each.min(slots.len());
            picked.extend((0..count).map(|step| slots[(from + step) % slots.len()]));
        }
        picked
    }
}
