//! Workflows: multi-step jobs whose tasks run on workers under leases.
//!
//! This crate makes decisions and performs no I/O. [`Ledger`] builds the state of every workflow from
//! the store's records; each process has one. [`Leadership`] decides which process leads. The
//! leader's [`Scheduler`] places, renews, stops and records tasks. Time is an argument everywhere,
//! and effects are returned as data.

mod admission;
mod bits;
mod colocation;
mod crash;
mod directory;
mod ids;
mod leadership;
mod ledger;
mod limits;
mod maintenance;
mod overload;
mod policies;
mod record;
mod routes;
mod run_times;
mod scheduler;
mod spec;

pub use crate::{
    admission::{
        AdmissionControl, Arrival, CurrentEstimate, FreeRooms, LoadEstimate, LoadEstimator,
        MAX_ESTIMATE_AGE, Refusal, RouteLoad, ServiceCapacity, ServiceLoad, WaitingWork,
    },
    bits::Bits,
    colocation::{
        ColocationGroups, Demand, Exposure, ForecastMethod, HeadroomForecast, Host, ImageNo,
        InterferenceModel, MovableTask, Regrouping, Sample, acceptance, headroom_of, set_share,
    },
    crash::{AnnouncedRun, Crash, CrashEvidence},
    directory::{DirectoryChange, WorkerInfo, WorkerState},
    ids::{IdError, RunId, StepId, TaskId, WorkerId, WorkflowId},
    leadership::{AppendResult, Leadership, LeadershipEffect, Succession},
    ledger::{Entry, Ledger, LedgerChange, WorkflowState},
    limits::Limits,
    maintenance::{
        MaintenanceResult, VmEntry, VmId, VmList, VmState, Wave, WaveProgress, WaveState,
    },
    policies::{Policies, PolicyError},
    record::{
        EarlierTerm, Key, LeaderRecord, OccurrenceProgress, Outcome, Progress, Record, RecordError,
        RosterEntry, RosterPage, RosterState, StepProgress, Submission,
    },
    routes::{AdviceTerms, Route, RouteMatch, RouteTable, UnreadableRoute},
    scheduler::{
        AdviceResult, Effect, End, EndKind, IntervalCause, IntervalCounts, PaceResult, PollReply,
        PollResult, Reason, RefusedPreemptions, RunningTask, Scheduler, SchedulerStats,
        ServiceWorkers, StartResult, StartWindow, StartsByFeasibility, StopResult, UnreadableRows,
        WaitingStep,
    },
    spec::{
        MAX_PAYLOAD_BYTES, MAX_STEPS, MAX_TASKS, MAX_TASKS_PER_STEP, Repeat, SpecError, Step,
        Workflow,
    },
};
