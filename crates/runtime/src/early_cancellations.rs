//! Cancellations of workflows that aren't stored.
//!
//! Their submissions may be under way, at this process, at another one or in the store. So the cancellation is recorded before
//! the client learns that there is no such workflow: a submission that is stored after it never runs.

use {
    crate::{append::Stored, node::Node},
    egretlb_telemetry::EarlyCancellation,
    egretlb_workflow::{Key, Record, WorkflowId},
    std::{cell::Cell, rc::Rc},
};

/// Maximum number of early cancellations in the store, some 30 bytes each there and 400 bytes in each process. The leader
/// drops them after a minute.
const MAX_STORED: usize = 4_096;

/// Maximum number of early cancellations that a process stores at a time.
const MAX_UNDER_WAY: usize = 32;

/// The early cancellations that this process is storing.
#[derive(Debug, Default)]
pub(crate) struct EarlyCancellations {
    under_way: Cell<usize>,
}

/// Counts an early cancellation as under way until it is dropped.
struct UnderWay<'a>(&'a Cell<usize>);

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl EarlyCancellations {
    /// Counts another one as under way, unless there are too many.
    fn begin(&self) -> Option<UnderWay<'_>> {
        if self.under_way.get() >= MAX_UNDER_WAY {
            return None;
        }
        self.under_way.set(self.under_way.get() + 1);
        Some(UnderWay(&self.under_way))
    }
}

impl Node {
    /// Stores the cancellation of a workflow that isn't stored, unless there are too many of them. A process that asks standbys
    /// doesn't know how many there are, and leaves that decision to them.
    pub(crate) async fn store_early_cancellation(self: &Rc<Self>, id: WorkflowId) -> Stored {
        let may_store = {
            let core = self.core();
            let stored = core.ledger.early_cancellations();
            stored.len() < MAX_STORED || stored.contains(&id)
        };
        let under_way = self.early_cancellations.begin().filter(|_| may_store);
        let Some(_under_way) = under_way else {
            self.metrics.early_cancellation(EarlyCancellation::Refused);
            log::debug!(workflow:% = id; "early_cancellation_refused");
            return Stored::No;
        };
        let stored = self.store_record(Record::new(Key::Cancel(id), &true)).await;
        if stored == Stored::Yes {
            self.metrics.early_cancellation(EarlyCancellation::Stored);
        }
        stored
    }
}
