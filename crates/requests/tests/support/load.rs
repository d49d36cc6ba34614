//! Loads that are the same for egretlb and the baseline.

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
pub struct LoadRequest {
    pub class: usize,
    /// Time after the start of the load.
    pub at: Duration,
    /// Work at a server of normal speed.
    pub work: Duration,
    pub entry: usize,
}

impl LoadRequest {
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

/// Requests of one class at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub class: usize,
    /// In milliseconds after the start.
    pub from_ms: u64,
    pub to_ms: u64,
    pub per_second: f64,
    pub mean_work_ms: f64,
}

/// Generates the arrivals of all streams: Poisson, each at a random entry, with Erlang-4
/// distributed work, whose p99 is two and a half times its mean.
pub fn load_requests(streams: &[Stream], entries: usize, seed: u64) -> Vec<LoadRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut load_requests = Vec::new();
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
            load_requests.push(LoadRequest { class: stream.class, at, work, entry });
        }
    }
    load_requests.sort_by_key(|load_request| load_request.at);
    load_requests
}

fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// Size of a site.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub servers: usize,
    pub servers_per_rack: usize,
    pub entries: usize,
}

pub const SLOTS: u16 = 8;
pub const BOGOTA: Site = Site { servers: 65, servers_per_rack: 8, entries: 9 };
pub const SRI_LANKA: Site = Site { servers: 50, servers_per_rack: 6, entries: 8 };

impl Site {
    /// Requests per second that the servers can process.
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
            servers_per_rack: self.servers_per_rack,
            data_centres: 4,
            classes: classes.to_vec(),
            order,
            protections: Protections::default(),
            seed,
        }
    }
}

/// Results of egretlb and the baseline for one load.
pub struct Runs {
    pub egretlb: Vec<Sample>,
    pub baseline: Vec<Sample>,
    pub targets: Vec<Duration>,
    pub peak: usize,
    pub messages: u64,
    /// Bytes per second and entry for share requests and grants.
    pub share_bytes: f64,
}

/// Runs the load through entries and through the baseline. `slow` holds the slowdown of slow
/// servers.
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

/// The same on servers that thrash above `thrashes_above` concurrent requests; those of the
/// baseline don't.
pub fn run_on(
    site: Site,
    classes: &[ClassSetup],
    streams: &[Stream],
    slow: &[(usize, f64)],
    order: QueueOrder,
    seed: u64,
    thrashes_above: usize,
) -> Runs {
    let load_requests = load_requests(streams, site.entries, seed);
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
    for (i, load_request) in load_requests.iter().enumerate() {
        world.request(start + load_request.at, record(i, load_request, start));
    }
    let last = load_requests.last().map_or(Duration::ZERO, |load_request| load_request.at);
    world.run_until(start + last + Duration::from_secs(15));
    let egretlb = load_requests
        .iter()
        .zip(&world.requests)
        .map(|(load_request, record)| sample_of(load_request, record))
        .collect();
    let baseline = baseline::run(&load_requests, &targets, usize::from(SLOTS), &factors);
    let peak = world.servers.iter().map(|server| server.peak).max().unwrap_or(0);
    let seconds = (last + Duration::from_secs(17)).as_secs_f64() * site.entries as f64;
    let share_bytes = world.share_bytes as f64 / seconds;
    Runs { egretlb, baseline, targets, peak, messages: world.messages, share_bytes }
}

pub fn record(i: usize, load_request: &LoadRequest, start: Time) -> Record {
    Record {
        class: load_request.class,
        arrived: start + load_request.at,
        work: load_request.work,
        deadline: None,
        key: None,
        operation: i,
        entry: load_request.entry,
        incarnation: 0,
        answers: Vec::new(),
        runs: 0,
        sends: 0,
        caller_gone: false,
        connection_lost: false,
    }
}

fn sample_of(load_request: &LoadRequest, record: &Record) -> Sample {
    let (at, verdict) = record.answers.first().expect("every request gets an answer");
    Sample {
        took: at.since(record.arrived),
        answered: matches!(verdict, Verdict::Forward { .. }),
        sends: record.sends,
        ..load_request.sample()
    }
}

impl Runs {
    /// Outcome of one class's requests that arrived in a time range.
    pub fn egretlb(&self, class: usize, arrived_ms: Range<u64>) -> Outcome {
        outcome_of(&self.egretlb, class, arrived_ms, self.targets[class])
    }

    pub fn baseline(&self, class: usize, arrived_ms: Range<u64>) -> Outcome {
        outcome_of(&self.baseline, class, arrived_ms, self.targets[class])
    }
}

fn outcome_of(samples: &[Sample], class: usize, ms: Range<u64>, target: Duration) -> Outcome {
    let chosen = samples.iter().copied();
    outcome(chosen.filter(|s| s.class == class && ms.contains(&s.arrived_ms)), target)
}
