//! A stand-in for the platform's list of VMs.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `GET /vms` | none | 200 a list of [`VmRecord`] as it was `lag_ms` ago, with its `ETag`; 304 if the caller has it |
//! | `POST /vms` | a list of [`VmRecord`] | 200; replaces the list |
//! | `PUT /vms/{vm}` | a [`VmRecord`] | 200; sets one |
//! | `DELETE /vms/{vm}` | none | 200; removes one |
//! | `POST /faults` | [`VmListFaults`] | 200; replaces the faults in force |

mod server;

use {
    egretlb_types::{Time, VmId, VmRecord},
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

pub use crate::vms::server::{VmListServer, start_vms};

/// Maximum number of versions kept for the lag.
const MAX_VERSIONS: usize = 1_000;

/// The faults in force. Setting them replaces all; the default is none.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct VmListFaults {
    /// Connections are closed without an answer.
    pub down: bool,
    /// Delay of every answer, in milliseconds.
    pub delay_ms: u64,
    /// Age of the list that readers get, in milliseconds.
    pub lag_ms: u64,
}

/// The list with its earlier versions.
#[derive(Debug)]
pub struct VmList {
    versions: VecDeque<(Time, Vec<VmRecord>)>,
}

impl VmList {
    /// Creates a list whose first version has time zero.
    pub fn new(records: Vec<VmRecord>) -> Self {
        VmList { versions: VecDeque::from([(Time::ZERO, records)]) }
    }

    /// Returns the list as it was `lag` ago.
    pub fn at_lag(&self, now: Time, lag: Duration) -> &[VmRecord] {
        let old_enough = |(at, _): &&(Time, Vec<VmRecord>)| now.since(*at) >= lag;
        let version = self.versions.iter().rev().find(old_enough).or(self.versions.front());
        version.map_or(&[], |(_, records)| records)
    }

    /// Replaces the list.
    pub fn replace(&mut self, now: Time, records: Vec<VmRecord>) {
        self.versions.push_back((now, records));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Sets one VM's record.
    pub fn set(&mut self, now: Time, record: VmRecord) {
        let mut records = self.newest_without(&record.vm);
        records.push(record);
        self.replace(now, records);
    }

    /// Removes a VM from the list.
    pub fn remove(&mut self, now: Time, vm: &VmId) {
        let records = self.newest_without(vm);
        self.replace(now, records);
    }

    fn newest_without(&self, vm: &VmId) -> Vec<VmRecord> {
        let newest = self.versions.back().map_or(&[][..], |(_, records)| records);
        newest.iter().filter(|record| record.vm != *vm).cloned().collect()
    }
}
