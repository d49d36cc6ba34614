//! Group commit of what clients submit: what arrives while an append is under way goes into the next.

use {
    crate::{
        border::{Append, Store},
    },
    egretlb_workflow::{AppendResult, Record},
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        sync::{Notify, oneshot},
        time::sleep,
    },
};

/// What became of a client's record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stored {
    /// It is in the store.
    Yes,
    /// It is not, and never will be.
    No,
    /// Nobody can say.
    Unknown,
}

/// An append that was rejected or got no answer is tried so often in all. The records are the same
/// whenever they arrive, so repeating them does no harm.
const TRIES: u32 = 3;

/// The pause before the next try: a busy store drains its queue of appends meanwhile.
const RETRY: Duration = Duration::from_millis(60);

/// The most bytes of one append, below the store's bound of 2 MB.
const MAX_BYTES: usize = 1024 * 1024;

struct Waiting {
    record: Record,
    tx: oneshot::Sender<Stored>,
}

/// Appends clients' records in batches.
#[derive(Default)]
pub(crate) struct Appender {
    waiting: RefCell<Vec<Waiting>>,
    notify: Notify,
}

impl Appender {
    /// Appends a record.
    pub(crate) async fn append(&self, record: Record) -> Stored {
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().push(Waiting { record, tx });
        self.notify.notify_one();
        // The appender only goes away with the process.
        rx.await.unwrap_or(Stored::Unknown)
    }

    /// Appends for as long as the process runs.
    pub(crate) async fn run(self: Rc<Self>, store: Rc<dyn Store>) {
        loop {
            let batch = self.take();
            if batch.is_empty() {
                self.notify.notified().await;
                continue;
            }
            let (records, senders): (Vec<Record>, Vec<_>) =
                batch.into_iter().map(|waiting| (waiting.record, waiting.tx)).unzip();
            let append = Append { records, fence: None, at: None };
            let stored = commit(&*store, &append).await;
            for tx in senders {
                // A client that has left doesn't wait for the result.
                let _ = tx.send(stored);
            }
        }
    }

    fn take(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting.borrow_mut();
        let mut bytes = 0;
        let fits = |next: &&Waiting| {
            bytes += next.record.size();
            bytes <= MAX_BYTES
        };
        let count = waiting.iter().take_while(fits).count().max(1).min(waiting.len());
        waiting.drain(..count).collect()
    }
}

async fn commit(store: &dyn Store, append: &Append) -> Stored {
    let mut uncertain = false;
    for attempt in 1..=TRIES {
        match store.append(append).await {
            AppendResult::Done => return Stored::Yes,
            AppendResult::Unknown => uncertain = true,
            AppendResult::Conflict | AppendResult::Fenced | AppendResult::Rejected => {}
        }
        if attempt < TRIES {
            sleep(RETRY).await;
        }
    }
    log::warn!(records = append.records.len(), uncertain; "append_given_up");
    if uncertain { Stored::Unknown } else { Stored::No }
}
