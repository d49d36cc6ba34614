//! Group commit of clients' records: those that arrive during an append are included in the next one.

use {
    crate::{
        clock::Clock,
        platform::{Append, Store},
        reads::RecordWatch,
        store_health::{STUCK_AFTER, StoreHealth},
    },
    egretlb_types::Time,
    egretlb_workflow::{AppendResult, Record},
    std::{
        cell::{Cell, RefCell},
        pin::pin,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot},
        time::{sleep, timeout},
    },
};

/// Whether a client's record is stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stored {
    /// It is in the store.
    Yes,
    /// It isn't in the store and never will be.
    No,
    /// It may be in the store.
    Unknown,
    /// A standby refused it by the estimated delay: it isn't in the store and never will be.
    Refused {
        /// In how many seconds the client may come back.
        retry_after_secs: u32,
    },
}

/// Maximum number of tries of an append that the store rejects, within a tenth of a second: a busy store has drained some
/// of its queue by then. Failing early lets the client try another VM.
const MAX_REJECTED_TRIES: u32 = 2;

/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// How long an unanswered append is retried, after its first try. It may have taken effect, and retries are
/// harmless. Clients wait for 3 s.
const MAX_RETRY_TIME: Duration = Duration::from_millis(2_600);

/// Maximum size of an append; the store's limit is 2 MB.
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
    record_queued: Notify,
    clock: Clock,
    /// Start of the append in progress.
    append_started: Cell<Option<Time>>,
}

impl Appender {
    /// An appender to `store`. `watch` detects appends whose answer was lost.
    pub(crate) fn new(store: Rc<dyn Store>, watch: Rc<RecordWatch>) -> Appender {
        Appender {
            store,
            watch,
            queue: RefCell::default(),
            record_queued: Notify::new(),
            clock: Clock,
            append_started: Cell::new(None),
        }
    }

    fn health(&self) -> StoreHealth {
        let append_started = self.append_started.get();
        StoreHealth { append_started, read_answered: self.watch.last_answer() }
    }

    /// Whether the append in progress is overdue.
    pub(crate) fn is_stuck(&self) -> bool {
        self.health().is_stuck(self.clock.now())
    }

    /// Appends a record and waits for the outcome.
    pub(crate) async fn append(&self, record: Record) -> Stored {
        if !self.health().accepts_records(self.clock.now()) {
            return Stored::No;
        }
        let (tx, rx) = oneshot::channel();
        self.queue.borrow_mut().push(QueuedRecord { record, tx });
        self.record_queued.notify_one();
        // The sender is dropped only when the process ends.
        rx.await.unwrap_or(Stored::Unknown)
    }

    /// Appends queued records in batches until the process ends.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            let batch = self.take_batch();
            if batch.is_empty() {
                self.record_queued.notified().await;
                continue;
            }
            let (records, senders): (Vec<Record>, Vec<_>) =
                batch.into_iter().map(|queued| (queued.record, queued.tx)).unzip();
            let append = Append { records, ..Append::default() };
            let stored = self.commit(&append).await;
            for tx in senders {
                // Fails if the client has disconnected.
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
        let mut settled = pin!(self.append_until_settled(started, append));
        let stored = match timeout(STUCK_AFTER, settled.as_mut()).await {
            Ok(stored) => stored,
            Err(_) => {
                self.reject_queued();
                settled.await
            }
        };
        self.append_started.set(None);
        // The store is failing: clients of queued records can try another VM.
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
            // An append whose answer was lost shows up in the reads.
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
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Rejects the queued records; they haven't been sent.
    fn reject_queued(&self) {
        for queued in self.queue.borrow_mut().drain(..) {
            // Fails if the client has disconnected.
            let _ = queued.tx.send(Stored::No);
        }
    }
}
