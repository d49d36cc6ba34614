//! What a task may wait for.

use {serde::Serialize, std::fmt};

/// Why a task isn't running.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// This leader is new, and some workers that may still run its tasks haven't answered.
    SurveyUnderWay,
    /// The records are read too late to start anything.
    RecordsReadLate,
    /// It ran before, and none of this leader's appends was acknowledged lately: there may be another leader.
    Unproven,
    /// As many starts as allowed are under way.
    StartsUnderWay,
    /// No worker of its service takes work.
    NoWorkers,
    /// No worker that takes work has the label that it needs.
    NoLabel,
    /// No worker has room for it.
    NoRoom,
    /// Workers have room, but failed or turned away what they got and get nothing for now.
    Barred,
    /// Workers have room, but hold as many tasks of its step as they may.
    AntiAffinity,
    /// Only the worker where it failed last has room.
    FailedThere,
    /// Workers have room, but their VMs are about to go down for upkeep.
    Upkeep,
    /// Some worker has room, but none that its policy is known to allow.
    NoTicket,
    /// Workers have room, but the serving tasks there can't bear it.
    ServingTasks,
    /// Workers have room, but it would keep many fillers away from them, and waits a little for a better place.
    Company,
    /// It leaves the room to tasks that end soon.
    GivesWay,
    /// Workers were lost under it, so it is started where nothing else has just begun.
    Trial,
    /// Members of its gang haven't ended yet, or no worker or rack has room for all of them.
    Gang,
    /// Nothing holds it up: it starts next.
    Next,
    /// A start was sent and isn't answered yet.
    BeingStarted,
    /// A start got no answer: it may run.
    StartInDoubt,
    /// A run of it is being stopped.
    BeingStopped,
    /// It may still run at a worker that doesn't answer.
    SilentWorker,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::SurveyUnderWay => {
                "workers that may still run it haven't answered the new leader"
            }
            Reason::RecordsReadLate => "the records are read too late",
            Reason::Unproven => "it ran before, and the leader hasn't been acknowledged lately",
            Reason::StartsUnderWay => "as many starts as allowed are under way",
            Reason::NoWorkers => "no worker of its service takes work",
            Reason::NoLabel => "no worker that takes work has its label",
            Reason::NoRoom => "no worker has room",
            Reason::Barred => {
                "workers with room get nothing for now, after failed or rejected starts"
            }
            Reason::AntiAffinity => "workers with room hold as many tasks of its step as they may",
            Reason::FailedThere => "only the worker where it failed last has room",
            Reason::Upkeep => "workers with room are about to go down for upkeep",
            Reason::NoTicket => "no worker with room is known to be allowed",
            Reason::ServingTasks => "serving tasks where there is room can't bear it",
            Reason::Company => "it waits a little for a place that keeps fewer fillers away",
            Reason::GivesWay => "it leaves the room to tasks that end soon",
            Reason::Trial => "workers were lost under it, and none is free to start it alone",
            Reason::Gang => "its gang can't start as a whole",
            Reason::Next => "it starts next",
            Reason::BeingStarted => "a start isn't answered yet",
            Reason::StartInDoubt => "a start got no answer, so it may run",
            Reason::BeingStopped => "a run of it is being stopped",
            Reason::SilentWorker => "it may still run at a worker that doesn't answer",
        })
    }
}
