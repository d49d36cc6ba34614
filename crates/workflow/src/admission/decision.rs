//! Decides whether a submission is taken.

use {
    super::{LoadEstimate, RouteLoad},
    crate::{Step, Submission, WorkflowId},
    egretlb_types::{Epoch, Time},
    std::{
        collections::{HashMap, VecDeque},
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
};

/// Age from which an estimate isn't used. Four are recorded in this time, so it expires only if the leader or the store
/// fails.
pub const MAX_ESTIMATE_AGE: Duration = Duration::from_secs(2);

/// A workflow that ends within this multiple of its target duration is still of use to its caller.
const MAX_TARGETS: u64 = 3;

/// Longest wait that a caller is asked for, in seconds.
const MAX_RETRY_AFTER_SECS: u64 = 10;

/// How long a refused workflow is remembered: callers come back within [`MAX_RETRY_AFTER_SECS`].
const REFUSED_MEMORY: Duration = Duration::from_secs(60);

/// How long a workflow is remembered whose record may be stored although its outcome is unknown. A client's call takes 3 s.
const IN_DOUBT_MEMORY: Duration = Duration::from_secs(10);

/// Maximum number of workflows of each kind that are remembered, some 50 bytes each.
const MAX_REMEMBERED: usize = 4_096;

/// The newest estimate that a process has read.
#[derive(Clone, Copy, Debug)]
pub struct CurrentEstimate<'a> {
    /// The estimate.
    pub estimate: &'a LoadEstimate,
    /// When it was read.
    pub read_at: Time,
    /// Epoch of the newest leader record.
    pub epoch: Epoch,
}

impl CurrentEstimate<'_> {
    /// The time since it was made, by the later of reading and making. One that is read late, from a store that was away or by a
    /// process that was frozen, is older than its reading.
    pub fn age(&self, now: Time, wall_ms: u64) -> Duration {
        let since_made = Duration::from_millis(wall_ms.saturating_sub(self.estimate.made_ms));
        now.since(self.read_at).max(since_made)
    }

    /// Whether it may be used.
    pub fn is_valid(&self, now: Time, wall_ms: u64) -> bool {
        self.estimate.epoch == self.epoch && self.age(now, wall_ms) < MAX_ESTIMATE_AGE
    }
}

/// A submission to decide on.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its id.
    pub id: WorkflowId,
    /// The submission.
    pub submission: &'a Submission,
}

/// Why a workflow is refused, and when its caller should come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Value of `Retry-After`.
    pub retry_after_secs: u32,
    /// Estimated delay until its first task would start.
    pub delay: Duration,
    /// Age of the estimate.
    pub age: Duration,
    /// The longest delay with which it would be taken.
    pub limit: Duration,
}

/// Delays estimated when a workflow was first refused.
#[derive(Clone, Copy, Debug)]
struct FirstRefusal {
    at: Time,
    delay_ms: u64,
    in_time_delay_ms: u64,
}

/// What a process that takes submissions remembers of them. Both lists are bounded; the oldest entry is evicted first.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    refused: HashMap<WorkflowId, FirstRefusal>,
    /// The keys of `refused`, oldest first.
    refused_order: VecDeque<(Time, WorkflowId)>,
    /// Workflows whose records may be stored, oldest first.
    in_doubt: VecDeque<(Time, WorkflowId)>,
}

impl AdmissionControl {
    /// Decides on a submission and remembers a refusal; `None` takes it.
    pub fn decide(
        &mut self,
        now: Time,
        wall_ms: u64,
        current: Option<CurrentEstimate<'_>>,
        arrival: Arrival<'_>,
    ) -> Option<Refusal> {
        self.evict(now);
        let refusal = self.evaluate(now, wall_ms, current, arrival);
        if let Some(refusal) = refusal {
            self.remember(now, arrival, current, refusal);
        }
        refusal
    }

