//! Load of three routes (urgent, patient, long-running), and what became of it by route.

use {
    super::{long_running, step, submission, world::World},
    compact_str::CompactString,
    egretlb_types::{MilliCores, Time},
    egretlb_workflow::{
        Entry, Limits, Outcome, Policies, Submission, TaskId, WorkflowId, WorkflowState,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, fmt, time::Duration},
};

pub const SECOND: Duration = Duration::from_secs(1);

/// Interval at which workflows and tasks are observed.
const OBSERVED: Duration = Duration::from_millis(50);

/// Interval in which a long-running workflow is valued.
const VALUED: Duration = Duration::from_secs(2);

/// Work of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub route: &'static str,
    pub priority: u64,
    pub stretch_permille: u32,
    pub slack_ms: u32,
    pub steps: u16,
    pub tasks: u32,
    pub task_ms: u32,
    pub cores: u32,
}

/// Urgent work of kitchen dispatch.
pub const URGENT: Kind = Kind {
    route: "urgent",
    priority: 0,
    stretch_permille: 1_500,
    slack_ms: 300,
    steps: 2,
    tasks: 10,
    task_ms: 540,
    cores: 11,
};

/// Patient work of kitchen dispatch.
pub const PATIENT: Kind = Kind {
    route: "patient",
    priority: 2,
    stretch_permille: 2_000,
    slack_ms: 1_000,
    steps: 2,
    tasks: 20,
    task_ms: 2_300,
    cores: 7,
};

impl Kind {
    /// A workflow of this kind that is accepted now.
    pub fn submission(&self, now: Time) -> Submission {
        let one = |number: u16| {
            let mut step = step(self.tasks, self.task_ms);
            step.resources.cpu = MilliCores(self.cores * 1_000);
            step.after = number.checked_sub(1).into_iter().collect();
            step
        };
        Submission {
            route: CompactString::const_new(self.route),
            priority: self.priority,
            stretch_permille: self.stretch_permille,
            slack_ms: self.slack_ms,
            accepted_ms: now.as_micros() / 1_000,
            ..submission((0..self.steps).map(one).collect())
        }
    }

    /// The target duration.
    fn target(&self) -> Duration {
        let critical_path_ms = u32::from(self.steps) * self.task_ms;
        let stretched = critical_path_ms * self.stretch_permille / 1_000;
        Duration::from_millis(u64::from(stretched + self.slack_ms))
    }
}

/// Number of workflows of a route by what became of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    pub in_time: u32,
    pub late: u32,
    pub failed: u32,
}

impl Tally {
    pub fn all(&self) -> u32 {
        self.in_time + self.late + self.failed
    }

    /// Percentage in time.
    pub fn in_time_percent(&self) -> u32 {
        self.in_time * 100 / self.all().max(1)
    }

    /// Percentage in time or late.
    pub fn served_percent(&self) -> u32 {
        (self.in_time + self.late) * 100 / self.all().max(1)
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in time, {} late, {} failed", self.in_time, self.late, self.failed)
    }
}

/// A submitted batch workflow.
#[derive(Debug)]
struct Submitted {
    kind: Kind,
    at: Time,
    took: Option<Duration>,
}

/// A long-running task as observed.
#[derive(Debug, Default)]
struct Watched {
    running: bool,
    /// Since when it hasn't run, if it ran before.
    down_since: Option<Time>,
    /// Begins of its downtimes.
    stops: Vec<Time>,
    longest_down: Duration,
}

/// A simulated service with three routes.
pub struct Routes {
    pub world: World,
    arrivals: SmallRng,
    next_id: u64,
    submitted: BTreeMap<WorkflowId, Submitted>,
    watched: BTreeMap<TaskId, Watched>,
    /// Observations of tasks at work, and of all, by long-running workflow in the current interval.
    current: BTreeMap<WorkflowId, (u32, u32)>,
    interval_end: Time,
    /// Share of tasks at work in past intervals, in percent.
    pub intervals: Vec<u32>,
}

/// Limits with these policies only.
pub fn with_policies(policies: &str) -> Limits {
    let policies: Policies = policies.parse().expect("a valid list");
    Limits { policies, ..Limits::default() }
}

impl Routes {
    /// A service of some workers of 64 cores.
    pub fn new(seed: u64, workers: usize, limits: Limits) -> Routes {
        let mut world = World::new(seed, 2, 0, limits);
        for _ in 0..workers {
            world.add_worker(64);
        }
        world.run(2 * SECOND);
        let interval_end = world.now + VALUED;
        Routes {
            world,
            arrivals: SmallRng::seed_from_u64(seed),
            next_id: 1,
            submitted: BTreeMap::new(),
            watched: BTreeMap::new(),
            current: BTreeMap::new(),
            interval_end,
            intervals: Vec::new(),
        }
    }

    fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Submits a long-running workflow, which is observed once all of its tasks are at work.
    pub fn submit_long_running(&mut self, tasks: u32, cores: u32) -> WorkflowId {
        let id = self.take_id();
        let slack_ms = 2_500;
        let submission = Submission {
            route: CompactString::const_new("long-running"),
            stretch_permille: 2_200,
            slack_ms,
            accepted_ms: self.world.now.as_micros() / 1_000,
            ..submission(vec![long_running(tasks, cores)])
        };
        let workflow = self.world.submit(id, &submission);
        let task = |index| TaskId { workflow, occurrence: 0, step: 0, index };
        let all_run = |world: &World| (0..tasks).all(|index| world.checker.is_running(task(index)));
        self.world.run_until(5 * SECOND, all_run).expect("all run");
        for index in 0..tasks {
            let watched = Watched { running: true, ..Watched::default() };
            self.watched.insert(task(index), watched);
        }
        workflow
    }

