//! Jobs and tasks: leases, placement, eviction, quotas and recovery, as two reducers.
//!
//! [`JobTable`] knows where each task may run and journals it; [`RackTable`] knows what each VM
//! holds and journals nothing, since a successor learns it from the VMs' reports. They meet only
//! through the messages of [`msg`], which may be lost, doubled, delayed and reordered.
//!
//! The trade-off: two owners cost a start two more messages than one owner would, but no fact is
//! ever handed over between owners, so no message has to be confirmed for a fact to be true.

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
