//! An entry's state of one class.

use {
    super::{
        budget::RetryBudget,
        latency::LatencyHistogram,
        limit::ConcurrencyLimit,
        meter::{DrainMeter, LoadMeter},
        options::QueueOrder,
    },
    crate::ids::RequestId,
    egretlb_types::{ClassName, Organisation, Time},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Delay of a hedge in percent of the class's p95 latency. Fewer than 5% of the requests get that
/// far.
const HEDGE_DELAY_PERCENT: u32 = 150;

/// Minimum delay of a hedge; timer resolution makes shorter ones meaningless.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Index of a class in [`Classes`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct ClassIx(pub(super) usize);

/// Position of a request in its class's queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey {
    /// When the request can't be answered in time any more; ties are broken by order of arrival.
    pub(super) queue_deadline: Time,
    pub(super) request: RequestId,
}

/// Settings of a latency-critical class in the current configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ClassSettings {
    pub(super) organisation: Organisation,
    pub(super) target: Duration,
    pub(super) idempotent: bool,
}

/// One class.
#[derive(Clone, Debug)]
pub(super) struct ClassState {
    pub(super) name: ClassName,
    /// `None` if the current configuration has no such latency-critical class.
    pub(super) settings: Option<ClassSettings>,
    pub(super) queue: BTreeMap<QueueKey, RequestId>,
    pub(super) open: u32,
    pub(super) latency: LatencyHistogram,
    pub(super) limit: ConcurrencyLimit,
    pub(super) budget: RetryBudget,
    pub(super) drain_meter: DrainMeter,
    pub(super) load: LoadMeter,
    /// Since when requests have waited while the class had no share.
    pub(super) without_share_since: Option<Time>,
}

impl ClassState {
    fn new(name: ClassName) -> Self {
        ClassState {
            name,
            settings: None,
            queue: BTreeMap::new(),
            open: 0,
            latency: LatencyHistogram::new(Duration::ZERO),
            limit: ConcurrencyLimit::new(),
            budget: RetryBudget::new(),
            drain_meter: DrainMeter::new(),
            load: LoadMeter::default(),
            without_share_since: None,
        }
    }

    /// Time to reserve for the backend server, so that a request sent at the end of its wait is
    /// still answered in time.
    ///
    /// The p99 latency, but at most three quarters of the target: a class whose p99 exceeds its
    /// target must still be served.
    pub(super) fn service_time(&self, target: Duration) -> Duration {
        let tail = self.latency.quantile(990).unwrap_or(self.latency.mean() * 2);
        tail.min(target * 3 / 4)
    }

    /// How long an attempt is open before a hedge is sent.
    pub(super) fn hedge_after(&self) -> Duration {
        let target =
            self.settings.as_ref().map_or(Duration::from_secs(1), |settings| settings.target);
        let tail = self.latency.quantile(950).map(|p95| p95 * HEDGE_DELAY_PERCENT / 100);
        tail.unwrap_or(target / 2).max(MIN_HEDGE_DELAY)
    }

    /// The next request to send.
    pub(super) fn head(&self, order: QueueOrder) -> Option<(QueueKey, RequestId)> {
        let head = match order {
            QueueOrder::EarliestDeadline | QueueOrder::OldestFirst => self.queue.first_key_value(),
            QueueOrder::NewestFirst => self.queue.last_key_value(),
        };
        head.map(|(key, request)| (*key, *request))
    }

    /// Records the number of requests that are open or waiting.
    pub(super) fn record_concurrency_need(&mut self) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.load.record_need(self.open.saturating_add(waiting));
    }
}

/// All classes named by a configuration or a backend server.
#[derive(Debug, Default)]
pub(super) struct Classes {
    list: Vec<ClassState>,
    by_name: HashMap<ClassName, ClassIx>,
}

impl Classes {
    pub(super) fn find(&self, name: &ClassName) -> Option<ClassIx> {
        self.by_name.get(name).copied()
    }

    pub(super) fn find_or_add(&mut self, name: &ClassName) -> ClassIx {
        if let Some(ix) = self.find(name) {
            return ix;
        }
        let ix = ClassIx(self.list.len());
        self.list.push(ClassState::new(name.clone()));
        self.by_name.insert(name.clone(), ix);
        ix
    }

    pub(super) fn get(&self, ix: ClassIx) -> &ClassState {
        &self.list[ix.0]
    }

    pub(super) fn get_mut(&mut self, ix: ClassIx) -> &mut ClassState {
        &mut self.list[ix.0]
    }

    pub(super) fn indices(&self) -> impl Iterator<Item = ClassIx> + use<> {
        (0..self.list.len()).map(ClassIx)
    }
}
