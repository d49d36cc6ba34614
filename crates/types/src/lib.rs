//! Ids, sizes, times and the messages of the platform's workers, shared by every egretlb crate.
//!
//! Types that several reducers use are here, so that the reducers don't depend on each other.

mod authority;
mod class;
mod hash;
mod ids;
mod load;
mod outcome;
mod resources;
mod time;
mod vm;
pub mod worker;

pub use crate::{
    authority::Authority,
    class::{ClassKind, ClassSpec, ConfigDocument, TeamSpec},
    hash::{
        SHARD_COUNT, rendezvous_score, shard_of_class, shard_of_job, shard_of_key, shard_of_rack,
    },
    ids::{
        Attempt, ClassName, DataCentre, Epoch, Fence, JobId, KEY_MAX_BYTES, NAME_MAX_BYTES, NodeId,
        Offset, Organisation, ParseIdError, Rack, RequestKey, Seq, ShardId, TaskId, TeamName,
        Ticket, VmId,
    },
    load::ClassLoad,
    outcome::{NotRunReason, Ran, RetryAfter},
    resources::{Accelerators, Megabytes, MilliCores, ParseSizeError, Resources},
    time::Time,
    vm::{VmRecord, VmState},
};
