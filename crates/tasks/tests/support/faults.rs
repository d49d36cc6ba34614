//! The faults, and the protocol steps at which they are injected.

use {
    egretlb_tasks::{
        JobEntry, WorkerCall,
        msg::{JobMsg, NodeMsg, RackMsg},
    },
    egretlb_types::TaskId,
};

/// A step: a message, call or append as it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, bolero::generator::TypeGenerator)]
pub enum Step {
    AppendSubmission,
    Place,
    Placed,
    AppendStarting,
    StartMessage,
    StartCall,
    StartAnswer,
    StartedMessage,
    Renewal,
    Report,
    StopMessage,
    StopCall,
    StopAnswer,
    EndedMessage,
    AppendEnd,
    AckMessage,
    AppendCancel,
}

impl Step {
    pub const ALL: [Step; 17] = [
        Step::AppendSubmission,
        Step::Place,
        Step::Placed,
        Step::AppendStarting,
        Step::StartMessage,
        Step::StartCall,
        Step::StartAnswer,
        Step::StartedMessage,
        Step::Renewal,
        Step::Report,
        Step::StopMessage,
        Step::StopCall,
        Step::StopAnswer,
        Step::EndedMessage,
        Step::AppendEnd,
        Step::AckMessage,
        Step::AppendCancel,
    ];
}

/// A fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq, bolero::generator::TypeGenerator)]
pub enum Fault {
    KillJobOwner,
    KillRackOwner,
    PauseJobOwner,
    PauseRackOwner,
    CutJobOwnerFromLog,
    CutRackOwnerFromLog,
    Lose,
    LoseFiveTimes,
    DelayLong,
    DelayHalfAMinute,
    Duplicate,
    VmDies,
    VmCut,
    VmCutAndRackOwnerKilled,
    ReportsLate,
    LogDown,
    LogAnswersLate,
    CancelWave,
    BadWorker,
    VmListStale,
}

impl Fault {
    pub const ALL: [Fault; 20] = [
        Fault::KillJobOwner,
        Fault::KillRackOwner,
        Fault::PauseJobOwner,
        Fault::PauseRackOwner,
        Fault::CutJobOwnerFromLog,
        Fault::CutRackOwnerFromLog,
        Fault::Lose,
        Fault::LoseFiveTimes,
        Fault::DelayLong,
        Fault::DelayHalfAMinute,
        Fault::Duplicate,
        Fault::VmDies,
        Fault::VmCut,
        Fault::VmCutAndRackOwnerKilled,
        Fault::ReportsLate,
        Fault::LogDown,
        Fault::LogAnswersLate,
        Fault::CancelWave,
        Fault::BadWorker,
        Fault::VmListStale,
    ];
}

/// A fault injected when the step is taken after `after` earlier times.
#[derive(Clone, Copy, Debug, Eq, PartialEq, bolero::generator::TypeGenerator)]
pub struct InjectedFault {
    pub step: Step,
    pub fault: Fault,
    #[generator(0..4)]
    pub after: u8,
}

/// The step of a message to a rack's owner.
pub fn step_of_rack(msg: &RackMsg) -> Step {
    match msg {
        RackMsg::Start(_) => Step::StartMessage,
        RackMsg::Stop(_) => Step::StopMessage,
        RackMsg::AckEnded { .. } => Step::AckMessage,
    }
}

/// The step of a message to a job's owner, and its task.
pub fn step_of_job(msg: &JobMsg) -> (Step, Option<TaskId>) {
    match msg {
        JobMsg::Placed(placed) => {
            (Step::Placed, placed.granted.first().map(|grant| grant.task.clone()))
        }
        JobMsg::Started { of, .. }
        | JobMsg::UnconfirmedStart { of }
        | JobMsg::VmDraining { of } => (Step::StartedMessage, Some(of.task.clone())),
        JobMsg::Ended(ended) => (Step::EndedMessage, Some(ended.of.task.clone())),
    }
}

/// The step of a placement request.
pub fn step_of_node(msg: &NodeMsg) -> Option<Step> {
    match msg {
        NodeMsg::Place(place) if !place.requests.is_empty() => Some(Step::Place),
        _ => None,
    }
}

/// The step of a worker call.
pub fn step_of_call(call: &WorkerCall) -> Step {
    match call {
        WorkerCall::Start(_) => Step::StartCall,
        WorkerCall::Renew(_) => Step::Renewal,
        WorkerCall::Stop(_) | WorkerCall::Throttle(_) => Step::StopCall,
        WorkerCall::Report => Step::Report,
    }
}

/// The step of an append.
pub fn step_of_entry(entry: &JobEntry) -> Option<Step> {
    match entry {
        JobEntry::Submitted { .. } => Some(Step::AppendSubmission),
        JobEntry::Starting { .. } => Some(Step::AppendStarting),
        JobEntry::Ended { .. } => Some(Step::AppendEnd),
        JobEntry::Cancelled { .. } => Some(Step::AppendCancel),
        _ => None,
    }
}
