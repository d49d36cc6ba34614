//! Fake worker: runs tasks under leases on its own clock, checks fencing tokens, rejects stopped
//! runs, and lists ends until they are acknowledged.

use {
    super::checker::Checker,
    compact_str::{CompactString, format_compact},
    egretlb_types::{Epoch, Megabytes, MilliCores, Resources, Time},
    egretlb_workflow::{
        End, EndKind, PaceResult, PollReply, PollResult, RunId, RunningTask, StartResult, Step,
        StepId, StopResult, Submission, TaskId, UnreadableRows, WorkerId, WorkerInfo, WorkerState,
    },
    std::{collections::BTreeMap, ops::RangeInclusive, sync::Arc, time::Duration},
};

pub struct Run {
    pub run: RunId,
    /// Remaining work in milliseconds at the time `updated_ms`.
    left_ms: u64,
    updated_ms: u64,
    /// Start time.
    started_ms: u64,
    /// Total work in milliseconds.
    total_ms: u64,
    /// Pace in percent.
    pub pace: u32,
    /// When it ends after a stop command.
    stops_at_ms: Option<u64>,
    pub step: Step,
}

impl Run {
    /// Returns the remaining work at `clock_ms`, on a worker that takes `slowness` percent of the
    /// normal time.
    fn left_at(&self, clock_ms: u64, slowness: u64) -> u64 {
        let worked = clock_ms.saturating_sub(self.updated_ms) * u64::from(self.pace) / slowness;
        self.left_ms.saturating_sub(worked)
    }
}

pub struct StartCommand {
    pub epoch: Epoch,
    pub task: TaskId,
    pub run: RunId,
    pub submission: Arc<Submission>,
    pub until_ms: u64,
}

pub struct Worker {
    pub info: WorkerInfo,
    pub up: bool,
    /// Whether its VM runs, so that connections are refused once the worker has exited.
    pub vm_up: bool,
    /// Whether the directory has its entry while it is up.
    pub listed: bool,
    /// Whether the directory still has its entry after it is gone.
    pub stale_entry: bool,
    /// Clock rate relative to real time, in thousandths.
    pub rate: u64,
    /// Real time at which its clock stood at 0.
    pub clock_start: Time,
    /// The highest number of ends that was acknowledged.
    pub end_cursor: u64,
    pub running: BTreeMap<TaskId, Run>,
    pub ended: Vec<End>,
    pub next_end: u64,
    /// Ends of gang members that the other members don't know of yet.
    pub gang_ends: Vec<(StepId, RunId, EndKind)>,
    pub token: Epoch,
    pub lease_until: u64,
    pub stopped: BTreeMap<TaskId, RunId>,
    pub fails_all: bool,
    /// Whether commands get no answer and aren't executed. Polls are answered.
    pub ignores_commands: bool,
    /// Tail latency of latency-critical tasks without best-effort tasks, in milliseconds.
    pub tail_ms: u32,
    /// Tail latency added by each best-effort task at full pace, in milliseconds.
    pub interference_ms: u32,
    /// Run time in percent of the normal one.
    pub slowness: u64,
    /// Run time of a task on a normal worker, in milliseconds; its estimate by default.
    pub run_time_ms: fn(TaskId, &Step) -> u64,
    /// Whether a run fails; none by default.
    pub fails: fn(TaskId, RunId) -> bool,
    /// Duration of a stop, in milliseconds.
    pub stop_ms: u64,
    /// All paces that were set.
    pub paces: Vec<u32>,
    /// Whether rows of its runs are unreadable.
    pub unreadable_runs: bool,
    /// Numbers of ends that are unreadable.
    pub unreadable_ends: RangeInclusive<u64>,
    /// Checkpoint of all runs that end here.
    pub checkpoint: CompactString,
    /// Whether it goes on listing ends after they are acknowledged, as if it had never received an acknowledgement.
    pub keeps_ends: bool,
    /// Number of next successful runs that end in an unknown way.
    pub unknown_ends: u32,
    /// Whether its directory entry is unreadable.
    pub unreadable_entry: bool,
    /// What another writer has put in place of its directory entry.
    pub foreign_entry: Option<WorkerInfo>,
}

