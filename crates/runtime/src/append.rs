//! Group commit of what clients submit: what arrives while an append is under way goes into the next.

use {
    crate::{
        clock::Clock,
        platform::{Append, Store},
        reads::Reads,
    },
    egretlb_types::Time,
    egretlb_workflow::{AppendResult, Record},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
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

/// An append that is rejected is tried so often in all, within a tenth of a second: a store that is
/// merely busy has drained some of its queue by then, and the client may find a better VM.
const TRIES: u32 = 2;

/// The pause before the next try.
const RETRY: Duration = Duration::from_millis(60);

/// An append without an answer may have taken effect, so nothing true can be said of it but that; it is
/// repeated, which does no harm, until this long after its first try. Clients wait for 3 s.
const PERSIST: Duration = Duration::from_millis(2_600);

/// While an append has been without success for this long, what arrives is refused at once: it wasn't
/// sent, and would only wait. A slow store takes half a second for an append.
pub(crate) const STUCK_AFTER: Duration = Duration::from_millis(1_000);

/// The most bytes of one append, below the store's bound of 2 MB.
const MAX_BYTES: usize = 1024 * 1024;

struct Waiting {
    record: Record,
    tx: oneshot::Sender<Stored>,
}

/// Appends clients' records in batches.
pub(crate) struct Appender {
    store: Rc<dyn Store>,
    reads: Rc<Reads>,
    waiting: RefCell<Vec<Waiting>>,
    notify: Notify,
    clock: Clock,
    /// Since when the append under way has had no success.
    trying: Cell<Option<Time>>,
}

impl Appender {
    /// Appends to `store`; `reads` tells of appends whose answer is lost.
    pub(crate) fn new(store: Rc<dyn Store>, reads: Rc<Reads>) -> Appender {
        Appender {
            store,
            reads,
            waiting: RefCell::default(),
            notify: Notify::new(),
            clock: Clock,
            trying: Cell::new(None),
        }
    }

    /// Whether appends don't get through.
    pub(crate) fn is_stuck(&self) -> bool {
        self.trying.get().is_some_and(|since| self.clock.now().since(since) >= STUCK_AFTER)
    }

    /// Appends a record.
    pub(crate) async fn append(&self, record: Record) -> Stored {
        if self.is_stuck() {
            return Stored::No;
        }
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().push(Waiting { record, tx });
        self.notify.notify_one();
        // The appender only goes away with the process.
        rx.await.unwrap_or(Stored::Unknown)
    }

    /// Appends for as long as the process runs.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            let batch = self.take();
            if batch.is_empty() {
                self.notify.notified().await;
                continue;
            }
            let (records, senders): (Vec<Record>, Vec<_>) =
                batch.into_iter().map(|waiting| (waiting.record, waiting.tx)).unzip();
            let append = Append { records, fence: None };
            let stored = self.commit(&append).await;
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

    async fn commit(&self, append: &Append) -> Stored {
        let begun = self.clock.now();
        self.trying.set(Some(begun));
        let records = append.records.len();
        let stored = self.persist(begun, append).await;
        self.trying.set(None);
        if stored != Stored::Yes {
            log::warn!(records, stored:? = stored; "append_given_up");
            self.refuse_waiting();
        }
        stored
    }

    async fn persist(&self, begun: Time, append: &Append) -> Stored {
        let mut uncertain = false;
        let mut tries = 0;
        loop {
            // An append whose answer is lost is found among what is read.
            let result = tokio::select! {
                result = self.store.append(append) => result,
                () = self.reads.clients_records(&append.records) => AppendResult::Done,
            };
            match result {
                AppendResult::Done => return Stored::Yes,
                AppendResult::Unknown => uncertain = true,
                AppendResult::Conflict | AppendResult::Fenced | AppendResult::Rejected => {}
            }
            tries += 1;
            if !uncertain && tries >= TRIES {
                return Stored::No;
            }
            if uncertain && self.clock.now().since(begun) >= PERSIST {
                return Stored::Unknown;
            }
            if self.is_stuck() {
                self.refuse_waiting();
            }
            sleep(RETRY).await;
        }
    }

    /// What waits behind an append that doesn't get through was never sent.
    fn refuse_waiting(&self) {
        for waiting in self.waiting.borrow_mut().drain(..) {
            // A client that has left doesn't wait for the result.
            let _ = waiting.tx.send(Stored::No);
        }
    }
}
