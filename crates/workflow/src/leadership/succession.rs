//! What a new leader knows of the leaders before it.

use {
    crate::{LeaderRecord, Limits},
    egretlb_types::{Epoch, Time},
    std::time::Duration,
};

/// The newest sign of life of a leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sign {
    epoch: Epoch,
    read_at: Time,
    term_ms: u64,
    /// It gives no more orders: it said so, or its process has certainly ended.
    over: bool,
}

impl Sign {
    pub(super) fn new(record: &LeaderRecord, read_at: Time, over: bool) -> Sign {
        Sign { epoch: record.epoch, read_at, term_ms: record.term_ms, over }
    }
}

/// How a leader's term begins: what its predecessors may still do, and how to read the times that the last of
/// them recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Succession {
    /// When this term began: its own recorded times count from here.
    pub began: Time,
    predecessor: Epoch,
    orders_until: Time,
    read_at: Time,
    term_ms: u64,
}

impl Succession {
    /// A term that begins now, after a leader whose last sign of life is `sign`.
    pub(super) fn new(
        now: Time,
        began: Time,
        limits: &Limits,
        sign: Option<Sign>,
        claimed: Epoch,
    ) -> Succession {
        let latest = now + limits.authority;
        let Some(sign) = sign.filter(|sign| sign.epoch < claimed) else {
            let predecessor = Epoch(0);
            return Succession {
                began,
                predecessor,
                orders_until: latest,
                read_at: now,
                term_ms: 0,
            };
        };
        // It counts its authority from before it sent the sign, and that was before the sign was read.
        let orders_until =
            if sign.over { now } else { latest.min(sign.read_at + limits.authority) };
        Succession {
            began,
            predecessor: sign.epoch,
            orders_until,
            read_at: sign.read_at,
            term_ms: sign.term_ms,
        }
    }

    /// When the last leader's recorded times are known: it wrote the roster that has them.
    pub(crate) fn is_of(&self, writer: Epoch) -> bool {
        self.predecessor == writer
    }

    /// The last leader gives no orders from then on.
    pub(crate) fn orders_until(&self) -> Time {
        self.orders_until
    }

    /// A time of the last leader's term on this process's clock, or a moment later: the sign that tells how long
    /// that leader had led was sent before it was read.
    pub(crate) fn time_of(&self, term_ms: u64) -> Time {
        self.read_at + Duration::from_millis(term_ms.saturating_sub(self.term_ms))
    }

    /// A time of this term, in milliseconds from its beginning, rounded up.
    pub(crate) fn term_ms(&self, at: Time) -> u64 {
        u64::try_from(at.since(self.began).as_millis()).unwrap_or(u64::MAX).saturating_add(1)
    }
}