/// Maximum lease that is granted, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;

/// Maximum number of ends in one reply.
pub const MAX_LISTED_ENDS: usize = 500;

impl Worker {
    pub fn new(number: usize, cores: u32) -> Worker {
        let port = 1_000 + u16::try_from(number).unwrap_or(0);
        Worker {
            info: WorkerInfo {
                id: WorkerId::new(format_compact!("worker-{number}")),
                addr: ([127, 0, 0, 1], port).into(),
                service: CompactString::const_new("service"),
                data_centre: CompactString::const_new("centre"),
                capacity: Resources {
                    cpu: MilliCores(cores * 1_000),
                    memory: Megabytes(100_000),
                    ..Resources::default()
                },
                labels: [format_compact!("rack-{}", number / 4)].into_iter().collect(),
                state: WorkerState::Ready,
            },
            up: true,
            vm_up: true,
            listed: true,
            stale_entry: false,
            rate: 1_000,
            clock_start: Time::ZERO,
            end_cursor: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            gang_ends: Vec::new(),
            token: Epoch(0),
            lease_until: 0,
            stopped: BTreeMap::new(),
            fails_all: false,
            ignores_commands: false,
            tail_ms: 1,
            interference_ms: 0,
            slowness: 100,
            run_time_ms: |_, step| u64::from(step.estimate_ms),
            fails: |_, _| false,
            stop_ms: 0,
            paces: Vec::new(),
            unreadable_runs: false,
            unreadable_ends: 0..=0,
            checkpoint: CompactString::default(),
            keeps_ends: false,
            unknown_ends: 0,
            unreadable_entry: false,
            foreign_entry: None,
        }
    }

    pub fn clock_ms(&self, now: Time) -> u64 {
        now.since(self.clock_start).as_millis() as u64 * self.rate / 1_000
    }

    fn renew(&mut self, now: Time, until_ms: u64) {
        let max_until = self.clock_ms(now) + MAX_LEASE_MS;
        self.lease_until = self.lease_until.max(until_ms.min(max_until));
    }

    pub fn finish(&mut self, task: TaskId, kind: EndKind, checker: &mut Checker) {
        let Some(run) = self.running.remove(&task) else { return };
        self.stopped.insert(task, run.run);
        if run.step.gang {
            self.gang_ends.push((task.step_id(), run.run, kind));
            if kind == EndKind::Done {
                checker.gang_done(task, run.step.count);
            }
        }
        checker.ended(&self.info.id, task, run.run, kind, self.next_end);
        let saved = self.checkpoint.clone();
        self.ended.push(End { number: self.next_end, task, run: run.run, kind, saved });
        self.next_end += 1;
    }

    /// Ends finished and stopped runs, and all runs when the lease has expired.
    pub fn advance(&mut self, now: Time, checker: &mut Checker) {
        if !self.up {
            return;
        }
        let clock_ms = self.clock_ms(now);
        let due = self.running.iter().filter(|(_, run)| run.left_at(clock_ms, self.slowness) == 0);
        let due: Vec<TaskId> = due.map(|(task, _)| *task).collect();
        for task in due {
            let unknown = self.unknown_ends > 0;
            self.unknown_ends -= u32::from(unknown);
            let run = self.running.get(&task).map_or(RunId(0), |run| run.run);
            let kind = match (self.fails_all || (self.fails)(task, run), unknown) {
                (true, _) => EndKind::Failed,
                (false, true) => EndKind::Unknown,
                (false, false) => EndKind::Done,
            };
            self.finish(task, kind, checker);
        }
        let stops = |run: &Run| run.stops_at_ms.is_some_and(|at| at <= clock_ms);
        let stopped = self.running.iter().filter(|(_, run)| stops(run));
        let stopped: Vec<TaskId> = stopped.map(|(task, _)| *task).collect();
        for task in stopped {
            self.finish(task, EndKind::Stopped, checker);
        }
        if clock_ms >= self.lease_until {
            checker.lapsed(&self.info.id);
            let all: Vec<TaskId> = self.running.keys().copied().collect();
            for task in all {
                self.finish(task, EndKind::Lapsed, checker);
            }
        }
    }

