//! The scheduler's decisions, as data.

use {
    crate::{Record, RunId, StepId, Submission, TaskId, VmId, WaveState, WorkerId},
    compact_str::CompactString,
    egretlb_types::Epoch,
    std::{net::SocketAddr, sync::Arc},
};

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Poll a worker for its runs and ends, and renew its leases.
    Poll {
        /// The worker.
        worker: WorkerId,
        /// Address of its command endpoint.
        addr: SocketAddr,
        /// The fencing token.
        epoch: Epoch,
        /// The worker may forget ends up to this number.
        recorded: u64,
        /// New end of the leases, on the worker's clock; `None` leaves them as they are.
        until_ms: Option<u64>,
        /// How long the worker may delay its answer until the next end, in milliseconds.
        wait_ms: u64,
    },
    /// Start a task.
    Start {
        /// The worker.
        worker: WorkerId,
        /// Address of its command endpoint.
        addr: SocketAddr,
        /// The fencing token.
        epoch: Epoch,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// The submission with the payload.
        submission: Arc<Submission>,
        /// The end of the lease on the worker's clock.
        until_ms: u64,
        /// Checkpoint to resume from; empty for none.
        saved: CompactString,
        /// Ticket that permits the worker to run it; empty if none is needed.
        ticket: CompactString,
    },
    /// Stop a run, or prevent it from starting if it hasn't arrived.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Address of its command endpoint.
        addr: SocketAddr,
        /// The fencing token.
        epoch: Epoch,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// Run a best-effort task at a share of its full pace.
    Pace {
        /// The worker.
        worker: WorkerId,
        /// Address of its command endpoint.
        addr: SocketAddr,
        /// The fencing token.
        epoch: Epoch,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// The share in percent, 0 to 100.
        percent: u32,
    },
    /// Query the service that issues tickets which of these workers may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The workers, at most 100.
        workers: Vec<WorkerId>,
    },
    /// List the platform's VMs.
    ListVms,
    /// Begin a VM's maintenance.
    BeginMaintenance {
        /// The VM.
        vm: VmId,
        /// The wave.
        wave: u64,
        /// The fencing token.
        epoch: Epoch,
    },
    /// Report the progress of a wave to the operator.
    ReportWave {
        /// The wave.
        wave: u64,
        /// Its state.
        state: WaveState,
    },
    /// Append records under the leader's epoch, retrying until the outcome is known.
    Record {
        /// The records; may be empty, which makes it a heartbeat.
        records: Vec<Record>,
    },
    /// A worker obeys a higher epoch: this process is no longer the leader.
    Outranked,
}
