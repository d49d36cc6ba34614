//! Appends to the control stream, one of a purpose at a time.
//!
//! What to append follows from the state, so nothing is queued: an append that failed, or whose
//! answer was lost, is made again only if a later read shows that it is still needed.

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

/// An append whose answer hasn't come after this long counts as unknown.
const GIVE_UP_AFTER: Duration = Duration::from_secs(10);

/// The first wait after a failed append; doubles up to [`BACKOFF_MAX`].
const BACKOFF: Duration = Duration::from_millis(200);

/// The longest wait: a log that comes back is met by 34 processes within this time, not at once.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// What an append is for.
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
struct Gate {
    in_flight: Option<(Ticket, Time)>,
    not_before: Time,
    answered_at: Option<Time>,
    failures: u32,
    in_doubt: bool,
}

/// All appends under way.
#[derive(Clone, Debug)]
pub(crate) struct Appends {
    rng: SmallRng,
    next_ticket: Ticket,
    gates: BTreeMap<Purpose, Gate>,
}

impl Appends {
    pub(crate) fn new(seed: u64) -> Self {
        Appends {
            rng: SmallRng::seed_from_u64(seed),
            next_ticket: Ticket(1),
            gates: BTreeMap::new(),
        }
    }

    /// Whether an append of the purpose may be made: none is under way, and a read sent after the
    /// answer to the last one has shown what became of it.
    pub(crate) fn is_open(&self, now: Time, purpose: Purpose, read_sent: Option<Time>) -> bool {
        let Some(gate) = self.gates.get(&purpose) else {
            return true;
        };
        let seen = gate.answered_at.is_none_or(|at| read_sent.is_some_and(|sent| sent >= at));
        gate.in_flight.is_none() && now >= gate.not_before && seen
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
        self.gates.entry(purpose).or_default().in_flight = Some((ticket, now));
        out.push(ControlEffect::Append { ticket, bytes: record.encode() });
    }

    /// Takes an answer. `true` if the record is certainly in the stream, so that it is worth
    /// reading at once.
    pub(crate) fn done(&mut self, now: Time, ticket: Ticket, outcome: AppendOutcome) -> bool {
        let of_ticket = |gate: &&mut Gate| gate.in_flight.is_some_and(|(of, _)| of == ticket);
        let Some(gate) = self.gates.values_mut().find(of_ticket) else {
            return false;
        };
        gate.in_flight = None;
        gate.answered_at = Some(now);
        if let AppendOutcome::Appended(_) = outcome {
            gate.failures = 0;
            return true;
        }
        gate.in_doubt |= outcome == AppendOutcome::Unknown;
        let full = (BACKOFF * 2_u32.saturating_pow(gate.failures.min(8))).min(BACKOFF_MAX);
        gate.failures += 1;
        gate.not_before = now + full / 2 + (full / 2).mul_f64(self.rng.random::<f64>());
        false
    }

    /// Gives up on answers that will not come.
    pub(crate) fn give_up(&mut self, now: Time) {
        let late = |gate: &Gate| {
            gate.in_flight.filter(|(_, sent)| now >= *sent + GIVE_UP_AFTER).map(|(of, _)| of)
        };
        let tickets: Vec<Ticket> = self.gates.values().filter_map(late).collect();
        for ticket in tickets {
            self.done(now, ticket, AppendOutcome::Unknown);
        }
    }

    /// Whether an append of the purpose is under way or may have reached the log unseen.
    pub(crate) fn in_doubt(&self, purpose: Purpose) -> bool {
        self.gates.get(&purpose).is_some_and(|gate| gate.in_doubt || gate.in_flight.is_some())
    }

    pub(crate) fn forget(&mut self, purpose: Purpose) {
        self.gates.remove(&purpose);
    }
}
