//! The JSON dump of a node's state for operators. It is bounded in size and contains no payloads.

use {
    crate::{node::Node, relays::UsedRelay},
    egretlb_types::Time,
    serde::Serialize,
    std::time::Duration,
};

/// Maximum number of listed steps, at 200 bytes each.
const MAX_STEPS: usize = 1_000;

/// Maximum number of stranded tasks in the dump. A sample is enough to identify the cause.
const MAX_STRANDED: usize = 100;

#[derive(Serialize)]
struct Dump {
    leads: bool,
    leader: String,
    /// Version of the active configuration.
    configuration: Option<u64>,
    /// Time since that version was last known to be the newest; none before the first.
    configuration_age_ms: Option<u64>,
    ready: bool,
    /// Whether this VM reads all records; if not, it asks standbys.
    follows_records: bool,
    /// Evacuated data centres.
    evacuated: Vec<String>,
    workflows: usize,
    workers: usize,
    /// Age of the last read of the records; none before the first.
    records_read_ms: Option<u64>,
    /// Workers that the new leader hasn't reconciled yet.
    unaccounted: usize,
    /// The relays of this leader.
    relays: Vec<Relay>,
    /// Tasks that would never be started; empty unless the scheduler has a bug.
    stranded: Vec<String>,
    /// Steps with waiting tasks: first the queued ones in queue order, then those whose tasks are blocked by a
    /// run of unknown state. Empty on followers.
    waiting: Vec<Waiting>,
    /// Whether `waiting` is truncated.
    more_waiting: bool,
}

#[derive(Serialize)]
struct Relay {
    name: String,
    data_centre: String,
    /// Number of workers assigned to it.
    workers: usize,
}

#[derive(Serialize)]
struct Waiting {
    step: String,
    tasks: usize,
    /// Indices of some of the tasks.
    indices: Vec<u32>,
    lasting: bool,
    /// Longest wait of these tasks, as far as this leader knows.
    waited_ms: u64,
    reason: String,
    /// Some of the workers that the reason refers to.
    workers: Vec<String>,
    /// Upper bound of how long the reason still applies, if known.
    at_most_ms: Option<u64>,
    /// If the step waits for free capacity: number of workers of its service, and of those that accept tasks.
    service_workers: Option<usize>,
    fit_workers: Option<usize>,
}

fn ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Node {
    /// Encodes the state as JSON.
    pub(crate) fn dump(&self, now: Time) -> Vec<u8> {
        let to_row = |used: UsedRelay| Relay {
            name: used.name.to_string(),
            data_centre: used.data_centre.to_string(),
            workers: used.workers,
        };
        let relays = self.relays.used().into_iter().map(to_row).collect();
        let (ready, follows_records) = (self.is_ready(now), self.follows_records());
        let core = &mut *self.core.borrow_mut();
        let leader = core.leader().to_string();
        let mut dump = Dump {
            leads: core.scheduler.is_some(),
            leader,
            configuration: core.configuration.version(),
            configuration_age_ms: core.configuration.age(now).map(ms),
            ready,
            follows_records,
            evacuated: core.evacuated.iter().map(ToString::to_string).collect(),
            workflows: core.ledger.iter().count(),
            workers: core.directory.len(),
            records_read_ms: core.work_progress.answered_at.map(|at| ms(now.since(at))),
            unaccounted: 0,
            relays,
            stranded: Vec::new(),
            waiting: Vec::new(),
            more_waiting: false,
        };
        if let Some(scheduler) = &mut core.scheduler {
            dump.unaccounted = scheduler.unreconciled_count();
            let stranded = scheduler.stranded().into_iter().take(MAX_STRANDED);
            dump.stranded = stranded.map(|task| task.to_string()).collect();
            let mut steps = scheduler.waiting_steps(now, MAX_STEPS + 1);
            dump.more_waiting = steps.len() > MAX_STEPS;
            steps.truncate(MAX_STEPS);
            let to_row = |waiting: egretlb_workflow::WaitingStep| Waiting {
                step: waiting.step.to_string(),
                tasks: waiting.tasks,
                indices: waiting.indices,
                lasting: waiting.long_running,
                waited_ms: ms(waiting.waited),
                reason: waiting.reason.to_string(),
                workers: waiting.workers.iter().map(ToString::to_string).collect(),
                at_most_ms: waiting.until.map(ms),
                service_workers: waiting.service_workers.map(|fleet| fleet.all),
                fit_workers: waiting.service_workers.map(|fleet| fleet.eligible),
            };
            dump.waiting = steps.into_iter().map(to_row).collect();
        }
        // Serializing this type can't fail.
        serde_json::to_vec(&dump).unwrap_or_default()
    }
}
