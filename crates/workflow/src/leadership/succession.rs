//! What a new leader knows of the leaders before it.

use {
    crate::{LeaderRecord, Limits},
    egretlb_types::{Epoch, Time},
    std::time::Duration,
};

/// The newest sign of life of a leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heartbeat {
    epoch: Epoch,
    read_at: Time,
    term_ms: u64,
    /// It gives no more orders: it said so, or its process has certainly ended.
    over: bool,
}

impl Heartbeat {
    pub(super) fn new(record: &LeaderRecord, read_at: Time, over: bool) -> Heartbeat {
        Heartbeat { epoch: record.epoch, read_at, term_ms: record.term_ms, over }
    }
}

/// How a leader's term begins: what its predecessors may still do, and how to read the times that the last of
/// them recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Succession {
    /// When this term began: its own recorded times count from here.
    pub began: Time,
    predecessor: Epoch,
    commands_until: Time,
    read_at: Time,
    term_ms: u64,
}

impl Succession {
    /// A term that begins now, after a leader whose last sign of life is `heartbeat`.
    pub(super) fn new(
        now: Time,
        began: Time,
        limits: &Limits,
        heartbeat: Option<Heartbeat>,
        claimed: Epoch,
    ) -> Succession {
        let latest = now + limits.authority;
        let Some(heartbeat) = heartbeat.filter(|heartbeat| heartbeat.epoch < claimed) else {
            let predecessor = Epoch(0);
            return Succession {
                began,
                predecessor,
                commands_until: latest,
                read_at: now,
                term_ms: 0,
            };
        };
        // It counts its authority from before it sent the sign, and that was before the sign was read.
        let commands_until =
            if heartbeat.over { now } else { latest.min(heartbeat.read_at + limits.authority) };
        Succession {
            began,
            predecessor: heartbeat.epoch,
            commands_until,
            read_at: heartbeat.read_at,
            term_ms: heartbeat.term_ms,
        }
    }

    /// When the last leader's recorded times are known: it wrote the roster that has them.
    pub(crate) fn follows(&self, writer: Epoch) -> bool {
        self.predecessor == writer
    }

    /// The last leader gives no orders from then on.
    pub(crate) fn commands_until(&self) -> Time {
        self.commands_until
    }

    /// A time of the last leader's term on this process's clock, or a moment later: the sign that tells how long
    /// that leader had led was sent before it was read.
    pub(crate) fn local_time(&self, term_ms: u64) -> Time {
        self.read_at + Duration::from_millis(term_ms.saturating_sub(self.term_ms))
    }

    /// A time of this term, in milliseconds from its beginning, rounded up.
    pub(crate) fn term_ms(&self, at: Time) -> u64 {
        u64::try_from(at.since(self.began).as_millis()).unwrap_or(u64::MAX).saturating_add(1)
    }
}
