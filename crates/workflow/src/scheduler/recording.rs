//! What is recorded in the store: progress of workflows, the roster.

use {
    super::{Effect, Scheduler},
    crate::{Closed, Key, Record, RosterEntry, WaveProgress, WorkerId, WorkflowId},
    egretlb_types::Time,
    std::time::Duration,
};

/// An append under way and what it settles.
#[derive(Debug, Default)]
pub(super) struct Recording {
    /// Ends up to here are recorded once it is done.
    ends: Vec<(WorkerId, u64)>,
    roster: Vec<(WorkerId, bool)>,
    ended: Vec<WorkflowId>,
    waves: Vec<(u64, WaveProgress)>,
}

/// The most bytes of records in one append; far below the store's bound of 2 MB.
const RECORD_BYTES: usize = 512 * 1024;

/// How often what was learned is recorded. It takes some 2 KB for 15 images, and every process reads it;
/// what a successor lacks are the last seconds.
const LEARNED_GAP: Duration = Duration::from_secs(3);

/// The most old workflows forgotten in one append.
const FORGET_PER_APPEND: usize = 200;

impl Scheduler {
    /// Whether the next append has something to say.
    fn has_news(&self) -> bool {
        self.clients_wait
            || self.proven.is_none()
            || self.roster_dirty
            || self.upkeep.has_news()
            || !self.dirty.is_empty()
            || self.workers.values().any(|worker| worker.taken > worker.recorded)
    }

    /// Sends what is to be recorded, if no append is under way.
    pub(super) fn record(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.recording.is_some() {
            return;
        }
        let beat = now.since(self.recorded_at) >= self.limits.heartbeat;
        let due = self.has_news() && now.since(self.recorded_at) >= self.limits.record_gap;
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
                .filter(|(_, worker)| worker.taken > worker.recorded)
                .map(|(id, worker)| (id.clone(), worker.taken))
                .collect();
        }
        recording.waves = self.upkeep.take_dirty();
        for (number, progress) in &recording.waves {
            records.push(Record::new(Key::Wave(*number), progress));
        }
        self.record_roster(now, &mut recording, &mut records);
        self.forget(now, &mut records);
        self.record_learned(now, &mut records);
        self.clients_wait = false;
        self.recorded_at = now;
        self.recording = Some(recording);
        out.push(Effect::Record { records });
    }

    /// Adds the progress of changed workflows; returns whether some are left for the next append.
    fn record_progress(&mut self, recording: &mut Recording, records: &mut Vec<Record>) -> bool {
        let mut bytes = 0;
        while let Some(id) = self.dirty.pop_first() {
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
        if !std::mem::take(&mut self.roster_dirty) {
            return;
        }
        let mut roster = Vec::with_capacity(self.workers.len());
        for (id, worker) in &mut self.workers {
            let silent = worker.lists_silent(now, &self.limits);
            let leaves = worker.leaves();
            // From here on nothing is started there, since the record may be read before it is confirmed.
            worker.listed_silent |= silent;
            worker.leaving |= leaves;
            let runs = || worker.copies.keys().copied().collect();
            let closed = (silent || leaves).then(|| Closed { runs: runs(), renewed: !silent });
            worker.listed_runs = closed.as_ref().map_or(0, |closed| closed.runs.len());
            recording.roster.push((id.clone(), silent));
            roster.push(RosterEntry { id: id.clone(), addr: worker.info.addr, closed });
        }
        records.push(Record::new(Key::Roster, &roster));
    }

    /// Adds what was learned of images, from time to time.
    fn record_learned(&mut self, now: Time, records: &mut Vec<Record>) {
        if self.learned_news && now.since(self.learned_at) >= LEARNED_GAP {
            self.learned_news = false;
            self.learned_at = now;
            records.push(Record::new(Key::Learned, &self.interference));
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
        for (id, silent) in recording.roster {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.in_roster = true;
                worker.listed_silent = silent;
            }
        }
        for id in recording.ended {
            self.flows.remove(&id);
            self.ended.push((now, id));
        }
    }
}
