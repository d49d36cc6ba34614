//! Gang scheduling: tasks that only make progress while all of them run.
//!
//! A partially started gang would hold capacity without progress, so all members start at once or none. A gang
//! that is slower across racks preferably runs in one rack.

use {
    super::{
        Attempt, Effect, Phase, QueuedStep, Requirements, Scheduler, placement::meets_requirements,
    },
    crate::{RunId, Step, TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// How long a rack-sensitive gang waits for a rack that fits all its members. Across racks it takes half as long again
/// or more.
const RACK_WAIT: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Places all members of a gang, or none. Returns whether the step has no waiting tasks left.
    pub(super) fn place_gang(
        &mut self,
        now: Time,
        key: QueuedStep,
        service: &CompactString,
        step: &Step,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(front_task) = self.front_task(key) else { return true };
        if self.was_started(key.task(front_task)) && !self.may_restart(now) {
            return false;
        }
        let waiting = self.queue_of(key).map_or(0, |queue| queue.len());
        // All members start with the same run number, so this waits until all of them are queued.
        if waiting < step.count as usize {
            return false;
        }
        let mut requirements = Requirements::new(step, &mut self.colocation);
        let rack = step
            .rack_sensitive
            .then(|| self.tightest_rack(now, key.task(0), service, &requirements));
        requirements.rack = rack.as_ref().and_then(|rack| rack.as_deref());
        let wait_for_rack = step.rack_sensitive && self.step_wait(now, key) < RACK_WAIT;
        if wait_for_rack && requirements.rack.is_none() {
            return false;
        }
        // Each member occupies its worker under run 0 while the others are placed.
        let mut placed: Vec<(TaskId, WorkerId)> = Vec::with_capacity(waiting);
        for index in 0..step.count {
            let task = key.task(index);
            let Some(id) = self.choose_worker(now, task, service, &requirements, &mut None) else {
                break;
            };
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.insert(task, RunId(0), Attempt::new(now, &requirements, Phase::Starting));
            }
            placed.push((task, id));
        }
        for (task, id) in &placed {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove(*task, RunId(0));
            }
        }
        if placed.len() < step.count as usize {
            self.queue_ticket_query(key);
            return false;
        }
        let run = placed.iter().map(|(task, _)| self.next_run(*task)).max().unwrap_or_default();
        let first_task = placed[0].0;
        let saved = self.task_mut(first_task).map(|state| state.saved.clone()).unwrap_or_default();
        for (task, id) in placed {
            if let Some(state) = self.task_mut(task) {
                state.saved.clone_from(&saved);
            }
            self.start_attempt(now, task, &requirements, &id, Some(run), out);
        }
        if let Some(queue) = self.queue_of(key) {
            queue.clear();
        }
        true
    }

    /// The rack with the least free capacity that fits all members of a gang.
    fn tightest_rack(
        &self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> Option<CompactString> {
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for (id, worker) in &self.workers {
            let eligible = worker.info.service == *service
                && worker.accepts_work(now, &self.limits)
                && !self.is_in_maintenance(id)
                && self.is_allowed(now, task, id)
                && meets_requirements(worker, task, requirements);
            let Some(rack) = worker.info.rack().filter(|_| eligible) else { continue };
            let fits = worker.free().times(&requirements.reserved);
            let worker_slots = if requirements.step.per_worker == 0 {
                fits
            } else {
                requirements.step.per_worker.min(fits)
            };
            let slots = slots.entry(rack).or_default();
            *slots = slots.saturating_add(worker_slots);
        }
        let fitting_racks =
            slots.into_iter().filter(|(_, slots)| *slots >= requirements.step.count);
        fitting_racks.min_by_key(|(_, slots)| *slots).map(|(rack, _)| CompactString::new(rack))
    }
}
