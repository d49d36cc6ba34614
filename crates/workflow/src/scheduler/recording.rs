//! What is recorded in the store: progress of workflows, the roster.

use {
    super::{Effect, Scheduler, Worker},
    crate::{
        Key, Limits, Record, Roster, RosterEntry, RosterState, WaveProgress, WorkerId, WorkflowId,
    },
    egretlb_types::Time,
    std::time::Duration,
};

/// An append under way and what it settles.
#[derive(Debug, Default)]
pub(super) struct PendingAppend {
    /// Ends up to here are recorded once it is done.
    ends: Vec<(WorkerId, u64)>,
    roster: Vec<Listed>,
    ended: Vec<WorkflowId>,
    waves: Vec<(u64, WaveProgress)>,
    /// Workflows with crashes that weren't recorded before.
    crashes: Vec<WorkflowId>,
}

impl PendingAppend {
    pub(super) fn has_crashes_of(&self, id: WorkflowId) -> bool {
        self.crashes.contains(&id)
    }
}

/// What the roster says of a worker.
#[derive(Debug)]
struct Listed {
    id: WorkerId,
    silent: bool,
    leaving: bool,
}

/// The most bytes of records in one append; far below the store's bound of 2 MB.
const RECORD_BYTES: usize = 512 * 1024;

/// How often what was learned is recorded. It takes some 2 KB for 15 images, and every process reads it;
/// what a successor lacks are the last seconds.
const LEARNED_GAP: Duration = Duration::from_secs(3);

/// The most old workflows forgotten in one append.
const FORGET_PER_APPEND: usize = 200;

/// The most records that are recorded anew in one append; a submission takes some KB at most.
const RESTORED_PER_APPEND: usize = 20;

impl Worker {
    /// Whether a successor has to know of it: what a predecessor listed, and what has answered this leader.
    /// Before that nothing is started there. An entry may be read again long after its worker has gone; were
    /// it listed, each successor would wait for that worker until leases must have lapsed.
    fn belongs_in_roster(&self) -> bool {
        self.in_roster || self.reconciled
    }

    /// Whether the roster has to say something else of it: whether it is silent, or about to leave.
    pub(crate) fn differs_from_roster(&self, now: Time, limits: &Limits) -> bool {
        let silence = self.should_list_unresponsive(now, limits) != self.listed_unresponsive;
        self.in_roster && (silence || self.is_draining() != self.listed_draining)
    }
}

impl Scheduler {
    /// Whether the next append has something to say.
    fn has_news(&self, now: Time) -> bool {
        self.append_requested
            || self.last_acked_append.is_none()
            || (self.roster_dirty && self.may_write_roster(now))
            || !self.records_to_rewrite.is_empty()
            || self.maintenance.is_dirty()
            || !self.dirty.is_empty()
            || self
                .workers
                .values()
                .any(|worker| worker.max_acknowledgeable_end() > worker.ends_recorded)
    }

    /// Sends what is to be recorded, if no append is under way.
    pub(super) fn record(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.pending_append.is_some() {
            return;
        }
        let beat = now.since(self.append_sent_at) >= self.limits.heartbeat;
        let due = self.has_news(now) && now.since(self.append_sent_at) >= self.limits.record_gap;
        if !beat && !due {
            return;
        }
        let mut recording = PendingAppend::default();
        let mut records = Vec::new();
        let partial = self.record_progress(&mut recording, &mut records);
        if !partial {
            recording.ends = self
                .workers
                .iter()
                .filter(|(_, worker)| worker.max_acknowledgeable_end() > worker.ends_recorded)
                .map(|(id, worker)| (id.clone(), worker.max_acknowledgeable_end()))
                .collect();
        }
        recording.waves = self.maintenance.take_dirty();
        for (number, progress) in &recording.waves {
            records.push(Record::new(Key::Wave(*number), progress));
        }
        self.record_roster(now, &mut recording, &mut records);
        self.forget(now, &mut records);
        self.record_learned(now, &mut records);
        let restored = self.records_to_rewrite.len().min(RESTORED_PER_APPEND);
        records.extend(self.records_to_rewrite.drain(..restored));
        self.append_requested = false;
        self.append_sent_at = now;
        self.pending_append = Some(recording);
        out.push(Effect::Record { records });
    }

