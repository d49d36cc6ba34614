//! Events, effects and calls of a [`RackTable`](super::RackTable).

use {
    crate::msg::{JobMsg, NodeMsg, RackMsg},
    compact_str::CompactString,
    egretlb_types::{
        ClassName, ConfigDocument, DataCentre, Epoch, NodeId, Resources, ShardId, TaskId, Ticket,
        Time, VmId, VmRecord,
        worker::{
            RenewAnswer, RenewLeases, StartAnswer, StartTask, StopAnswer, StopTask, ThrottleTask,
            WorkerReport,
        },
    },
    smallvec::SmallVec,
    std::{fmt, sync::Arc},
};

/// Input of a rack table.
#[derive(Clone, Debug)]
pub enum RackEvent {
    /// This node owns the shard.
    Owned {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
        /// Whether the previous owner released it, or there was none, so that no other node can be
        /// renewing leases of the rack's VMs.
        released: bool,
    },
    /// This node no longer owns the shard.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// A new configuration is in force.
    Config {
        /// The configuration.
        document: Arc<ConfigDocument>,
    },
    /// Periodic timer.
    Tick,
    /// The platform's complete list of VMs; the table keeps those of its racks.
    Vms {
        /// The VMs.
        vms: Vec<VmRecord>,
    },
    /// A message to the node.
    NodeMessage {
        /// The sending node. Responses go to the owner of a job shard by [`RackEffect::SendToJob`]
        /// instead.
        from: NodeId,
        /// The message.
        msg: NodeMsg,
    },
    /// A message to the owner of a rack's shard.
    RackMessage {
        /// The addressed shard.
        shard: ShardId,
        /// The message.
        msg: RackMsg,
    },
    /// The result of a worker call. Every call gets exactly one.
    WorkerAnswered {
        /// The call's ticket.
        ticket: Ticket,
        /// The answer.
        result: Result<WorkerAnswer, CallError>,
    },
}

/// A request of the worker API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerCall {
    /// `POST /tasks`.
    Start(StartTask),
    /// `POST /leases`.
    Renew(RenewLeases),
    /// `POST /stop`.
    Stop(StopTask),
    /// `POST /throttle`.
    Throttle(ThrottleTask),
    /// `GET /report`.
    Report,
}

/// A response of the worker API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerAnswer {
    /// To a start.
    Start(StartAnswer),
    /// To a renewal.
    Renew(RenewAnswer),
    /// To a stop or a throttle.
    Stop(StopAnswer),
    /// To a report.
    Report(WorkerReport),
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// Nothing was sent: the worker never gets the call.
    NotSent,
    /// It may have reached the worker, or may still do so within
    /// [`Limits::max_call_delay`](crate::Limits::max_call_delay).
    Unknown,
}

/// Condition that the runtime checks just before it sends a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Guard {
    /// None: the call changes nothing.
    None,
    /// This node holds authority for the shard.
    Authority(ShardId),
    /// The time hasn't passed. Used by renewals, which go on without authority for a limited time.
    Before(Time),
}

/// Output of a rack table, performed by the runtime.
#[derive(Clone, Debug, PartialEq)]
pub enum RackEffect {
    /// Call a worker. A call whose guard fails isn't sent and ends with [`CallError::NotSent`].
    CallWorker {
        /// The VM.
        vm: VmId,
        /// The worker's address.
        addr: CompactString,
        /// Returned with the answer.
        ticket: Ticket,
        /// The call.
        call: WorkerCall,
        /// Checked just before sending.
        guard: Guard,
    },
    /// Send a message to the owner of a job's shard.
    SendToJob {
        /// The shard.
        shard: ShardId,
        /// The message.
        msg: JobMsg,
    },
    /// The complete list of a rack shard's backend servers, after each change.
    Backends {
        /// The shard.
        shard: ShardId,
        /// The backend servers.
        backends: Vec<Backend>,
    },
    /// Notify the operators.
    Alarm(RackAlarm),
}

/// A VM that serves requests of some classes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// The VM.
    pub vm: VmId,
    /// Its address.
    pub addr: CompactString,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The service classes with a replica there that takes new requests.
    pub classes: SmallVec<[ClassName; 4]>,
    /// Maximum number of requests it processes at once.
    pub slots: u16,
    /// Maximum number of connections.
    pub connections: u16,
}

/// Conditions reported to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RackAlarm {
    /// Several distinct tasks failed in a row on the VM; it only gets probes.
    Quarantined {
        /// The VM.
        vm: VmId,
        /// Number of failures in a row.
        fails: u32,
    },
    /// A probe succeeded; the VM gets tasks again.
    QuarantineOver {
        /// The VM.
        vm: VmId,
    },
    /// The VM is unreachable and its leases must have lapsed.
    VmLost {
        /// The VM.
        vm: VmId,
        /// Number of attempts lost with it.
        attempts: u32,
    },
    /// A lost VM answers again.
    VmBack {
        /// The VM.
        vm: VmId,
    },
    /// The VM's tasks use more than its capacity.
    Overused {
        /// The VM.
        vm: VmId,
        /// Measured use of its tasks.
        used: Resources,
    },
    /// A batch task was throttled to protect a service.
    Throttled {
        /// The VM.
        vm: VmId,
        /// The task.
        task: TaskId,
    },
    /// A task is being checkpointed and evicted.
    Evicting {
        /// The VM.
        vm: VmId,
        /// The task.
        task: TaskId,
        /// The reason.
        why: EvictReason,
    },
}

/// Why a task is evicted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvictReason {
    /// A service on its VM misses its target, and throttling didn't help.
    Service,
    /// Its team is over quota and another team reclaims the capacity.
    Reclaim,
    /// Its VM is draining.
    Draining,
    /// Its VM uses more than its capacity.
    Overused,
}

impl fmt::Display for EvictReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EvictReason::Service => "service",
            EvictReason::Reclaim => "reclaim",
            EvictReason::Draining => "leaving",
            EvictReason::Overused => "overused",
        })
    }
}

impl fmt::Display for RackAlarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RackAlarm::Quarantined { vm, fails } => {
                write!(f, "event=vm_quarantined vm={vm} fails={fails}")
            }
            RackAlarm::QuarantineOver { vm } => write!(f, "event=vm_quarantine_over vm={vm}"),
            RackAlarm::VmLost { vm, attempts } => {
                write!(f, "event=vm_lost vm={vm} attempts={attempts}")
            }
            RackAlarm::VmBack { vm } => write!(f, "event=vm_back vm={vm}"),
            RackAlarm::Overused { vm, used } => write!(f, "event=vm_overused vm={vm} {used}"),
            RackAlarm::Throttled { vm, task } => {
                write!(f, "event=task_throttled vm={vm} task={task}")
            }
            RackAlarm::Evicting { vm, task, why } => {
                write!(f, "event=task_evicting vm={vm} task={task} why={why}")
            }
        }
    }
}

/// State of one VM, for a state dump.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmSummary {
    /// The VM.
    pub vm: VmId,
    /// Resources of its attempts and reservations.
    pub committed: Resources,
    /// Last measured use.
    pub observed: Resources,
    /// Number of attempts.
    pub attempts: u32,
    /// Whether it accepts new tasks.
    pub takes_work: bool,
    /// Whether it is in quarantine.
    pub quarantined: bool,
    /// Whether it is lost.
    pub lost: bool,
}
