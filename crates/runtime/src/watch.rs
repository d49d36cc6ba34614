//! What has been read of the system's own records, for whoever waits for something among them.

use {
    crate::{clock::Clock, core::Core},
    egretlb_types::{Epoch, Seq},
    egretlb_workflow::Record,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::sleep},
};

/// The records as far as they were read. An append whose answer is lost, or another process's taking over, is
/// learned of here.
pub(crate) struct RecordWatch {
    core: Rc<RefCell<Core>>,
    answered: Notify,
}

impl RecordWatch {
    /// Nothing has been read yet.
    pub(crate) fn new(core: Rc<RefCell<Core>>) -> RecordWatch {
        RecordWatch { core, answered: Notify::new() }
    }

    /// A read of the records was answered, and what it returned was taken in.
    pub(crate) fn notify_read(&self) {
        self.answered.notify_waiters();
    }

    /// Waits until `look` finds what it looks for: at once, or after one of the next reads.
    pub(crate) async fn wait_for<T>(&self, query: impl Fn(&Core) -> Option<T>) -> T {
        loop {
            // Asked for first: a read that is answered while `look` runs isn't missed.
            let answered = self.answered.notified();
            let found = query(&self.core.borrow());
            if let Some(found) = found {
                return found;
            }
            answered.await;
        }
    }

    /// Waits until an append of this process's term is among what was read.
    pub(crate) async fn wait_for_own_append(&self, epoch: Epoch, seq: Seq) {
        self.wait_for(|core| {
            let newest = core.ledger.leader()?;
            core.leadership.has_read(newest, epoch, seq).then_some(())
        })
        .await;
    }

    /// Waits for `patience`, and until a read that was answered after the call has reached the records' end.
    pub(crate) async fn wait_for_read_after(&self, delay: Duration) {
        let called_at = Clock.now();
        sleep(delay).await;
        self.wait_for(|core| {
            let is_fresh = core.work_progress.answered_at.is_some_and(|at| at >= called_at);
            (core.work_progress.at_end && is_fresh).then_some(())
        })
        .await;
    }

    /// Waits until clients' records are among what was read.
    pub(crate) async fn wait_for_records(&self, records: &[Record]) {
        self.wait_for(|core| {
            records.iter().all(|record| core.ledger.contains(record)).then_some(())
        })
        .await;
    }

    /// Waits until another process leads than the one that takes records at `addr`.
    pub(crate) async fn wait_for_other_leader(&self, addr: SocketAddr) {
        self.wait_for(|core| (core.other_leader() != Some(addr)).then_some(())).await;
    }
}
