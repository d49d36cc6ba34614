//! Group commit of what clients submit: what arrives while an append is under way goes into the next.

use {
    crate::{
        clock::Clock,
        platform::{Append, Store},
        watch::RecordWatch,
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
const MAX_REJECTED_TRIES: u32 = 2;

/// The pause before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// An append without an answer may have taken effect, so nothing true can be said of it but that; it is
/// repeated, which does no harm, until this long after its first try. Clients wait for 3 s.
const MAX_RETRY_TIME: Duration = Duration::from_millis(2_600);

/// While an append has been without success for this long, what arrives is refused at once: it wasn't
/// sent, and would only wait. A slow store takes half a second for an append.
pub(crate) const STUCK_AFTER: Duration = Duration::from_millis(1_000);

/// The most bytes of one append, below the store's bound of 2 MB.
const MAX_APPEND_BYTES: usize = 1024 * 1024;

struct QueuedRecord {
    record: Record,
    tx: oneshot::Sender<Stored>,
}

/// Appends clients' records in batches.
pub(crate) struct Appender {
    store: Rc<dyn Store>,
    watch: Rc<RecordWatch>,
    queue: RefCell<Vec<QueuedRecord>>,
    queued: Notify,
    clock: Clock,
    /// Since when the append under way has had no success.
    append_started: Cell<Option<Time>>,
}

impl Appender {
    /// Appends to `store`; `reads` tells of appends whose answer is lost.
    pub(crate) fn new(store: Rc<dyn Store>, watch: Rc<RecordWatch>) -> Appender {
        Appender {
            store,
            watch,
            queue: RefCell::default(),
            queued: Notify::new(),
            clock: Clock,
            append_started: Cell::new(None),
        }
    }

    /// Whether appends don't get through.
    pub(crate) fn is_stuck(&self) -> bool {
        self.append_started.get().is_some_and(|since| self.clock.now().since(since) >= STUCK_AFTER)
    }

    /// Appends a record.
    pub(crate) async fn append(&self, record: Record) -> Stored {
        if self.is_stuck() {
            return Stored::No;
        }
        let (tx, rx) = oneshot::channel();
        self.queue.borrow_mut().push(QueuedRecord { record, tx });
        self.queued.notify_one();
        // The appender only goes away with the process.
        rx.await.unwrap_or(Stored::Unknown)
    }

    /// Appends for as long as the process runs.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            let batch = self.take_batch();
            if batch.is_empty() {
                self.queued.notified().await;
                continue;
            }
            let (records, senders): (Vec<Record>, Vec<_>) =
                batch.into_iter().map(|queued| (queued.record, queued.tx)).unzip();
            let append = Append { records, fence: None };
            let stored = self.commit(&append).await;
            for tx in senders {
                // A client that has left doesn't wait for the result.
                let _ = tx.send(stored);
            }
        }
    }

    fn take_batch(&self) -> Vec<QueuedRecord> {
        let mut queue = self.queue.borrow_mut();
        let mut bytes = 0;
        let fits = |next: &&QueuedRecord| {
            bytes += next.record.size();
            bytes <= MAX_APPEND_BYTES
        };
        let count = queue.iter().take_while(fits).count().max(1).min(queue.len());
        queue.drain(..count).collect()
    }

    async fn commit(&self, append: &Append) -> Stored {
        let started = self.clock.now();
        self.append_started.set(Some(started));
        let records = append.records.len();
        let stored = self.append_until_settled(started, append).await;
        self.append_started.set(None);
        if stored != Stored::Yes {
            log::warn!(records, stored:? = stored; "append_given_up");
            self.reject_queued();
        }
        stored
    }

    async fn append_until_settled(&self, started: Time, append: &Append) -> Stored {
        let mut uncertain = false;
        let mut tries = 0;
        loop {
            // An append whose answer is lost is found among what is read.
            let result = tokio::select! {
                result = self.store.append(append) => result,
                () = self.watch.wait_for_records(&append.records) => AppendResult::Done,
            };
            match result {
                AppendResult::Done => return Stored::Yes,
                AppendResult::Unknown => uncertain = true,
                AppendResult::Conflict | AppendResult::Fenced | AppendResult::Rejected => {}
            }
            tries += 1;
            if !uncertain && tries >= MAX_REJECTED_TRIES {
                return Stored::No;
            }
            if uncertain && self.clock.now().since(started) >= MAX_RETRY_TIME {
                return Stored::Unknown;
            }
            if self.is_stuck() {
                self.reject_queued();
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// What waits behind an append that doesn't get through was never sent.
    fn reject_queued(&self) {
        for queued in self.queue.borrow_mut().drain(..) {
            // A client that has left doesn't wait for the result.
            let _ = queued.tx.send(Stored::No);
        }
    }
}
