//! Order of the queue by what a workflow can still reach.
//!
//! Beyond capacity, an order by deadline serves first what is already too late, and makes the rest late as well. So steps whose
//! workflow can still end in time come before those that can't.

/// The order in force.
pub(crate) const QUEUE_ORDER: QueueOrder = QueueOrder::PriorityFirst;

/// A workflow that ends within this multiple of its target duration is late but of some use.
const LATE_FACTOR: u64 = 3;

/// How feasibility and priority combine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[cfg_attr(not(test), expect(dead_code, reason = "alternatives of QUEUE_ORDER"))]
pub(crate) enum QueueOrder {
    /// Feasibility, then priority.
    FeasibilityFirst,
    /// Priority, then feasibility.
    PriorityFirst,
    /// Like `PriorityFirst`, but what can't even be late comes last.
    HopelessLast,
}

/// What a workflow can still reach.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Feasibility {
    /// It can end within its target duration.
    InTime,
    /// It can end within the time in which it is late but of some use.
    Late,
    /// Neither.
    Hopeless,
}

/// A waiting step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingStep {
    pub(crate) priority: u64,
    pub(crate) long_running: bool,
    /// When its workflow was accepted or its occurrence was due, and by when it should end, in milliseconds since 1970.
    pub(crate) begin_ms: u64,
    pub(crate) due_ms: u64,
    /// Expected run time of the step and of all that waits for it, in milliseconds.
    pub(crate) remaining_ms: u64,
}

/// Position of a step in the queue; lower ones come first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Position {
    first: u64,
    second: u64,
    third: u64,
    /// Long-running tasks come after batch tasks: they occupy capacity for minutes.
    long_running: bool,
    /// Latest start that meets its limit, or the begin of the workflow if none does; in milliseconds since 1970.
    at_ms: u64,
}

impl WaitingStep {
    /// What its workflow can still reach. Long-running workflows have no end to reach.
    pub(crate) fn feasibility(&self, now_ms: u64) -> Feasibility {
        let end_ms = now_ms.saturating_add(self.remaining_ms);
        if self.long_running || end_ms <= self.due_ms {
            Feasibility::InTime
        } else if end_ms <= self.late_until_ms() {
            Feasibility::Late
        } else {
            Feasibility::Hopeless
        }
    }

    fn late_until_ms(&self) -> u64 {
        let target_ms = self.due_ms.saturating_sub(self.begin_ms);
        self.begin_ms.saturating_add(target_ms.saturating_mul(LATE_FACTOR))
    }

    /// Its position in the queue.
    pub(crate) fn position(&self, order: QueueOrder, now_ms: u64) -> (Feasibility, Position) {
        let feasibility = self.feasibility(now_ms);
        let reach = feasibility as u64;
        let (first, second, third) = match order {
            QueueOrder::FeasibilityFirst => (0, reach, self.priority),
            QueueOrder::PriorityFirst => (0, self.priority, reach),
            QueueOrder::HopelessLast => {
                (u64::from(feasibility == Feasibility::Hopeless), self.priority, reach)
            }
        };
        let at_ms = match feasibility {
            Feasibility::InTime => self.due_ms.saturating_sub(self.remaining_ms),
            Feasibility::Late => self.late_until_ms().saturating_sub(self.remaining_ms),
            Feasibility::Hopeless => self.begin_ms,
        };
        let Self { long_running, .. } = *self;
        (feasibility, Position { first, second, third, long_running, at_ms })
    }
}

/// For each step, the expected run time of it and of the longest chain of steps that wait for it. Steps wait only for
/// earlier ones.
pub(crate) fn remaining_paths<'a>(
    steps: impl DoubleEndedIterator<Item = (u64, &'a [u16])> + ExactSizeIterator,
) -> Vec<u64> {
    let mut paths = vec![0; steps.len()];
    for (number, (run_time_ms, after)) in steps.enumerate().rev() {
        paths[number] += run_time_ms;
        for earlier in after {
            let path = paths[number];
            if let Some(longest) = paths.get_mut(usize::from(*earlier)) {
                *longest = path.max(*longest);
            }
        }
    }
    paths
}

#[cfg(test)]
#[path = "tests/order.rs"]
mod tests;
