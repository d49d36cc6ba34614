//! Cost of an idempotency key for its owner.
//!
//! Each key goes through all its states: an entry requests a permit, the intent is journalled, the
//! permit is granted, the outcome is reported and journalled, and the key is kept for a day.

use {
    crate::{
        measure::{CpuClock, Series, resident_bytes},
        models::place::{Held, node_id},
        report::Report,
    },
    compact_str::format_compact,
    egretlb_requests::{
        BodyHash, RequestId,
        keys::{
            KeyOutcome, KeyTable, KeyTableEffect, KeyTableEvent, OutcomeReport, PermitHolder,
            PermitRequest, RecordedAnswer,
        },
    },
    egretlb_types::{RequestKey, SHARD_COUNT, ShardId, Time, shard_of_key},
    std::time::Duration,
};

/// Numbers of kept keys. The table's limit for all shards is a million.
const KEY_COUNTS: [usize; 4] = [50_000, 100_000, 200_000, 400_000];

/// Size of the body of a recorded answer.
const ANSWER_BYTES: usize = 64;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("keys", seed);
    let mut memory = Series::new("resident memory for keys", "keys", "MB");
    let mut cost = Series::new("processor time of a key", "keys", "us");
    let mut snapshot = Series::new("snapshots of all shards", "keys", "MB");
    let all: Vec<_> = (0..SHARD_COUNT).map(ShardId).collect();
    let mut model = KeyModel::new(&all);
    let before = resident_bytes();
    let mut kept_keys = 0;
    for size in KEY_COUNTS {
        let cpu = CpuClock::start();
        for n in kept_keys..size {
            model.add_key(n, seed);
        }
        cost.push(size as f64, cpu.micros_each(size - kept_keys));
        kept_keys = size;
        memory.push(size as f64, (resident_bytes() - before) / 1e6);
        snapshot.push(size as f64, model.snapshot_bytes(&all) as f64 / 1e6);
    }
    report.fact("journal bytes of a key", model.journal_bytes as f64 / kept_keys as f64, "B");
    report.fact("journal entries of a key", model.entries as f64 / kept_keys as f64, "");
    report.series.extend([memory, cost, snapshot]);
    report
}

struct KeyModel {
    table: KeyTable,
    held: Held,
    now: Time,
    out: Vec<KeyTableEffect>,
    journal_bytes: usize,
    entries: usize,
}

impl KeyModel {
    fn new(shards: &[ShardId]) -> Self {
        let mut model = KeyModel {
            table: KeyTable::new(),
            held: Held::new(shards),
            now: Time::ZERO,
            out: Vec::new(),
            journal_bytes: 0,
            entries: 0,
        };
        for shard in shards {
            model.step(KeyTableEvent::Owned { shard: *shard, epoch: Held::EPOCH });
        }
        model
    }

    /// Performs a step and acknowledges its journal entries.
    fn step(&mut self, event: KeyTableEvent) {
        self.table.step(self.now, event, &self.held, &mut self.out);
        while let Some(effect) = self.out.pop() {
            if let KeyTableEffect::Journal { entry, ticket, .. } = effect {
                self.entries += 1;
                self.journal_bytes += postcard::to_stdvec(&entry).map_or(0, |b| b.len());
                let event = KeyTableEvent::Journaled { ticket };
                self.table.step(self.now, event, &self.held, &mut self.out);
            }
        }
    }

    fn add_key(&mut self, n: usize, seed: u64) {
        self.now = self.now + Duration::from_millis(1);
        let text = format_compact!("01890a5d-ac96-774b-{seed:04x}-{n:012x}");
        let member = "mineria-andina".parse().expect("a name");
        let key = RequestKey::new(member, &text).expect("a key");
        let shard = shard_of_key(&key);
        let holder = PermitHolder { entry: node_id(n % 17), request: RequestId(n as u64) };
        let body = BodyHash(n as u64);
        self.step(KeyTableEvent::Request {
            request: PermitRequest { shard, key: key.clone(), body, holder },
        });
        let answer = RecordedAnswer { status: 200, body: Some(vec![b'x'; ANSWER_BYTES]) };
        let report = OutcomeReport { shard, key, holder, outcome: KeyOutcome::Ran(answer) };
        self.step(KeyTableEvent::Report { report });
    }

    fn snapshot_bytes(&self, shards: &[ShardId]) -> usize {
        let len = |shard: &ShardId| {
            postcard::to_stdvec(&self.table.snapshot(self.now, *shard)).map_or(0, |b| b.len())
        };
        shards.iter().map(len).sum()
    }
}
