//! The leader's process is restarted three times, two workers are lost and three leave, while batch tasks come in bursts.

mod support;

use {
    egretlb_types::Time,
    egretlb_workflow::{Limits, TaskId, WorkerState, WorkflowId},
    rand::Rng,
    std::time::Duration,
    support::{long_running, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

const WORKERS: usize = 24;

/// Number of long-running tasks, each of half a worker, and what they need.
const LONG_RUNNING: u32 = 24;
const CORES: u32 = 4;

/// Number of batch workflows in a burst, and the time from one burst to the next.
const BURST: u64 = 39;
const BURST_EVERY: Duration = Duration::from_secs(2);

/// Interval at which tasks are observed.
const SAMPLE: Duration = Duration::from_millis(50);

/// The platform counts a long-running task as lost after this time without a run, though there is room for two of its
/// kind, ...
const MAX_DOWNTIME: Duration = Duration::from_secs(3);

/// ... which counts from this long after its last run, ...
const SINCE_LAST_RUN: Duration = Duration::from_secs(6);

/// ... and after the last fault: 3 s in which machines don't count as in touch, and 4 s without faults.
const SINCE_LAST_FAULT: Duration = Duration::from_secs(7);

/// What happened to a long-running task.
#[derive(Clone, Copy, Default)]
struct Downtime {
    since: Option<Time>,
    /// Since when it counts towards [`MAX_DOWNTIME`].
    counts_since: Option<Time>,
    /// The longest time that counts.
    longest_counted: Duration,
    /// The longest time without a run.
    longest: Duration,
}

struct Day {
    world: World,
    id: WorkflowId,
    began: Time,
    bursts: u64,
    last_fault: Time,
    tasks: Vec<Downtime>,
}

impl Day {
    fn new(seed: u64) -> Day {
        let mut world = World::new(seed, 4, WORKERS, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![long_running(LONG_RUNNING, CORES)]));
        let task = |index| TaskId { workflow: id, occurrence: 0, step: 0, index };
        let all_run = |world: &World| (0..LONG_RUNNING).all(|i| world.checker.is_running(task(i)));
        world.run_until(3 * SECOND, all_run).expect("all run");
        let (began, tasks) = (world.now, vec![Downtime::default(); LONG_RUNNING as usize]);
        Day { world, id, began, bursts: 0, last_fault: began, tasks }
    }

    /// Runs until a time of the day, in milliseconds.
    fn run_to(&mut self, at_ms: u64) {
        while self.world.now < self.began + Duration::from_millis(at_ms) {
            if self.world.now >= self.began + BURST_EVERY * u32::try_from(self.bursts).unwrap_or(0)
            {
                self.bursts += 1;
                for number in 0..BURST {
                    let id = 1_000 * self.bursts + number;
                    self.world.submit(id, &submission(vec![step(1, 1_000)]));
                }
            }
            self.world.run(SAMPLE);
            self.observe();
        }
    }

    fn observe(&mut self) {
        let now = self.world.now;
        let has_room = self.places() >= 2;
        for (index, task) in (0..).zip(&mut self.tasks) {
            let id = TaskId { workflow: self.id, occurrence: 0, step: 0, index };
            if self.world.checker.is_running(id) {
                (task.since, task.counts_since) = (None, None);
                continue;
            }
            let since = *task.since.get_or_insert(now);
            task.longest = task.longest.max(now.since(since));
            let counts = has_room
                && now >= since + SINCE_LAST_RUN
                && now >= self.last_fault + SINCE_LAST_FAULT;
            if !counts {
                task.counts_since = None;
                continue;
            }
            let counted = now.since(*task.counts_since.get_or_insert(now));
            task.longest_counted = task.longest_counted.max(counted);
        }
    }

    /// Number of long-running tasks for which there is room.
    fn places(&self) -> u32 {
        let open = self.world.workers.iter();
        let open = open.filter(|worker| worker.up && worker.info.state == WorkerState::Ready);
        let places = open.map(|worker| {
            let used = worker.running.values().map(|run| run.step.resources.cpu.0).sum();
            worker.info.capacity.cpu.0.saturating_sub(used) / (CORES * 1_000)
        });
        places.sum()
    }

    /// Numbers of workers that run long-running tasks.
    fn busy_workers(&self, count: usize) -> Vec<usize> {
        let workers = self.world.workers.iter().enumerate();
        let lasts = |worker: &support::worker::Worker| {
            worker.up && worker.running.keys().any(|task| task.workflow == self.id)
        };
        workers.filter(|(_, worker)| lasts(worker)).map(|(number, _)| number).take(count).collect()
    }

    /// Kills the leader's process and restarts it at its address.
    fn restart_leader(&mut self, at_ms: u64) {
        self.run_to(at_ms);
        let leader = self.world.leader().expect("a leader");
        self.world.kill(leader);
        let pause_ms = self.world.rng.random_range(200..700);
        self.run_to(at_ms + pause_ms);
        self.world.restart(leader);
        self.last_fault = self.world.now;
    }
}

fn play(seed: u64) -> Day {
    let mut day = Day::new(seed);
    day.restart_leader(5_300);
    day.run_to(13_200);
    for number in day.busy_workers(2) {
        day.world.workers[number].crash(&mut day.world.checker);
    }
    day.last_fault = day.world.now;
    let lead_ms = day.world.rng.random_range(100..2_700);
    day.restart_leader(13_200 + lead_ms);
    day.restart_leader(22_800);
    day.run_to(26_300);
    for number in day.busy_workers(3) {
        day.world.workers[number].info.state = WorkerState::Draining;
    }
    day.run_to(42_000);
    day
}

/// Guards against each leader waiting anew for lost workers, and against long-running tasks that stay down after the wait.
#[test]
fn no_task_forgotten() {
    let seeds = std::env::var("EGRETLB_RECORD_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(12) {
        let day = play(seed);
        let longest = day.tasks.iter().map(|task| task.longest).max();
        let counted = day.tasks.iter().map(|task| task.longest_counted).max();
        println!("seed {seed}: longest {longest:?}, counted {counted:?}");
        assert!(counted < Some(MAX_DOWNTIME), "seed {seed}: {counted:?} of {longest:?}");
        assert_eq!(day.world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}
