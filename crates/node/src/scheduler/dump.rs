//! The state dump of a scheduler for operators.

use {
    super::Scheduler,
    crate::node::version_of,
    egretlb_types::{SHARD_COUNT, ShardId, Time},
    serde_json::{Value, json},
};

impl Scheduler {
    /// The state dump; names VMs, but no jobs, classes, request keys or commands.
    pub(super) fn dump(&self, now: Time) -> Value {
        let control = self.core.control();
        let (owned, taking_over) = control.shard_counts();
        let alarms: Vec<String> = control.alarms().map(|alarm| alarm.to_string()).collect();
        let vms: Vec<Value> = self
            .tables
            .racks()
            .summary()
            .iter()
            .map(|vm| {
                json!({
                    "vm": vm.vm,
                    "committed": vm.committed.to_string(),
                    "observed": vm.observed.to_string(),
                    "attempts": vm.attempts,
                    "takes_work": vm.takes_work,
                    "quarantined": vm.quarantined,
                    "lost": vm.lost,
                })
            })
            .collect();
        let keys: usize = (0..SHARD_COUNT).map(|n| self.tables.keys().key_count(ShardId(n))).sum();
        json!({
            "node": control.info().node.to_string(),
            "role": "scheduler",
            "data_centre": control.info().data_centre,
            "config_version": version_of(control.in_force().version),
            "in_touch_with_log": control.has_fresh_read(now),
            "alarms": alarms,
            "shards": { "owned": owned, "taking_over": taking_over,
                        "reading_back": self.recovery.shards_in_progress() },
            "journal": { "held_bytes": self.journal.held_bytes(),
                         "failures_in_a_row": self.journal.failures() },
            "keys": keys,
            "vms": vms,
        })
    }
}
