//! Fake policy service that decides which workers may run a step.

use {
    compact_str::{CompactString, format_compact},
    egretlb_types::Time,
    egretlb_workflow::{AdviceResult, AdviceTerms, StepId, WorkerId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

#[derive(Default)]
pub struct Advisor {
    pub allowed: BTreeSet<WorkerId>,
    /// Whether workers that start later are allowed, too.
    pub allows_new: bool,
    /// Rejects calls as overloaded.
    pub busy: bool,
    /// Doesn't answer.
    pub unresponsive: bool,
    pub calls: u32,
    /// Total number of candidate workers over all calls.
    pub asked_workers: usize,
    issued: BTreeMap<CompactString, Time>,
}

fn ticket(step: StepId, worker: &WorkerId) -> CompactString {
    format_compact!("{step}@{worker}")
}

impl Advisor {
    /// Returns the decision and how long it takes.
    pub fn answer(
        &mut self,
        now: Time,
        step: StepId,
        workers: &[WorkerId],
        terms: AdviceTerms,
    ) -> (AdviceResult, Duration) {
        self.calls += 1;
        if self.unresponsive {
            return (AdviceResult::Failed, Duration::from_secs(2));
        }
        if self.busy {
            return (AdviceResult::Busy, Duration::from_millis(5));
        }
        self.asked_workers += workers.len();
        let count = u32::try_from(workers.len()).expect("few workers");
        let duration =
            Duration::from_millis(u64::from(terms.decision_ms + terms.per_worker_ms * count));
        let valid = Duration::from_millis(u64::from(terms.validity_ms));
        let mut tickets = Vec::new();
        for worker in workers.iter().filter(|worker| self.allowed.contains(*worker)) {
            self.issued.insert(ticket(step, worker), now + duration + valid);
            tickets.push((worker.clone(), ticket(step, worker)));
        }
        (AdviceResult::Allowed { tickets, validity_ms: terms.validity_ms }, duration)
    }

    /// Returns whether a worker accepts a start with this ticket.
    pub fn accepts(&self, now: Time, step: StepId, worker: &WorkerId, presented: &str) -> bool {
        presented == ticket(step, worker)
            && self.issued.get(presented).is_some_and(|until| now < *until)
    }
}
