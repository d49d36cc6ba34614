//! Records progress of workflows, the roster and the interference model in the store.

use {
    super::{Effect, Scheduler, Worker},
    crate::{
        Key, Limits, Record, RosterEntry, RosterPage, RosterState, WaveProgress, WorkerId,
        WorkflowId,
    },
    egretlb_types::Time,
    smallvec::SmallVec,
    std::time::Duration,
};

/// An append under way and what it confirms.
#[derive(Debug, Default)]
pub(super) struct PendingAppend {
    /// Per worker, the number up to which ends are recorded once the append succeeds.
    ends: Vec<(WorkerId, u64)>,
    roster: Vec<ListedWorker>,
    ended: Vec<WorkflowId>,
    waves: Vec<(u64, WaveProgress)>,
    /// Workflows with crashes or announced runs not recorded before.
    crashes: Vec<WorkflowId>,
}

impl PendingAppend {
    pub(super) fn has_crashes_of(&self, id: WorkflowId) -> bool {
        self.crashes.contains(&id)
    }
}

/// A worker as listed in the roster being written.
#[derive(Debug)]
struct ListedWorker {
    id: WorkerId,
    unresponsive: bool,
    draining: bool,
}

/// Maximum bytes of records in one append; far below the store's limit of 2 MB.
const MAX_APPEND_BYTES: usize = 512 * 1024;

/// Interval between records of the interference model; each takes some 2 KB for 15 images, and every process reads it.
const MODEL_RECORD_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum number of ended workflows, and of early cancellations, whose records are dropped in one append.
pub(super) const MAX_DROPPED_PER_APPEND: usize = 200;

/// Maximum number of records rewritten in one append; a submission takes a few KB.
const MAX_REWRITTEN_PER_APPEND: usize = 20;

impl Worker {
    /// Whether a successor must poll it: true for workers that a predecessor listed, that have
    /// answered this leader, or that replace such a worker under the same name. Nothing is started before the first answer. A directory entry may reappear
    /// long after its worker has gone; if the worker were listed, each successor would wait for its
    /// leases.
    pub(super) fn belongs_in_roster(&self) -> bool {
        self.in_roster || self.reconciled || self.replaces_listed
    }

    /// Whether it has listed ends that aren't recorded.
    fn has_unrecorded_ends(&self) -> bool {
        self.ends_processed > self.ends_recorded
    }

    /// Whether its responsiveness or draining state differs from what the roster says.
    pub(crate) fn differs_from_roster(&self, now: Time, limits: &Limits) -> bool {
        let responsiveness_changed =
            self.should_list_unresponsive(now, limits) != self.listed_unresponsive;
        self.in_roster && (responsiveness_changed || self.is_draining() != self.listed_draining)
    }
}

impl Scheduler {
    /// Whether there is anything to record.
    fn has_changes(&self, now: Time) -> bool {
        self.append_requested
            || self.last_acked_append.is_none()
            || (self.roster.is_dirty() && self.may_write_roster(now))
            || !self.records_to_rewrite.is_empty()
            || self.maintenance.is_dirty()
            || !self.dirty.is_empty()
            || self
                .workers
                .values()
                .any(|worker| worker.max_acknowledgeable_end() > worker.ends_recorded)
    }

    /// Starts an append of everything due, unless one is under way.
    pub(super) fn record(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.pending_append.is_some() {
            return;
        }
        let heartbeat_due = now.since(self.append_sent_at) >= self.limits.heartbeat;
        let due = self.has_changes(now) && now.since(self.append_sent_at) >= self.limits.record_gap;
        if !heartbeat_due && !due {
            return;
        }
        let mut append = PendingAppend::default();
        let mut records = Vec::new();
        let partial = self.record_progress(&mut append, &mut records);
        if !partial {
            append.ends = self
                .workers
                .iter()
                .filter(|(_, worker)| worker.max_acknowledgeable_end() > worker.ends_recorded)
                .map(|(id, worker)| (id.clone(), worker.max_acknowledgeable_end()))
                .collect();
        }
        append.waves = self.maintenance.take_dirty();
        for (number, progress) in &append.waves {
            records.push(Record::new(Key::Wave(*number), progress));
        }
        self.record_roster(now, partial, &mut append, &mut records);
        self.drop_old_records(now, &mut records);
        self.drop_early_cancellations(now, &mut records);
        self.record_model(now, &mut records);
        self.record_load(now, &mut records);
        let rewritten = self.records_to_rewrite.len().min(MAX_REWRITTEN_PER_APPEND);
        records.extend(self.records_to_rewrite.drain(..rewritten));
        self.append_requested = false;
        self.append_sent_at = now;
        self.pending_append = Some(append);
        out.push(Effect::Record { records });
    }

    /// Sends only a heartbeat, if one is due and no append is under way. For a leader whose
    /// authority has lapsed: it has had no contact with its workers, and a roster written now would
    /// list all of them as unresponsive.
    pub fn send_heartbeat(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.pending_append.is_some() || now.since(self.append_sent_at) < self.limits.heartbeat {
            return;
        }
        self.append_sent_at = now;
        self.pending_append = Some(PendingAppend::default());
        out.push(Effect::Record { records: Vec::new() });
    }

