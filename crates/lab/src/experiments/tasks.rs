//! Cost of tasks for the nodes that own them, as workers, running tasks and starts grow together.
//!
//! With 1,300 workers the model has the target size: 9,200 service replicas, 8,000 running batch
//! tasks and 250 starts per second, a tenth of them urgent.

use {
    crate::{
        measure::Series,
        models::{Totals, World, class_name, document},
        report::Report,
    },
    compact_str::format_compact,
    egretlb_tasks::JobSpec,
    egretlb_types::ClassLoad,
    std::{sync::Arc, time::Duration},
};

/// Number of nodes at the target size.
const NODES: usize = 17;

/// Number of workers at the target size.
const WORKERS: f64 = 1_300.0;

/// Number of service replicas at the target size, over all latency classes.
const REPLICAS: f64 = 9_200.0;

/// Number of running batch tasks, and starts per second, at the target size.
const RUNNING_BATCH_TASKS: f64 = 8_000.0;
const STARTS_PER_S: f64 = 250.0;

/// Number of classes, half of them latency classes.
const CLASSES: usize = 40;

/// Number of tasks per job.
const JOB_TASKS: u32 = 25;

/// Open requests for which the job table requests one replica, in thousandths.
const OPEN_PERMILLE_PER_REPLICA: f64 = 4_800.0;

/// Virtual time to place the services.
const SERVICE_START_TIME: Duration = Duration::from_secs(60);

/// Measured virtual time, idle and at the peak.
const MEASURED_TIME: Duration = Duration::from_secs(60);

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("tasks", seed);
    let mut results = Results::default();
    for workers in [65, 325, 650, 1_300] {
        measure(workers, seed, &mut report, &mut results);
    }
    report.series.extend(results.series());
    report
}

struct Results {
    idle_jobs: Series,
    idle_racks: Series,
    idle_peer: Series,
    idle_worker: Series,
    idle_report: Series,
    peak_jobs: Series,
    peak_racks: Series,
    peak_journal: Series,
    peak_peer: Series,
    peak_worker: Series,
    peak_appends: Series,
    append_bytes: Series,
    running: Series,
    started: Series,
}

impl Default for Results {
    fn default() -> Self {
        let series = |name, unit| Series::new(name, "workers", unit);
        Results {
            idle_jobs: series("job book of a node, nothing starts", "permille of a core"),
            idle_racks: series("rack book of a node, nothing starts", "permille of a core"),
            idle_peer: series("peer messages of a node, nothing starts", "B/s"),
            idle_worker: series("worker calls of a node, nothing starts", "B/s"),
            idle_report: series("of these, reports", "B/s"),
            peak_jobs: series("job book of a node, peak of starts", "permille of a core"),
            peak_racks: series("rack book of a node, peak of starts", "permille of a core"),
            peak_journal: series("journal of a node, peak of starts", "permille of a core"),
            peak_peer: series("peer messages of a node, peak of starts", "B/s"),
            peak_worker: series("worker calls of a node, peak of starts", "B/s"),
            peak_appends: series("journal appends of all nodes, peak of starts", "1/s"),
            append_bytes: series("journal bytes of a start and its end", "B"),
            running: series("tasks running, measured", ""),
            started: series("starts, measured", "1/s"),
        }
    }
}

impl Results {
    fn series(self) -> [Series; 14] {
        [
            self.idle_jobs,
            self.idle_racks,
            self.idle_peer,
            self.idle_worker,
            self.idle_report,
            self.peak_jobs,
            self.peak_racks,
            self.peak_journal,
            self.peak_peer,
            self.peak_worker,
            self.peak_appends,
            self.append_bytes,
            self.running,
            self.started,
        ]
    }

    fn add_idle(&mut self, workers: f64, t: &Totals) {
        self.idle_jobs.push(workers, permille(t.jobs_time));
        self.idle_racks.push(workers, permille(t.racks_time));
        self.idle_peer.push(workers, per_node_second(t.message_bytes));
        self.idle_worker.push(workers, per_node_second(t.worker_bytes));
        self.idle_report.push(workers, per_node_second(t.report_bytes));
    }

    fn add_peak(&mut self, workers: f64, t: &Totals) {
        self.peak_jobs.push(workers, permille(t.jobs_time));
        self.peak_racks.push(workers, permille(t.racks_time));
        self.peak_journal.push(workers, permille(t.journal_time));
        self.peak_peer.push(workers, per_node_second(t.message_bytes));
        self.peak_worker.push(workers, per_node_second(t.worker_bytes));
        self.peak_appends.push(workers, t.appends as f64 / MEASURED_TIME.as_secs_f64());
        self.append_bytes.push(workers, t.append_bytes as f64 / t.starts.max(1) as f64);
        self.started.push(workers, t.starts as f64 / MEASURED_TIME.as_secs_f64());
    }
}

