//! The workers that can take tasks of one step, best first.
//!
//! Load: steps of dozens of tasks, thousands of starts a second, hundreds of workers. Looking at each worker for each
//! task took more of the leader's processor than anything else. What one start changes is its own worker, so the
//! others are looked at once for all tasks of a step that are placed together. Where none has a place, only workers
//! that have been heard of since are looked at again, and all of them from time to time.

use {
    super::{
        Requirements, Scheduler, Worker,
        active_workflow::{Searched, StepState},
        placement::{Fitness, has_capacity},
    },
    crate::{Step, TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        iter,
        time::Duration,
    },
};

/// After this long all workers are looked at again: what isn't heard of any worker, such as the end of a quarantine
/// or new knowledge of images, may open a place.
const SEARCH_AGAIN: Duration = Duration::from_millis(300);

/// The most workers heard of that are remembered; more than a thousand are heard in [`SEARCH_AGAIN`] on the largest
/// fleets.
const MAX_UPDATES: usize = 2_048;

/// What fillers that run found no other place lately. Hundreds of them may be slowed down at once, and each asks with
/// each answer of its worker.
#[derive(Debug, Default)]
pub(super) struct UnplaceableDemands {
    demands: Vec<(Time, CompactString, Step)>,
}

impl UnplaceableDemands {
    /// Whether a step of the same image that asks for no more found no place lately.
    pub(super) fn contains(&mut self, now: Time, service: &CompactString, step: &Step) -> bool {
        self.demands.retain(|(at, ..)| now.since(*at) < SEARCH_AGAIN);
        self.demands.iter().any(|(_, of, known)| {
            of == service
                && known.image == step.image
                && known.label == step.label
                && known.resources.fits(&step.resources)
        })
    }

    pub(super) fn note(&mut self, now: Time, service: CompactString, step: &Step) {
        self.demands.push((now, service, step.clone()));
    }
}

/// The workers of which something was heard lately, in order.
#[derive(Debug, Default)]
pub(super) struct UpdatedWorkers {
    ids: VecDeque<WorkerId>,
    /// How many were forgotten.
    forgotten: u64,
}

impl UpdatedWorkers {
    pub(super) fn note(&mut self, id: &WorkerId) {
        self.ids.push_back(id.clone());
        if self.ids.len() > MAX_UPDATES {
            self.ids.pop_front();
            self.forgotten += 1;
        }
    }

    /// How many times workers were heard of.
    fn count(&self) -> u64 {
        self.forgotten + self.ids.len() as u64
    }

    /// The workers heard of since `count`; none if that isn't remembered any more.
    fn since(&self, count: u64) -> Option<impl Iterator<Item = &WorkerId>> {
        let known = usize::try_from(count.checked_sub(self.forgotten)?).ok()?;
        Some(self.ids.iter().skip(known))
    }
}

/// A worker that can take a task; among equally good ones the first by its id.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Candidate {
    fitness: Fitness,
    id: Reverse<WorkerId>,
}

/// The workers that can take a task of a step.
#[derive(Debug)]
pub(super) struct Candidates {
    best_first: BinaryHeap<Candidate>,
    /// The worker that was last taken out.
    taken: Option<WorkerId>,
}

impl Candidates {
    /// Takes out the best worker, but not `avoided`.
    pub(super) fn pop_best(&mut self, avoided: Option<&WorkerId>) -> Option<WorkerId> {
        let best = self.best_first.pop()?;
        self.taken = if avoided == Some(&best.id.0) {
            let second = self.best_first.pop();
            self.best_first.push(best);
            second.map(|place| place.id.0)
        } else {
            Some(best.id.0)
        };
        self.taken.clone()
    }

    /// Forgets a worker that was chosen in another way: it isn't what it was.
    fn remove(&mut self, id: &WorkerId) {
        if self.taken.take().as_ref() != Some(id) {
            self.best_first.retain(|place| place.id.0 != *id);
        }
    }
}

impl Scheduler {
    /// The workers that can take `task`, and with it the other tasks of its step that wait.
    pub(super) fn candidates(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
    ) -> Candidates {
        let contacts = self.contacts.count();
        let last = self.searched(task).filter(|last| now.since(last.at) < SEARCH_AGAIN);
        let lately = last.and_then(|last| self.heard_since(last.contacts));
        let (found, scanned) = match &lately {
            Some(ids) => {
                let workers = ids.iter().filter_map(|id| self.workers.get_key_value(id));
                (self.candidates_among(now, task, service, need, workers), ids.len())
            }
            None => {
                let workers = self.workers.iter();
                (self.candidates_among(now, task, service, need, workers), self.workers.len())
            }
        };
        self.stats.workers_scanned += scanned as u64;
        let at = last.filter(|_| lately.is_some()).map_or(now, |last| last.at);
        self.note_searched(task, found.is_empty().then_some(Searched { at, contacts }));
        Candidates { best_first: found.into(), taken: None }
    }

    /// The workers of which something was heard since the count was `count`, if that is remembered.
    fn heard_since(&self, count: u64) -> Option<Vec<WorkerId>> {
        let mut ids: Vec<WorkerId> = self.contacts.since(count)?.cloned().collect();
        ids.sort_unstable();
        ids.dedup();
        Some(ids)
    }

    fn candidates_among<'a>(
        &self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
        workers: impl Iterator<Item = (&'a WorkerId, &'a Worker)>,
    ) -> Vec<Candidate> {
        let advised = self.needs_ticket(task.step_id()).is_some();
        let place = |(id, worker): (&WorkerId, &Worker)| {
            // Most workers are full, so their room is asked for first.
            let takes = has_capacity(worker, task, need) && worker.accepts_work(now, &self.limits);
            let takes = takes && (!advised || self.is_allowed(now, task, id));
            let fitness =
                takes.then(|| self.eligible_fitness(now, (id, worker), task, service, need))??;
            Some(Candidate { fitness, id: Reverse(id.clone()) })
        };
        workers.filter_map(place).collect()
    }

    fn step_state(&mut self, task: TaskId) -> Option<&mut StepState> {
        let flow = self.workflows.get_mut(&task.workflow)?;
        let occurrence = flow.occurrences.get_mut(&task.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.step))
    }

    fn searched(&mut self, task: TaskId) -> Option<Searched> {
        self.step_state(task)?.searched
    }

    fn note_searched(&mut self, task: TaskId, searched: Option<Searched>) {
        if let Some(step) = self.step_state(task) {
            step.searched = searched;
        }
    }

    /// Puts a worker back that was taken out, as it is after a start there.
    pub(super) fn update_candidate(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
        id: WorkerId,
        places: &mut Candidates,
    ) {
        self.stats.workers_scanned += 1;
        places.remove(&id);
        let Some(worker) = self.workers.get(&id) else { return };
        let place = self.candidates_among(now, task, service, need, iter::once((&id, worker)));
        places.best_first.extend(place);
    }

    /// How well a worker with room suits a task; none if it can't take it. Whether it has a ticket for the task
    /// isn't asked here.
    pub(super) fn eligible_fitness(
        &self,
        now: Time,
        (id, worker): (&WorkerId, &Worker),
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
    ) -> Option<Fitness> {
        let suits = worker.info.service == *service && !self.is_in_maintenance(id);
        if suits { self.fitness(now, worker, task, need) } else { None }
    }
}
