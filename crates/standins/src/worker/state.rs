//! State of a worker's tasks, without I/O.

use {
    crate::worker::{
        Command, Refusal, WorkerEvent, WorkerEventKind, WorkerFaults,
        running::{Running, checkpoint_progress},
    },
    compact_str::CompactString,
    egretlb_types::{
        ClassName, Fence, Resources, TaskId, Time, VmId,
        worker::{
            EndedTask, RenewAnswer, RenewLeases, RunningTask, StartAnswer, StartTask, StopAnswer,
            StopTask, TaskEnd, TaskFence, ThrottleTask, WorkerReport,
        },
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// Settings of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The VM.
    pub vm: VmId,
    /// The VM's capacity.
    pub capacity: Resources,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Lag of the measurements in its reports.
    pub report_lag: Duration,
    /// How long ended tasks are reported.
    pub keep_ended: Duration,
    /// Default service time of a request.
    pub service_time: Duration,
    /// Seed for the random failures of tasks.
    pub seed: u64,
}

impl WorkerSettings {
    /// Settings with default values.
    pub fn new(vm: VmId, capacity: Resources) -> Self {
        WorkerSettings {
            vm,
            capacity,
            slots: 8,
            report_lag: Duration::ZERO,
            keep_ended: Duration::from_secs(120),
            service_time: Duration::from_millis(5),
            seed: 1,
        }
    }
}

/// A worker's state. Times passed to its methods must not decrease.
#[derive(Debug)]
pub struct WorkerState {
    settings: WorkerSettings,
    faults: WorkerFaults,
    rng: SmallRng,
    running: BTreeMap<TaskId, Running>,
    ended: Vec<(Time, EndedTask)>,
    /// The highest fence of each task; starts with lower fences are refused.
    fences: BTreeMap<TaskId, Fence>,
    /// All starts so far.
    started: BTreeSet<TaskFence>,
    /// Checkpoint of each stop, for the answer to a repeated stop.
    stopped: BTreeMap<TaskFence, Option<CompactString>>,
    reports: VecDeque<(Time, WorkerReport)>,
    history: Vec<WorkerEvent>,
}

impl WorkerState {
    /// Creates a worker without tasks.
    pub fn new(settings: WorkerSettings) -> Self {
        WorkerState {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            faults: WorkerFaults::default(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            fences: BTreeMap::new(),
            started: BTreeSet::new(),
            stopped: BTreeMap::new(),
            reports: VecDeque::new(),
            history: Vec::new(),
        }
    }

    /// Returns the worker's settings.
    pub fn settings(&self) -> &WorkerSettings {
        &self.settings
    }

    /// The faults in force.
    pub fn faults(&mut self) -> &mut WorkerFaults {
        &mut self.faults
    }

    /// Replaces the faults in force.
    pub fn set_faults(&mut self, now: Time, faults: WorkerFaults) {
        self.advance(now);
        if faults.dead && !self.faults.dead {
            self.record(now, WorkerEventKind::Died);
            self.running.clear();
            self.ended.clear();
            self.fences.clear();
            self.started.clear();
            self.stopped.clear();
            self.reports.clear();
        }
        if faults.leaving && !self.faults.leaving {
            self.record(now, WorkerEventKind::Leaving);
        }
        self.faults = faults;
    }

    /// Returns the events so far.
    pub fn history(&self) -> &[WorkerEvent] {
        &self.history
    }

    /// Ends all tasks that are due by `now`, each at its own time.
    pub fn advance(&mut self, now: Time) {
        let slowdown = self.faults.slowdown_permille;
        loop {
            let ends = self.running.iter().map(|(task, run)| (run.end(slowdown), task));
            let first = ends.filter(|((at, _), _)| *at <= now).min_by_key(|((at, _), _)| *at);
            let Some(((at, end), task)) = first else { break };
            let task = task.clone();
            self.end_task(at, &task, end);
        }
        for run in self.running.values_mut() {
            run.update_progress(now, slowdown);
        }
        let keep = self.settings.keep_ended;
        self.ended.retain(|(at, _)| now.since(*at) <= keep);
    }

    /// Starts a task under a lease.
    pub fn start(&mut self, now: Time, start: StartTask) -> StartAnswer {
        self.advance(now);
        let of = TaskFence { task: start.task.clone(), fence: start.fence };
        let highest_fence = self.fences.get(&start.task).copied().unwrap_or_default();
        if let Some(answer) = self.answer_to_repeated_start(&of, highest_fence) {
            return answer;
        }
        if start.fence <= highest_fence {
            self.record(now, WorkerEventKind::Refused { of, why: Refusal::Stale });
            return StartAnswer::StaleFence;
        }
        if self.faults.leaving || self.faults.refuse {
            self.record(now, WorkerEventKind::Refused { of, why: Refusal::Unwilling });
            return StartAnswer::Refused;
        }
        if !self.has_free_capacity(&start) {
            self.record(now, WorkerEventKind::Refused { of, why: Refusal::NoRoom });
            return StartAnswer::Refused;
        }
        self.fences.insert(start.task.clone(), start.fence);
        // A newer start replaces an older one of the same task.
        if self.running.contains_key(&start.task) {
            self.end_task(now, &start.task, TaskEnd::LeaseLapsed);
        }
        self.begin_task(now, of, start);
        StartAnswer::Started
    }

    /// Renews leases; the answer lists tasks that aren't running.
    pub fn renew(&mut self, now: Time, renew: RenewLeases) -> RenewAnswer {
        self.advance(now);
        let until = now + Duration::from_millis(u64::from(renew.lease_ms));
        let mut answer = RenewAnswer::default();
        for of in renew.tasks {
            match self.running.get_mut(&of.task) {
                Some(run) if run.fence == of.fence => run.lease_until = until,
                _ => answer.unknown.push(of),
            }
        }
        answer
    }

    /// Stops a task.
    pub fn stop(&mut self, now: Time, stop: StopTask) -> StopAnswer {
        self.advance(now);
        let of = stop.of;
        if let Some(answer) = self.answer_if_not_running(&of) {
            return answer;
        }
        let run = self.running.remove(&of.task);
        let checkpoint = run.filter(|_| stop.checkpoint).and_then(|run| run.checkpoint());
        self.stopped.insert(of.clone(), checkpoint.clone());
        self.record(now, WorkerEventKind::Stopped { of, checkpoint: checkpoint.clone() });
        StopAnswer::Stopped { checkpoint }
    }

    /// Limits a task's CPU time.
    pub fn throttle(&mut self, now: Time, throttle: ThrottleTask) -> StopAnswer {
        self.advance(now);
        if let Some(answer) = self.answer_if_not_running(&throttle.of) {
            return answer;
        }
        if let Some(run) = self.running.get_mut(&throttle.of.task) {
            run.throttle_permille = throttle.permille.min(1_000);
        }
        StopAnswer::Throttled
    }

    /// Returns the worker's report; measurements lag, the list of tasks doesn't.
    pub fn report(&mut self, now: Time) -> WorkerReport {
        self.advance(now);
        let report = WorkerReport {
            leaving: self.faults.leaving,
            running: self.running.iter().map(|(task, run)| self.running_task(task, run)).collect(),
            ended: self.ended.iter().map(|(_, ended)| ended.clone()).collect(),
        };
        self.with_lagged_measurements(now, report)
    }

    /// Returns whether a service of the class is running.
    pub fn serves(&mut self, now: Time, class: &ClassName) -> bool {
        self.advance(now);
        self.running.values().any(|run| run.service && run.class == *class)
    }

    /// Adds an event to the history.
    pub fn record(&mut self, at: Time, kind: WorkerEventKind) {
        self.history.push(WorkerEvent { at, vm: self.settings.vm.clone(), kind });
    }

    /// Returns the answer to a repeated start, if it is one.
    fn answer_to_repeated_start(
        &self,
        of: &TaskFence,
        highest_fence: Fence,
    ) -> Option<StartAnswer> {
        if highest_fence != of.fence {
            return None;
        }
        if self.running.get(&of.task).is_some_and(|run| run.fence == of.fence) {
            return Some(StartAnswer::Started);
        }
        let ended = self.ended.iter().any(|(_, ended)| ended.of == *of);
        ended.then_some(StartAnswer::AlreadyEnded)
    }

    fn has_free_capacity(&self, start: &StartTask) -> bool {
        let others = self.running.iter().filter(|(task, _)| **task != start.task);
        let used = others.fold(start.resources, |sum, (_, run)| sum.plus(&run.resources));
        used.fits(&self.settings.capacity)
    }

    fn begin_task(&mut self, now: Time, of: TaskFence, start: StartTask) {
        let command: Command = start.command.parse().unwrap_or_default();
        let sample = self.rng.random::<f64>();
        let fails = self.faults.fail_tasks || sample < command.fail;
        let command = Command {
            run: if self.faults.fail_tasks { Duration::ZERO } else { command.run },
            ..command
        };
        let run = Running {
            fence: start.fence,
            class: start.class.clone(),
            service: start.service && !self.faults.fail_tasks,
            resources: start.resources,
            command,
            fails,
            started: now,
            lease_until: now + Duration::from_millis(u64::from(start.lease_ms)),
            throttle_permille: 1_000,
            progress: checkpoint_progress(start.checkpoint.as_ref()),
            progress_at: now,
        };
        self.running.insert(start.task, run);
        self.started.insert(of.clone());
        let StartTask { class, resources, checkpoint, .. } = start;
        self.record(now, WorkerEventKind::Started { of, class, resources, checkpoint });
    }

    fn end_task(&mut self, at: Time, task: &TaskId, end: TaskEnd) {
        let Some(run) = self.running.remove(task) else { return };
        let of = TaskFence { task: task.clone(), fence: run.fence };
        let ran_ms = at.since(run.started).as_millis() as u64;
        self.ended.push((at, EndedTask { of: of.clone(), end, ran_ms, peak: run.used() }));
        self.record(at, WorkerEventKind::Ended { of, end });
    }

    /// Returns the answer to a stop or throttle of a task that isn't running.
    fn answer_if_not_running(&mut self, of: &TaskFence) -> Option<StopAnswer> {
        if self.running.get(&of.task).is_some_and(|run| run.fence == of.fence) {
            return None;
        }
        if let Some((_, ended)) = self.ended.iter().find(|(_, ended)| ended.of == *of) {
            return Some(StopAnswer::Ended { end: ended.end });
        }
        if self.started.contains(of) {
            let checkpoint = self.stopped.get(of).cloned().flatten();
            return Some(StopAnswer::Stopped { checkpoint });
        }
        // Ensures that a delayed start with this fence is refused.
        let highest_fence = self.fences.entry(of.task.clone()).or_default();
        *highest_fence = of.fence.max(*highest_fence);
        Some(StopAnswer::NeverRan)
    }

    fn running_task(&self, task: &TaskId, run: &Running) -> RunningTask {
        RunningTask {
            of: TaskFence { task: task.clone(), fence: run.fence },
            class: run.class.clone(),
            service: run.service,
            resources: run.resources,
            used: run.used(),
            slowdown_permille: self.faults.slowdown_permille.max(1_000),
        }
    }

    /// Replaces the measurements in a report with those of `report_lag` ago.
    fn with_lagged_measurements(&mut self, now: Time, report: WorkerReport) -> WorkerReport {
        let lag = self.settings.report_lag;
        self.reports.push_back((now, report.clone()));
        while self.reports.get(1).is_some_and(|(at, _)| now.since(*at) >= lag) {
            self.reports.pop_front();
        }
        let Some((at, old)) = self.reports.front() else { return report };
        let old_enough = now.since(*at) >= lag;
        let mut report = report;
        for task in &mut report.running {
            let earlier = old.running.iter().find(|earlier| earlier.of == task.of);
            match earlier.filter(|_| old_enough) {
                Some(earlier) => {
                    task.used = earlier.used;
                    task.slowdown_permille = earlier.slowdown_permille;
                }
                None => {
                    task.used = Resources::default();
                    task.slowdown_permille = 1_000;
                }
            }
        }
        report
    }
}
