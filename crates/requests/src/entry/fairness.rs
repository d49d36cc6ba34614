//! Order in which organisations' requests are sent.

use {
    super::class::ClassIx,
    egretlb_types::{Organisation, Time},
    smallvec::SmallVec,
    std::{collections::HashMap, time::Duration},
};

/// An organisation counts as active for this long after its last arrival.
const ACTIVE_WINDOW: Duration = Duration::from_secs(10);

/// One in this many slots is reserved for organisations below their fair share.
const RESERVE_DIVISOR: u32 = 16;

/// Index of an organisation in [`Fairness`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct OrganisationIx(usize);

#[derive(Clone, Debug, Default)]
struct OrganisationState {
    /// Backend time used so far, in microseconds. Raised to the minimum of the busy organisations
    /// when requests wait again, so that idle time gives no credit.
    used_micros: f64,
    open: u32,
    /// Classes with waiting requests.
    classes: SmallVec<[ClassIx; 4]>,
    waiting: u32,
    last_arrival: Option<Time>,
}

/// Divides backend time between organisations: the one with the least usage is next.
///
/// Without it the burst of one organisation would delay the requests of all others. Usage is time
/// at the backend servers, not a number of requests, since requests differ widely in length.
#[derive(Debug, Default)]
pub(super) struct Fairness {
    organisations: Vec<OrganisationState>,
    by_name: HashMap<Organisation, OrganisationIx>,
}

impl Fairness {
    pub(super) fn find_or_add(&mut self, organisation: &Organisation) -> OrganisationIx {
        if let Some(ix) = self.by_name.get(organisation) {
            return *ix;
        }
        let ix = OrganisationIx(self.organisations.len());
        self.organisations.push(OrganisationState::default());
        self.by_name.insert(organisation.clone(), ix);
        ix
    }

    pub(super) fn arrived(&mut self, organisation: OrganisationIx, now: Time) {
        self.organisations[organisation.0].last_arrival = Some(now);
    }

    /// A request of the class was queued.
    pub(super) fn enqueued(&mut self, organisation: OrganisationIx, class: ClassIx) {
        if self.organisations[organisation.0].waiting == 0 {
            self.raise_to_min_usage(organisation);
        }
        let state = &mut self.organisations[organisation.0];
        state.waiting += 1;
        if !state.classes.contains(&class) {
            state.classes.push(class);
        }
    }

    /// A request of the class left its queue; `queue_empty` if it is empty now.
    pub(super) fn dequeued(
        &mut self,
        organisation: OrganisationIx,
        class: ClassIx,
        queue_empty: bool,
    ) {
        let state = &mut self.organisations[organisation.0];
        state.waiting = state.waiting.saturating_sub(1);
        if queue_empty {
            state.classes.retain(|other| *other != class);
        }
    }

    /// A request was sent that is expected to take `cost`.
    pub(super) fn sent(&mut self, organisation: OrganisationIx, cost: Duration) {
        let state = &mut self.organisations[organisation.0];
        state.open += 1;
        state.used_micros += cost.as_micros() as f64;
    }

    /// An attempt ended; its actual time replaces the expected one.
    pub(super) fn ended(
        &mut self,
        organisation: OrganisationIx,
        expected: Duration,
        took: Duration,
    ) {
        let state = &mut self.organisations[organisation.0];
        state.open = state.open.saturating_sub(1);
        state.used_micros += took.as_micros() as f64 - expected.as_micros() as f64;
    }

    /// Organisations with waiting requests, by ascending usage.
    pub(super) fn waiting_by_usage(&self) -> SmallVec<[OrganisationIx; 8]> {
        let waiting = self.organisations.iter().enumerate().filter(|(_, state)| state.waiting > 0);
        let mut by_usage: SmallVec<[OrganisationIx; 8]> =
            waiting.map(|(i, _)| OrganisationIx(i)).collect();
        by_usage.sort_by(|a, b| {
            self.organisations[a.0].used_micros.total_cmp(&self.organisations[b.0].used_micros)
        });
        by_usage
    }

    pub(super) fn classes(&self, organisation: OrganisationIx) -> &[ClassIx] {
        &self.organisations[organisation.0].classes
    }

    /// Whether the organisation may take one of `free` slots of `total`.
    ///
    /// Long requests of one organisation could fill every slot and block the short requests of
    /// others. While several are active, the last slots are reserved for organisations below their
    /// fair share.
    pub(super) fn may_use_slot(
        &self,
        organisation: OrganisationIx,
        now: Time,
        free: u32,
        total: u32,
    ) -> bool {
        let active = self.organisations.iter().filter(|state| state.is_active(now)).count() as u32;
        if active < 2 {
            return free > 0;
        }
        let fair_share = total / active;
        let reserve = total.div_ceil(RESERVE_DIVISOR);
        free > reserve || (free > 0 && self.organisations[organisation.0].open < fair_share.max(1))
    }

    fn raise_to_min_usage(&mut self, organisation: OrganisationIx) {
        let busy = self.organisations.iter().filter(|state| state.waiting > 0 || state.open > 0);
        let min_used = busy.map(|state| state.used_micros).fold(f64::INFINITY, f64::min);
        let state = &mut self.organisations[organisation.0];
        if min_used.is_finite() {
            state.used_micros = state.used_micros.max(min_used);
        }
    }
}

impl OrganisationState {
    fn is_active(&self, now: Time) -> bool {
        self.last_arrival.is_some_and(|last| now.since(last) < ACTIVE_WINDOW)
    }
}