/// Returns the time per node, in thousandths of the measured time.
fn permille(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3 / MEASURED_TIME.as_secs_f64() / NODES as f64
}

/// Returns the count per second and node.
fn per_node_second(count: u64) -> f64 {
    count as f64 / MEASURED_TIME.as_secs_f64() / NODES as f64
}

fn measure(workers: usize, seed: u64, report: &mut Report, results: &mut Results) {
    let scale = workers as f64 / WORKERS;
    let mut load = Load { world: world(workers, seed), jobs: 0 };
    load.start_services(REPLICAS * scale);
    // These tasks run longer than the idle measurement.
    load.start_batch_tasks((RUNNING_BATCH_TASKS * scale) as u32);
    load.world.reset();
    load.run(MEASURED_TIME, REPLICAS * scale, 0.0);
    results.add_idle(workers as f64, &load.world.totals());
    results.running.push(workers as f64, load.world.running() as f64);
    load.world.reset();
    load.run(MEASURED_TIME, REPLICAS * scale, STARTS_PER_S * scale);
    results.add_peak(workers as f64, &load.world.totals());
    let urgent = class_name(URGENT);
    let delays = load.world.delays(Some(&urgent));
    report.spreads.push(delays.spread("urgent: submission to start, model time", workers as f64));
    let others = load.world.delays(None);
    report.spreads.push(others.spread("other batch: submission to start", workers as f64));
    if workers as f64 == WORKERS {
        let t = load.world.totals();
        report.fact("entries journalled for a start", t.entries as f64 / t.starts as f64, "");
        report.fact("submissions refused", t.refused as f64, "");
    }
}

fn world(workers: usize, seed: u64) -> World {
    let mut world = World::new(NODES, workers, Arc::new(document(CLASSES, 25)), seed);
    world.watch(class_name(URGENT));
    world
}

/// Indexes of an urgent batch class and one that is not urgent.
const URGENT: usize = 11;
const ORDINARY: usize = 13;

struct Load {
    world: World,
    jobs: u64,
}

impl Load {
    /// Reports loads for which the owners request `replicas` replicas in total.
    fn report_loads(&mut self, replicas: f64) {
        let classes = CLASSES / 2;
        let open = (replicas / classes as f64 * OPEN_PERMILLE_PER_REPLICA) as u32;
        let load = ClassLoad {
            period: Duration::from_secs(5),
            arrived: 1_000,
            within_target: 1_000,
            open_permille: open,
            ..ClassLoad::default()
        };
        for class in (0..CLASSES).step_by(2) {
            self.world.report_load(&class_name(class), load);
        }
    }

    fn start_services(&mut self, replicas: f64) {
        for _ in 0..SERVICE_START_TIME.as_secs() / 5 {
            self.report_loads(replicas);
            self.world.run(Duration::from_secs(5));
        }
    }

    /// Submits tasks with a run time of two hours.
    fn start_batch_tasks(&mut self, tasks: u32) {
        let mut remaining = tasks;
        while remaining > 0 {
            let count = remaining.min(JOB_TASKS);
            self.submit(ORDINARY, count, "run=7200s use=800m mem=1500MB");
            remaining -= count;
            self.world.run(Duration::from_millis(150));
        }
        self.world.run(Duration::from_secs(20));
    }

    /// Advances the time by `span` with `starts_per_s` starts per second, a tenth of them urgent.
    fn run(&mut self, span: Duration, replicas: f64, starts_per_s: f64) {
        let step = Duration::from_millis(100);
        let jobs_per_step = starts_per_s * step.as_secs_f64() / f64::from(JOB_TASKS);
        let mut due_jobs = 0.0;
        for n in 0..span.as_millis() / step.as_millis() {
            if n % 50 == 0 {
                self.report_loads(replicas);
            }
            due_jobs += jobs_per_step;
            while due_jobs >= 1.0 {
                due_jobs -= 1.0;
                let class = if self.jobs.is_multiple_of(10) { URGENT } else { ORDINARY };
                self.submit(class, JOB_TASKS, "run=10s use=800m mem=1500MB");
            }
            self.world.run(step);
        }
    }

    fn submit(&mut self, class: usize, tasks: u32, command: &str) {
        self.jobs += 1;
        self.world.submit(JobSpec {
            job: format_compact!("job-{:07}", self.jobs).parse().expect("a name"),
            class: class_name(class),
            tasks,
            command: command.into(),
            resources: None,
        });
    }
}
