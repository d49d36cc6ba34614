//! What a new leader knows of earlier terms.

use {
    crate::{LeaderRecord, Limits},
    egretlb_types::{Epoch, Time},
    std::time::Duration,
};

/// The newest leader record that was read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heartbeat {
    epoch: Epoch,
    read_at: Time,
    /// Time since the start of that leader's term at which it was sent, in milliseconds.
    term_ms: u64,
    /// Whether that leader sends no more commands: it ended its term, or its process has ended.
    ended: bool,
    /// Whether it was read soon after it was sent. A process that has just started reads old ones.
    current: bool,
}

impl Heartbeat {
    /// Creates the state for a record read after the heartbeat `earlier`.
    pub(super) fn new(
        record: &LeaderRecord,
        read_at: Time,
        ended: bool,
        earlier: Option<Heartbeat>,
    ) -> Heartbeat {
        let LeaderRecord { epoch, term_ms, .. } = *record;
        // Old ones are read in much less time than they were sent.
        let current = earlier.is_some_and(|earlier| {
            let sent_after = Duration::from_millis(term_ms.saturating_sub(earlier.term_ms));
            let read_after = read_at.since(earlier.read_at);
            earlier.epoch == epoch && !read_after.is_zero() && read_after * 2 >= sent_after
        });
        Heartbeat { epoch, read_at, term_ms, ended, current }
    }
}

/// How long earlier leaders may still send commands, and how to convert times recorded by the last
/// one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Succession {
    /// Start of this term, shortly before its claim was read. Recorded times count from here.
    pub began: Time,
    /// Epoch of the last leader; 0 if there was none.
    predecessor: Epoch,
    commands_until: Time,
    /// Like `commands_until`, for all earlier leaders.
    earlier_commands_until: Time,
    /// When the last leader's newest heartbeat was read.
    read_at: Time,
    /// Time since the start of the last leader's term at which that heartbeat was sent, in
    /// milliseconds.
    term_ms: u64,
    /// Whether that heartbeat was read soon after it was sent.
    current: bool,
}

impl Succession {
    /// Creates the state for the term of epoch `claimed`, which starts at `began` and whose claim was
    /// read now. `heartbeat` is the newest one that was read before.
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
                earlier_commands_until: latest,
                read_at: now,
                term_ms: 0,
                current: false,
            };
        };
        // Its authority counts from before the heartbeat was sent, hence from before it was read. That
        // of the leaders before it counts from before its claim was stored.
        let earlier_commands_until = latest.min(heartbeat.read_at + limits.authority);
        Succession {
            began,
            predecessor: heartbeat.epoch,
            commands_until: if heartbeat.ended { now } else { earlier_commands_until },
            earlier_commands_until,
            read_at: heartbeat.read_at,
            term_ms: heartbeat.term_ms,
            current: heartbeat.current,
        }
    }

    /// Returns whether `writer` is the epoch of the last leader, whose recorded times can be
    /// converted.
    pub(crate) fn follows(&self, writer: Epoch) -> bool {
        self.predecessor == writer
    }

    /// Returns whether the last leader's newest heartbeat is known to have been sent at most `span` before this term began.
    pub(crate) fn heard_within(&self, span: Duration) -> bool {
        self.current && self.began.since(self.read_at) <= span
    }

    /// Returns the time from which the last leader sends no commands.
    pub(crate) fn commands_until(&self) -> Time {
        self.commands_until
    }

    /// Returns the time from which no earlier leader sends commands, whichever it is.
    pub(crate) fn earlier_commands_until(&self) -> Time {
        self.earlier_commands_until
    }

    /// Converts a time of the last leader's term to this process's clock. The result may be
    /// slightly late, since a heartbeat is sent before it is read.
    pub(crate) fn local_time(&self, term_ms: u64) -> Time {
        self.read_at + Duration::from_millis(term_ms.saturating_sub(self.term_ms))
    }

    /// Converts a time to milliseconds since the start of this term, rounded up.
    pub(crate) fn term_ms(&self, at: Time) -> u64 {
        u64::try_from(at.since(self.began).as_millis()).unwrap_or(u64::MAX).saturating_add(1)
    }
}
