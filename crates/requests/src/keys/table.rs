//! The owner's book of keys.

use {
    super::{
        message::{
            KeyJournalEntry, KeyOutcome, KeyRecord, KeySnapshot, OutcomeReport, Permit,
            PermitHolder, PermitRequest,
        },
        state::{KeyState, Phase, ShardKeys, Since},
    },
    crate::{
        limits::{KEY_RETENTION, MAX_KEYS_PER_SHARD, PERMIT_TIMEOUT},
        protections::Protections,
    },
    egretlb_types::{Authority, Epoch, ShardId, Ticket, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// How often keys past their retention are looked for. Each pass visits every key.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);

/// How long an ask may be under way after its holder's report.
const ASK_UNDER_WAY: Duration = Duration::from_secs(10);

/// The most holders remembered for that, in a shard. Beyond it a key may fall in doubt for nothing.
const GIVEN_UP_MAX: usize = 1_024;

/// What the book is told.
#[derive(Clone, Debug)]
pub enum KeyTableEvent {
    /// This process owns the shard now; its keys were replayed and restored before.
    Owned {
        /// The shard.
        shard: ShardId,
        /// The epoch of the ownership.
        epoch: Epoch,
    },
    /// This process doesn't own the shard any more.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// An entry asks for a permit.
    Request {
        /// The ask.
        request: PermitRequest,
    },
    /// An entry reports an outcome.
    Report {
        /// The report.
        report: OutcomeReport,
    },
    /// A journal entry is in the log.
    Journaled {
        /// Which.
        ticket: Ticket,
    },
    /// Whether appends to the log succeed at present.
    LogState {
        /// They do.
        up: bool,
    },
    /// Time passed.
    Tick,
}

/// What the book asks the runtime to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyTableEffect {
    /// Append to the shard's journal, in the order of these effects; again until it is known to
    /// have been appended, also across an outage of the log.
    Journal {
        /// The shard.
        shard: ShardId,
        /// The entry.
        entry: KeyJournalEntry,
        /// What [`KeyTableEvent::Journaled`] is to name.
        ticket: Ticket,
    },
    /// Answer an entry's ask. Authority for the shard is asked again before a
    /// [`Permit::Granted`] is sent.
    Answer {
        /// The shard, for asking authority again.
        shard: ShardId,
        /// The holder that asked.
        holder: PermitHolder,
        /// The answer.
        permit: Permit,
    },
    /// Tell an entry that its report is kept.
    ConfirmReport {
        /// The holder whose report it is.
        holder: PermitHolder,
    },
}

/// Remembers the keys of all shards that this process owns.
#[derive(Debug)]
pub struct KeyTable {
    shards: BTreeMap<ShardId, ShardKeys>,
    next_ticket: Ticket,
    log_up: bool,
    swept_at: Time,
    protections: Protections,
}

impl Default for KeyTable {
    fn default() -> Self {
        KeyTable::new()
    }
}

impl KeyTable {
    /// An empty book.
    pub fn new() -> Self {
        KeyTable::with_protections(Protections::default())
    }

    /// A book with some protections off, for tests.
    pub fn with_protections(protections: Protections) -> Self {
        KeyTable {
            shards: BTreeMap::new(),
            next_ticket: Ticket(1),
            log_up: true,
            swept_at: Time::ZERO,
            protections,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn step(
        &mut self,
        now: Time,
        event: KeyTableEvent,
        auth: &dyn Authority,
        out: &mut Vec<KeyTableEffect>,
    ) {
        match event {
            KeyTableEvent::Owned { shard, epoch } => self.own(now, shard, epoch),
            KeyTableEvent::Lost { shard } => self.lose(shard, out),
            KeyTableEvent::Request { request } => self.handle_request(now, request, auth, out),
            KeyTableEvent::Report { report } => self.report(now, report, auth, out),
            KeyTableEvent::Journaled { ticket } => self.journaled(now, ticket, auth, out),
            KeyTableEvent::LogState { up } => {
                self.log_up = up;
                if !up {
                    self.refuse_waiting(now, Duration::ZERO, out);
                }
            }
            KeyTableEvent::Tick => {
                self.refuse_waiting(now, PERMIT_TIMEOUT, out);
                for keys in self.shards.values_mut() {
                    keys.given_up.retain(|_, since| now.since(*since) < ASK_UNDER_WAY);
                }
                self.sweep(now);
            }
        }
    }

    /// Folds an entry of a predecessor's journal, in its order.
    pub fn replay(&mut self, shard: ShardId, entry: &KeyJournalEntry) {
        let keys = &mut self.shards.entry(shard).or_default().keys;
        let since = Since::Age(Duration::ZERO);
        match entry {
            KeyJournalEntry::Intent { key, body, holder } => {
                // The permit may have been given: whether it was, only the holder knows.
                let state =
                    KeyState { body: *body, holder: *holder, phase: Phase::Permitted, since };
                keys.insert(key.clone(), state);
            }
            KeyJournalEntry::Outcome { key, holder, outcome } => {
                let Some(state) = keys.get_mut(key).filter(|state| state.holder == *holder) else {
                    return;
                };
                if *outcome == KeyOutcome::NotRun {
                    keys.remove(key);
                } else {
                    state.phase = Phase::Ended(outcome.clone());
                    state.since = since;
                }
            }
        }
    }

    /// All keys of the shard, for the journal.
    pub fn snapshot(&self, now: Time, shard: ShardId) -> KeySnapshot {
        let Some(shard) = self.shards.get(&shard) else { return KeySnapshot::default() };
        let records = shard.keys.iter().map(|(key, state)| KeyRecord {
            key: key.clone(),
            body: state.body,
            holder: state.holder,
            outcome: match &state.phase {
                Phase::Ended(outcome) => Some(outcome.clone()),
                Phase::Intending { .. } | Phase::Permitted => None,
            },
            age: match state.since {
                Since::At(at) => now.since(at),
                Since::Age(age) => age,
            },
        });
        KeySnapshot { keys: records.collect() }
    }

    /// Puts a snapshot in the place of all that is known of the shard.
    pub fn restore(&mut self, shard: ShardId, snapshot: KeySnapshot) {
        let keys = snapshot.keys.into_iter().map(|record| {
            let phase = record.outcome.map_or(Phase::Permitted, Phase::Ended);
            let since = Since::Age(record.age);
            (record.key, KeyState { body: record.body, holder: record.holder, phase, since })
        });
        let shard = self.shards.entry(shard).or_default();
        shard.keys = keys.collect();
    }

    /// How many keys are remembered for the shard.
    pub fn key_count(&self, shard: ShardId) -> usize {
        self.shards.get(&shard).map_or(0, |shard| shard.keys.len())
    }

    fn own(&mut self, now: Time, shard: ShardId, epoch: Epoch) {
        let shard = self.shards.entry(shard).or_default();
        shard.epoch = Some(epoch);
        for state in shard.keys.values_mut() {
            if let Since::Age(age) = state.since {
                // A permit's holder gets the whole time to report to the new owner. An age from
                // before this clock's start is cut short, so a key is kept longer, never shorter.
                let open = matches!(state.phase, Phase::Permitted);
                state.since = Since::At(if open { now } else { now - age });
            }
        }
    }

    /// Whoever waits for a permit is told at once that there will be none from here.
    fn lose(&mut self, shard: ShardId, out: &mut Vec<KeyTableEffect>) {
        let Some(lost) = self.shards.remove(&shard) else { return };
        for state in lost.keys.values() {
            if matches!(state.phase, Phase::Intending { .. }) {
                let holder = state.holder;
                out.push(KeyTableEffect::Answer { shard, holder, permit: Permit::Unavailable });
            }
        }
    }

    fn handle_request(
        &mut self,
        now: Time,
        request: PermitRequest,
        auth: &dyn Authority,
        out: &mut Vec<KeyTableEffect>,
    ) {
        let shard = request.shard;
        let holder = request.holder;
        let mut answer = |permit| out.push(KeyTableEffect::Answer { shard, holder, permit });
        let held = auth.epoch_if_held(now, shard);
        let Some(keys) = self.shards.get_mut(&shard).filter(|keys| keys.epoch.is_some()) else {
            return answer(Permit::Unavailable);
        };
        if held != keys.epoch || keys.given_up.contains_key(&holder) {
            return answer(Permit::Unavailable);
        }
        if let Some(state) = keys.keys.get(&request.key) {
            if let Some(permit) = state.answer(now, &request, self.protections) {
                return answer(permit);
            }
            if state.holder == holder {
                return;
            }
        }
        // A full book refuses rather than forget a key early; a log that is down is refused at
        // once rather than after a wait that the caller gains nothing from.
        let full = keys.keys.len() >= MAX_KEYS_PER_SHARD;
        if full || (!self.log_up && self.protections.journal_intent) {
            return answer(Permit::Unavailable);
        }
        self.intend(now, request, out);
    }

    fn intend(&mut self, now: Time, request: PermitRequest, out: &mut Vec<KeyTableEffect>) {
        let ticket = self.next_ticket();
        let Some(keys) = self.shards.get_mut(&request.shard) else { return };
        let entry = KeyJournalEntry::Intent {
            key: request.key.clone(),
            body: request.body,
            holder: request.holder,
        };
        out.push(KeyTableEffect::Journal { shard: request.shard, entry, ticket });
        let mut phase = Phase::Intending { ticket };
        if !self.protections.journal_intent {
            phase = Phase::Permitted;
            out.push(KeyTableEffect::Answer {
                shard: request.shard,
                holder: request.holder,
                permit: Permit::Granted,
            });
        }
        let since = Since::At(now);
        keys.intents.insert(ticket, request.key.clone());
        keys.keys.insert(
            request.key,
            KeyState { body: request.body, holder: request.holder, phase, since },
        );
    }

    fn journaled(
        &mut self,
        now: Time,
        ticket: Ticket,
        auth: &dyn Authority,
        out: &mut Vec<KeyTableEffect>,
    ) {
        for (shard, keys) in &mut self.shards {
            if let Some(holder) = keys.reports.remove(&ticket) {
                out.push(KeyTableEffect::ConfirmReport { holder });
                return;
            }
            let Some(key) = keys.intents.remove(&ticket) else { continue };
            let Some(state) = keys.keys.get_mut(&key) else { return };
            // Answered otherwise meanwhile: that answer stands.
            if !matches!(state.phase, Phase::Intending { ticket: waits } if waits == ticket) {
                return;
            }
            // Without authority a successor may already have read the journal without this
            // intent, and may permit the key to another.
            let held = auth.epoch_if_held(now, *shard);
            let granted = held.is_some() && held == keys.epoch;
            state.phase = Phase::Permitted;
            state.since = Since::At(now);
            let permit = if granted { Permit::Granted } else { Permit::Unavailable };
            out.push(KeyTableEffect::Answer { shard: *shard, holder: state.holder, permit });
            return;
        }
    }

    fn report(
        &mut self,
        now: Time,
        report: OutcomeReport,
        auth: &dyn Authority,
        out: &mut Vec<KeyTableEffect>,
    ) {
        let held = auth.epoch_if_held(now, report.shard);
        let Some(keys) = self.shards.get_mut(&report.shard) else { return };
        // Not the owner: the entry reports again, to whoever is.
        if held.is_none() || held != keys.epoch {
            return;
        }
        let known = keys.keys.get(&report.key).filter(|state| state.holder == report.holder);
        let Some(state) = known else {
            // Freed before, or never permitted. The ask may still be under way, overtaken by this
            // report: a permit for it would be nobody's, and the key in doubt for nothing.
            if keys.given_up.len() < GIVEN_UP_MAX {
                keys.given_up.insert(report.holder, now);
            }
            out.push(KeyTableEffect::ConfirmReport { holder: report.holder });
            return;
        };
        if matches!(state.phase, Phase::Ended(_)) {
            // Said before; if its entry is still on the way to the log, that one's answer counts.
            let waits = keys.reports.values().any(|holder| *holder == report.holder);
            if !waits {
                out.push(KeyTableEffect::ConfirmReport { holder: report.holder });
            }
            return;
        }
        self.end(now, report, true, out);
    }

    /// Records an outcome, in memory at once and in the journal behind the intent.
    fn end(
        &mut self,
        now: Time,
        report: OutcomeReport,
        reported: bool,
        out: &mut Vec<KeyTableEffect>,
    ) {
        let ticket = self.next_ticket();
        let Some(keys) = self.shards.get_mut(&report.shard) else { return };
        if report.outcome == KeyOutcome::NotRun {
            keys.keys.remove(&report.key);
        } else if let Some(state) = keys.keys.get_mut(&report.key) {
            state.phase = Phase::Ended(report.outcome.clone());
            state.since = Since::At(now);
        }
        if reported {
            keys.reports.insert(ticket, report.holder);
        }
        let OutcomeReport { shard, key, holder, outcome } = report;
        let entry = KeyJournalEntry::Outcome { key, holder, outcome };
        out.push(KeyTableEffect::Journal { shard, entry, ticket });
    }

    /// Refuses permits whose intent has waited for the log for `wait`. The key is free again: its
    /// holder is told that nothing will run, and the journal says so behind the intent, should
    /// that turn out to be in the log after all.
    fn refuse_waiting(&mut self, now: Time, wait: Duration, out: &mut Vec<KeyTableEffect>) {
        let mut refused = Vec::new();
        for (shard, keys) in &self.shards {
            for key in keys.intents.values() {
                let Some(state) = keys.keys.get(key) else { continue };
                let Since::At(since) = state.since else { continue };
                if matches!(state.phase, Phase::Intending { .. }) && now.since(since) >= wait {
                    refused.push((*shard, key.clone(), state.holder));
                }
            }
        }
        for (shard, key, holder) in refused {
            out.push(KeyTableEffect::Answer { shard, holder, permit: Permit::Unavailable });
            let report = OutcomeReport { shard, key, holder, outcome: KeyOutcome::NotRun };
            self.end(now, report, false, out);
        }
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.swept_at) < SWEEP_PERIOD {
            return;
        }
        self.swept_at = now;
        for shard in self.shards.values_mut().filter(|shard| shard.epoch.is_some()) {
            shard.keys.retain(|_, state| match state.since {
                Since::At(at) => now.since(at) < KEY_RETENTION,
                Since::Age(_) => true,
            });
        }
    }

    fn next_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket = ticket.next();
        ticket
    }
}
