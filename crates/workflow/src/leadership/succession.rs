//! What a new leader knows of earlier terms.

use {
    crate::{EarlierTerm, LeaderRecord, Limits},
    egretlb_types::{Epoch, Time},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Number of terms whose rosters a leader can use: a leader may end before it has recorded its own.
const MAX_KNOWN_TERMS: usize = 4;

/// An earlier term, on the clock of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct KnownTerm {
    epoch: Epoch,
    /// When its clock was read.
    read_at: Time,
    /// Its clock at that time or shortly before: time since its start, in milliseconds.
    term_ms: u64,
    /// When its leader, and those between it and this one, have stopped sending commands.
    commands_until: Time,
}

type KnownTerms = [Option<KnownTerm>; MAX_KNOWN_TERMS];

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
    /// The terms before that one, as handed on by its leader.
    earlier: KnownTerms,
}

impl Heartbeat {
    /// Creates the state for a record read after the heartbeat `last`.
    pub(super) fn new(
        record: &LeaderRecord,
        read_at: Time,
        ended: bool,
        last: Option<Heartbeat>,
    ) -> Heartbeat {
        let LeaderRecord { epoch, term_ms, .. } = *record;
        // Old ones are read in much less time than they were sent.
        let current = last.is_some_and(|last| {
            let sent_after = Duration::from_millis(term_ms.saturating_sub(last.term_ms));
            let read_after = read_at.since(last.read_at);
            last.epoch == epoch && !read_after.is_zero() && read_after * 2 >= sent_after
        });
        let mut earlier = KnownTerms::default();
        for (slot, term) in earlier.iter_mut().zip(&record.earlier) {
            let commands_until = read_at + Duration::from_millis(term.commands_ms);
            let EarlierTerm { epoch, term_ms, .. } = *term;
            *slot = Some(KnownTerm { epoch, read_at, term_ms, commands_until });
        }
        Heartbeat { epoch, read_at, term_ms, ended, current, earlier }
    }

    /// The terms to hand on with a claim of epoch `claimed`.
    pub(super) fn claimed_after(
        &self,
        now: Time,
        limits: &Limits,
        claimed: Epoch,
    ) -> SmallVec<[EarlierTerm; 2]> {
        // Until the claim is stored, another process may lead under an epoch in between.
        let ended = self.ended && self.epoch.next() == claimed;
        let commands_until = if ended { now } else { now + limits.authority };
        hand_on(now, &self.terms(commands_until))
    }

    /// The term of this heartbeat and those before it, the newest first.
    fn terms(&self, commands_until: Time) -> KnownTerms {
        let Heartbeat { epoch, read_at, term_ms, .. } = *self;
        let mut terms = KnownTerms::default();
        terms[0] = Some(KnownTerm { epoch, read_at, term_ms, commands_until });
        for (slot, term) in terms.iter_mut().skip(1).zip(self.earlier.iter().flatten()) {
            let commands_until = term.commands_until.max(commands_until);
            *slot = Some(KnownTerm { commands_until, ..*term });
        }
        terms
    }
}

fn hand_on(now: Time, terms: &KnownTerms) -> SmallVec<[EarlierTerm; 2]> {
    let hand_on = |term: &KnownTerm| EarlierTerm {
        epoch: term.epoch,
        term_ms: term.term_ms.saturating_add(millis(now.since(term.read_at))),
        commands_ms: match millis(term.commands_until.since(now)) {
            0 if term.commands_until <= now => 0,
            left => left.saturating_add(1),
        },
    };
    terms.iter().flatten().map(hand_on).collect()
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// How long earlier leaders may still send commands, and how to convert times that they recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Succession {
    /// Start of this term, shortly before its claim was read. Recorded times count from here.
    pub began: Time,
    /// The earlier terms whose rosters may be the newest, that of the last leader first.
    terms: KnownTerms,
    /// When no earlier leader sends commands any more, whichever it is.
    earlier_commands_until: Time,
    /// Whether the last leader's newest heartbeat was read soon after it was sent.
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
        let Some(mut heartbeat) = heartbeat.filter(|heartbeat| heartbeat.epoch < claimed) else {
            let terms = KnownTerms::default();
            return Succession { began, terms, earlier_commands_until: latest, current: false };
        };
        // Leaders in between may have handed on more.
        if heartbeat.epoch.next() != claimed {
            heartbeat.earlier = KnownTerms::default();
        }
        // Its authority counts from before the heartbeat was sent, hence from before it was read. That
        // of the leaders before it counts from before its claim was stored.
        let earlier_commands_until = latest.min(heartbeat.read_at + limits.authority);
        let commands_until = if heartbeat.ended { now } else { earlier_commands_until };
        let (terms, current) = (heartbeat.terms(commands_until), heartbeat.current);
        Succession { began, terms, earlier_commands_until, current }
    }

    /// The terms to hand on to the next leader, which uses them if this one ends before it has recorded its roster. None
    /// after the longest wait for leases.
    pub(super) fn handed_on(&self, now: Time, limits: &Limits) -> SmallVec<[EarlierTerm; 2]> {
        if now.since(self.began) > limits.authority + limits.lease_bound() {
            return SmallVec::new();
        }
        hand_on(now, &self.terms)
    }

    /// Returns whether the last leader's newest heartbeat is known to have been sent at most `span` before this term began.
    pub(crate) fn heard_within(&self, span: Duration) -> bool {
        let read_at = self.terms[0].map(|term| term.read_at);
        self.current && read_at.is_some_and(|read_at| self.began.since(read_at) <= span)
    }

    /// Returns the time at which all runs that earlier leaders started must have lapsed, wherever they are.
    pub fn waits_until(&self, limits: &Limits) -> Time {
        self.earlier_commands_until + limits.lease_bound()
    }

    fn term(&self, epoch: Epoch) -> Option<&KnownTerm> {
        self.terms.iter().flatten().find(|term| term.epoch == epoch)
    }

    /// Returns the time from which the leader of epoch `writer`, and those after it, send no commands, if that is known.
    pub(crate) fn commands_until(&self, writer: Epoch) -> Option<Time> {
        self.term(writer).map(|term| term.commands_until)
    }

    /// Converts a time of the term of epoch `writer` to this process's clock, if the term is known. The result may be
    /// slightly late, since a heartbeat is sent before it is read.
    pub(crate) fn local_time(&self, writer: Epoch, term_ms: u64) -> Option<Time> {
        let term = self.term(writer)?;
        Some(term.read_at + Duration::from_millis(term_ms.saturating_sub(term.term_ms)))
    }

    /// Converts a time to milliseconds since the start of this term, rounded up.
    pub(crate) fn term_ms(&self, at: Time) -> u64 {
        millis(at.since(self.began)).saturating_add(1)
    }
}
