//! Finds VMs with room without looking at all of them.
//!
//! VMs are kept in cells by the room that is left: one axis for processor time, one for memory,
//! each in quarter powers of two, and one for accelerators. All VMs of a cell above the wanted
//! size fit for certain; those of a cell that the wanted size falls into are tried, a bounded
//! number of them. The number of cells depends on the sizes of VMs, not on how many there are.

use {
    egretlb_types::Resources,
    rand::{Rng, rngs::SmallRng},
    std::collections::BTreeMap,
};

/// Accelerators beyond this many share a cell.
const ACCELERATORS_MAX: u32 = 15;

/// A cell: VMs with about as much room.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Cell {
    accelerators: u8,
    cpu: u8,
    memory: u8,
}

/// The quarter power of two at or below `size`.
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
    /// Whether a VM of this cell may have room for something of the cell `demand`.
    fn may_fit(&self, demand: &Cell) -> bool {
        self.accelerators >= demand.accelerators
            && self.cpu >= demand.cpu
            && self.memory >= demand.memory
    }
}

/// VMs by room. VMs are named by small numbers that their owner chooses.
#[derive(Debug, Default)]
pub(super) struct CapacityIndex {
    cells: BTreeMap<Cell, Vec<u32>>,
    positions: Vec<Option<(Cell, usize)>>,
}

impl CapacityIndex {
    /// Puts the VM where its room belongs, or takes it out if it may get nothing.
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

    /// Up to `limit` VMs that may have room for `demand`, drawn at random from each cell, fuller
    /// cells first. The caller checks each.
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
        // Cells take turns, so that both a tight and a roomy fit are among the candidates.
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
