//! Loads: who sends how much when, the same for egretlb and the baseline.

use {
    super::{
        baseline,
        stats::{Outcome, Sample, outcome},
        world::{ClassSetup, Record, Setup, World},
    },
    egretlb_requests::{
        Protections,
        entry::{QueueOrder, Verdict},
    },
    egretlb_types::Time,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{ops::Range, time::Duration},
};

/// How long the world runs before the first request, so that shares are granted.
const WARM_UP: Duration = Duration::from_secs(2);

/// One request of a load.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub class: usize,
    /// After the start of the load.
    pub at: Duration,
    /// What it takes at a server of ordinary speed.
    pub work: Duration,
    pub entry: usize,
}

impl Job {
    pub fn sample(&self) -> Sample {
        Sample {
            class: self.class,
            arrived_ms: self.at.as_millis() as u64,
            took: Duration::ZERO,
            answered: false,
            sends: 0,
        }
    }
}

/// Requests of one class at one rate for a while.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub class: usize,
    /// In milliseconds after the start.
    pub from_ms: u64,
    pub to_ms: u64,
    pub per_second: f64,
    pub mean_work_ms: f64,
}

/// Draws the arrivals of all streams: Poisson, each at an entry drawn by the platform's balancer,
/// with work of an Erlang distribution of four stages, whose p99 is two and a half times its mean.
pub fn jobs(streams: &[Stream], entries: usize, seed: u64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    for stream in streams {
        let mut at = stream.from_ms as f64 / 1_000.0;
        loop {
            at += exponential(&mut rng) / stream.per_second;
            if at * 1_000.0 >= stream.to_ms as f64 {
                break;
            }
            let stages: f64 = (0..4).map(|_| exponential(&mut rng)).sum();
            let work = Duration::from_secs_f64(stages / 4.0 * stream.mean_work_ms / 1_000.0);
            let entry = rng.random_range(0..entries);
            let at = Duration::from_secs_f64(at);
            jobs.push(Job { class: stream.class, at, work, entry });
        }
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// A site of the co-operative.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub servers: usize,
    pub per_rack: usize,
    pub entries: usize,
}

pub const SLOTS: u16 = 8;
pub const BOGOTA: Site = Site { servers: 65, per_rack: 8, entries: 9 };
pub const SRI_LANKA: Site = Site { servers: 50, per_rack: 6, entries: 8 };

impl Site {
    /// Requests a second that the servers can work off.
    pub fn capacity(&self, mean_work_ms: f64) -> f64 {
        self.servers as f64 * f64::from(SLOTS) / mean_work_ms * 1_000.0
    }

    pub fn setup(&self, classes: &[ClassSetup], order: QueueOrder, seed: u64) -> Setup {
        Setup {
            entries: self.entries,
            schedulers: 1,
            servers: self.servers,
            slots: SLOTS,
            connections: 64,
            per_rack: self.per_rack,
            data_centres: 4,
            classes: classes.to_vec(),
            order,
            protections: Protections::default(),
            seed,
        }
    }
}

/// What both ways did with one load.
pub struct Runs {
    pub ours: Vec<Sample>,
    pub plain: Vec<Sample>,
    pub targets: Vec<Duration>,
    pub peak: usize,
    pub messages: u64,
    /// Bytes a second and entry for asking for shares and granting them.
    pub share_bytes: f64,
}

/// Runs the load through entries and through the baseline. `slow` holds factors of slow servers.
pub fn run(
    site: Site,
    classes: &[ClassSetup],
    streams: &[Stream],
    slow: &[(usize, f64)],
    order: QueueOrder,
    seed: u64,
) -> Runs {
    run_on(site, classes, streams, slow, order, seed, usize::MAX)
}

/// The same on servers that thrash with more than `thrashes_above` requests at once; the baseline
/// doesn't know that.
pub fn run_on(
    site: Site,
    classes: &[ClassSetup],
    streams: &[Stream],
    slow: &[(usize, f64)],
    order: QueueOrder,
    seed: u64,
    thrashes_above: usize,
) -> Runs {
    let jobs = jobs(streams, site.entries, seed);
    let targets: Vec<Duration> = classes.iter().map(|class| class.target).collect();
    let mut factors = vec![1.0; site.servers];
    for (server, factor) in slow {
        factors[*server] = *factor;
    }
    let mut world = World::new(site.setup(classes, order, seed));
    for (server, factor) in slow {
        world.servers[*server].slow = *factor;
    }
    for server in &mut world.servers {
        server.thrashes_above = thrashes_above;
    }
    let start = world.now + WARM_UP;
    for (i, job) in jobs.iter().enumerate() {
        world.request(start + job.at, record(i, job, start));
    }
    let last = jobs.last().map_or(Duration::ZERO, |job| job.at);
    world.run_until(start + last + Duration::from_secs(15));
    let ours = jobs.iter().zip(&world.requests).map(|(job, record)| seen(job, record)).collect();
    let plain = baseline::run(&jobs, &targets, usize::from(SLOTS), &factors);
    let peak = world.servers.iter().map(|server| server.peak).max().unwrap_or(0);
    let seconds = (last + Duration::from_secs(17)).as_secs_f64() * site.entries as f64;
    let share_bytes = world.share_bytes as f64 / seconds;
    Runs { ours, plain, targets, peak, messages: world.messages, share_bytes }
}

pub fn record(i: usize, job: &Job, start: Time) -> Record {
    Record {
        class: job.class,
        arrived: start + job.at,
        work: job.work,
        deadline: None,
        key: None,
        intent: i,
        entry: job.entry,
        incarnation: 0,
        answers: Vec::new(),
        runs: 0,
        sends: 0,
        caller_gone: false,
        cut_off: false,
    }
}

fn seen(job: &Job, record: &Record) -> Sample {
    let (at, verdict) = record.answers.first().expect("every request gets an answer");
    Sample {
        took: at.since(record.arrived),
        answered: matches!(verdict, Verdict::Forward { .. }),
        sends: record.sends,
        ..job.sample()
    }
}

impl Runs {
    /// The outcome of one class's requests that arrived in a stretch of time.
    pub fn ours(&self, class: usize, arrived_ms: Range<u64>) -> Outcome {
        select(&self.ours, class, arrived_ms, self.targets[class])
    }

    pub fn plain(&self, class: usize, arrived_ms: Range<u64>) -> Outcome {
        select(&self.plain, class, arrived_ms, self.targets[class])
    }
}

fn select(samples: &[Sample], class: usize, ms: Range<u64>, target: Duration) -> Outcome {
    let chosen = samples.iter().copied();
    outcome(chosen.filter(|s| s.class == class && ms.contains(&s.arrived_ms)), target)
}
