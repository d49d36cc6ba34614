//! What a process knows, for whoever looks into it. Without clients' payloads, and bounded in size.

use {
    crate::{node::Node, relays::UsedRelay},
    egretlb_types::Time,
    serde::Serialize,
    std::time::Duration,
};

/// The most steps that are listed: at 200 bytes each 200 KB.
const MAX_STEPS: usize = 1_000;

/// The most stranded tasks that are listed: the first ones show what kind they are.
const MAX_STRANDED: usize = 100;

#[derive(Serialize)]
struct Dump {
    leads: bool,
    leader: String,
    /// The version of the configuration in force.
    configuration: Option<u64>,
    ready: bool,
    workflows: usize,
    workers: usize,
    /// How long ago the records were last read; none if never.
    records_read_ms: Option<u64>,
    /// Workers that the new leader waits for.
    unaccounted: usize,
    /// The VMs that carry this leader's calls.
    relays: Vec<Relay>,
    /// Tasks that nothing would ever start; there is none unless the scheduler has a fault.
    stranded: Vec<String>,
    /// Steps with tasks that wait: those in the queue, the first of them first, then those whose tasks are
    /// held by a run that isn't known to be at work. Only the leader knows.
    waiting: Vec<Waiting>,
    /// Set if not all are listed.
    more_waiting: bool,
}

#[derive(Serialize)]
struct Relay {
    name: String,
    data_centre: String,
    /// How many workers it carries.
    workers: usize,
}

#[derive(Serialize)]
struct Waiting {
    step: String,
    tasks: usize,
    /// Some of the tasks, by index.
    indices: Vec<u32>,
    lasting: bool,
    /// How long the first of them hasn't run, as far as this leader knows.
    waited_ms: u64,
    reason: String,
    /// Some of the workers that the reason is about.
    workers: Vec<String>,
    /// How long the reason lasts at most, where that is known.
    at_most_ms: Option<u64>,
    /// The workers of its service, and those of them that take work, where room is what it waits for.
    service_workers: Option<usize>,
    fit_workers: Option<usize>,
}

fn ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Node {
    /// The state as JSON.
    pub(crate) fn dump(&self, now: Time) -> Vec<u8> {
        let to_row = |used: UsedRelay| Relay {
            name: used.name.to_string(),
            data_centre: used.data_centre.to_string(),
            workers: used.workers,
        };
        let relays = self.relays.used().into_iter().map(to_row).collect();
        let core = &mut *self.core.borrow_mut();
        let ready = core.is_ready(now);
        let leader = core.leader().to_string();
        let mut dump = Dump {
            leads: core.scheduler.is_some(),
            leader,
            configuration: core.routes.as_ref().map(|routes| routes.version),
            ready,
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
        // Plain data always has a form in JSON.
        serde_json::to_vec(&dump).unwrap_or_default()
    }
}
