//! What the scheduler decides, as data.

use {
    crate::{Record, RunId, StepId, Submission, TaskId, VmId, WaveState, WorkerId},
    compact_str::CompactString,
    egretlb_types::Epoch,
    std::{net::SocketAddr, sync::Arc},
};

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Ask a worker what runs and what ended there, and renew the leases there.
    Poll {
        /// The worker.
        worker: WorkerId,
        /// Where it takes orders.
        addr: SocketAddr,
        /// The fencing token.
        epoch: Epoch,
        /// Ends up to here may be forgotten.
        recorded: u64,
        /// The end of the leases on the worker's clock; none leaves them as they are.
        until_ms: Option<u64>,
        /// How long the answer may wait for the next end, in milliseconds.
        wait_ms: u64,
    },
    /// Start a task.
    Start {
        /// The worker.
        worker: WorkerId,
        /// Where it takes orders.
        addr: SocketAddr,
        /// The fencing token.
        epoch: Epoch,
        /// The task.
        task: TaskId,
        /// The number of the start.
        run: RunId,
        /// Holds the payload.
        submission: Arc<Submission>,
        /// The end of the lease on the worker's clock.
        until_ms: u64,
        /// The checkpoint to resume from; empty for none.
        saved: CompactString,
        /// Says that the worker may run it; empty if that needs no ticket.
        ticket: CompactString,
    },
    /// Stop a run, or keep it from starting if it hasn't arrived.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Where it takes orders.
        addr: SocketAddr,
        /// The fencing token.
        epoch: Epoch,
        /// The task.
        task: TaskId,
        /// The number of the start.
        run: RunId,
    },
    /// Let a filler work, and disturb, at this share of its pace.
    Pace {
        /// The worker.
        worker: WorkerId,
        /// Where it takes orders.
        addr: SocketAddr,
        /// The fencing token.
        epoch: Epoch,
        /// The task.
        task: TaskId,
        /// The number of the start.
        run: RunId,
        /// The share, from 0 to 100.
        percent: u32,
    },
    /// Ask which of these workers may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The workers, at most 100.
        workers: Vec<WorkerId>,
    },
    /// List the platform's VMs.
    ListVms,
    /// Begin a VM's upkeep.
    BeginMaintenance {
        /// The VM.
        vm: VmId,
        /// The wave.
        wave: u64,
        /// The fencing token.
        epoch: Epoch,
    },
    /// Tell the operator how far a wave is.
    ReportWave {
        /// The wave.
        wave: u64,
        /// How far it is.
        state: WaveState,
    },
    /// Append these records under the leader's epoch, repeating it until it is settled.
    Record {
        /// The records, perhaps none besides the leader's sign of life.
        records: Vec<Record>,
    },
    /// A worker obeys a higher epoch: this process leads no longer.
    Outranked,
}
