//! Messages between the tables of different nodes.
//!
//! All are idempotent and may be lost, duplicated, delayed or reordered; the sender retransmits if
//! it needs an answer. None carries a timestamp, since clocks of two processes can't be compared.

use {
    compact_str::CompactString,
    egretlb_types::{
        Accelerators, Attempt, ClassName, DataCentre, Epoch, Resources, ShardId, TaskId, TeamName,
        Ticket, VmId,
        worker::{TaskEnd, TaskFence},
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{fmt, time::Duration},
};

/// Sent to a node's rack table, whichever racks it owns.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum NodeMsg {
    /// Reserve capacity for tasks.
    Place(Place),
    /// Whether a service class meets its target.
    TargetStatus {
        /// The service class.
        class: ClassName,
        /// Whether the target is missed.
        missed: bool,
    },
}

/// Requests reservations for tasks. Without tasks it only queries the node's capacity.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// The shard that gets the response.
    pub shard: ShardId,
    /// Matches the response to the request.
    pub round: Ticket,
    /// The tasks, most urgent first.
    pub requests: Vec<TaskRequest>,
}

/// One task to place.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskRequest {
    /// The task.
    pub task: TaskId,
    /// The attempt to reserve capacity for.
    pub attempt: Attempt,
    /// The class, by which sizes and interference are learned.
    pub class: ClassName,
    /// The team whose quota is charged.
    pub team: Option<TeamName>,
    /// Declared size.
    pub resources: Resources,
    /// Whether the rack's owner may reserve the size learned for the class instead.
    pub learned_size: bool,
    /// Whether it is a service's replica.
    pub service: bool,
    /// Whether its team is over its quota, so that other teams may reclaim its capacity.
    pub over_quota: bool,
    /// Whether tasks of teams over their quota may be evicted for it.
    pub reclaim: bool,
    /// VMs where it failed before.
    pub avoid: SmallVec<[VmId; 2]>,
    /// Data centres that already have a replica, if the class must survive losing one.
    pub avoid_data_centres: SmallVec<[DataCentre; 4]>,
}

/// Identifies a reservation; unique for the lifetime of a rack shard.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ReservationId {
    /// The rack shard's epoch under which it was made.
    pub epoch: Epoch,
    /// Its number at the node.
    pub number: Ticket,
}

/// Capacity reserved for one attempt, for [`Limits::reservation`](crate::Limits::reservation).
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The reservation that the start names.
    pub reservation: ReservationId,
    /// The VM.
    pub vm: VmId,
    /// The shard of the VM's rack.
    pub rack: ShardId,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// What was reserved: the declared or the learned size.
    pub resources: Resources,
}

/// Response to [`Place`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Placed {
    /// The request's round.
    pub round: Ticket,
    /// The reservations made.
    pub granted: Vec<Grant>,
    /// Tasks without a reservation.
    pub refused: Vec<TaskId>,
    /// Number of refused tasks for which capacity is being reclaimed.
    pub reclaiming: u32,
    /// The node's capacity.
    pub capacity: NodeCapacity,
    /// Resources held on this node by the teams of the requested tasks.
    pub usage: Vec<TeamUsage>,
}

/// Resources held by a team on one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamName,
    /// Resources held by its tasks.
    pub held: Resources,
}

/// Capacity of the VMs of a node's racks.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeCapacity {
    /// Number of VMs that accept new tasks.
    pub vms: u32,
    /// Free capacity, summed over these VMs.
    pub free: Resources,
    /// The VM sizes that no other size exceeds in every resource. A task that fits none of them
    /// can't run here.
    pub largest: SmallVec<[Resources; 2]>,
}

impl NodeCapacity {
    /// Whether `want` doesn't fit any of the node's VMs, even an empty one.
    ///
    /// False while the node knows no VMs, as just after it took racks over: treating that as a
    /// refusal would delay the next request until the capacity is queried again.
    pub fn never_fits(&self, want: &Resources) -> bool {
        !self.largest.is_empty() && !self.could_fit(want)
    }

