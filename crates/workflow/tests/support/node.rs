//! Simulated node that runs the state machines of one process.

use {
    compact_str::CompactString,
    egretlb_types::{Epoch, Offset, Seq, Time},
    egretlb_workflow::{
        DirectoryChange, Effect, Key, Leadership, LeadershipEffect, Ledger, LedgerChange, Limits,
        RecordError, Scheduler, WorkerInfo,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Spreads incarnations like random numbers. Append numbers derive from them, and the store takes consecutive ones of two
/// claims of one epoch for appends of one leader.
const INCARNATION_SPREAD: u64 = 16_777_259;

pub struct Node {
    pub name: usize,
    pub up: bool,
    /// The process is paused until then.
    pub frozen_until: Time,
    pub ledger: Ledger,
    pub leadership: Leadership,
    pub scheduler: Option<Scheduler>,
    pub next: Offset,
    pub reaches_store: bool,
    /// Whether calls to an unreachable store hang and arrive once it is reachable again.
    pub calls_hang: bool,
    /// Workers that it can't reach.
    pub unreachable: Vec<usize>,
    /// Workers that execute its commands but whose answers are lost.
    pub answers_lost_from: Vec<usize>,
    /// Healthy workers whose network refuses its connections.
    pub refused_by: Vec<usize>,
    pub elections: u32,
    pub directory: Vec<WorkerInfo>,
    /// The evacuated data centres as of `read_at`.
    pub evacuated: BTreeSet<CompactString>,
    /// When the evacuations were last read.
    pub read_at: Time,
    pub incarnation: u64,
    /// How far its time of day is behind.
    pub clock_behind: Duration,
    /// Keys of records that may be unreadable, since another writer wrote them.
    pub foreign_keys: Vec<Key>,
    limits: Limits,
}

/// An effect to be performed by the simulation.
pub enum Action {
    Claim { epoch: Epoch, seq: Seq, records: Vec<egretlb_workflow::Record> },
    Effect(Epoch, Effect),
}

impl Node {
    pub fn new(now: Time, name: usize, incarnation: u64, limits: Limits) -> Node {
        let place = u32::try_from(incarnation * 317 % 1_000).unwrap_or(0);
        let port = 2_000 + u16::try_from(name).unwrap_or(0);
        let random = incarnation * INCARNATION_SPREAD;
        let mut leadership = Leadership::new(now, format!("node-{name}"), random, place, limits);
        leadership.set_addr(([127, 0, 0, 1], port).into());
        Node {
            name,
            up: true,
            frozen_until: Time::ZERO,
            ledger: Ledger::default(),
            leadership,
            scheduler: None,
            next: Offset(0),
            reaches_store: true,
            calls_hang: false,
            unreachable: Vec::new(),
            answers_lost_from: Vec::new(),
            refused_by: Vec::new(),
            elections: 0,
            directory: Vec::new(),
            evacuated: BTreeSet::new(),
            read_at: now,
            incarnation,
            clock_behind: Duration::ZERO,
            foreign_keys: Vec::new(),
            limits,
        }
    }

    pub fn runs(&self, now: Time) -> bool {
        self.up && now >= self.frozen_until
    }

    /// Its time of day, in milliseconds since 1970.
    pub fn wall_ms(&self, now: Time) -> u64 {
        (now - self.clock_behind).as_micros() / 1_000
    }

    pub fn leads(&self, now: Time) -> bool {
        self.leadership.authority(now).is_some()
    }

    /// Applies a record.
    pub fn read(&mut self, now: Time, offset: Offset, key: &[u8], value: &[u8]) -> Vec<Action> {
        self.next = offset.next();
        let change = match self.ledger.apply(offset, key, value) {
            Ok(change) => change,
            Err(error) => return self.skip(key, &error),
        };
        let mut actions = Vec::new();
        let mut out = Vec::new();
        match change {
            LedgerChange::Leader => {
                let leader = self.ledger.leader().cloned().expect("it was just read");
                self.leadership.on_leader_record(now, &leader, &mut out);
            }
            LedgerChange::Progressed(_) | LedgerChange::Roster => {
                self.leadership.on_leader_activity(now)
            }
            _ => {}
        }
        self.apply(now, out, &mut actions);
        let mut effects = Vec::new();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_change(now, &self.ledger, change, &mut effects);
        }
        self.enqueue(effects, &mut actions);
        actions
    }

    /// Skips an unreadable record of another writer.
    fn skip(&mut self, key: &[u8], error: &RecordError) -> Vec<Action> {
        let key = Key::from_bytes(key).expect("a record of this crate");
        assert!(self.foreign_keys.contains(&key), "{key:?}: {error}");
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_unreadable(key, &self.ledger);
        }
        Vec::new()
    }

    pub fn enqueue(&mut self, effects: Vec<Effect>, actions: &mut Vec<Action>) {
        let Some(epoch) = self.leadership.term() else { return };
        actions.extend(effects.into_iter().map(|effect| Action::Effect(epoch, effect)));
    }

    pub fn apply(&mut self, now: Time, out: Vec<LeadershipEffect>, actions: &mut Vec<Action>) {
        for effect in out {
            match effect {
                LeadershipEffect::Claim { epoch, seq, records } => {
                    actions.push(Action::Claim { epoch, seq, records });
                }
                LeadershipEffect::Elected { epoch, succession } => {
                    self.elections += 1;
                    let directory = self.directory.iter().cloned().map(DirectoryChange::Present);
                    let wall_ms = self.wall_ms(now);
                    let mut scheduler = Scheduler::new(
                        now,
                        wall_ms,
                        (epoch, succession),
                        self.limits,
                        &self.ledger,
                        directory,
                    );
                    scheduler.set_evacuated(&self.evacuated);
                    self.scheduler = Some(scheduler);
                }
                LeadershipEffect::Deposed => self.scheduler = None,
            }
        }
    }
}
