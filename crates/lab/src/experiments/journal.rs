//! Appends to the log by owners that batch journal entries, by starts and by owners.
//!
//! Model: each owner gets starts at random times (exponential gaps) and journals one entry for the
//! attempt and one for its end; the log answers after 5 to 20 ms. Each owner has at most one append
//! in flight.

use {
    crate::{
        measure::{CpuClock, OpTimer, Series},
        report::Report,
    },
    egretlb_log::{AppendOutcome, EntryKind, JournalEntry, JournalWriter, WriterOptions},
    egretlb_types::{Epoch, NodeId, Offset, SHARD_COUNT, Seq, ShardId, Ticket, Time},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, Exp},
    std::{collections::VecDeque, time::Duration},
};

/// Entries per start: the attempt and its end.
const ENTRIES_PER_START: f64 = 2.0;

/// Size of the body of an entry.
const ENTRY_BYTES: usize = 96;

/// Virtual time of a run.
const RUN_TIME: Duration = Duration::from_secs(60);

/// Time step of the model.
const TIME_STEP: Duration = Duration::from_millis(1);

/// Range of the answer times of the log, in milliseconds.
const ANSWER_MS: std::ops::Range<u64> = 5..20;

/// Starts per second at the target's peak.
const PEAK_STARTS_PER_S: f64 = 250.0;

/// Number of owners at the target size.
const OWNERS: u64 = 17;

struct Owner {
    writer: JournalWriter,
    /// Tickets of pending entries with the time of their push.
    pushed: VecDeque<(Ticket, Time)>,
    answer: Option<(Time, Seq)>,
    next_start: Time,
    ticket: Ticket,
}

#[derive(Default)]
struct Totals {
    entries: u64,
    appends: u64,
    bytes: u64,
    durable: OpTimer,
}

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("journal", seed);
    let mut appends = Series::new("appends over 17 owners", "starts/s", "1/s");
    let mut bytes = Series::new("appended bytes over 17 owners", "starts/s", "B/s");
    let mut cost = Series::new("processor time of an entry", "starts/s", "us");
    for starts in [25.0, 125.0, PEAK_STARTS_PER_S, 500.0] {
        let cpu = CpuClock::start();
        let totals = simulate(OWNERS, starts, seed);
        cost.push(starts, cpu.micros_each(totals.entries as usize));
        appends.push(starts, totals.appends as f64 / RUN_TIME.as_secs_f64());
        bytes.push(starts, totals.bytes as f64 / RUN_TIME.as_secs_f64());
        report.spreads.push(totals.durable.spread("push to durable, model time", starts));
    }
    let mut by_owners = Series::new("appends at 250 starts/s", "owners", "1/s");
    for owners in [4, 9, OWNERS, 34] {
        let totals = simulate(owners, PEAK_STARTS_PER_S, seed);
        by_owners.push(owners as f64, totals.appends as f64 / RUN_TIME.as_secs_f64());
    }
    report.series.extend([appends, bytes, cost, by_owners]);
    report.fact("outage until a writer is full, at 250 starts/s over 17", outage_secs(), "s");
    report
}

fn simulate(owners: u64, starts_per_s: f64, seed: u64) -> Totals {
    let mut rng = SmallRng::seed_from_u64(seed);
    let gaps = Exp::new(starts_per_s * ENTRIES_PER_START / owners as f64).expect("a rate");
    let mut owner_states: Vec<_> = (0..owners).map(|n| owner(n, seed)).collect();
    for owner in &mut owner_states {
        owner.next_start = Time::ZERO + Duration::from_secs_f64(gaps.sample(&mut rng));
    }
    let mut totals = Totals::default();
    let mut now = Time::ZERO;
    while now < Time::ZERO + RUN_TIME {
        for owner in &mut owner_states {
            owner.step(now, &gaps, &mut rng, &mut totals);
        }
        now = now + TIME_STEP;
    }
    totals
}

fn owner(n: u64, seed: u64) -> Owner {
    let options = WriterOptions::new(NodeId(n), seed.wrapping_add(n));
    Owner {
        writer: JournalWriter::new(options),
        pushed: VecDeque::new(),
        answer: None,
        next_start: Time::ZERO,
        ticket: Ticket(0),
    }
}

fn entry(shard: u16) -> JournalEntry {
    JournalEntry {
        shard: ShardId(shard),
        epoch: Epoch(7),
        kind: EntryKind::Change,
        body: vec![0; ENTRY_BYTES],
    }
}

impl Owner {
    fn step(&mut self, now: Time, gaps: &Exp<f64>, rng: &mut SmallRng, totals: &mut Totals) {
        while self.next_start <= now {
            let shard = rng.random_range(0..SHARD_COUNT);
            self.ticket = self.ticket.next();
            self.writer.push(entry(shard), self.ticket).expect("far below the writer's limit");
            self.pushed.push_back((self.ticket, now));
            self.next_start = self.next_start + Duration::from_secs_f64(gaps.sample(rng));
            totals.entries += 1;
        }
        if let Some((_, seq)) = self.answer.take_if(|(at, _)| *at <= now) {
            let appended = AppendOutcome::Appended(Offset(seq.0));
            let durable = self.writer.answered(now, seq, appended).durable;
            for (_, pushed) in self.pushed.drain(..durable.len()) {
                totals.durable.add(now.since(pushed));
            }
        }
        if let Some(append) = self.writer.poll(now) {
            totals.appends += 1;
            totals.bytes += append.bytes.len() as u64;
            let answer_delay = Duration::from_millis(rng.random_range(ANSWER_MS));
            self.answer = Some((now + answer_delay, append.seq));
        }
    }
}

/// Returns how long an owner accepts entries during an outage of the log.
fn outage_secs() -> f64 {
    let mut writer = owner(0, 0).writer;
    let per_s = PEAK_STARTS_PER_S * ENTRIES_PER_START / OWNERS as f64;
    let accepted = (0..).take_while(|n| writer.push(entry(0), Ticket(*n)).is_ok()).count();
    accepted as f64 / per_s
}
