//! Appends of the leader.

use {
    crate::{
        append::Stored,
        node::Node,
        peers::PendingRecord,
        platform::{self, Append, Fence},
    },
    egretlb_types::Offset,
    egretlb_workflow::{AppendResult, Record},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// The pause before an append of the leader is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// An append without an answer is repeated on another connection after this long, if the store answers
/// reads meanwhile and they don't show it: it was held up, or its answer and it are lost. A slow store
/// takes up to half a second for an append. Waiting for the call's time to be up (2.4 s) would outlast
/// the 1.2 s after which followers claim, and depose a leader that is well.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// An append is taken as held up after so many times what the last one took, if that is longer: where
/// the store is slow, a repetition would only stand in its queue.
const STALLED_FACTOR: u32 = 4;

/// An append that takes longer is logged: the store usually answers within 10 ms.
const SLOW_APPEND: Duration = Duration::from_millis(200);

/// How often the end of a term is tried to record, 1.2 s in all on a store that answers at once; a
/// successor takes over without it, only later.
const RELEASE_TRIES: u32 = 20;

impl Node {
    /// Appends under the leader's epoch, again and again until it is settled: the numbers of a term
    /// have no gaps, so nothing else can be appended before.
    pub(crate) async fn append_as_leader(self: Rc<Self>, mut records: Vec<Record>) {
        let pending = std::mem::take(&mut *self.pending_records.borrow_mut());
        records.extend(pending.iter().map(|pending| pending.record.clone()));
        let started = self.clock.now();
        self.append_started.set(Some(started));
        let stored = self.append_until_settled(records).await;
        // An append that outlasts its term ends beside those of the next.
        if self.append_started.get() == Some(started) {
            self.append_started.set(None);
        }
        if stored == Stored::Yes {
            self.apply_stored(&pending);
        }
        for pending in pending {
            // A client that has left doesn't wait for the result.
            let _ = pending.tx.send(stored);
        }
    }

    /// Takes clients' records in as soon as they are stored; they are met again when they are read, some
    /// 10 to 20 ms later, and change nothing then.
    fn apply_stored(self: &Rc<Self>, pending: &[PendingRecord]) {
        for pending in pending {
            let Record { key, value } = pending.record.clone();
            // Neither a submission nor a cancellation depends on its place among the records.
            let stored =
                platform::StoredRecord { offset: Offset(0), key: key.into(), value: value.into() };
            self.step(|core, now, out| core.on_work(now, &stored, out));
        }
    }

    async fn append_until_settled(self: &Rc<Self>, mut records: Vec<Record>) -> Stored {
        let heartbeat_parts = self.core.borrow_mut().leadership.heartbeat(self.clock.now(), false);
        let Some((epoch, seq, heartbeat)) = heartbeat_parts else { return Stored::No };
        records.push(heartbeat);
        let append = Append { records, fence: Some(Fence { epoch, seq }) };
        // A repetition may be answered with the first one's result, so it proves nothing later.
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
                // Repetitions stand in a slow store's queue with what they repeat.
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

    /// Prepares the end of the process: it takes no term any more, and gives up the one it has.
    pub(crate) async fn retire(self: &Rc<Self>) {
        self.core.borrow_mut().stopping = true;
        // Appends of a term are numbered without gaps, so the one under way is waited for.
        for _ in 0..RELEASE_TRIES {
            if self.append_started.get().is_none() {
                break;
            }
            sleep(RETRY_PAUSE).await;
        }
        let release = {
            let mut core = self.core.borrow_mut();
            core.leadership.retire();
            core.leadership.heartbeat(self.clock.now(), true)
        };
        let Some((epoch, seq, heartbeat)) = release else { return };
        // From here on nothing is ordered, so a successor may begin as soon as it reads the record.
        self.step(|core, now, out| core.leadership.resign(now, &mut out.leadership));
        let fence = Some(Fence { epoch, seq });
        let append = Append { records: vec![heartbeat], fence };
        for _ in 0..RELEASE_TRIES {
            match self.store.append(&append).await {
                AppendResult::Done | AppendResult::Fenced => return,
                _ => sleep(RETRY_PAUSE).await,
            }
        }
    }
}
