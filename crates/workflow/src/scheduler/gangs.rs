//! Gangs: tasks that work only together.
//!
//! Load: members that stand alone hold room and do nothing, and end after some seconds; a gang that is slower
//! across racks holds its room for half as long again, or three times as long. So all of a gang start at once
//! or none, in one rack if it matters.

use {
    super::{Attempt, Effect, Phase, Ready, Requirements, Scheduler, placement::has_capacity},
    crate::{RunId, Step, TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// A gang that is slower across racks waits so long for one with room for all of it; across racks it takes
/// half as long again and more.
const RACK_PATIENCE: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Places all members of a gang, or none: a member alone would hold room and do nothing.
    pub(super) fn place_gang(
        &mut self,
        now: Time,
        key: Ready,
        service: &CompactString,
        step: &Step,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(first) = self.front_task(key) else { return true };
        if self.was_started(key.task(first)) && !self.may_restart(now) {
            return false;
        }
        let waiting = self.queue_of(key).map_or(0, |queue| queue.len());
        // Members that still end are waited for: all have to start as one run.
        if waiting < step.count as usize {
            return false;
        }
        let mut need = Requirements::new(step, &mut self.colocation);
        let rack = step.rack_sensitive.then(|| self.roomy_rack(now, key.task(0), service, &need));
        need.rack = rack.as_ref().and_then(|rack| rack.as_deref());
        let patient = step.rack_sensitive && self.step_wait(now, key) < RACK_PATIENCE;
        if patient && need.rack.is_none() {
            return false;
        }
        let mut placed: Vec<(TaskId, WorkerId)> = Vec::with_capacity(waiting);
        for index in 0..step.count {
            let task = key.task(index);
            let Some(id) = self.choose_worker(now, task, service, &need, &mut None) else { break };
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.insert(task, RunId(0), Attempt::new(now, &need, Phase::Starting));
            }
            placed.push((task, id));
        }
        for (task, id) in &placed {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove(*task, RunId(0));
            }
        }
        if placed.len() < step.count as usize {
            self.queue_advice(key);
            return false;
        }
        let run = placed.iter().map(|(task, _)| self.next_run(*task)).max().unwrap_or_default();
        let first = placed[0].0;
        let saved = self.task_mut(first).map(|state| state.saved.clone()).unwrap_or_default();
        for (task, id) in placed {
            if let Some(state) = self.task_mut(task) {
                state.saved.clone_from(&saved);
            }
            self.start_attempt(now, task, &need, &id, Some(run), out);
        }
        if let Some(queue) = self.queue_of(key) {
            queue.clear();
        }
        true
    }

    /// The rack with the least room of those that hold all members of a gang.
    fn roomy_rack(
        &self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
    ) -> Option<CompactString> {
        let mut places: BTreeMap<&str, u32> = BTreeMap::new();
        for (id, worker) in &self.workers {
            let suits = worker.info.service == *service
                && worker.accepts_work(now, &self.limits)
                && !self.is_in_maintenance(id)
                && self.is_allowed(now, task, id)
                && has_capacity(worker, task, need);
            let Some(rack) = worker.info.rack().filter(|_| suits) else { continue };
            let fits = worker.free().times(&need.reserved);
            let most =
                if need.step.per_worker == 0 { fits } else { need.step.per_worker.min(fits) };
            let places = places.entry(rack).or_default();
            *places = places.saturating_add(most);
        }
        let holds = places.into_iter().filter(|(_, places)| *places >= need.step.count);
        holds.min_by_key(|(_, places)| *places).map(|(rack, _)| CompactString::new(rack))
    }
}
