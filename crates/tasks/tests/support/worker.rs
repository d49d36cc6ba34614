//! A fake worker: runs tasks under leases, keeps their ends, and answers the worker API.

use {
    super::checker::Checker,
    egretlb_tasks::{WorkerAnswer, WorkerCall},
    egretlb_types::{
        ClassName, Fence, Megabytes, MilliCores, Resources, TaskId, Time, VmRecord,
        worker::{
            EndedTask, RenewAnswer, RunningTask, StartAnswer, StartTask, StopAnswer, TaskEnd,
            TaskFence, WorkerReport,
        },
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Command of a task that fails on every VM.
pub const BROKEN: &str = "broken";

/// Actual behaviour of a class, which may differ from its declaration.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Work per task.
    pub work: Duration,
    /// Actual use of a task.
    pub used: Resources,
    /// Slowdown of a task of this class by one task of each other class.
    pub slowdown_by: HashMap<ClassName, f64>,
}

impl Default for Behaviour {
    fn default() -> Self {
        let used =
            Resources { cpu: MilliCores(800), memory: Megabytes(500), ..Resources::default() };
        Behaviour { work: Duration::from_secs(4), used, slowdown_by: HashMap::new() }
    }
}

/// A running task.
#[derive(Clone, Debug)]
pub struct Run {
    pub start: StartTask,
    pub lease_until: Time,
    pub started_at: Time,
    /// Completed work in milliseconds, and when it was last updated.
    pub progress_ms: f64,
    pub progress_at: Time,
    pub throttle: f64,
}

#[derive(Clone, Debug)]
struct End {
    end: Result<TaskEnd, Option<String>>,
    ran: Duration,
    peak: Resources,
}

/// A fake worker on one VM.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub record: VmRecord,
    pub alive: bool,
    pub cut_until: Time,
    pub fails_all: bool,
    pub running: BTreeMap<TaskId, Run>,
    /// Ended attempts. A repeated stop gets the same answer.
    ends: BTreeMap<TaskFence, End>,
    fences: BTreeMap<TaskId, Fence>,
    stopped_before_start: Vec<TaskFence>,
    /// Clock rate relative to true time, in thousandths.
    pub rate_permille: u64,
    /// Number of completed tasks.
    pub done: u64,
}

impl FakeWorker {
    pub fn new(record: VmRecord) -> Self {
        FakeWorker {
            record,
            alive: true,
            cut_until: Time::ZERO,
            fails_all: false,
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            fences: BTreeMap::new(),
            stopped_before_start: Vec::new(),
            rate_permille: 1_000,
            done: 0,
        }
    }

    fn lease(&self, lease_ms: u32) -> Duration {
        Duration::from_millis(u64::from(lease_ms) * 1_000 / self.rate_permille)
    }

    /// Slowdown of a task among its neighbours; 1.0 is none.
    pub fn slowdown(&self, class: &ClassName, classes: &HashMap<ClassName, Behaviour>) -> f64 {
        let Some(behaviour) = classes.get(class) else { return 1.0 };
        let mut sum = 1.0;
        let mut own = 0;
        for run in self.running.values() {
            if run.start.class == *class {
                own += 1;
                if own == 1 {
                    continue;
                }
            }
            sum +=
                behaviour.slowdown_by.get(&run.start.class).copied().unwrap_or(0.0) * run.throttle;
        }
        sum
    }

    /// Advances tasks to the given time and ends those that are done, failed or past their lease.
    pub fn advance(
        &mut self,
        now: Time,
        classes: &HashMap<ClassName, Behaviour>,
        checker: &mut Checker,
    ) {
        if !self.alive {
            return;
        }
        let speeds: Vec<(TaskId, f64)> = self
            .running
            .iter()
            .map(|(id, run)| (id.clone(), run.throttle / self.slowdown(&run.start.class, classes)))
            .collect();
        for (id, speed) in speeds {
            let Some(run) = self.running.get_mut(&id) else { continue };
            let until = now.min(run.lease_until);
            run.progress_ms += until.since(run.progress_at).as_secs_f64() * 1_000.0 * speed;
            run.progress_at = until.max(run.progress_at);
            let work = classes.get(&run.start.class).map_or(4_000.0, |b| b.work.as_millis() as f64);
            let fails = self.fails_all || run.start.command == BROKEN;
            let failed = fails && until.since(run.started_at) >= Duration::from_millis(300);
            let end = if failed {
                Some(TaskEnd::Failed)
            } else if !run.start.service && run.progress_ms >= work {
                Some(TaskEnd::Done)
            } else {
                (now >= run.lease_until).then_some(TaskEnd::LeaseLapsed)
            };
            if let Some(end) = end {
                self.end(now, &id, end, classes, checker);
            }
        }
    }

    fn end(
        &mut self,
        now: Time,
        id: &TaskId,
        end: TaskEnd,
        classes: &HashMap<ClassName, Behaviour>,
        checker: &mut Checker,
    ) {
        let Some(run) = self.running.remove(id) else { return };
        let of = TaskFence { task: id.clone(), fence: run.start.fence };
        if end == TaskEnd::Done {
            self.done += 1;
            checker.done(now, &self.record.vm, &of);
        }
        checker.ended(&self.record.vm, &of);
        let peak = classes.get(&run.start.class).map_or(run.start.resources, |b| b.used);
        self.ends.insert(of, End { end: Ok(end), ran: now.since(run.started_at), peak });
    }

