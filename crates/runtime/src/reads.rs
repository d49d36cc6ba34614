//! Waiting for a condition on the work records read so far.

use {
    crate::{clock::Clock, core::Core},
    egretlb_types::{Epoch, Seq, Time},
    egretlb_workflow::Record,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::sleep},
};

/// Notifies of new reads of the work records. They show whether an append whose answer was lost is stored, and
/// when another process becomes leader.
pub(crate) struct RecordWatch {
    core: Rc<RefCell<Core>>,
    read_applied: Notify,
    /// Number of tasks that wait for a read that is sent from now on.
    waiting_for_read: Cell<usize>,
}

/// Counts a task that waits for a read until it is dropped.
struct WaitingForRead<'a>(&'a Cell<usize>);

impl<'a> WaitingForRead<'a> {
    fn new(count: &'a Cell<usize>) -> WaitingForRead<'a> {
        count.set(count.get() + 1);
        WaitingForRead(count)
    }
}

impl Drop for WaitingForRead<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl RecordWatch {
    /// A watch on the state in `core`.
    pub(crate) fn new(core: Rc<RefCell<Core>>) -> RecordWatch {
        RecordWatch { core, read_applied: Notify::new(), waiting_for_read: Cell::new(0) }
    }

    /// Whether a task waits for the next read, which then doesn't wait for a record.
    pub(crate) fn is_read_awaited(&self) -> bool {
        self.waiting_for_read.get() > 0
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

    /// Waits until `query` returns a value, or until a read that was sent after `since` has reached the end of the records.
    /// Only such a read shows what was stored before: the answer to an earlier one may have been on its way since.
    pub(crate) async fn find_stored<T>(
        &self,
        since: Time,
        query: impl Fn(&Core) -> Option<T>,
    ) -> Option<T> {
        let _waiting = WaitingForRead::new(&self.waiting_for_read);
        self.wait_for(|core| {
            let found = query(core);
            let complete = core.work_progress.complete_until.is_some_and(|sent| sent > since);
            (found.is_some() || complete).then_some(found)
        })
        .await
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
