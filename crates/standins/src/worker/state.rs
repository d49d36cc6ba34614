//! A worker's tasks, without input or output.

use {
    crate::worker::{
        Command, Happening, Refusal, What, WorkerFaults,
        running::{Running, resumed},
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

/// A worker's size and habits.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The VM.
    pub vm: VmId,
    /// What it can hold.
    pub capacity: Resources,
    /// How many requests it works on at once.
    pub slots: u16,
    /// How far its reports lag.
    pub report_lag: Duration,
    /// How long it remembers tasks that ended.
    pub keep_ended: Duration,
    /// How long a request takes that doesn't say.
    pub service_time: Duration,
    /// Draws which tasks fail.
    pub seed: u64,
}

impl WorkerSettings {
    /// A worker of the size of those in Bogota.
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

/// A worker's state. Times given to its functions never go back.
#[derive(Debug)]
pub struct WorkerState {
    settings: WorkerSettings,
    faults: WorkerFaults,
    rng: SmallRng,
    running: BTreeMap<TaskId, Running>,
    ended: Vec<(Time, EndedTask)>,
    /// The highest fence seen of each task: nothing starts below it.
    fences: BTreeMap<TaskId, Fence>,
    /// All that ever started.
    started: BTreeSet<TaskFence>,
    /// What each stop answered, so that a repeated stop answers the same.
    stopped: BTreeMap<TaskFence, Option<CompactString>>,
    reports: VecDeque<(Time, WorkerReport)>,
    history: Vec<Happening>,
}

impl WorkerState {
    /// A worker that runs nothing.
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

    /// The worker's size and habits.
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
            self.record(now, What::Died);
            self.running.clear();
            self.ended.clear();
            self.fences.clear();
            self.started.clear();
            self.stopped.clear();
            self.reports.clear();
        }
        if faults.leaving && !self.faults.leaving {
            self.record(now, What::Leaving);
        }
        self.faults = faults;
    }

    /// What happened so far.
    pub fn history(&self) -> &[Happening] {
        &self.history
    }

    /// Ends what has come to its end by `now`, each at its own time.
    pub fn advance(&mut self, now: Time) {
        let slowdown = self.faults.slowdown_permille;
        loop {
            let ends = self.running.iter().map(|(task, run)| (run.end(slowdown), task));
            let first = ends.filter(|((at, _), _)| *at <= now).min_by_key(|((at, _), _)| *at);
            let Some(((at, end), task)) = first else { break };
            let task = task.clone();
            self.finish(at, &task, end);
        }
        for run in self.running.values_mut() {
            run.count(now, slowdown);
        }
        let keep = self.settings.keep_ended;
        self.ended.retain(|(at, _)| now.since(*at) <= keep);
    }

    /// Starts a task under a lease.
    pub fn start(&mut self, now: Time, start: StartTask) -> StartAnswer {
        self.advance(now);
        let of = TaskFence { task: start.task.clone(), fence: start.fence };
        let seen = self.fences.get(&start.task).copied().unwrap_or_default();
        if let Some(answer) = self.repeated(&of, seen) {
            return answer;
        }
        if start.fence <= seen {
            self.record(now, What::Refused { of, why: Refusal::Stale });
            return StartAnswer::StaleFence;
        }
        if self.faults.leaving || self.faults.refuse {
            self.record(now, What::Refused { of, why: Refusal::Unwilling });
            return StartAnswer::Refused;
        }
        if !self.has_room(&start) {
            self.record(now, What::Refused { of, why: Refusal::NoRoom });
            return StartAnswer::Refused;
        }
        self.fences.insert(start.task.clone(), start.fence);
        // An older start of the same task gives way, so that the task never runs twice here.
        if self.running.contains_key(&start.task) {
            self.finish(now, &start.task, TaskEnd::LeaseLapsed);
        }
        self.begin(now, of, start);
        StartAnswer::Started
    }

    /// Renews leases; tells which of the tasks don't run.
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
        if let Some(answer) = self.not_running(&of) {
            return answer;
        }
        let run = self.running.remove(&of.task);
        let checkpoint = run.filter(|_| stop.checkpoint).and_then(|run| run.checkpoint());
        self.stopped.insert(of.clone(), checkpoint.clone());
        self.record(now, What::Stopped { of, checkpoint: checkpoint.clone() });
        StopAnswer::Stopped { checkpoint }
    }

    /// Limits a task's processor time.
    pub fn throttle(&mut self, now: Time, throttle: ThrottleTask) -> StopAnswer {
        self.advance(now);
        if let Some(answer) = self.not_running(&throttle.of) {
            return answer;
        }
        if let Some(run) = self.running.get_mut(&throttle.of.task) {
            run.throttle_permille = throttle.permille.min(1_000);
        }
        StopAnswer::Throttled
    }

    /// What the worker says of itself; what was used lags, what runs doesn't.
    pub fn report(&mut self, now: Time) -> WorkerReport {
        self.advance(now);
        let report = WorkerReport {
            leaving: self.faults.leaving,
            running: self.running.iter().map(|(task, run)| self.describe(task, run)).collect(),
            ended: self.ended.iter().map(|(_, ended)| ended.clone()).collect(),
        };
        self.with_lag(now, report)
    }

    /// Whether a service of the class runs here.
    pub fn serves(&mut self, now: Time, class: &ClassName) -> bool {
        self.advance(now);
        self.running.values().any(|run| run.service && run.class == *class)
    }

    /// Adds to the history.
    pub fn record(&mut self, at: Time, what: What) {
        self.history.push(Happening { at, vm: self.settings.vm.clone(), what });
    }

    /// The answer to a start that came before.
    fn repeated(&self, of: &TaskFence, seen: Fence) -> Option<StartAnswer> {
        if seen != of.fence {
            return None;
        }
        if self.running.get(&of.task).is_some_and(|run| run.fence == of.fence) {
            return Some(StartAnswer::Started);
        }
        let ended = self.ended.iter().any(|(_, ended)| ended.of == *of);
        ended.then_some(StartAnswer::AlreadyEnded)
    }

    fn has_room(&self, start: &StartTask) -> bool {
        let others = self.running.iter().filter(|(task, _)| **task != start.task);
        let held = others.fold(start.resources, |sum, (_, run)| sum.plus(&run.resources));
        held.fits(&self.settings.capacity)
    }

    fn begin(&mut self, now: Time, of: TaskFence, start: StartTask) {
        let command: Command = start.command.parse().unwrap_or_default();
        let drawn = self.rng.random::<f64>();
        let fails = self.faults.fail_tasks || drawn < command.fail;
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
            progress: resumed(start.checkpoint.as_ref()),
            counted: now,
        };
        self.running.insert(start.task, run);
        self.started.insert(of.clone());
        let StartTask { class, resources, checkpoint, .. } = start;
        self.record(now, What::Started { of, class, resources, checkpoint });
    }

    fn finish(&mut self, at: Time, task: &TaskId, end: TaskEnd) {
        let Some(run) = self.running.remove(task) else { return };
        let of = TaskFence { task: task.clone(), fence: run.fence };
        let ran_ms = at.since(run.started).as_millis() as u64;
        self.ended.push((at, EndedTask { of: of.clone(), end, ran_ms, peak: run.used() }));
        self.record(at, What::Ended { of, end });
    }

    /// The answer to a stop or throttle of something that doesn't run.
    fn not_running(&mut self, of: &TaskFence) -> Option<StopAnswer> {
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
        // "Never will": a start under this fence that is still on its way must be refused.
        let seen = self.fences.entry(of.task.clone()).or_default();
        *seen = of.fence.max(*seen);
        Some(StopAnswer::NeverRan)
    }

    fn describe(&self, task: &TaskId, run: &Running) -> RunningTask {
        RunningTask {
            of: TaskFence { task: task.clone(), fence: run.fence },
            class: run.class.clone(),
            service: run.service,
            resources: run.resources,
            used: run.used(),
            slowdown_permille: self.faults.slowdown_permille.max(1_000),
        }
    }

    /// Replaces the measurements in a report by those of `report_lag` ago.
    fn with_lag(&mut self, now: Time, report: WorkerReport) -> WorkerReport {
        let lag = self.settings.report_lag;
        self.reports.push_back((now, report.clone()));
        while self.reports.get(1).is_some_and(|(at, _)| now.since(*at) >= lag) {
            self.reports.pop_front();
        }
        let Some((at, old)) = self.reports.front() else { return report };
        let known = now.since(*at) >= lag;
        let mut report = report;
        for task in &mut report.running {
            let before = old.running.iter().find(|before| before.of == task.of);
            match before.filter(|_| known) {
                Some(before) => {
                    task.used = before.used;
                    task.slowdown_permille = before.slowdown_permille;
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