    /// Loses everything on the VM.
    pub fn die(&mut self, checker: &mut Checker) {
        self.alive = false;
        checker.vm_failed(&self.record.vm);
        for (id, run) in std::mem::take(&mut self.running) {
            checker.ended(&self.record.vm, &TaskFence { task: id, fence: run.start.fence });
        }
    }

    pub fn handle(
        &mut self,
        now: Time,
        call: &WorkerCall,
        classes: &HashMap<ClassName, Behaviour>,
        checker: &mut Checker,
    ) -> WorkerAnswer {
        self.advance(now, classes, checker);
        match call {
            WorkerCall::Start(start) => WorkerAnswer::Start(self.start(now, start, checker)),
            WorkerCall::Renew(renew) => {
                let until = now + self.lease(renew.lease_ms);
                let mut unknown = Vec::new();
                for of in &renew.tasks {
                    match self.running.get_mut(&of.task) {
                        Some(run) if run.start.fence == of.fence => run.lease_until = until,
                        _ => unknown.push(of.clone()),
                    }
                }
                WorkerAnswer::Renew(RenewAnswer { unknown })
            }
            WorkerCall::Stop(stop) => {
                WorkerAnswer::Stop(self.stop(now, &stop.of, stop.checkpoint, checker))
            }
            WorkerCall::Throttle(throttle) => {
                if let Some(run) = self.running.get_mut(&throttle.of.task) {
                    run.throttle = f64::from(throttle.permille) / 1_000.0;
                }
                WorkerAnswer::Stop(StopAnswer::Throttled)
            }
            WorkerCall::Report => WorkerAnswer::Report(self.report(classes)),
        }
    }

    fn start(&mut self, now: Time, start: &StartTask, checker: &mut Checker) -> StartAnswer {
        let of = TaskFence { task: start.task.clone(), fence: start.fence };
        if self.ends.contains_key(&of) {
            return StartAnswer::AlreadyEnded;
        }
        let seen = self.fences.get(&start.task).copied().unwrap_or_default();
        if seen > start.fence || self.stopped_before_start.contains(&of) {
            return StartAnswer::StaleFence;
        }
        if self.running.get(&start.task).is_some_and(|run| run.start.fence == start.fence) {
            return StartAnswer::Started;
        }
        self.fences.insert(start.task.clone(), start.fence);
        let progress_ms = start.checkpoint.as_deref().and_then(|cp| cp.rsplit_once(':'));
        let progress_ms = progress_ms.and_then(|(_, ms)| ms.parse().ok()).unwrap_or(0.0);
        let run = Run {
            start: start.clone(),
            lease_until: now + self.lease(start.lease_ms),
            started_at: now,
            progress_ms,
            progress_at: now,
            throttle: 1.0,
        };
        self.running.insert(start.task.clone(), run);
        checker.started(now, &self.record.vm, &of, start.checkpoint.as_deref());
        let held = self
            .running
            .values()
            .fold(Resources::default(), |sum, run| sum.plus(&run.start.resources));
        checker.holds(now, &self.record.vm, &held, &self.record.capacity);
        StartAnswer::Started
    }

    fn stop(
        &mut self,
        now: Time,
        of: &TaskFence,
        checkpoint: bool,
        checker: &mut Checker,
    ) -> StopAnswer {
        if let Some(end) = self.ends.get(of) {
            return match &end.end {
                Ok(end) => StopAnswer::Ended { end: *end },
                Err(cp) => StopAnswer::Stopped { checkpoint: cp.as_deref().map(|cp| cp.into()) },
            };
        }
        let runs = self.running.get(&of.task).is_some_and(|run| run.start.fence == of.fence);
        if !runs {
            self.stopped_before_start.push(of.clone());
            return StopAnswer::NeverRan;
        }
        let Some(run) = self.running.remove(&of.task) else { return StopAnswer::NeverRan };
        let cp = checkpoint.then(|| format!("{}@{}:{:.0}", of.task, of.fence, run.progress_ms));
        checker.stopped(&self.record.vm, of, cp.as_deref());
        let end =
            End { end: Err(cp.clone()), ran: now.since(run.started_at), peak: run.start.resources };
        self.ends.insert(of.clone(), end);
        StopAnswer::Stopped { checkpoint: cp.as_deref().map(|cp| cp.into()) }
    }

    fn report(&self, classes: &HashMap<ClassName, Behaviour>) -> WorkerReport {
        let running = self.running.values().map(|run| RunningTask {
            of: TaskFence { task: run.start.task.clone(), fence: run.start.fence },
            class: run.start.class.clone(),
            service: run.start.service,
            resources: run.start.resources,
            used: classes.get(&run.start.class).map_or(run.start.resources, |b| b.used),
            slowdown_permille: (self.slowdown(&run.start.class, classes) * 1_000.0) as u32,
        });
        let ended = self.ends.iter().filter_map(|(of, end)| {
            let how = *end.end.as_ref().ok()?;
            let ran_ms = end.ran.as_millis() as u64;
            Some(EndedTask { of: of.clone(), end: how, ran_ms, peak: end.peak })
        });
        WorkerReport { leaving: false, running: running.collect(), ended: ended.collect() }
    }
}