    /// Adds the progress of changed workflows to `records`. Returns whether some are left for the next append.
    fn record_progress(&mut self, append: &mut PendingAppend, records: &mut Vec<Record>) -> bool {
        let mut bytes = 0;
        while let Some(id) = self.dirty.pop_first() {
            append.crashes.extend(self.lost_workers.take_unrecorded_crash_state(id).then_some(id));
            let Some(active) = self.workflows.get(&id) else { continue };
            let record = Record::new(Key::Progress(id), &active.progress());
            if active.outcome.is_some() {
                append.ended.push(id);
            }
            bytes += record.size();
            records.push(record);
            if bytes >= MAX_APPEND_BYTES {
                return !self.dirty.is_empty();
            }
        }
        false
    }

    /// Adds the changed pages of the roster. If the progress in this append is `partial`, ends may be left out that workers
    /// have listed. Those workers are recorded without their runs, since a successor takes the missing ones for ended, and
    /// again with the next append.
    fn record_roster(
        &mut self,
        now: Time,
        partial: bool,
        append: &mut PendingAppend,
        records: &mut Vec<Record>,
    ) {
        if !self.may_write_roster(now) {
            return;
        }
        let mut bytes = 0;
        let mut incomplete = SmallVec::<[u32; 8]>::new();
        while bytes < MAX_APPEND_BYTES
            && let Some((number, members)) = self.roster.pop_dirty()
        {
            let has_unrecorded_ends =
                |id| self.workers.get(id).is_some_and(Worker::has_unrecorded_ends);
            if partial && members.iter().any(has_unrecorded_ends) {
                incomplete.push(number);
            }
            let record = self.record_roster_page(now, number, &members, partial, append);
            bytes += record.size();
            records.push(record);
        }
        incomplete.into_iter().for_each(|page| self.roster.mark_dirty(page));
    }

    fn record_roster_page(
        &mut self,
        now: Time,
        number: u32,
        members: &[WorkerId],
        partial: bool,
        append: &mut PendingAppend,
    ) -> Record {
        let mut entries = Vec::with_capacity(members.len());
        for id in members {
            let Some(worker) = self.workers.get(id) else { continue };
            let ends_recorded = !(partial && worker.has_unrecorded_ends());
            let state = self.roster_state(now, worker, ends_recorded);
            entries.push(RosterEntry { id: id.clone(), addr: worker.info.addr, state });
        }
        for entry in &entries {
            let Some(worker) = self.workers.get_mut(&entry.id) else { continue };
            let unresponsive = matches!(
                entry.state,
                RosterState::Unresponsive { .. } | RosterState::Unreconciled { .. }
            );
            // Takes effect now, since the record may be read before it is confirmed.
            worker.listed_unresponsive |= unresponsive;
            let draining = matches!(entry.state, RosterState::Draining { .. });
            worker.listed_draining |= draining;
            worker.listed_runs = match &entry.state {
                RosterState::Unresponsive { runs, .. } | RosterState::Draining { runs } => {
                    runs.len()
                }
                RosterState::Open | RosterState::Unreconciled { .. } => 0,
            };
            append.roster.push(ListedWorker { id: entry.id.clone(), unresponsive, draining });
        }
        Record::new(Key::Roster(number), &RosterPage { epoch: self.epoch, entries })
    }

    /// Adds the interference model if it has changed, at most once per [`MODEL_RECORD_INTERVAL`].
    fn record_model(&mut self, now: Time, records: &mut Vec<Record>) {
        if self.model_dirty && now.since(self.model_recorded_at) >= MODEL_RECORD_INTERVAL {
            self.model_dirty = false;
            self.model_recorded_at = now;
            records.push(Record::new(Key::InterferenceModel, self.colocation.model()));
        }
    }

    /// Drops records of workflows that ended longer ago than the retention.
    fn drop_old_records(&mut self, now: Time, records: &mut Vec<Record>) {
        let retention = self.limits.retention;
        let old = self.ended.iter().take_while(|(at, _)| now.since(*at) >= retention).count();
        for (_, id) in self.ended.drain(..old.min(MAX_DROPPED_PER_APPEND)) {
            records.push(Record::tombstone(Key::Progress(id)));
            records.push(Record::tombstone(Key::Cancel(id)));
            records.push(Record::tombstone(Key::Submission(id)));
        }
    }

    /// Requests an append soon, since clients wait for records that go with it.
    pub fn request_append(&mut self) {
        self.append_requested = true;
    }

    /// Handles the success of the append under way.
    pub fn on_recorded(&mut self, now: Time) {
        let Some(append) = self.pending_append.take() else { return };
        self.last_acked_append = Some(self.append_sent_at);
        self.maintenance.on_recorded(now, &append.waves);
        for (id, number) in append.ends {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.ends_recorded = worker.ends_recorded.max(number);
                if worker.lists_ends_in_part() {
                    worker.next_poll_at = now;
                }
            }
        }
        for ListedWorker { id, unresponsive, draining } in append.roster {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.in_roster = true;
                worker.listed_unresponsive = unresponsive;
                worker.listed_draining = draining;
            }
        }
        for id in append.ended {
            self.workflows.remove(&id);
            self.ended.push((now, id));
        }
    }
}