    /// Sends a sign of life alone, if one is due and no append is under way. It is what a leader whose
    /// authority has lapsed still does: it hasn't heard of any worker lately, and the roster that it
    /// would record now would list all of them as silent.
    pub fn send_heartbeat(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.pending_append.is_some() || now.since(self.append_sent_at) < self.limits.heartbeat {
            return;
        }
        self.append_sent_at = now;
        self.pending_append = Some(PendingAppend::default());
        out.push(Effect::Record { records: Vec::new() });
    }

    /// Adds the progress of changed workflows; returns whether some are left for the next append.
    fn record_progress(
        &mut self,
        recording: &mut PendingAppend,
        records: &mut Vec<Record>,
    ) -> bool {
        let mut bytes = 0;
        while let Some(id) = self.dirty.pop_first() {
            recording.crashes.extend(self.lost_workers.take_unrecorded(id).then_some(id));
            let Some(flow) = self.workflows.get(&id) else { continue };
            let record = Record::new(Key::Progress(id), &flow.progress());
            if flow.outcome.is_some() {
                recording.ended.push(id);
            }
            bytes += record.size();
            records.push(record);
            if bytes >= RECORD_BYTES {
                return !self.dirty.is_empty();
            }
        }
        false
    }

    fn record_roster(
        &mut self,
        now: Time,
        recording: &mut PendingAppend,
        records: &mut Vec<Record>,
    ) {
        if !self.roster_dirty || !self.may_write_roster(now) {
            return;
        }
        self.roster_dirty = false;
        let mut entries = Vec::with_capacity(self.workers.len());
        let listed = self.workers.iter().filter(|(_, worker)| worker.belongs_in_roster());
        for (id, worker) in listed {
            let state = self.standing(now, worker);
            entries.push(RosterEntry { id: id.clone(), addr: worker.info.addr, state });
        }
        for entry in &entries {
            let Some(worker) = self.workers.get_mut(&entry.id) else { continue };
            let silent = matches!(
                entry.state,
                RosterState::Unresponsive { .. } | RosterState::Unreconciled { .. }
            );
            // From here on nothing is started there, since the record may be read before it is confirmed.
            worker.listed_unresponsive |= silent;
            let leaving = worker.is_draining();
            worker.listed_draining |= leaving;
            worker.listed_runs = match &entry.state {
                RosterState::Unresponsive { runs, .. } | RosterState::Draining { runs } => {
                    runs.len()
                }
                RosterState::Open | RosterState::Unreconciled { .. } => 0,
            };
            recording.roster.push(Listed { id: entry.id.clone(), silent, leaving });
        }
        let roster = Roster { epoch: self.epoch, entries };
        records.push(Record::new(Key::Roster, &roster));
    }

    /// Adds what was learned of images, from time to time.
    fn record_learned(&mut self, now: Time, records: &mut Vec<Record>) {
        if self.learned_dirty && now.since(self.learned_recorded_at) >= LEARNED_GAP {
            self.learned_dirty = false;
            self.learned_recorded_at = now;
            records.push(Record::new(Key::InterferenceModel, self.colocation.model()));
        }
    }

    /// Drops the records of workflows that ended long ago.
    fn forget(&mut self, now: Time, records: &mut Vec<Record>) {
        let retention = self.limits.retention;
        let old = self.ended.iter().take_while(|(at, _)| now.since(*at) >= retention).count();
        for (_, id) in self.ended.drain(..old.min(FORGET_PER_APPEND)) {
            records.push(Record::tombstone(Key::Progress(id)));
            records.push(Record::tombstone(Key::Cancel(id)));
            records.push(Record::tombstone(Key::Submission(id)));
        }
    }

    /// Clients wait for records that go with the next append.
    pub fn request_append(&mut self) {
        self.append_requested = true;
    }

    /// The append under way is in the store.
    pub fn on_recorded(&mut self, now: Time) {
        let Some(recording) = self.pending_append.take() else { return };
        self.last_acked_append = Some(self.append_sent_at);
        self.maintenance.on_recorded(now, &recording.waves);
        for (id, number) in recording.ends {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.ends_recorded = worker.ends_recorded.max(number);
            }
        }
        for Listed { id, silent, leaving } in recording.roster {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.in_roster = true;
                worker.listed_unresponsive = silent;
                worker.listed_draining = leaving;
            }
        }
        for id in recording.ended {
            self.workflows.remove(&id);
            self.ended.push((now, id));
        }
    }
}
