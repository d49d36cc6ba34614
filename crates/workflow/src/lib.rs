//! Workflows: jobs of several steps whose tasks run on workers under leases.
//!
//! This crate decides and does no input or output. [`Ledger`] folds the records of the store into the
//! state of every workflow, and each process keeps one. [`Leadership`] decides which process acts;
//! [`Scheduler`] is what the acting process places, renews, stops and records with. Time is an
//! argument everywhere, effects are data.

mod bits;
mod colocation;
mod crash;
mod directory;
mod ids;
mod leadership;
mod ledger;
mod limits;
mod record;
mod routes;
mod scheduler;
mod spec;
mod upkeep;

pub use crate::{
    bits::Bits,
    colocation::{
        Company, Demand, Exposure, Host, ImageNo, Interference, Movable, Regrouping, Sighting,
        headroom_of, openness, set,
    },
    crash::{Announced, Crash, Evidence},
    directory::{DirectoryChange, WorkerInfo, WorkerState},
    ids::{IdError, RunId, StepId, TaskId, WorkerId, WorkflowId},
    leadership::{AppendResult, Leadership, LeadershipEffect, Succession},
    ledger::{Change, Entry, Ledger, State},
    limits::Limits,
    record::{
        Key, LeaderRecord, OccurrenceProgress, Outcome, Progress, Record, RecordError, Roster,
        RosterEntry, Standing, StepProgress, Submission,
    },
    routes::{AdviceTerms, Route, RouteTable},
    scheduler::{
        AdviceResult, Effect, End, EndKind, PaceResult, PollReply, PollResult, Reason, RunningTask,
        Scheduler, SchedulerStats, ServiceWorkers, StartResult, StartWindow, StopResult,
        UnreadableRows, WaitingStep,
    },
    spec::{MAX_PAYLOAD_BYTES, MAX_STEPS, MAX_TASKS_PER_STEP, Repeat, SpecError, Step, Workflow},
    upkeep::{UpkeepResult, VmEntry, VmId, VmList, VmState, Wave, WaveProgress, WaveState},
};
