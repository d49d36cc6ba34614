//! Faults at steps of one request, and the caller that retries it until the outcome is known.

use {
    super::{
        check::violations,
        world::{ClassSetup, Record, Setup, SimEvent, World},
    },
    egretlb_requests::{
        Protections, RequestId,
        entry::{AttemptResult, EntryEvent, QueueOrder, Verdict},
    },
    egretlb_types::{Ran, RequestKey, Time, VmState, shard_of_rack},
    rand::Rng,
    std::time::Duration,
};

macro_rules! enum_with_all {
    ($(#[$doc:meta])* $name:ident { $($item:ident),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $name { $($item),* }

        impl $name {
            /// All variants.
            pub const ALL: &[$name] = &[$($name::$item),*];
        }
    };
}

enum_with_all!(
    /// Steps of a request with a key, in order; other requests skip those of the key.
    Step {
        Arrived, PermitAsked, IntentInLog, PermitGiven, Sent, Running, Finished, Answered,
        Reported, OutcomeInLog,
    }
);

enum_with_all!(
    /// A fault injected at a step.
    Fault {
        EntryKilled, EntryPaused, AsksLost, OwnersAnswersLost, ServerKilled, ServerLeaving,
        AnswerLost, AnswerTruncated, AnswerLate, LogDown, LogAnswerLost, KeyOwnerKilled,
        KeyOwnerPaused, ShareOwnerKilled, CallerGone,
    }
);

enum_with_all!(
    /// Kind of the request that meets the fault.
    Kind { Idempotent, Plain, Keyed }
);

impl Step {
    pub fn applies(self, kind: Kind) -> bool {
        let about_key = matches!(
            self,
            Step::PermitAsked
                | Step::IntentInLog
                | Step::PermitGiven
                | Step::Reported
                | Step::OutcomeInLog
        );
        !about_key || kind == Kind::Keyed
    }
}

const PAUSE: Duration = Duration::from_secs(12);
const PARTITION: Duration = Duration::from_secs(25);
const LOG_OUTAGE: Duration = Duration::from_secs(15);
const FAILURE_DETECTION: Duration = Duration::from_millis(500);
const MAX_TRIES: usize = 30;
const RACK_OWNER: usize = 0;
const KEY_OWNER: usize = 1;
const SUCCESSOR: usize = 2;
const ACTION_SUCCEED_RACKS: u32 = 0;
const ACTION_SUCCEED_KEYS: u32 = 1;
const ACTION_HEAL: u32 = 2;
const ACTION_RESTART_SERVER: u32 = 100;

/// Faults to inject, and the request that meets them.
#[derive(Debug, Default)]
pub struct FaultPlan {
    /// The request that meets the faults.
    target: Option<RequestId>,
    operation: usize,
    /// Faults that are still to be injected.
    faults: Vec<(Step, Fault)>,
    /// Server that the target was last sent to.
    server: usize,
    /// Fault of the next answer to the target.
    answer: Option<Fault>,
    tries: usize,
    pub injected: usize,
}

impl FaultPlan {
    pub fn record_server(&mut self, request: RequestId, server: usize) {
        if self.target == Some(request) {
            self.server = server;
        }
    }

    /// Returns what happens to the answer to `request`: `None` for nothing, `Some(None)` if it is
    /// lost, else another result or a delay.
    pub fn take_answer(
        &mut self,
        request: RequestId,
    ) -> Option<Option<(Option<AttemptResult>, Duration)>> {
        if self.target != Some(request) {
            return None;
        }
        let late = Duration::from_secs(4);
        match self.answer.take()? {
            Fault::AnswerLost => Some(None),
            Fault::AnswerTruncated => Some(Some((Some(AttemptResult::Truncated), Duration::ZERO))),
            Fault::AnswerLate => Some(Some((None, late))),
            _ => None,
        }
    }
}

impl World {
    /// Injects the faults that are planned for this step of the target request.
    pub fn step(&mut self, step: Step, request: RequestId) {
        if self.plan.target != Some(request) {
            return;
        }
        while let Some(due) = self.plan.faults.iter().position(|(at, _)| *at == step) {
            let (_, fault) = self.plan.faults.remove(due);
            self.plan.injected += 1;
            self.inject(fault, request);
        }
    }

    fn inject(&mut self, fault: Fault, request: RequestId) {
        let entry = self.requests[request.0 as usize].entry;
        let server = self.plan.server;
        match fault {
            Fault::EntryKilled => self.kill_entry(entry),
            Fault::EntryPaused => self.entries[entry].paused_until = self.now + PAUSE,
            Fault::AsksLost => {
                self.blocked_to_owner.extend((0..3).map(|s| (entry, s)));
                self.at(self.now + PARTITION, SimEvent::RunAction(ACTION_HEAL));
            }
            Fault::OwnersAnswersLost => {
                self.blocked_from_owner.extend((0..3).map(|s| (entry, s)));
                self.at(self.now + PARTITION, SimEvent::RunAction(ACTION_HEAL));
            }
            Fault::ServerKilled => {
                self.kill_server(server);
                let restart = ACTION_RESTART_SERVER + server as u32;
                self.at(self.now + Duration::from_secs(5), SimEvent::RunAction(restart));
            }
            Fault::ServerLeaving => self.start_draining(server),
            Fault::AnswerLost | Fault::AnswerTruncated | Fault::AnswerLate => {
                self.plan.answer = Some(fault);
            }
            Fault::LogDown => self.log.down_until = self.now + LOG_OUTAGE,
            Fault::LogAnswerLost => self.log.answers_to_lose = 1,
            Fault::KeyOwnerKilled => {
                self.schedulers[KEY_OWNER].alive = false;
                self.at(self.now + FAILURE_DETECTION, SimEvent::RunAction(ACTION_SUCCEED_KEYS));
            }
            Fault::KeyOwnerPaused => {
                self.schedulers[KEY_OWNER].paused_until = self.now + PAUSE;
                self.at(self.now + FAILURE_DETECTION, SimEvent::RunAction(ACTION_SUCCEED_KEYS));
            }
            Fault::ShareOwnerKilled => {
                self.schedulers[RACK_OWNER].alive = false;
                self.at(self.now + FAILURE_DETECTION, SimEvent::RunAction(ACTION_SUCCEED_RACKS));
            }
            Fault::CallerGone => {
                self.requests[request.0 as usize].caller_gone = true;
                self.send_to(entry, EntryEvent::CallerGone { request });
                self.caller_retry(request);
            }
        }
    }

    /// The server starts to decline requests; the rack's owner is informed at once.
    fn start_draining(&mut self, server: usize) {
        self.servers[server].draining = true;
        self.vms[server].state = VmState::Leaving;
        let shard = shard_of_rack(&self.vms[server].rack);
        self.send_server_list(shard);
    }

    pub fn run_action(&mut self, number: u32) {
        match number {
            ACTION_SUCCEED_RACKS => self.transfer_shards(RACK_OWNER, SUCCESSOR),
            ACTION_SUCCEED_KEYS => self.transfer_shards(KEY_OWNER, SUCCESSOR),
            ACTION_HEAL => {
                self.blocked_to_owner.clear();
                self.blocked_from_owner.clear();
            }
            _ => self.servers[(number - ACTION_RESTART_SERVER) as usize].alive = true,
        }
    }

    /// Retries the target request through another entry, if it was refused, or its outcome is
    /// unknown and it may be sent again.
    pub fn caller_retry(&mut self, id: RequestId) {
        let record = self.requests[id.0 as usize].clone();
        if self.plan.target.is_none() || record.operation != self.plan.operation {
            return;
        }
        self.plan.tries += 1;
        let repeatable = record.key.is_some() || self.setup.classes[record.class].idempotent;
        let wait = match record.answers.last().map(|(_, verdict)| verdict) {
            Some(Verdict::Forward { .. } | Verdict::Recorded(_)) => return,
            Some(Verdict::Refuse { retry_after, .. }) => {
                Duration::from_secs(retry_after.as_secs().into())
            }
            Some(Verdict::Error { .. }) | None if repeatable => Duration::from_secs(2),
            _ => return,
        };
        if self.plan.tries >= MAX_TRIES || self.now > retries_end() {
            return;
        }
        let entry = (record.entry + 1) % self.setup.entries;
        let next = Record {
            arrived: self.now + wait,
            entry,
            answers: Vec::new(),
            runs: 0,
            sends: 0,
            caller_gone: false,
            connection_lost: false,
            ..record
        };
        self.request(self.now + wait, next);
    }
}

/// When callers of a cell stop retrying.
fn retries_end() -> Time {
    Time::from_secs(160)
}

/// Result of one cell of the matrix.
#[derive(Clone, Debug)]
pub struct Cell {
    pub kind: Kind,
    pub faults: Vec<(Step, Fault)>,
    /// Answer to the request that met the fault.
    pub first: String,
    /// Last answer that the caller got.
    pub last: String,
    pub tries: usize,
    pub runs: u32,
    pub injected: bool,
    /// Whether every `Egretlb-Ran: no` and `yes` was correct.
    pub truthful: bool,
    pub violations: Vec<String>,
}

/// Conditions under which the fault is injected.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Maximum extra delay of messages between entries and owners.
    pub jitter: Duration,
    /// Maximum time between two other requests, in milliseconds.
    pub gap_ms: u64,
    /// Range of the other requests' work, in milliseconds.
    pub work_ms: (u64, u64),
    /// How much slower the first entry's clock runs than all others, in thousandths.
    pub slow_clock_permille: i64,
}

