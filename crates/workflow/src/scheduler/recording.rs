//! What is recorded in the store: progress of workflows, the roster.

use {
    super::{Effect, Scheduler, Worker},
    crate::{
        Key, Limits, Record, Roster, RosterEntry, Standing, WaveProgress, WorkerId, WorkflowId,
    },
    egretlb_types::Time,
    std::time::Duration,
};

/// An append under way and what it settles.
#[derive(Debug, Default)]
pub(super) struct Recording {
    /// Ends up to here are recorded once it is done.
    ends: Vec<(WorkerId, u64)>,
    roster: Vec<Listed>,
    ended: Vec<WorkflowId>,
    waves: Vec<(u64, WaveProgress)>,
    /// Workflows with crashes that weren't recorded before.
    crashes: Vec<WorkflowId>,
}

impl Recording {
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
        self.in_roster || self.surveyed
    }

    /// Whether the roster has to say something else of it: whether it is silent, or about to leave.
    pub(crate) fn differs_from_roster(&self, now: Time, limits: &Limits) -> bool {
        let silence = self.lists_silent(now, limits) != self.listed_silent;
        self.in_roster && (silence || self.leaves() != self.leaving)
    }
}

impl Scheduler {
    /// Whether the next append has something to say.
    fn has_news(&self, now: Time) -> bool {
        self.clients_wait
            || self.proven.is_none()
            || (self.roster_dirty && self.may_write_roster(now))
            || !self.restored.is_empty()
            || self.upkeep.has_news()
            || !self.dirty.is_empty()
            || self
                .workers
                .values()
                .any(|worker| worker.max_acknowledgeable_end() > worker.recorded)
    }

    /// Sends what is to be recorded, if no append is under way.
    pub(super) fn record(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.recording.is_some() {
            return;
        }
        let beat = now.since(self.recorded_at) >= self.limits.heartbeat;
        let due = self.has_news(now) && now.since(self.recorded_at) >= self.limits.record_gap;
        if !beat && !due {
            return;
        }
        let mut recording = Recording::default();
        let mut records = Vec::new();
        let partial = self.record_progress(&mut recording, &mut records);
        if !partial {
            recording.ends = self
                .workers
                .iter()
                .filter(|(_, worker)| worker.max_acknowledgeable_end() > worker.recorded)
                .map(|(id, worker)| (id.clone(), worker.max_acknowledgeable_end()))
                .collect();
        }
        recording.waves = self.upkeep.take_dirty();
        for (number, progress) in &recording.waves {
            records.push(Record::new(Key::Wave(*number), progress));
        }
        self.record_roster(now, &mut recording, &mut records);
        self.forget(now, &mut records);
        self.record_learned(now, &mut records);
        let restored = self.restored.len().min(RESTORED_PER_APPEND);
        records.extend(self.restored.drain(..restored));
        self.clients_wait = false;
        self.recorded_at = now;
        self.recording = Some(recording);
        out.push(Effect::Record { records });
    }

    /// Sends a sign of life alone, if one is due and no append is under way. It is what a leader whose
    /// authority has lapsed still does: it hasn't heard of any worker lately, and the roster that it
    /// would record now would list all of them as silent.
    pub fn sign_only(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.recording.is_some() || now.since(self.recorded_at) < self.limits.heartbeat {
            return;
        }
        self.recorded_at = now;
        self.recording = Some(Recording::default());
        out.push(Effect::Record { records: Vec::new() });
    }

    /// Adds the progress of changed workflows; returns whether some are left for the next append.
    fn record_progress(&mut self, recording: &mut Recording, records: &mut Vec<Record>) -> bool {
        let mut bytes = 0;
        while let Some(id) = self.dirty.pop_first() {
            recording.crashes.extend(self.losses.take_unrecorded(id).then_some(id));
            let Some(flow) = self.flows.get(&id) else { continue };
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

    fn record_roster(&mut self, now: Time, recording: &mut Recording, records: &mut Vec<Record>) {
        if !self.roster_dirty || !self.may_write_roster(now) {
            return;
        }
        self.roster_dirty = false;
        let mut entries = Vec::with_capacity(self.workers.len());
        let listed = self.workers.iter().filter(|(_, worker)| worker.belongs_in_roster());
        for (id, worker) in listed {
            let standing = self.standing(now, worker);
            entries.push(RosterEntry { id: id.clone(), addr: worker.info.addr, standing });
        }
        for entry in &entries {
            let Some(worker) = self.workers.get_mut(&entry.id) else { continue };
            let silent =
                matches!(entry.standing, Standing::Silent { .. } | Standing::Unanswered { .. });
            // From here on nothing is started there, since the record may be read before it is confirmed.
            worker.listed_silent |= silent;
            let leaving = worker.leaves();
            worker.leaving |= leaving;
            worker.listed_runs = match &entry.standing {
                Standing::Silent { runs, .. } | Standing::Leaving { runs } => runs.len(),
                Standing::Open | Standing::Unanswered { .. } => 0,
            };
            recording.roster.push(Listed { id: entry.id.clone(), silent, leaving });
        }
        let roster = Roster { epoch: self.epoch, entries };
        records.push(Record::new(Key::Roster, &roster));
    }

    /// Adds what was learned of images, from time to time.
    fn record_learned(&mut self, now: Time, records: &mut Vec<Record>) {
        if self.learned_news && now.since(self.learned_at) >= LEARNED_GAP {
            self.learned_news = false;
            self.learned_at = now;
            records.push(Record::new(Key::Learned, self.colocation.learned()));
        }
    }

    /// Drops the records of workflows that ended long ago.
    fn forget(&mut self, now: Time, records: &mut Vec<Record>) {
        let retention = self.limits.retention;
        let old = self.ended.iter().take_while(|(at, _)| now.since(*at) >= retention).count();
        for (_, id) in self.ended.drain(..old.min(FORGET_PER_APPEND)) {
            records.push(Record::drop(Key::Progress(id)));
            records.push(Record::drop(Key::Cancel(id)));
            records.push(Record::drop(Key::Submission(id)));
        }
    }

    /// Clients wait for records that go with the next append.
    pub fn clients_wait(&mut self) {
        self.clients_wait = true;
    }

    /// The append under way is in the store.
    pub fn on_recorded(&mut self, now: Time) {
        let Some(recording) = self.recording.take() else { return };
        self.proven = Some(self.recorded_at);
        self.upkeep.on_recorded(now, &recording.waves);
        for (id, number) in recording.ends {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.recorded = worker.recorded.max(number);
            }
        }
        for Listed { id, silent, leaving } in recording.roster {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.in_roster = true;
                worker.listed_silent = silent;
                worker.leaving = leaving;
            }
        }
        for id in recording.ended {
            self.flows.remove(&id);
            self.ended.push((now, id));
        }
    }
}
