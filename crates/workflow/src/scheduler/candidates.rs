//! Candidate workers for the tasks of one step, best first.
//!
//! Scanning all workers for each task would be too expensive: steps have dozens of tasks, and there are thousands of
//! starts each second on hundreds of workers. A start only changes its own worker, so the other workers are
//! scanned once for all tasks of a step that are placed together. If none qualifies, only workers that have more to
//! offer since are scanned again, and all workers after [`FULL_SCAN_INTERVAL`].

use {
    super::{
        Requirements, Scheduler, Worker,
        active_workflow::{LastSearch, StepState},
        placement::{Fitness, meets_requirements},
    },
    crate::{Step, TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::{Resources, Time},
    smallvec::SmallVec,
    std::{
        cmp::Reverse,
        collections::{BTreeSet, BinaryHeap, VecDeque},
        iter,
        sync::Arc,
        time::Duration,
    },
};

/// Interval of full scans: a worker can also become eligible without a poll or change, such as by the end of its
/// quarantine.
const FULL_SCAN_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of contacts kept; large fleets have over a thousand within [`FULL_SCAN_INTERVAL`].
const MAX_CONTACTS: usize = 2_048;

/// Demands of running best-effort tasks that recently fit no other worker, so that they aren't moved. Cached, since
/// hundreds of throttled tasks may search on each reply of their worker.
#[derive(Debug, Default)]
pub(super) struct FailedSearches {
    demands: Vec<(Time, CompactString, Step)>,
}

impl FailedSearches {
    /// Whether an equal or smaller demand for the same image recently fit no worker.
    pub(super) fn contains(&mut self, now: Time, service: &CompactString, step: &Step) -> bool {
        self.demands.retain(|(at, ..)| now.since(*at) < FULL_SCAN_INTERVAL);
        self.demands.iter().any(|(_, other_service, failed_step)| {
            other_service == service
                && failed_step.image == step.image
                && failed_step.label == step.label
                && failed_step.resources.fits(&step.resources)
        })
    }

    /// Adds a demand that fit no other worker.
    pub(super) fn note(&mut self, now: Time, service: CompactString, step: &Step) {
        self.demands.push((now, service, step.clone()));
    }
}

/// What a worker has to offer to waiting tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer {
    accepts_work: bool,
    free: Resources,
    /// CPU for best-effort tasks, in millicores; none while a latency-critical task exceeds its target.
    best_effort_cpu: Option<i64>,
}

impl Offer {
    /// Whether a task may fit now that didn't fit `earlier`.
    fn exceeds(&self, earlier: &Offer) -> bool {
        self.accepts_work
            && (!earlier.accepts_work
                || !self.free.fits(&earlier.free)
                || self.best_effort_cpu > earlier.best_effort_cpu)
    }
}

/// The workers that most recently had more to offer than before, or whose entries changed, in order. Most polls of a busy
/// worker change nothing.
#[derive(Debug, Default)]
pub(super) struct ContactLog {
    ids: VecDeque<WorkerId>,
    /// Number of entries dropped from the front.
    dropped: u64,
}

impl ContactLog {
    /// Adds a worker.
    pub(super) fn note(&mut self, id: &WorkerId) {
        self.ids.push_back(id.clone());
        if self.ids.len() > MAX_CONTACTS {
            self.ids.pop_front();
            self.dropped += 1;
        }
    }

    /// Number of contacts so far.
    fn count(&self) -> u64 {
        self.dropped + self.ids.len() as u64
    }

    /// The workers contacted since `count`; none if those entries were dropped.
    fn since(&self, count: u64) -> Option<impl Iterator<Item = &WorkerId>> {
        let skipped = usize::try_from(count.checked_sub(self.dropped)?).ok()?;
        Some(self.ids.iter().skip(skipped))
    }
}

/// The workers with free capacity, as collected during a placement pass, by service and by the contact from which on the
/// searches look. With a long queue, hundreds of steps search the same workers in each pass. Starts only reduce what is
/// free, so a list remains complete until the end of the pass.
#[derive(Debug, Default)]
pub(super) struct PassCache {
    active: bool,
    found: SmallVec<[Arc<AvailableWorkers>; 4]>,
}

impl PassCache {
    /// Begins a pass.
    pub(super) fn begin(&mut self) {
        self.active = true;
        self.found.clear();
    }