/// Light load and no extra delays.
pub const CALM: Conditions =
    Conditions { jitter: Duration::ZERO, gap_ms: 60, work_ms: (60, 240), slow_clock_permille: 0 };

/// Runs one request of `kind` that meets `faults`, among other requests.
pub fn run_cell(kind: Kind, faults: &[(Step, Fault)], protections: Protections, seed: u64) -> Cell {
    run_cell_in(CALM, kind, faults, protections, seed)
}

pub fn run_cell_in(
    conditions: Conditions,
    kind: Kind,
    faults: &[(Step, Fault)],
    protections: Protections,
    seed: u64,
) -> Cell {
    let mut world = start_cell(conditions, kind, faults, protections, seed);
    world.run_until(retries_end() + Duration::from_secs(40));
    let violations = violations(&world);
    let tries = || world.requests.iter().filter(|record| record.operation == 1_000_000);
    let truthful = !violations.iter().any(|text| text.contains("said"));
    Cell {
        kind,
        faults: faults.to_vec(),
        first: tries().next().map(describe_answer).unwrap_or_default(),
        last: tries()
            .rfind(|record| !describe_answer(record).is_empty())
            .map(describe_answer)
            .unwrap_or_default(),
        tries: tries().count(),
        runs: tries().map(|record| record.runs).sum(),
        injected: world.plan.injected > 0,
        truthful,
        violations,
    }
}

