//! Appends to the control stream, at most one in flight for each purpose.
//!
//! The state determines what to append, so nothing is queued: an append that failed, or whose
//! answer was lost, is repeated only if a later read shows that it is still needed.

use {
    crate::{
        event::ControlEffect,
        record::{ControlRecord, ProposalId},
    },
    egretlb_log::AppendOutcome,
    egretlb_types::{Ticket, Time},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
};

/// An append without an answer after this long counts as unconfirmed.
const APPEND_TIMEOUT: Duration = Duration::from_secs(10);

/// The first backoff after a failed append; doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// The maximum backoff. With the jitter, it spreads the appends of all processes when the log
/// recovers.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// The purpose of an append.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Purpose {
    Join,
    Claim,
    Settle,
    Release,
    LivenessCheck,
    Snapshot,
    Leave,
    Prune,
    LowWaterMark,
    Propose(ProposalId),
}

#[derive(Clone, Debug, Default)]
struct AppendState {
    in_flight: Option<(Ticket, Time)>,
    not_before: Time,
    answered_at: Option<Time>,
    failures: u32,
    unconfirmed: bool,
}

/// The appends of this process, by purpose.
#[derive(Clone, Debug)]
pub(crate) struct Appends {
    rng: SmallRng,
    next_ticket: Ticket,
    by_purpose: BTreeMap<Purpose, AppendState>,
}

impl Appends {
    pub(crate) fn new(seed: u64) -> Self {
        Appends {
            rng: SmallRng::seed_from_u64(seed),
            next_ticket: Ticket(1),
            by_purpose: BTreeMap::new(),
        }
    }

    /// Whether an append for the purpose may be made: none is in flight, and a read sent after the
    /// last answer has shown its effect.
    pub(crate) fn may_append(&self, now: Time, purpose: Purpose, read_sent: Option<Time>) -> bool {
        let Some(state) = self.by_purpose.get(&purpose) else {
            return true;
        };
        let outcome_read =
            state.answered_at.is_none_or(|at| read_sent.is_some_and(|sent| sent >= at));
        state.in_flight.is_none() && now >= state.not_before && outcome_read
    }

    pub(crate) fn append(
        &mut self,
        now: Time,
        purpose: Purpose,
        record: &ControlRecord,
        out: &mut Vec<ControlEffect>,
    ) {
        let ticket = self.next_ticket;
        self.next_ticket = ticket.next();
        self.by_purpose.entry(purpose).or_default().in_flight = Some((ticket, now));
        out.push(ControlEffect::Append { ticket, bytes: record.encode() });
    }

    /// Handles an answer. Returns `true` if the record is certainly in the stream and a read should
    /// follow at once.
    pub(crate) fn answered(&mut self, now: Time, ticket: Ticket, outcome: AppendOutcome) -> bool {
        let has_ticket = |state: &&mut AppendState| {
            state.in_flight.is_some_and(|(pending, _)| pending == ticket)
        };
        let Some(state) = self.by_purpose.values_mut().find(has_ticket) else {
            return false;
        };
        state.in_flight = None;
        state.answered_at = Some(now);
        if let AppendOutcome::Appended(_) = outcome {
            state.failures = 0;
            return true;
        }
        state.unconfirmed |= outcome == AppendOutcome::Unknown;
        let backoff = (BACKOFF_MIN * 2_u32.saturating_pow(state.failures.min(8))).min(BACKOFF_MAX);
        state.failures += 1;
        state.not_before = now + backoff / 2 + (backoff / 2).mul_f64(self.rng.random::<f64>());
        false
    }

    /// Treats appends without an answer as unconfirmed after [`APPEND_TIMEOUT`].
    pub(crate) fn time_out(&mut self, now: Time) {
        let timed_out = |state: &AppendState| {
            state
                .in_flight
                .filter(|(_, sent)| now >= *sent + APPEND_TIMEOUT)
                .map(|(ticket, _)| ticket)
        };
        let tickets: Vec<Ticket> = self.by_purpose.values().filter_map(timed_out).collect();
        for ticket in tickets {
            self.answered(now, ticket, AppendOutcome::Unknown);
        }
    }

    /// Whether an append for the purpose is in flight, or may have reached the log without an
    /// answer.
    pub(crate) fn is_unconfirmed(&self, purpose: Purpose) -> bool {
        self.by_purpose
            .get(&purpose)
            .is_some_and(|state| state.unconfirmed || state.in_flight.is_some())
    }

    pub(crate) fn forget(&mut self, purpose: Purpose) {
        self.by_purpose.remove(&purpose);
    }
}