    /// Ends the pass: from now on workers may gain capacity.
    pub(super) fn end(&mut self) {
        self.active = false;
        self.found.clear();
    }

    fn get(&self, service: &CompactString, since: Option<u64>) -> Option<Arc<AvailableWorkers>> {
        self.found
            .iter()
            .find(|found| found.since == since && found.service == *service)
            .map(Arc::clone)
    }

    fn add(&mut self, workers: &Arc<AvailableWorkers>) {
        if self.active {
            self.found.push(Arc::clone(workers));
        }
    }
}

/// Workers of a service that accept work and have free capacity.
#[derive(Debug)]
struct AvailableWorkers {
    service: CompactString,
    /// Only workers contacted since this contact number are included; all if none.
    since: Option<u64>,
    ids: Vec<WorkerId>,
    /// In each dimension, the most that is free on one of them.
    max_free: Resources,
    /// The most CPU that best-effort tasks can get on one of them, in millicores.
    max_best_effort_cpu: i64,
}

impl AvailableWorkers {
    fn new(service: CompactString, since: Option<u64>) -> AvailableWorkers {
        AvailableWorkers {
            service,
            since,
            ids: Vec::new(),
            max_free: Resources::default(),
            max_best_effort_cpu: 0,
        }
    }

    fn add(&mut self, id: &WorkerId, worker: &Worker) {
        let (free, best_effort_cpu) = (worker.free(), worker.free_best_effort_cpu());
        if free == Resources::default() && best_effort_cpu <= 0 {
            return;
        }
        self.ids.push(id.clone());
        self.max_free = self.max_free.max(&free);
        self.max_best_effort_cpu = self.max_best_effort_cpu.max(best_effort_cpu);
    }

    /// Whether a task certainly fits none of them.
    fn all_too_small(&self, requirements: &Requirements<'_>) -> bool {
        let Step { best_effort, resources, .. } = *requirements.step;
        !requirements.reserved.fits(&self.max_free)
            || (best_effort && self.max_best_effort_cpu < i64::from(resources.cpu.0))
    }
}

/// A worker that can take a task; ties are broken by the lowest id.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Candidate {
    fitness: Fitness,
    id: Reverse<WorkerId>,
}

/// The workers that can take a task of a step.
#[derive(Debug)]
pub(super) struct Candidates {
    best_first: BinaryHeap<Candidate>,
    /// The worker removed last.
    last_popped: Option<WorkerId>,
}

impl Candidates {
    /// Removes and returns the best worker other than `avoided`.
    pub(super) fn pop_best(&mut self, avoided: Option<&WorkerId>) -> Option<WorkerId> {
        let best = self.best_first.pop()?;
        self.last_popped = if avoided == Some(&best.id.0) {
            let second = self.best_first.pop();
            self.best_first.push(best);
            second.map(|candidate| candidate.id.0)
        } else {
            Some(best.id.0)
        };
        self.last_popped.clone()
    }

    /// Removes a worker whose state has changed, unless it was the one removed last.
    fn remove(&mut self, id: &WorkerId) {
        if self.last_popped.take().as_ref() != Some(id) {
            self.best_first.retain(|candidate| candidate.id.0 != *id);
        }
    }
}

impl Scheduler {
    /// What a worker has to offer now; none if it is unknown.
    pub(super) fn offer(&self, now: Time, id: &WorkerId) -> Option<Offer> {
        let worker = self.workers.get(id)?;
        Some(Offer {
            accepts_work: worker.accepts_work(now, &self.limits),
            free: worker.free(),
            best_effort_cpu: (!worker.over_target).then(|| worker.free_best_effort_cpu()),
        })
    }

    /// Adds a worker to the contacts if it has more to offer than `earlier`, before a result from it was processed.
    pub(super) fn note_gain(&mut self, now: Time, id: &WorkerId, earlier: Option<Offer>) {
        let Some(offer) = self.offer(now, id) else { return };
        if earlier.is_none_or(|earlier| offer.exceeds(&earlier)) {
            self.contacts.note(id);
        }
    }

