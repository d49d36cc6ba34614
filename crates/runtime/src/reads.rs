//! Waiting for a condition on the work records read so far.

use {
    crate::{clock::Clock, core::Core},
    egretlb_types::{Epoch, Seq, Time},
    egretlb_workflow::Record,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::sleep},
};

/// Notifies of new reads of the work records. They show whether an append whose answer was lost is stored, and
/// when another process becomes leader.
pub(crate) struct RecordWatch {
    core: Rc<RefCell<Core>>,
    read_applied: Notify,
}

impl RecordWatch {
    /// A watch on the state in `core`.
    pub(crate) fn new(core: Rc<RefCell<Core>>) -> RecordWatch {
        RecordWatch { core, read_applied: Notify::new() }
    }

    /// When a read of the work records was last answered.
    pub(crate) fn last_answer(&self) -> Option<Time> {
        self.core.borrow().work_progress.answered_at
    }

    /// Wakes the waiting tasks after the result of a read has been applied.
    pub(crate) fn notify_read(&self) {
        self.read_applied.notify_waiters();
    }

    /// Waits until `query` returns a value, evaluating it at once and after each read.
    pub(crate) async fn wait_for<T>(&self, query: impl Fn(&Core) -> Option<T>) -> T {
        loop {
            // Registered first, so that no read is missed while `query` runs.
            let read_applied = self.read_applied.notified();
            let found = query(&self.core.borrow());
            if let Some(found) = found {
                return found;
            }
            read_applied.await;
        }
    }

    /// Waits until this process's append of the given epoch and number has been read.
    pub(crate) async fn wait_for_own_append(&self, epoch: Epoch, seq: Seq) {
        self.wait_for(|core| {
            let newest = core.ledger.leader()?;
            core.leadership.has_read(newest, epoch, seq).then_some(())
        })
        .await;
    }

    /// Sleeps for `delay`, then waits until a read answered since this call has reached the end of the records.
    pub(crate) async fn wait_for_read_after(&self, delay: Duration) {
        let called_at = Clock.now();
        sleep(delay).await;
        self.wait_for(|core| {
            let is_fresh = core.work_progress.answered_at.is_some_and(|at| at >= called_at);
            (core.work_progress.at_end && is_fresh).then_some(())
        })
        .await;
    }

    /// Waits until all of these clients' records have been read.
    pub(crate) async fn wait_for_records(&self, records: &[Record]) {
        self.wait_for(|core| {
            records.iter().all(|record| core.ledger.contains(record)).then_some(())
        })
        .await;
    }

    /// Waits until the leader isn't the process at `addr`.
    pub(crate) async fn wait_for_other_leader(&self, addr: SocketAddr) {
        self.wait_for(|core| (core.other_leader() != Some(addr)).then_some(())).await;
    }
}
