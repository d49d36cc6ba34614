//! Jobs and tasks: leases, placement, eviction, quotas and recovery, as two state machines without
//! I/O.
//!
//! [`JobTable`] journals where each task may run. [`RackTable`] tracks what each VM runs and
//! journals nothing: a successor rebuilds it from the VMs' reports. They communicate only through
//! the messages of [`msg`], which may be lost, duplicated, delayed and reordered.
//!
//! Two owners cost two more messages per start than one would, but no state is handed over between
//! them, so no handover has to be confirmed.

mod jobs;
mod learn;
mod limits;
pub mod msg;
mod racks;

pub use crate::{
    jobs::{
        CallId, JobAlarm, JobCounts, JobEffect, JobEntry, JobEvent, JobRefusal, JobReply,
        JobSnapshot, JobSpec, JobStatus, JobTable, JobTableBuilder, TaskRecord, TaskResult,
        job_shard_of_task, service_job,
    },
    learn::{ClassStatistics, InterferenceModel, SizeTable},
    limits::{Limits, Protections},
    racks::{
        Backend, CallError, Guard, RackAlarm, RackEffect, RackEvent, RackTable, RackTableBuilder,
        VmSummary, WorkerAnswer, WorkerCall,
    },
};
