//! Gauges that are sampled from the reducers.

use {
    egretlb_control::Control,
    egretlb_node::{EntryNode, Scheduler},
    egretlb_telemetry::{CommonMetrics, EntryMetrics, SchedulerMetrics, Shares, VmCounts},
    egretlb_types::{Offset, Time},
    std::{sync::Arc, time::Duration},
};

/// Time between two updates; each scans all classes and backend servers.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

fn update_common(now: Time, control: &Control, read_sent: Option<Time>, metrics: &CommonMetrics) {
    let version = control.in_force().version.0.checked_sub(1).map(Offset);
    metrics.set_config_version(version);
    metrics.set_control_read_age(now.since(read_sent.unwrap_or(Time::ZERO)));
}

/// A scheduler's gauges.
pub(super) struct SchedulerGauges {
    metrics: Arc<SchedulerMetrics>,
    next_update: Time,
}

impl SchedulerGauges {
    pub(super) fn new(metrics: Arc<SchedulerMetrics>) -> Self {
        SchedulerGauges { metrics, next_update: Time::ZERO }
    }

    pub(super) fn update(&mut self, now: Time, scheduler: &Scheduler) {
        if now < self.next_update {
            return;
        }
        self.next_update = now + UPDATE_INTERVAL;
        let read_sent = scheduler.last_read_sent();
        update_common(now, scheduler.control(), read_sent, self.metrics.common());
        let (owned, _) = scheduler.control().shard_counts();
        let age = now.since(read_sent.unwrap_or(Time::ZERO));
        self.metrics.set_ownership(owned, age);
        let vms = scheduler.vms();
        self.metrics.set_vms(VmCounts {
            known: vms.len(),
            quarantined: vms.iter().filter(|vm| vm.quarantined).count(),
            lost: vms.iter().filter(|vm| vm.lost).count(),
            tasks: vms.iter().map(|vm| vm.attempts as usize).sum(),
        });
        self.metrics.set_journal(scheduler.journal_held_bytes(), scheduler.journal_failures());
    }
}

/// An entry's gauges.
pub(super) struct EntryGauges {
    metrics: Arc<EntryMetrics>,
    next_update: Time,
}

impl EntryGauges {
    pub(super) fn new(metrics: Arc<EntryMetrics>) -> Self {
        EntryGauges { metrics, next_update: Time::ZERO }
    }

    pub(super) fn update(&mut self, now: Time, entry: &EntryNode) {
        if now < self.next_update {
            return;
        }
        self.next_update = now + UPDATE_INTERVAL;
        update_common(now, entry.control(), entry.last_read_sent(), self.metrics.common());
        let state = entry.request_state();
        self.metrics.set_in_progress(state.requests);
        for class in &state.classes {
            self.metrics.set_queue_depth(&class.class, class.queued);
        }
        self.metrics.set_shares(Shares {
            granted: state.servers.iter().map(|server| u32::from(server.share)).sum(),
            used: state.servers.iter().map(|server| u32::from(server.open)).sum(),
            servers: state.servers.len() as u32,
            ejected: state.servers.iter().filter(|server| server.ejected).count() as u32,
        });
    }
}
