//! Reasons why a task waits.

use {serde::Serialize, std::fmt};

/// Why a task isn't running.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// This leader is new, and some workers that may still run its tasks haven't answered.
    SurveyUnderWay,
    /// This leader is new, and some workers have listed only a part of the ends of their runs.
    EndsUnlisted,
    /// The records are read too late to start anything.
    RecordsReadLate,
    /// It ran before, and no append of this leader was acknowledged recently: there may be another
    /// leader.
    Unproven,
    /// The maximum number of starts is under way.
    StartsUnderWay,
    /// No worker of its service accepts tasks.
    NoWorkers,
    /// No worker that accepts tasks has the label it requires.
    NoLabel,
    /// No worker has enough free capacity.
    NoRoom,
    /// The data centres of all workers with free capacity are evacuated.
    Evacuated,
    /// Workers with free capacity are in backoff or quarantine after failed or rejected starts.
    Barred,
    /// Workers with free capacity run the maximum number of tasks of its step.
    AntiAffinity,
    /// Only the worker where it last failed has free capacity.
    FailedThere,
    /// Workers with free capacity are about to go down for maintenance.
    Upkeep,
    /// No worker with free capacity is known to be allowed by its policy.
    NoTicket,
    /// Latency-critical tasks on the workers with free capacity don't tolerate it.
    ServingTasks,
    /// It would exclude many best-effort tasks from the workers with free capacity; it waits
    /// briefly for a better worker.
    Company,
    /// It leaves free capacity to batch tasks.
    GivesWay,
    /// Workers were lost during its runs, so it needs an isolated start, on a worker where nothing
    /// else was just started.
    Trial,
    /// Members of its gang haven't ended yet, or no worker or rack has free capacity for the whole
    /// gang.
    Gang,
    /// Nothing prevents its start: it is next.
    Next,
    /// A start is sent but not answered yet.
    BeingStarted,
    /// A start got no answer: it may be running.
    StartInDoubt,
    /// A run of it is being stopped.
    BeingStopped,
    /// It may still run at an unresponsive worker.
    SilentWorker,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::SurveyUnderWay => {
                "workers that may still run it haven't answered the new leader"
            }
            Reason::EndsUnlisted => "workers that may have done it haven't listed all their ends",
            Reason::RecordsReadLate => "the records are read too late",
            Reason::Unproven => "it ran before, and the leader hasn't been acknowledged lately",
            Reason::StartsUnderWay => "as many starts as allowed are under way",
            Reason::NoWorkers => "no worker of its service takes work",
            Reason::NoLabel => "no worker that takes work has its label",
            Reason::NoRoom => "no worker has room",
            Reason::Evacuated => "the data centres of all workers with room are evacuated",
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
