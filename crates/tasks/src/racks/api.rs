//! What goes into a [`RackTable`](super::RackBook) and comes out of it.

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

/// What happens to a rack book.
#[derive(Clone, Debug)]
pub enum RackEvent {
    /// The shard is this node's.
    Owned {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
        /// Whether the previous owner released it, or there was none, so that nobody else can be
        /// renewing leases of the rack's VMs.
        released: bool,
    },
    /// The shard is no longer this node's.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// A configuration came into force.
    Config {
        /// The configuration.
        document: Arc<ConfigDocument>,
    },
    /// Some time passed.
    Tick,
    /// The platform's list of VMs, whole; the book keeps those of its racks.
    Vms {
        /// The list.
        vms: Vec<VmRecord>,
    },
    /// A message to the node.
    NodeMessage {
        /// The node that sent it; [`RackEffect::SendToJob`] goes by shard, not by node.
        from: NodeId,
        /// The message.
        msg: NodeMsg,
    },
    /// A message to the owner of a rack's shard.
    RackMessage {
        /// The shard that it was sent to.
        shard: ShardId,
        /// The message.
        msg: RackMsg,
    },
    /// A worker's answer to a call, or what is known of a call without one. Every call gets one.
    WorkerAnswered {
        /// The call's ticket.
        ticket: Ticket,
        /// The answer.
        result: Result<WorkerAnswer, CallError>,
    },
}

/// A call of the worker interface.
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

/// An answer of the worker interface.
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

/// What is known of a call that got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No byte of it left: the worker never sees it.
    NotSent,
    /// It may have reached the worker, or may yet within the call's life.
    Unknown,
}

/// What the runtime has to check at the last moment before it makes a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Guard {
    /// Nothing: the call changes nothing.
    None,
    /// That this node has authority for the shard.
    Authority(ShardId),
    /// That the clock hasn't passed the time. Renewals go on for a while without authority.
    Before(Time),
}

/// What a rack book asks its runtime to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RackEffect {
    /// Call a worker. A call whose guard fails isn't made and is answered [`CallError::NotSent`].
    CallWorker {
        /// The VM.
        vm: VmId,
        /// Where it listens.
        addr: CompactString,
        /// To be told with the answer.
        ticket: Ticket,
        /// The call.
        call: WorkerCall,
        /// What to check just before.
        guard: Guard,
    },
    /// Send a message to whoever owns a job's shard.
    SendToJob {
        /// The shard.
        shard: ShardId,
        /// The message.
        msg: JobMsg,
    },
    /// The backend servers of a rack's shard, whole, whenever they change.
    Backends {
        /// The shard.
        shard: ShardId,
        /// The backend servers.
        backends: Vec<Backend>,
    },
    /// Tell the operators.
    Alarm(RackAlarm),
}

/// A VM that answers requests of some classes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// The VM.
    pub vm: VmId,
    /// Where it listens.
    pub addr: CompactString,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The service classes with a replica there that takes new requests.
    pub classes: SmallVec<[ClassName; 4]>,
    /// How many requests it works on at once.
    pub slots: u16,
    /// How many connections it accepts at once.
    pub connections: u16,
}

/// What operators should know of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RackAlarm {
    /// The VM fails what it is given; it gets only a probe now and then.
    Quarantined {
        /// The VM.
        vm: VmId,
        /// Failures in a row.
        fails: u32,
    },
    /// A probe did its work; the VM gets work again.
    QuarantineOver {
        /// The VM.
        vm: VmId,
    },
    /// The VM is out of reach and its leases must have lapsed.
    VmLost {
        /// The VM.
        vm: VmId,
        /// How many attempts were lost with it.
        attempts: u32,
    },
    /// A lost VM answers again.
    VmBack {
        /// The VM.
        vm: VmId,
    },
    /// The VM uses more than it holds.
    Overused {
        /// The VM.
        vm: VmId,
        /// What its tasks were measured to use.
        used: Resources,
    },
    /// A batch task was limited for a service's sake.
    Throttled {
        /// The VM.
        vm: VmId,
        /// The task.
        task: TaskId,
    },
    /// A task is being checkpointed and moved.
    Evicting {
        /// The VM.
        vm: VmId,
        /// The task.
        task: TaskId,
        /// What for.
        why: EvictReason,
    },
}

/// What a task is evicted for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvictReason {
    /// A service on its VM misses its target, and throttling didn't help.
    Service,
    /// Its room was lent and its owner needs it.
    Reclaim,
    /// Its VM is leaving.
    Draining,
    /// Its VM uses more than it holds.
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

/// One VM in a state dump.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmSummary {
    /// The VM.
    pub vm: VmId,
    /// What its attempts and reservations hold.
    pub committed: Resources,
    /// What was last measured.
    pub observed: Resources,
    /// Attempts there.
    pub attempts: u32,
    /// Whether it may get new work.
    pub takes_work: bool,
    /// Whether it is in quarantine.
    pub quarantined: bool,
    /// Whether it is lost.
    pub lost: bool,
}