/// The world of a cell before any event.
pub fn start_cell(
    conditions: Conditions,
    kind: Kind,
    faults: &[(Step, Fault)],
    protections: Protections,
    seed: u64,
) -> World {
    let mut world = World::new(small_setup(protections, seed));
    world.jitter = conditions.jitter;
    world.entries[0].clock_permille = -conditions.slow_clock_permille;
    schedule_background(&mut world, conditions);
    let start = Time::from_secs(102);
    let target = world.request(start, record(&mut world_rng(seed), kind, 1_000_000, start, 0));
    world.plan.target = Some(target);
    world.plan.operation = 1_000_000;
    world.plan.faults = faults.to_vec();
    world
}

/// Short description of a caller's answer.
fn describe_answer(record: &Record) -> String {
    match record.answers.first().map(|(_, verdict)| verdict) {
        None if record.caller_gone => "caller gone".into(),
        None if record.connection_lost => "connection cut".into(),
        None => "nothing".into(),
        Some(Verdict::Forward { .. }) => "answer".into(),
        Some(Verdict::Recorded(_)) => "recorded answer".into(),
        Some(Verdict::Refuse { reason, .. }) => format!("refused {reason:?}"),
        Some(Verdict::Error { reason, ran, .. }) => {
            let ran = if *ran == Ran::Unknown { "unknown" } else { "no" };
            format!("error {reason:?}, ran {ran}")
        }
    }
}

fn small_setup(protections: Protections, seed: u64) -> Setup {
    let class = |name, organisation, idempotent| ClassSetup {
        name,
        organisation,
        target: Duration::from_millis(1_500),
        idempotent,
    };
    Setup {
        entries: 3,
        schedulers: 3,
        servers: 4,
        slots: 2,
        connections: 4,
        servers_per_rack: 2,
        data_centres: 2,
        classes: vec![class("check", "andina", true), class("filing", "kelani", false)],
        order: QueueOrder::default(),
        protections,
        seed,
    }
}

fn world_rng(seed: u64) -> rand::rngs::SmallRng {
    rand::SeedableRng::seed_from_u64(seed ^ 0xC0FFEE)
}

fn record(
    rng: &mut rand::rngs::SmallRng,
    kind: Kind,
    operation: usize,
    arrived: Time,
    entry: usize,
) -> Record {
    let keyed = kind == Kind::Keyed;
    let key =
        keyed.then(|| RequestKey::new("kelani".parse().unwrap(), &format!("key-{operation}")));
    Record {
        class: usize::from(kind != Kind::Idempotent),
        arrived,
        work: Duration::from_millis(rng.random_range(60..240)),
        deadline: Some(Duration::from_secs(2)),
        key: key.map(Result::unwrap),
        operation,
        entry,
        incarnation: 0,
        answers: Vec::new(),
        runs: 0,
        sends: 0,
        caller_gone: false,
        connection_lost: false,
    }
}

/// Schedules other callers' requests of each kind before and after the fault.
fn schedule_background(world: &mut World, conditions: Conditions) {
    let mut rng = world_rng(world.setup.seed ^ 1);
    let mut at = Time::from_secs(101);
    for operation in 0.. {
        at = at + Duration::from_millis(rng.random_range(1..conditions.gap_ms));
        if at > Time::from_secs(130) {
            return;
        }
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let entry = rng.random_range(0..world.setup.entries);
        let mut other = record(&mut rng, kind, operation, at, entry);
        let (min_ms, max_ms) = conditions.work_ms;
        other.work = Duration::from_millis(rng.random_range(min_ms..max_ms));
        // Long requests have no deadline.
        if other.work > Duration::from_secs(1) {
            other.deadline = None;
        }
        world.request(at, other);
    }
}