    pub fn poll(
        &mut self,
        now: Time,
        epoch: Epoch,
        recorded: u64,
        until_ms: Option<u64>,
        checker: &mut Checker,
    ) -> PollResult {
        if epoch < self.token {
            return PollResult::Outranked;
        }
        self.token = epoch;
        // Acknowledged ends aren't listed, also if they come later than the acknowledgement.
        self.end_cursor = self.end_cursor.max(recorded);
        checker.acknowledged(&self.info.id, self.end_cursor);
        if !self.keeps_ends {
            self.ended.retain(|end| end.number > self.end_cursor);
        }
        if let Some(until_ms) = until_ms {
            self.renew(now, until_ms);
        }
        let clock_ms = self.clock_ms(now);
        let percent = |run: &Run| {
            if run.step.long_running {
                return 100;
            }
            let worked = run.total_ms - run.left_at(clock_ms, self.slowness);
            u32::try_from(worked * 100 / run.total_ms.max(1)).unwrap_or(100)
        };
        let best_effort_runs = self.running.values().filter(|run| run.step.best_effort);
        let tail_ms = self.tail_ms
            + best_effort_runs.map(|run| self.interference_ms * run.pace / 100).sum::<u32>();
        let figure = |run: &Run| if run.step.target_ms > 0 { tail_ms } else { 1_000 };
        let running = self.running.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: run.run,
            saved: CompactString::default(),
            percent: percent(run),
            figure: figure(run),
        });
        let mut running: Vec<RunningTask> = running.collect();
        let listed = self.ended.iter().take(MAX_LISTED_ENDS).cloned();
        let (ended, lost): (Vec<End>, Vec<End>) =
            listed.partition(|end| !self.unreadable_ends.contains(&end.number));
        let ends = lost.iter().map(|end| end.number).collect();
        let mut unreadable = UnreadableRows { ends, ..UnreadableRows::default() };
        if self.unreadable_runs {
            unreadable.unidentified_runs = u32::try_from(running.len()).unwrap_or(u32::MAX);
            running.clear();
        }
        PollResult::Lists(PollReply { clock_ms, running, ended, unreadable })
    }

    pub fn is_running(&self, task: TaskId) -> bool {
        self.running.contains_key(&task)
    }

    pub fn start(
        &mut self,
        now: Time,
        command: &StartCommand,
        checker: &mut Checker,
    ) -> StartResult {
        let StartCommand { epoch, task, run, until_ms, submission } = command;
        let (epoch, task, run, until_ms) = (*epoch, *task, *run, *until_ms);
        if epoch < self.token {
            return StartResult::Outranked;
        }
        self.token = epoch;
        let clock_ms = self.clock_ms(now);
        if until_ms <= clock_ms {
            return StartResult::Late;
        }
        self.renew(now, until_ms);
        if self.running.get(&task).is_some_and(|active| active.run == run) {
            return StartResult::Started { clock_ms };
        }
        if self.stopped.get(&task).is_some_and(|last| *last >= run) {
            return StartResult::OldRun;
        }
        let step = submission.workflow.steps[usize::from(task.step)].clone();
        let used: u32 = self.running.values().map(|run| reserved_cpu(&run.step)).sum();
        if used + reserved_cpu(&step) > self.info.capacity.cpu.0 {
            return StartResult::NoRoom;
        }
        checker.started(&self.info.id, task, run, submission);
        let runtime =
            if step.long_running { u64::MAX / 4 } else { (self.run_time_ms)(task, &step) };
        let (left_ms, updated_ms, total_ms) = (runtime, clock_ms, runtime);
        let started_ms = clock_ms;
        let (pace, stops_at_ms) = (100, None);
        let run = Run { run, left_ms, updated_ms, started_ms, total_ms, pace, stops_at_ms, step };
        self.running.insert(task, run);
        StartResult::Started { clock_ms }
    }

    pub fn stop(
        &mut self,
        now: Time,
        epoch: Epoch,
        task: TaskId,
        run: RunId,
        checker: &mut Checker,
    ) -> StopResult {
        if epoch < self.token {
            return StopResult::Outranked;
        }
        self.token = epoch;
        let (clock_ms, stop_ms) = (self.clock_ms(now), self.stop_ms);
        if let Some(active) = self.running.get_mut(&task)
            && active.run == run
        {
            active.stops_at_ms.get_or_insert(clock_ms + stop_ms);
            if stop_ms == 0 {
                self.finish(task, EndKind::Stopped, checker);
            }
        }
        let last = self.stopped.entry(task).or_insert(run);
        *last = (*last).max(run);
        StopResult::Confirmed { clock_ms: self.clock_ms(now) }
    }

    pub fn pace(
        &mut self,
        now: Time,
        epoch: Epoch,
        (task, run): (TaskId, RunId),
        percent: u32,
    ) -> PaceResult {
        if epoch < self.token {
            return PaceResult::Outranked;
        }
        self.token = epoch;
        let (clock_ms, slowness) = (self.clock_ms(now), self.slowness);
        if let Some(active) = self.running.get_mut(&task)
            && active.run == run
        {
            active.left_ms = active.left_at(clock_ms, slowness);
            active.updated_ms = clock_ms;
            active.pace = percent;
        }
        self.paces.push(percent);
        PaceResult::Paced
    }

    /// Returns the time since a run started.
    pub fn waited(&self, now: Time, run: &Run) -> Duration {
        Duration::from_millis(self.clock_ms(now).saturating_sub(run.started_ms))
    }

    /// Returns how long a run will take yet at the present speed.
    pub fn left(&self, now: Time, run: &Run) -> Duration {
        let left_ms = run.left_at(self.clock_ms(now), self.slowness);
        Duration::from_millis(left_ms.saturating_mul(self.slowness) / 100)
    }

    /// Returns a task that is due to crash this worker.
    pub fn crashing_task(&self, now: Time, after: &BTreeMap<TaskId, Duration>) -> Option<TaskId> {
        let due = |(task, run): &(&TaskId, &Run)| {
            after.get(*task).is_some_and(|after| self.waited(now, run) >= *after)
        };
        self.running.iter().find(due).map(|(task, _)| *task)
    }

    /// Keeps a run from making progress up to now.
    pub fn hold(&mut self, now: Time, task: TaskId) {
        let clock_ms = self.clock_ms(now);
        if let Some(run) = self.running.get_mut(&task) {
            run.updated_ms = clock_ms;
        }
    }

    /// Changes its speed, from now on.
    pub fn set_slowness(&mut self, now: Time, slowness: u64) {
        let clock_ms = self.clock_ms(now);
        for run in self.running.values_mut() {
            run.left_ms = run.left_at(clock_ms, self.slowness);
            run.updated_ms = clock_ms;
        }
        self.slowness = slowness;
    }

    /// Stalls all runs for a time.
    pub fn stall_runs(&mut self, span_ms: u64) {
        for run in self.running.values_mut() {
            run.updated_ms += span_ms;
        }
    }

    /// Crashes the VM. All runs vanish; a restarted worker has another ID.
    pub fn crash(&mut self, checker: &mut Checker) {
        self.exit(checker);
        self.vm_up = false;
    }

    /// Ends the worker process; its VM keeps running.
    pub fn exit(&mut self, checker: &mut Checker) {
        self.up = false;
        for (task, run) in std::mem::take(&mut self.running) {
            checker.vanished(&self.info.id, task, run.run);
            if run.step.gang {
                self.gang_ends.push((task.step_id(), run.run, EndKind::Broken));
            }
        }
        checker.discard_ends(&self.info.id);
    }
}

fn reserved_cpu(step: &Step) -> u32 {
    if step.best_effort { 0 } else { step.resources.cpu.0 }
}