    /// Collects the workers that can take `task`, and thus the other waiting tasks of its step.
    pub(super) fn candidates(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> Candidates {
        let contacts = self.contacts.count();
        let last_search = self
            .last_search(task)
            .filter(|last_search| now.since(last_search.at) < FULL_SCAN_INTERVAL);
        let since = last_search
            .map(|last_search| last_search.contacts)
            .filter(|since| self.contacts.since(*since).is_some());
        let cached = self.pass_cache.get(service, since);
        let from_cache = cached.is_some();
        let available =
            cached.unwrap_or_else(|| self.collect_available_workers(now, service, since));
        let candidates = if available.all_too_small(requirements) {
            Vec::new()
        } else {
            // Newly collected ones have been counted already.
            self.stats.workers_scanned += if from_cache { available.ids.len() as u64 } else { 0 };
            let workers = available.ids.iter().filter_map(|id| self.workers.get_key_value(id));
            self.candidates_among(now, task, service, requirements, workers)
        };
        let at = last_search.filter(|_| since.is_some()).map_or(now, |last_search| last_search.at);
        self.set_last_search(task, candidates.is_empty().then_some(LastSearch { at, contacts }));
        Candidates { best_first: candidates.into(), last_popped: None }
    }

    /// The workers of a service with free capacity that were contacted since contact number `since`, or all.
    fn collect_available_workers(
        &mut self,
        now: Time,
        service: &CompactString,
        since: Option<u64>,
    ) -> Arc<AvailableWorkers> {
        let mut available = AvailableWorkers::new(service.clone(), since);
        let mut scanned = 0;
        let mut add = |(id, worker): (&WorkerId, &Worker)| {
            scanned += 1;
            if worker.info.service == *service && worker.accepts_work(now, &self.limits) {
                available.add(id, worker);
            }
        };
        match since.and_then(|since| self.contacts.since(since)) {
            Some(ids) => {
                let ids: BTreeSet<&WorkerId> = ids.collect();
                ids.into_iter().filter_map(|id| self.workers.get_key_value(id)).for_each(&mut add);
            }
            None => self.workers.iter().for_each(&mut add),
        }
        self.stats.workers_scanned += scanned;
        let available = Arc::new(available);
        self.pass_cache.add(&available);
        available
    }

    fn candidates_among<'a>(
        &self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
        workers: impl Iterator<Item = (&'a WorkerId, &'a Worker)>,
    ) -> Vec<Candidate> {
        let needs_ticket = self.advice_terms(task.step_id()).is_some();
        let candidate = |(id, worker): (&WorkerId, &Worker)| {
            // Free capacity is checked first, since most workers are full.
            let eligible = meets_requirements(worker, task, requirements)
                && worker.accepts_work(now, &self.limits);
            let eligible = eligible && (!needs_ticket || self.is_allowed(now, task, id));
            let fitness = eligible
                .then(|| self.eligible_fitness(now, (id, worker), task, service, requirements))??;
            Some(Candidate { fitness, id: Reverse(id.clone()) })
        };
        workers.filter_map(candidate).collect()
    }

    pub(super) fn step_state(&mut self, task: TaskId) -> Option<&mut StepState> {
        let workflow = self.workflows.get_mut(&task.workflow)?;
        let occurrence = workflow.occurrences.get_mut(&task.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.step))
    }

    fn last_search(&mut self, task: TaskId) -> Option<LastSearch> {
        self.step_state(task)?.last_search
    }

    fn set_last_search(&mut self, task: TaskId, last_search: Option<LastSearch>) {
        if let Some(step) = self.step_state(task) {
            step.last_search = last_search;
        }
    }

    /// Adds a worker again if it still qualifies after a start there.
    pub(super) fn update_candidate(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
        id: WorkerId,
        candidates: &mut Candidates,
    ) {
        self.stats.workers_scanned += 1;
        candidates.remove(&id);
        let Some(worker) = self.workers.get(&id) else { return };
        let candidate =
            self.candidates_among(now, task, service, requirements, iter::once((&id, worker)));
        candidates.best_first.extend(candidate);
    }

    /// Fitness of a worker with free capacity for a task; none if it doesn't qualify. Doesn't check tickets.
    pub(super) fn eligible_fitness(
        &self,
        now: Time,
        (id, worker): (&WorkerId, &Worker),
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> Option<Fitness> {
        let eligible = worker.info.service == *service && !self.is_in_maintenance(id);
        if eligible { self.fitness(now, worker, task, requirements) } else { None }
    }
}
