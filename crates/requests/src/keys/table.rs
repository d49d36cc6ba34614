//! Table of the request keys of the shards that this process owns.

use {
    super::{
        message::{
            KeyJournalEntry, KeyOutcome, KeyRecord, KeySnapshot, OutcomeReport, Permit,
            PermitHolder, PermitRequest,
        },
        state::{KeyState, Phase, RecordedAt, ShardKeys},
    },
    crate::{
        limits::{KEY_RETENTION, MAX_KEYS_PER_SHARD, PERMIT_TIMEOUT},
        protections::Protections,
    },
    egretlb_types::{Authority, Epoch, ShardId, Ticket, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// How often keys past their retention are removed. Each sweep scans every key.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);

/// Maximum delay of a permit request that its holder's report has overtaken.
const MAX_REQUEST_DELAY: Duration = Duration::from_secs(10);

/// Maximum number of such holders tracked in a shard. Beyond it a key may fall in doubt needlessly.
const MAX_ABANDONED_HOLDERS: usize = 1_024;

/// Input of a [`KeyTable`].
#[derive(Clone, Debug)]
pub enum KeyTableEvent {
    /// This process owns the shard now; its keys were restored and replayed before.
    Owned {
        /// The shard.
        shard: ShardId,
        /// Epoch of the ownership.
        epoch: Epoch,
    },
    /// This process doesn't own the shard any more.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// An entry requests a permit.
    Request {
        /// The request.
        request: PermitRequest,
    },
    /// An entry reports an outcome.
    Report {
        /// The report.
        report: OutcomeReport,
    },
    /// A journal entry is in the log.
    Journaled {
        /// Ticket of the entry.
        ticket: Ticket,
    },
    /// Availability of the log.
    LogState {
        /// Whether appends succeed at present.
        up: bool,
    },
    /// Time passed.
    Tick,
}

/// Output of a [`KeyTable`], performed by the runtime.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyTableEffect {
    /// Append to the shard's journal, in the order of these effects; retry until the append is
    /// confirmed, also across an outage of the log.
    Journal {
        /// The shard.
        shard: ShardId,
        /// The journal entry.
        entry: KeyJournalEntry,
        /// Ticket for [`KeyTableEvent::Journaled`].
        ticket: Ticket,
    },
    /// Answer a permit request. Authority for the shard must be checked again before a
    /// [`Permit::Granted`] is sent.
    Answer {
        /// Shard whose authority is checked.
        shard: ShardId,
        /// Holder that sent the request.
        holder: PermitHolder,
        /// The answer.
        permit: Permit,
    },
    /// Confirm to an entry that its report is in the log.
    ConfirmReport {
        /// Holder that sent the report.
        holder: PermitHolder,
    },
}

/// Stores the keys of all shards that this process owns.
#[derive(Debug)]
pub struct KeyTable {
    shards: BTreeMap<ShardId, ShardKeys>,
    next_ticket: Ticket,
    log_up: bool,
    last_sweep: Time,
    protections: Protections,
}

impl Default for KeyTable {
    fn default() -> Self {
        KeyTable::new()
    }
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        KeyTable::with_protections(Protections::default())
    }

    /// Creates a table with some protections disabled, for tests.
    pub fn with_protections(protections: Protections) -> Self {
        KeyTable {
            shards: BTreeMap::new(),
            next_ticket: Ticket(1),
            log_up: true,
            last_sweep: Time::ZERO,
            protections,
        }
    }

    /// Handles one event and appends the resulting effects.
    pub fn step(
        &mut self,
        now: Time,
        event: KeyTableEvent,
        auth: &dyn Authority,
        out: &mut Vec<KeyTableEffect>,
    ) {
        match event {
            KeyTableEvent::Owned { shard, epoch } => self.acquire(now, shard, epoch),
            KeyTableEvent::Lost { shard } => self.release(shard, out),
            KeyTableEvent::Request { request } => self.handle_request(now, request, auth, out),
            KeyTableEvent::Report { report } => self.report(now, report, auth, out),
            KeyTableEvent::Journaled { ticket } => self.journaled(now, ticket, auth, out),
            KeyTableEvent::LogState { up } => {
                self.log_up = up;
                if !up {
                    self.reject_pending_intents(now, Duration::ZERO, out);
                }
            }
            KeyTableEvent::Tick => {
                self.reject_pending_intents(now, PERMIT_TIMEOUT, out);
                for keys in self.shards.values_mut() {
                    keys.abandoned.retain(|_, since| now.since(*since) < MAX_REQUEST_DELAY);
                }
                self.sweep(now);
            }
        }
    }

    /// Replays one entry of a predecessor's journal; entries must come in their order.
    pub fn replay(&mut self, shard: ShardId, entry: &KeyJournalEntry) {
        let keys = &mut self.shards.entry(shard).or_default().states;
        let recorded_at = RecordedAt::Age(Duration::ZERO);
        match entry {
            KeyJournalEntry::Intent { key, body, holder } => {
                // Only the holder knows whether it received the permit.
                let state =
                    KeyState { body: *body, holder: *holder, phase: Phase::Permitted, recorded_at };
                keys.insert(key.clone(), state);
            }
            KeyJournalEntry::Outcome { key, holder, outcome } => {
                let Some(state) = keys.get_mut(key).filter(|state| state.holder == *holder) else {
                    return;
                };
                if *outcome == KeyOutcome::NotRun {
                    keys.remove(key);
                } else {
                    state.phase = Phase::Completed(outcome.clone());
                    state.recorded_at = recorded_at;
                }
            }
        }
    }

    /// Returns all keys of the shard, for the journal.
    pub fn snapshot(&self, now: Time, shard: ShardId) -> KeySnapshot {
        let Some(shard_keys) = self.shards.get(&shard) else { return KeySnapshot::default() };
        let records = shard_keys.states.iter().map(|(key, state)| KeyRecord {
            key: key.clone(),
            body: state.body,
            holder: state.holder,
            outcome: match &state.phase {
                Phase::Completed(outcome) => Some(outcome.clone()),
                Phase::IntentPending { .. } | Phase::Permitted => None,
            },
            age: match state.recorded_at {
                RecordedAt::At(at) => now.since(at),
                RecordedAt::Age(age) => age,
            },
        });
        KeySnapshot { keys: records.collect() }
    }

    /// Replaces all keys of the shard by those of a snapshot.
    pub fn restore(&mut self, shard: ShardId, snapshot: KeySnapshot) {
        let keys = snapshot.keys.into_iter().map(|record| {
            let phase = record.outcome.map_or(Phase::Permitted, Phase::Completed);
            let recorded_at = RecordedAt::Age(record.age);
            (record.key, KeyState { body: record.body, holder: record.holder, phase, recorded_at })
        });
        let shard_keys = self.shards.entry(shard).or_default();
        shard_keys.states = keys.collect();
    }

    /// Number of keys stored for the shard.
    pub fn key_count(&self, shard: ShardId) -> usize {
        self.shards.get(&shard).map_or(0, |shard_keys| shard_keys.states.len())
    }

    fn acquire(&mut self, now: Time, shard: ShardId, epoch: Epoch) {
        let shard_keys = self.shards.entry(shard).or_default();
        shard_keys.epoch = Some(epoch);
        for state in shard_keys.states.values_mut() {
            if let RecordedAt::Age(age) = state.recorded_at {
                // A holder gets the full time to report to the new owner. An age that exceeds this
                // clock's time is truncated, so a key is kept longer, never shorter.
                let permitted = matches!(state.phase, Phase::Permitted);
                state.recorded_at = RecordedAt::At(if permitted { now } else { now - age });
            }
        }
    }

    /// Drops the shard and refuses the permits that are pending.
    fn release(&mut self, shard: ShardId, out: &mut Vec<KeyTableEffect>) {
        let Some(lost) = self.shards.remove(&shard) else { return };
        for state in lost.states.values() {
            if matches!(state.phase, Phase::IntentPending { .. }) {
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
        if held != keys.epoch || keys.abandoned.contains_key(&holder) {
            return answer(Permit::Unavailable);
        }
        if let Some(state) = keys.states.get(&request.key) {
            if let Some(permit) = state.evaluate(now, &request, self.protections) {
                return answer(permit);
            }
            if state.holder == holder {
                return;
            }
        }
        // A full table refuses rather than drop a key early. While the log is down requests are
        // refused at once instead of after the timeout.
        let full = keys.states.len() >= MAX_KEYS_PER_SHARD;
        if full || (!self.log_up && self.protections.journal_intent) {
            return answer(Permit::Unavailable);
        }
        self.record_intent(now, request, out);
    }

    fn record_intent(&mut self, now: Time, request: PermitRequest, out: &mut Vec<KeyTableEffect>) {
        let ticket = self.next_ticket();
        let Some(keys) = self.shards.get_mut(&request.shard) else { return };
        let entry = KeyJournalEntry::Intent {
            key: request.key.clone(),
            body: request.body,
            holder: request.holder,
        };
        out.push(KeyTableEffect::Journal { shard: request.shard, entry, ticket });
        let mut phase = Phase::IntentPending { ticket };
        if !self.protections.journal_intent {
            phase = Phase::Permitted;
            out.push(KeyTableEffect::Answer {
                shard: request.shard,
                holder: request.holder,
                permit: Permit::Granted,
            });
        }
        let recorded_at = RecordedAt::At(now);
        keys.intents.insert(ticket, request.key.clone());
        keys.states.insert(
            request.key,
            KeyState { body: request.body, holder: request.holder, phase, recorded_at },
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
            let Some(state) = keys.states.get_mut(&key) else { return };
            // The permit was refused while the append was in progress.
            if !matches!(state.phase, Phase::IntentPending { ticket: pending } if pending == ticket)
            {
                return;
            }
            // Without authority a successor may have read the journal without this intent, and may
            // grant the key to another request.
            let held = auth.epoch_if_held(now, *shard);
            let granted = held.is_some() && held == keys.epoch;
            state.phase = Phase::Permitted;
            state.recorded_at = RecordedAt::At(now);
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
        // Not the owner: the entry resends its report to the current one.
        if held.is_none() || held != keys.epoch {
            return;
        }
        let permitted = keys.states.get(&report.key).filter(|state| state.holder == report.holder);
        let Some(state) = permitted else {
            // The key was freed before, or the permit request is still in transit. A permit granted
            // later would have no holder and leave the key in doubt.
            if keys.abandoned.len() < MAX_ABANDONED_HOLDERS {
                keys.abandoned.insert(report.holder, now);
            }
            out.push(KeyTableEffect::ConfirmReport { holder: report.holder });
            return;
        };
        if matches!(state.phase, Phase::Completed(_)) {
            // A duplicate report; if the first one is still being journaled, it is confirmed after
            // that.
            let journaling = keys.reports.values().any(|holder| *holder == report.holder);
            if !journaling {
                out.push(KeyTableEffect::ConfirmReport { holder: report.holder });
            }
            return;
        }
        self.record_outcome(now, report, true, out);
    }

    /// Records an outcome in memory and journals it behind the intent.
    fn record_outcome(
        &mut self,
        now: Time,
        report: OutcomeReport,
        reported: bool,
        out: &mut Vec<KeyTableEffect>,
    ) {
        let ticket = self.next_ticket();
        let Some(keys) = self.shards.get_mut(&report.shard) else { return };
        if report.outcome == KeyOutcome::NotRun {
            keys.states.remove(&report.key);
        } else if let Some(state) = keys.states.get_mut(&report.key) {
            state.phase = Phase::Completed(report.outcome.clone());
            state.recorded_at = RecordedAt::At(now);
        }
        if reported {
            keys.reports.insert(ticket, report.holder);
        }
        let OutcomeReport { shard, key, holder, outcome } = report;
        let entry = KeyJournalEntry::Outcome { key, holder, outcome };
        out.push(KeyTableEffect::Journal { shard, entry, ticket });
    }

    /// Refuses permits whose intent has been pending for at least `max_wait`, and frees their keys.
    /// A journaled `NotRun` cancels the intent in case it reaches the log.
    fn reject_pending_intents(
        &mut self,
        now: Time,
        max_wait: Duration,
        out: &mut Vec<KeyTableEffect>,
    ) {
        let mut refused = Vec::new();
        for (shard, keys) in &self.shards {
            for key in keys.intents.values() {
                let Some(state) = keys.states.get(key) else { continue };
                let RecordedAt::At(at) = state.recorded_at else { continue };
                if matches!(state.phase, Phase::IntentPending { .. }) && now.since(at) >= max_wait {
                    refused.push((*shard, key.clone(), state.holder));
                }
            }
        }
        for (shard, key, holder) in refused {
            out.push(KeyTableEffect::Answer { shard, holder, permit: Permit::Unavailable });
            let report = OutcomeReport { shard, key, holder, outcome: KeyOutcome::NotRun };
            self.record_outcome(now, report, false, out);
        }
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.last_sweep) < SWEEP_PERIOD {
            return;
        }
        self.last_sweep = now;
        for shard_keys in self.shards.values_mut().filter(|shard_keys| shard_keys.epoch.is_some()) {
            shard_keys.states.retain(|_, state| match state.recorded_at {
                RecordedAt::At(at) => now.since(at) < KEY_RETENTION,
                RecordedAt::Age(_) => true,
            });
        }
    }

    fn next_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket = ticket.next();
        ticket
    }
}