    /// Submits a batch workflow now.
    pub fn submit(&mut self, kind: &Kind) -> WorkflowId {
        let id = self.take_id();
        let at = self.world.now;
        let id = self.world.submit(id, &kind.submission(at));
        self.submitted.insert(id, Submitted { kind: *kind, at, took: None });
        id
    }

    /// Runs for a time while workflows arrive at these rates, in thousandths of a workflow a second.
    pub fn run(&mut self, span: Duration, rates: &[(Kind, u64)]) {
        let end = self.world.now + span;
        while self.world.now < end {
            for (kind, permille) in rates {
                let odds = *permille as f64 / 1_000.0 * OBSERVED.as_secs_f64();
                if self.arrivals.random_bool(odds) {
                    self.submit(kind);
                }
            }
            self.world.run(OBSERVED);
            self.observe();
        }
    }

    fn observe(&mut self) {
        let now = self.world.now;
        for (task, watched) in &mut self.watched {
            let running = self.world.checker.is_running(*task);
            if watched.running && !running {
                watched.stops.push(now);
                watched.down_since = Some(now);
            }
            watched.running = running;
            if running {
                watched.down_since = None;
            }
            let down = watched.down_since.map_or(Duration::ZERO, |since| now.since(since));
            watched.longest_down = watched.longest_down.max(down);
            let (at_work, all) = self.current.entry(task.workflow).or_default();
            *at_work += u32::from(running);
            *all += 1;
        }
        if now >= self.interval_end {
            self.interval_end = now + VALUED;
            let ended = std::mem::take(&mut self.current);
            self.intervals.extend(ended.values().map(|(at_work, all)| at_work * 100 / all));
        }
        let Some(leader) = self.world.leader() else { return };
        let ledger = &self.world.nodes[leader].ledger;
        for (id, submitted) in self.submitted.iter_mut().filter(|(_, s)| s.took.is_none()) {
            let ended = WorkflowState::Ended(Outcome::Completed);
            if ledger.get(*id).map(Entry::state) == Some(ended) {
                submitted.took = Some(now.since(submitted.at));
            }
        }
    }

    /// What became of the workflows of a route.
    pub fn tally(&self, route: &str) -> Tally {
        let of_route = self.submitted.keys().filter(|id| self.submitted[id].kind.route == route);
        self.tally_of(of_route.copied())
    }

    /// What became of some workflows.
    pub fn tally_of(&self, ids: impl IntoIterator<Item = WorkflowId>) -> Tally {
        let mut tally = Tally::default();
        for id in ids {
            let submitted = &self.submitted[&id];
            let target = submitted.kind.target();
            match submitted.took {
                Some(took) if took <= target => tally.in_time += 1,
                Some(took) if took <= 3 * target => tally.late += 1,
                _ => tally.failed += 1,
            }
        }
        tally
    }

    /// Whether all batch workflows have ended.
    pub fn all_ended(&self) -> bool {
        self.submitted.values().all(|submitted| submitted.took.is_some())
    }

    /// The number of ended workflows of a route.
    pub fn ended(&self, route: &str) -> usize {
        let ended = |s: &&Submitted| s.kind.route == route && s.took.is_some();
        self.submitted.values().filter(ended).count()
    }

    /// The longest time that a long-running task was down.
    pub fn longest_down(&self) -> Duration {
        self.watched.values().map(|watched| watched.longest_down).max().unwrap_or_default()
    }

    /// The shortest time between two stops of the same long-running task.
    pub fn shortest_stop_interval(&self) -> Option<Duration> {
        let intervals = self.watched.values().flat_map(|watched| {
            watched.stops.iter().zip(watched.stops.iter().skip(1)).map(|(a, b)| b.since(*a))
        });
        intervals.min()
    }

    /// The number of stops of each long-running workflow.
    pub fn stops(&self) -> BTreeMap<WorkflowId, usize> {
        let mut stops = BTreeMap::new();
        for (task, watched) in &self.watched {
            *stops.entry(task.workflow).or_default() += watched.stops.len();
        }
        stops
    }

    /// Share of tasks of long-running workflows at work, in thousandths, and the share of intervals in which less than half were.
    pub fn long_running(&self) -> (u32, u32) {
        let count = u32::try_from(self.intervals.len()).unwrap_or(1).max(1);
        let failed = self.intervals.iter().filter(|share| **share < 50).count();
        let failed = u32::try_from(failed).unwrap_or(0);
        (self.intervals.iter().sum::<u32>() * 10 / count, failed * 1_000 / count)
    }

    /// The figures by route, for the output of a test.
    pub fn report(&self) -> String {
        let (at_work, failed) = self.long_running();
        format!(
            "urgent: {}; patient: {}; long-running: {at_work} of 1000 at work, {failed} of 1000 \
             intervals below half, longest down {:?}, stops {:?}",
            self.tally("urgent"),
            self.tally("patient"),
            self.longest_down(),
            self.stops().values().collect::<Vec<_>>(),
        )
    }
}