    /// Whether `want` fits an empty VM.
    pub fn could_fit(&self, want: &Resources) -> bool {
        self.largest.iter().any(|size| want.fits(size))
    }

    /// Adds a VM's size and drops the sizes that it exceeds.
    pub fn add_size(&mut self, size: &Resources) {
        if self.largest.iter().any(|other| size.fits(other)) {
            return;
        }
        self.largest.retain(|other| !other.fits(size));
        self.largest.push(*size);
    }

    /// Whether any VM has accelerators.
    pub fn has_accelerators(&self) -> bool {
        self.largest.iter().any(|size| size.accelerators > Accelerators(0))
    }
}

/// Sent to the owner of a rack shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RackMsg {
    /// Start a journalled attempt, or report its state.
    Start(Start),
    /// Stop an attempt, or report its state.
    Stop(Stop),
    /// The end of the attempt is journalled and needn't be reported again.
    AckEnded {
        /// The VM.
        vm: VmId,
        /// The attempt.
        of: TaskFence,
    },
}

/// Starts an attempt in its reservation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The VM.
    pub vm: VmId,
    /// The attempt.
    pub of: TaskFence,
    /// Its reservation; `None` only queries the attempt's state.
    pub reservation: Option<ReservationId>,
    /// The class.
    pub class: ClassName,
    /// Whether it is a service's replica.
    pub service: bool,
    /// Whether its team was over its quota when it was placed.
    pub over_quota: bool,
    /// Resource limit.
    pub resources: Resources,
    /// The checkpoint to resume from.
    pub checkpoint: Option<CompactString>,
    /// The command to run.
    pub command: CompactString,
}

/// Stops an attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    /// The VM.
    pub vm: VmId,
    /// The attempt.
    pub of: TaskFence,
    /// Whether to write a checkpoint first.
    pub checkpoint: bool,
}

/// Sent to the owner of a job's shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobMsg {
    /// Response to a placement request.
    Placed(Placed),
    /// The attempt runs. Sent as a response, and unsolicited by a new owner of the rack.
    Started {
        /// The VM.
        vm: VmId,
        /// The shard of the VM's rack.
        rack: ShardId,
        /// The attempt.
        of: TaskFence,
    },
    /// The start got no answer; the rack's owner is resolving its outcome.
    UnconfirmedStart {
        /// The attempt.
        of: TaskFence,
    },
    /// The attempt ended. Sent until acknowledged.
    Ended(Ended),
    /// The replica's VM is draining: start a replacement, this replica stops after
    /// [`Limits::drain`](crate::Limits::drain).
    VmDraining {
        /// The attempt.
        of: TaskFence,
    },
}

/// The end of an attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// Where it ran.
    pub vm: VmId,
    /// The shard of the VM's rack, which gets the acknowledgement.
    pub rack: ShardId,
    /// The attempt.
    pub of: TaskFence,
    /// How it ended.
    pub how: AttemptEnd,
    /// Whether the VM is in quarantine, so that a failure doesn't count against the task.
    pub vm_quarantined: bool,
    /// How long it ran, if known.
    pub ran: Duration,
}

/// How an attempt ended. After any of these it doesn't run and can't start any more.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// It was stopped, with a checkpoint if one was written.
    Stopped {
        /// The checkpoint to resume from.
        checkpoint: Option<CompactString>,
    },
    /// It never ran.
    NeverRan,
    /// Its lease lapsed, at the worker or because its VM is unreachable.
    Lost,
}

impl From<TaskEnd> for AttemptEnd {
    fn from(end: TaskEnd) -> Self {
        match end {
            TaskEnd::Done => AttemptEnd::Done,
            TaskEnd::Failed => AttemptEnd::Failed,
            TaskEnd::LeaseLapsed => AttemptEnd::Lost,
        }
    }
}

impl fmt::Display for AttemptEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AttemptEnd::Done => "done",
            AttemptEnd::Failed => "failed",
            AttemptEnd::Stopped { .. } => "stopped",
            AttemptEnd::NeverRan => "never_ran",
            AttemptEnd::Lost => "lost",
        })
    }
}
