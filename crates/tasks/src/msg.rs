//! The messages between the books of different nodes.
//!
//! All are idempotent and may be lost, doubled, delayed or reordered; whoever needs an answer
//! sends again. None carries a time, since clocks of two processes can't be compared.

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

/// To a node's rack book, whatever racks it owns.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum NodeMsg {
    /// Find room for tasks.
    Place(Place),
    /// A service class misses its target, or meets it again.
    TargetStatus {
        /// The service class.
        class: ClassName,
        /// Whether it misses its target.
        missed: bool,
    },
}

/// Asks a node for room for some tasks. Without any wants it only asks for the node's room.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// The shard whose owner asks, to which the answer goes.
    pub shard: ShardId,
    /// Ties the answer to the question.
    pub round: Ticket,
    /// The tasks, most urgent first.
    pub requests: Vec<TaskRequest>,
}

/// One task that needs room.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskRequest {
    /// The task.
    pub task: TaskId,
    /// The attempt that the room is for.
    pub attempt: Attempt,
    /// The class, by which sizes and interference are learned.
    pub class: ClassName,
    /// The team whose quota it counts against.
    pub team: Option<TeamName>,
    /// What it takes, as declared.
    pub resources: Resources,
    /// Whether the rack's owner may commit what it has learned of the class instead.
    pub learned_size: bool,
    /// Whether it is a service's replica.
    pub service: bool,
    /// Whether its team is over its quota, so that it may be evicted for others' sake.
    pub over_quota: bool,
    /// Whether lent room may be taken back by eviction for it.
    pub reclaim: bool,
    /// VMs where it failed before.
    pub avoid: SmallVec<[VmId; 2]>,
    /// Data centres that already have a replica, for a class that must survive losing one.
    pub avoid_data_centres: SmallVec<[DataCentre; 4]>,
}

/// Names room kept for one attempt; unique among all reservations ever made for a rack shard.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ReservationId {
    /// The rack shard's epoch under which the room was reserved.
    pub epoch: Epoch,
    /// Its number at the node.
    pub number: Ticket,
}

/// Room kept for one attempt for some seconds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// To be named by the start.
    pub reservation: ReservationId,
    /// The VM.
    pub vm: VmId,
    /// The shard of the VM's rack.
    pub rack: ShardId,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// What was reserved: the declaration, or what was learned.
    pub resources: Resources,
}

/// The answer to [`Place`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Placed {
    /// The question's round.
    pub round: Ticket,
    /// What found room.
    pub granted: Vec<Grant>,
    /// What didn't.
    pub refused: Vec<TaskId>,
    /// For how many of those lent room is being taken back.
    pub reclaiming: u32,
    /// The node's room.
    pub capacity: NodeCapacity,
    /// What the teams of the wants hold at this node.
    pub usage: Vec<TeamUsage>,
}

/// What a team holds at one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamName,
    /// What its tasks hold.
    pub held: Resources,
}

/// What the VMs of a node's racks can hold.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeCapacity {
    /// How many VMs take new work.
    pub vms: u32,
    /// The room left, summed over the VMs.
    pub free: Resources,
    /// The sizes of VM that no other size exceeds in every part: what fits none of them never
    /// fits here.
    pub largest: SmallVec<[Resources; 2]>,
}

impl NodeCapacity {
    /// Whether `want` fits none of the node's VMs, even empty ones.
    ///
    /// A node that knows no VM yet has just taken racks over and says nothing. Taken for a no, it
    /// isn't asked again until its room is told anew, and nothing starts on its racks for 20 s.
    pub fn never_fits(&self, want: &Resources) -> bool {
        !self.largest.is_empty() && !self.could_fit(want)
    }

    /// Whether `want` would fit an empty VM.
    pub fn could_fit(&self, want: &Resources) -> bool {
        self.largest.iter().any(|size| want.fits(size))
    }

    /// Adds a VM's size, dropping the sizes that it exceeds.
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

/// To the owner of a rack shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RackMsg {
    /// Start an attempt that is journalled, or say what became of it.
    Start(Start),
    /// Stop an attempt, or say what became of it.
    Stop(Stop),
    /// The end of the attempt is journalled; it need not be told again.
    AckEnded {
        /// The VM.
        vm: VmId,
        /// The attempt.
        of: TaskFence,
    },
}

/// Starts an attempt in its reserved room.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The VM.
    pub vm: VmId,
    /// The attempt.
    pub of: TaskFence,
    /// The room reserved for it; `None` when only its fate is asked for.
    pub reservation: Option<ReservationId>,
    /// The class.
    pub class: ClassName,
    /// Whether it is a service's replica.
    pub service: bool,
    /// Whether its room is lent.
    pub over_quota: bool,
    /// What it may use.
    pub resources: Resources,
    /// The checkpoint to resume from.
    pub checkpoint: Option<CompactString>,
    /// What to run.
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

/// To the owner of a job's shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobMsg {
    /// The answer to a placement.
    Placed(Placed),
    /// The attempt runs. Sent as an answer, and unasked by a new owner of the rack.
    Started {
        /// Where.
        vm: VmId,
        /// The shard of the VM's rack.
        rack: ShardId,
        /// The attempt.
        of: TaskFence,
    },
    /// The answer to the start was lost; it is being asked about.
    UnconfirmedStart {
        /// The attempt.
        of: TaskFence,
    },
    /// The attempt is over. Sent until acknowledged.
    Ended(Ended),
    /// The replica's VM is leaving: start another, this one will be stopped after a while.
    VmDraining {
        /// The attempt.
        of: TaskFence,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// Where it ran.
    pub vm: VmId,
    /// The shard of the VM's rack, to which the acknowledgement goes.
    pub rack: ShardId,
    /// The attempt.
    pub of: TaskFence,
    /// How it ended.
    pub how: AttemptEnd,
    /// Whether the VM fails what others can run, so that a failure says nothing of the task.
    pub vm_quarantined: bool,
    /// How long it ran, if known.
    pub ran: Duration,
}

/// The ways in which an attempt ends. After any of them the attempt runs nowhere and never will.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The task did its work.
    Done,
    /// The task failed.
    Failed,
    /// It was stopped, with the checkpoint if one was written.
    Stopped {
        /// What to resume from.
        checkpoint: Option<CompactString>,
    },
    /// It never ran.
    NeverRan,
    /// Its lease lapsed, at the worker or because its VM is out of reach.
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
