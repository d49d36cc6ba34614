//! A simulated process with its clock and its current faults.

use {
    super::app::App,
    egretlb_control::{Control, ControlEvent, NodeInfo},
    egretlb_log::{AppendOutcome, JournalWriter, ReadOutcome},
    egretlb_types::{Seq, Time},
};

/// A message to a process.
#[derive(Clone, Debug)]
pub enum Delivery {
    Control(ControlEvent),
    JournalAnswer { seq: Seq, outcome: AppendOutcome },
    RecoveryPage { recovery_id: u64, outcome: ReadOutcome },
}

/// A clock with its own rate.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    since: u64,
    reading: u64,
    per_mille: u64,
}

impl Clock {
    pub fn read(&self, now: u64) -> Time {
        Time::from_micros(self.reading + (now - self.since) * self.per_mille / 1_000)
    }

    pub fn set_rate(&mut self, now: u64, per_mille: u64) {
        let reading = self.read(now).as_micros();
        *self = Clock { since: now, reading, per_mille };
    }
}

pub struct SimNode {
    pub info: NodeInfo,
    pub incarnation: u32,
    pub control: Option<Control>,
    pub journal: JournalWriter,
    pub app: App,
    pub clock: Clock,
    pub paused_until: u64,
    pub log_cut_until: u64,
    pub journals_cut_until: u64,
    pub peers_cut_until: u64,
    pub late_answers_until: u64,
    pub lose_answers: u32,
    pub late_appends: u32,
    pub change_at: u64,
    pub takeover_since: Option<u64>,
}

impl SimNode {
    pub fn new(info: NodeInfo, incarnation: u32, control: Control, journal: JournalWriter) -> Self {
        SimNode {
            // Clocks of different processes start at different readings.
            clock: Clock { since: 0, reading: info.node.0 % 977 * 1_000_000, per_mille: 1_000 },
            info,
            incarnation,
            control: Some(control),
            journal,
            app: App::default(),
            paused_until: 0,
            log_cut_until: 0,
            journals_cut_until: 0,
            peers_cut_until: 0,
            late_answers_until: 0,
            lose_answers: 0,
            late_appends: 0,
            change_at: 0,
            takeover_since: None,
        }
    }
}
