//! Why tasks that wait aren't running, for the state dump.

use {
    super::{Need, Ready, Scheduler, place::has_room},
    crate::{StepId, TaskId},
    egretlb_types::Time,
    serde::Serialize,
    std::{fmt, time::Duration},
};

/// Why the next task of a step isn't running.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// This leader is new, and some workers that may still run its tasks haven't answered.
    SurveyUnderWay,
    /// The records are read too late to start anything.
    RecordsReadLate,
    /// As many starts as allowed are under way.
    StartsUnderWay,
    /// No worker of its service takes work.
    NoWorkers,
    /// No worker has room for it.
    NoRoom,
    /// Some worker has room, but none that its policy is known to allow.
    NoTicket,
    /// Workers have room, but the serving tasks there can't bear it.
    ServingTasks,
    /// It leaves the room to tasks that end soon.
    GivesWay,
    /// Nothing holds it up: it starts next.
    Next,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::SurveyUnderWay => {
                "workers that may still run it haven't answered the new leader"
            }
            Reason::RecordsReadLate => "the records are read too late",
            Reason::StartsUnderWay => "as many starts as allowed are under way",
            Reason::NoWorkers => "no worker of its service takes work",
            Reason::NoRoom => "no worker has room",
            Reason::NoTicket => "no worker with room is known to be allowed",
            Reason::ServingTasks => "serving tasks where there is room can't bear it",
            Reason::GivesWay => "it leaves the room to tasks that end soon",
            Reason::Next => "it starts next",
        })
    }
}

/// A step with tasks that wait.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingStep {
    /// The step.
    pub step: StepId,
    /// How many of its tasks wait.
    pub tasks: usize,
    /// How long some have.
    pub waited: Duration,
    /// Why the next one isn't running.
    pub reason: Reason,
}

impl Scheduler {
    /// The first `limit` steps with tasks that wait, in the order of the queue.
    pub fn waiting_steps(&mut self, now: Time, limit: usize) -> Vec<WaitingStep> {
        let keys: Vec<Ready> = self.ready.iter().take(limit).copied().collect();
        keys.into_iter().filter_map(|key| self.waiting_step(now, key)).collect()
    }

    fn waiting_step(&mut self, now: Time, key: Ready) -> Option<WaitingStep> {
        let Ready { workflow, occurrence, step: number, .. } = key;
        let tasks = self.queue_of(key)?.len();
        let reason = self.reason(now, key)?;
        let step = StepId { workflow, occurrence, step: number };
        Some(WaitingStep { step, tasks, waited: self.step_wait(now, key), reason })
    }

    fn reason(&mut self, now: Time, key: Ready) -> Option<Reason> {
        let flow = self.flows.get(&key.workflow)?;
        let service = flow.submission.service.clone();
        let step = flow.submission.workflow.steps.get(usize::from(key.step))?.clone();
        if flow.inherited && !self.unaccounted.is_empty() {
            return Some(Reason::SurveyUnderWay);
        }
        if self.behind {
            return Some(Reason::RecordsReadLate);
        }
        if !self.may_start() {
            return Some(Reason::StartsUnderWay);
        }
        if step.lasting && self.gives_way(now, key) {
            return Some(Reason::GivesWay);
        }
        let index = *self.queue_of(key)?.front()?;
        let task =
            TaskId { workflow: key.workflow, occurrence: key.occurrence, step: key.step, index };
        let need = Need::new(&step, &mut self.interference);
        let (mut any, mut room, mut allowed, mut borne) = (false, false, false, false);
        for (id, worker) in &self.workers {
            if worker.info.service != service || !worker.takes_work(now, &self.limits) {
                continue;
            }
            any = true;
            if has_room(worker, task, &need) && !self.is_held(id) {
                room = true;
                let known = self.allows(now, task, id);
                allowed |= known;
                borne |= known && self.disturbance(worker, &need).is_some();
            }
        }
        Some(match (any, room, allowed, borne) {
            (false, ..) => Reason::NoWorkers,
            (true, false, ..) => Reason::NoRoom,
            (true, true, false, _) => Reason::NoTicket,
            (true, true, true, false) => Reason::ServingTasks,
            (true, true, true, true) => Reason::Next,
        })
    }
}
