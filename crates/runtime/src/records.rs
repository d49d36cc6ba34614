//! Appends of the leader.

use {
    crate::{
        append::Stored,
        node::Node,
        peers::Waiting,
        platform::{self, Append, Fence},
    },
    egretlb_types::Offset,
    egretlb_workflow::{AppendResult, Record},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// The pause before an append of the leader is repeated.
const RECORD_RETRY: Duration = Duration::from_millis(60);

/// An append without an answer is repeated on another connection after this long, if the store answers
/// reads meanwhile and they don't show it: it was held up, or its answer and it are lost. A slow store
/// takes up to half a second for an append. Waiting for the call's time to be up (2.4 s) would outlast
/// the 1.2 s after which followers claim, and depose a leader that is well.
const HELD_UP_AFTER: Duration = Duration::from_millis(500);

/// An append is taken as held up after so many times what the last one took, if that is longer: where
/// the store is slow, a repetition would only stand in its queue.
const HELD_UP_TIMES: u32 = 4;

/// An append that takes longer is logged: the store usually answers within 10 ms.
const SLOW_APPEND: Duration = Duration::from_millis(200);

/// How often the end of a term is tried to record, 1.2 s in all on a store that answers at once; a
/// successor takes over without it, only later.
const RELEASE_TRIES: u32 = 20;

impl Node {
    /// Appends under the leader's epoch, again and again until it is settled: the numbers of a term
    /// have no gaps, so nothing else can be appended before.
    pub(crate) async fn record(self: Rc<Self>, mut records: Vec<Record>) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        records.extend(waiting.iter().map(|waiting| waiting.record.clone()));
        let begun = self.clock.now();
        self.recording.set(Some(begun));
        let stored = self.record_all(records).await;
        // An append that outlasts its term ends beside those of the next.
        if self.recording.get() == Some(begun) {
            self.recording.set(None);
        }
        if stored == Stored::Yes {
            self.take_in(&waiting);
        }
        for waiting in waiting {
            // A client that has left doesn't wait for the result.
            let _ = waiting.tx.send(stored);
        }
    }

    /// Takes clients' records in as soon as they are stored; they are met again when they are read, some
    /// 10 to 20 ms later, and change nothing then.
    fn take_in(self: &Rc<Self>, waiting: &[Waiting]) {
        for waiting in waiting {
            let Record { key, value } = waiting.record.clone();
            // Neither a submission nor a cancellation depends on its place among the records.
            let stored =
                platform::StoredRecord { offset: Offset(0), key: key.into(), value: value.into() };
            self.step(|core, now, out| core.on_work(now, &stored, out));
        }
    }

    async fn record_all(self: &Rc<Self>, mut records: Vec<Record>) -> Stored {
        let signed = self.core.borrow_mut().leadership.heartbeat(self.clock.now(), false);
        let Some((epoch, seq, sign)) = signed else { return Stored::No };
        records.push(sign);
        let append = Append { records, fence: Some(Fence { epoch, seq }) };
        // A repetition may be answered with the first one's result, so it proves nothing later.
        let sent = self.clock.now();
        let mut patience = HELD_UP_AFTER.max(self.append_took.get() * HELD_UP_TIMES);
        let mut tries = 0;
        loop {
            let result = tokio::select! {
                result = self.store.append(&append) => result,
                () = self.reads.own_append(epoch, seq) => AppendResult::Done,
                () = self.reads.go_on(patience) => AppendResult::Unknown,
            };
            tries += 1;
            if result == AppendResult::Unknown {
                // Repetitions stand in a slow store's queue with what they repeat.
                patience = patience.saturating_mul(2);
            }
            let took = self.clock.now().since(sent);
            if took >= SLOW_APPEND {
                log::info!(took_ms = took.as_millis() as u64, result:? = result; "append_slow");
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
                self.metrics.appended(took);
                if tries == 1 {
                    self.append_took.set(took);
                }
                return Stored::Yes;
            }
            if self.core.borrow().leadership.term() != Some(epoch) {
                return Stored::Unknown;
            }
            sleep(RECORD_RETRY).await;
        }
    }

    /// Prepares the end of the process: it takes no term any more, and gives up the one it has.
    pub(crate) async fn retire(self: &Rc<Self>) {
        self.core.borrow_mut().stopping = true;
        // Appends of a term are numbered without gaps, so the one under way is waited for.
        for _ in 0..RELEASE_TRIES {
            if self.recording.get().is_none() {
                break;
            }
            sleep(RECORD_RETRY).await;
        }
        let release = {
            let mut core = self.core.borrow_mut();
            core.leadership.retire();
            core.leadership.heartbeat(self.clock.now(), true)
        };
        let Some((epoch, seq, sign)) = release else { return };
        // From here on nothing is ordered, so a successor may begin as soon as it reads the record.
        self.step(|core, now, out| core.leadership.resign(now, &mut out.leadership));
        let fence = Some(Fence { epoch, seq });
        let append = Append { records: vec![sign], fence };
        for _ in 0..RELEASE_TRIES {
            match self.store.append(&append).await {
                AppendResult::Done | AppendResult::Fenced => return,
                _ => sleep(RECORD_RETRY).await,
            }
        }
    }
}