    /// Decides on a submission without remembering it.
    pub fn evaluate(
        &self,
        now: Time,
        wall_ms: u64,
        current: Option<CurrentEstimate<'_>>,
        Arrival { id, submission }: Arrival<'_>,
    ) -> Option<Refusal> {
        let current = current.filter(|current| current.is_valid(now, wall_ms))?;
        let Submission { service, route, workflow, .. } = submission;
        if workflow.is_long_running() || workflow.repeat.is_some() || self.is_in_doubt(now, id) {
            return None;
        }
        let (service, load) = current.estimate.find(service, route)?;
        let reserved = || workflow.steps.iter().filter(|step| !step.best_effort);
        // The estimate counts no work of steps that only some workers may run.
        let is_restricted = |step: &Step| step.label.is_some() || step.per_worker > 0;
        let fits_free = |step: &Step| service.free.fits(&step.resources);
        if reserved().next().is_none() || reserved().any(|s| is_restricted(s) || fits_free(s)) {
            return None;
        }
        let critical_path_ms = workflow.critical_path_ms();
        let target_ms = submission.target_ms();
        let limit_ms = target_ms.saturating_mul(MAX_TARGETS).saturating_sub(critical_path_ms);
        let (delay_ms, in_time_delay_ms) = self.delays(now, id, load);
        let in_time = in_time_delay_ms.saturating_add(critical_path_ms) <= target_ms;
        if in_time || delay_ms <= limit_ms {
            return None;
        }
        Some(Refusal {
            retry_after_secs: retry_after_secs(id, service.drained_ms),
            delay: Duration::from_millis(delay_ms),
            age: current.age(now, wall_ms),
            limit: Duration::from_millis(limit_ms),
        })
    }

    /// The delays that count for a workflow. One that was refused before is judged as if it had waited in the queue since:
    /// what arrived later doesn't count.
    fn delays(&self, now: Time, id: WorkflowId, load: &RouteLoad) -> (u64, u64) {
        let (delay_ms, in_time_ms) = (u64::from(load.delay_ms), u64::from(load.in_time_delay_ms));
        let Some(first) = self.refused.get(&id) else { return (delay_ms, in_time_ms) };
        let waited_ms = u64::try_from(now.since(first.at).as_millis()).unwrap_or(u64::MAX);
        (
            delay_ms.min(first.delay_ms.saturating_sub(waited_ms)),
            in_time_ms.min(first.in_time_delay_ms.saturating_sub(waited_ms)),
        )
    }

    fn remember(
        &mut self,
        now: Time,
        Arrival { id, submission }: Arrival<'_>,
        current: Option<CurrentEstimate<'_>>,
        refusal: Refusal,
    ) {
        if self.refused.contains_key(&id) {
            return;
        }
        let load = current.and_then(|c| c.estimate.find(&submission.service, &submission.route));
        let delay_ms = u64::try_from(refusal.delay.as_millis()).unwrap_or(u64::MAX);
        let in_time_delay_ms = load.map_or(delay_ms, |(_, load)| u64::from(load.in_time_delay_ms));
        self.refused.insert(id, FirstRefusal { at: now, delay_ms, in_time_delay_ms });
        self.refused_order.push_back((now, id));
        if self.refused_order.len() > MAX_REMEMBERED {
            self.evict_oldest_refusal();
        }
    }

    fn evict_oldest_refusal(&mut self) {
        let Some((_, id)) = self.refused_order.pop_front() else { return };
        self.refused.remove(&id);
    }

    fn evict(&mut self, now: Time) {
        while self.refused_order.front().is_some_and(|(at, _)| now.since(*at) >= REFUSED_MEMORY) {
            self.evict_oldest_refusal();
        }
        let expired = |(at, _): &(Time, WorkflowId)| now.since(*at) >= IN_DOUBT_MEMORY;
        while self.in_doubt.front().is_some_and(expired) {
            self.in_doubt.pop_front();
        }
    }

    /// Notes that a workflow's record is about to be stored: from here on a refusal could be wrong.
    pub fn note_attempt(&mut self, now: Time, id: WorkflowId) {
        self.evict(now);
        self.in_doubt.push_back((now, id));
        if self.in_doubt.len() > MAX_REMEMBERED {
            self.in_doubt.pop_front();
        }
    }

    /// Notes that a workflow's record surely wasn't stored.
    pub fn note_not_stored(&mut self, id: WorkflowId) {
        // Another attempt may be under way.
        if let Some(position) = self.in_doubt.iter().rposition(|(_, other)| *other == id) {
            self.in_doubt.remove(position);
        }
    }

    /// Whether a workflow's record may be stored.
    pub fn is_in_doubt(&self, now: Time, id: WorkflowId) -> bool {
        let recent = |at: Time| now.since(at) < IN_DOUBT_MEMORY;
        self.in_doubt.iter().any(|(at, other)| *other == id && recent(*at))
    }
}

/// Spreads callers evenly over the time until the backlog has drained, by the hashes of their ids.
fn retry_after_secs(id: WorkflowId, drained_ms: u32) -> u32 {
    let drained_secs = u64::from(drained_ms).div_ceil(1_000).clamp(1, MAX_RETRY_AFTER_SECS);
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    u32::try_from(1 + hasher.finish() % drained_secs).unwrap_or(1)
}
