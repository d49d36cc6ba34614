//! Appends of the leader.

use {
    crate::{
        append::Stored,
        node::Node,
        peers::PendingRecord,
        platform::{self, Append, Fence},
        store_health::STUCK_AFTER,
    },
    egretlb_types::Offset,
    egretlb_workflow::{AppendResult, Record},
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Minimum age of an unanswered append before it is retried on another connection, if reads are answered and
/// don't show it. A slow store takes up to 0.5 s. Waiting for the call's timeout of 2.4 s would exceed the 1.2 s
/// after which followers claim leadership.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// An append isn't retried before this multiple of the last append's duration. With a slow store, a retry would
/// only lengthen its queue.
const STALLED_FACTOR: u32 = 4;

/// Duration from which an append is logged; the store usually answers within 10 ms.
const SLOW_APPEND: Duration = Duration::from_millis(200);

/// Maximum number of tries to record the release of a term, 1.2 s in total if the store answers at once. Without
/// the release, a successor takes over later.
const MAX_RELEASE_TRIES: u32 = 20;

impl Node {
    /// Appends records and pending clients' records under the leader's epoch, and retries until the outcome is
    /// known: the append numbers of a term have no gaps.
    pub(crate) async fn append_as_leader(self: Rc<Self>, mut records: Vec<Record>) {
        let pending = std::mem::take(&mut *self.pending_records.borrow_mut());
        records.extend(pending.iter().map(|pending| pending.record.clone()));
        let started = self.clock.now();
        self.append_started.set(Some(started));
        let mut settled = pin!(self.append_until_settled(records));
        let stored = match timeout(STUCK_AFTER, settled.as_mut()).await {
            Ok(stored) => stored,
            Err(_) => {
                self.reject_pending_records();
                settled.await
            }
        };
        // An append that outlasts its term may overlap with those of the next term.
        if self.append_started.get() == Some(started) {
            self.append_started.set(None);
        }
        if stored == Stored::Yes {
            self.apply_stored(&pending);
        }
        for pending in pending {
            // Fails if the client has disconnected.
            let _ = pending.tx.send(stored);
        }
    }

    /// Rejects the clients' records that wait for the append in progress; they haven't been sent.
    fn reject_pending_records(&self) {
        let pending = std::mem::take(&mut *self.pending_records.borrow_mut());
        log::info!(records = pending.len(); "append_stuck");
        for pending in pending {
            // Fails if the client has disconnected.
            let _ = pending.tx.send(Stored::No);
        }
    }

    /// Applies clients' records once they are stored, before they are read; the later read changes nothing.
    fn apply_stored(self: &Rc<Self>, pending: &[PendingRecord]) {
        for pending in pending {
            let Record { key, value } = pending.record.clone();
            // Submissions and cancellations don't depend on their offset.
            let stored =
                platform::StoredRecord { offset: Offset(0), key: key.into(), value: value.into() };
            self.step(|core, now, out| core.on_work(now, &stored, out));
        }
    }

    async fn append_until_settled(self: &Rc<Self>, mut records: Vec<Record>) -> Stored {
        // The heartbeat doesn't release the term.
        let fenced_heartbeat = self.core.borrow_mut().leadership.heartbeat(self.clock.now(), false);
        let Some((epoch, seq, heartbeat)) = fenced_heartbeat else { return Stored::No };
        records.push(heartbeat);
        let append = Append { records, fence: Some(Fence { epoch, seq }), ..Append::default() };
        // A retry may be answered with the result of the first try, so only the first send time counts.
        let sent = self.clock.now();
        let mut stall_timeout = STALLED_AFTER.max(self.last_append_duration.get() * STALLED_FACTOR);
        let mut tries = 0;
        loop {
            let result = tokio::select! {
                result = self.store.append(&append) => result,
                () = self.watch.wait_for_own_append(epoch, seq) => AppendResult::Done,
                () = self.watch.wait_for_read_after(stall_timeout) => AppendResult::Unknown,
            };
            tries += 1;
            if result == AppendResult::Unknown {
                // Retries would lengthen the queue of a slow store.
                stall_timeout = stall_timeout.saturating_mul(2);
            }
            let elapsed = self.clock.now().since(sent);
            if elapsed >= SLOW_APPEND {
                log::info!(took_ms = elapsed.as_millis() as u64, result:? = result; "append_slow");
            }
            self.step(|core, now, out| {
                if core.leadership.term() != Some(epoch) {
                    return;
                }
                core.leadership.on_append(now, sent, result, &mut out.leadership);
                if result == AppendResult::Done
                    && let Some(scheduler) = &mut core.scheduler
                {
                    scheduler.on_recorded(now);
                }
            });
            if result == AppendResult::Done {
                self.metrics.appended(elapsed);
                if tries == 1 {
                    self.last_append_duration.set(elapsed);
                }
                return Stored::Yes;
            }
            if self.core.borrow().leadership.term() != Some(epoch) {
                return Stored::Unknown;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Prepares for shutdown: the process claims no further term and releases its current one.
    pub(crate) async fn retire(self: &Rc<Self>) {
        self.core.borrow_mut().stopping = true;
        // The append numbers of a term have no gaps, so the append in progress must end first.
        for _ in 0..MAX_RELEASE_TRIES {
            if self.append_started.get().is_none() {
                break;
            }
            sleep(RETRY_PAUSE).await;
        }
        let release = {
            let mut core = self.core.borrow_mut();
            core.leadership.stop_claiming();
            core.leadership.heartbeat(self.clock.now(), true)
        };
        let Some((epoch, seq, heartbeat)) = release else { return };
        // No commands are sent from here on, so a successor may start once it reads the release.
        self.step(|core, now, out| core.leadership.resign(now, &mut out.leadership));
        let fence = Some(Fence { epoch, seq });
        let append = Append { records: vec![heartbeat], fence, ..Append::default() };
        for _ in 0..MAX_RELEASE_TRIES {
            match self.store.append(&append).await {
                AppendResult::Done | AppendResult::Fenced => return,
                _ => sleep(RETRY_PAUSE).await,
            }
        }
    }
}
