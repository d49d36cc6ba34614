//! Evacuated data centres, and workers that drain.
//!
//! The operator may evacuate a data centre: nothing is started on its workers until it is taken back. Runs there
//! continue. A draining worker gets no starts either, and runs that can go on elsewhere are moved off it.

use {
    super::{Attempt, Phase, Scheduler, Worker, waits::StopReason},
    crate::{Effect, RunId, TaskId, WorkerId, WorkerState},
    compact_str::CompactString,
    egretlb_types::Time,
    std::collections::BTreeSet,
};

impl Scheduler {
    /// Sets the data centres that are evacuated. Starts for their workers that aren't sent yet are withheld.
    pub fn set_evacuated(&mut self, data_centres: &BTreeSet<CompactString>) {
        if self.evacuated == *data_centres {
            return;
        }
        let previous = std::mem::replace(&mut self.evacuated, data_centres.clone());
        for (id, worker) in &mut self.workers {
            let evacuated = self.evacuated.contains(&worker.info.data_centre);
            if std::mem::replace(&mut worker.evacuated, evacuated) != evacuated {
                self.contacts.note(id);
            }
        }
        for data_centre in self.evacuated.difference(&previous) {
            let (workers, runs) = self.load_of(data_centre);
            log::info!(data_centre:%, workers, runs; "data_centre_evacuated");
        }
        for data_centre in previous.difference(&self.evacuated) {
            let (workers, runs) = self.load_of(data_centre);
            log::info!(data_centre:%, workers, runs; "evacuation_ended");
        }
    }

    /// Number of workers in a data centre, and of the runs there.
    fn load_of(&self, data_centre: &CompactString) -> (usize, usize) {
        let workers = self.workers.values().filter(|w| w.info.data_centre == *data_centre);
        workers.fold((0, 0), |(count, runs), worker| (count + 1, runs + worker.attempts.len()))
    }

    /// Stops movable tasks on draining workers, so that they restart elsewhere. A run that is still
    /// there when its worker leaves is lost, and that is detected only when its lease has lapsed.
    pub(super) fn move_off_draining_workers(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_movable =
            |attempt: &Attempt| attempt.movable && matches!(attempt.phase, Phase::Running { .. });
        let drains =
            |worker: &Worker| worker.info.state == WorkerState::Draining && worker.in_directory;
        let mut movable_by_worker: Vec<(WorkerId, Vec<(TaskId, RunId)>)> = Vec::new();
        for (id, worker) in self.workers.iter().filter(|(_, worker)| drains(worker)) {
            let movable = worker.attempts.iter().filter(|(_, attempt)| is_movable(attempt));
            let movable: Vec<(TaskId, RunId)> = movable.map(|(key, _)| *key).collect();
            if !movable.is_empty() {
                movable_by_worker.push((id.clone(), movable));
            }
        }
        for (id, movable) in movable_by_worker {
            log::info!(worker:% = id, runs = movable.len(); "worker_evacuated");
            let reason = StopReason::Evacuated;
            self.stop_runs(now, &id, reason, out, |task, run| movable.contains(&(task, run)));
        }
    }
}
