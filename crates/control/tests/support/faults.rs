//! Faults and the steps at which they are injected.

use bolero::TypeGenerator;

/// A step of a protocol.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, TypeGenerator)]
pub enum Step {
    Join,
    Claim,
    Wait,
    Recover,
    Snapshot,
    Settle,
    Renew,
    Release,
    Propose,
}

impl Step {
    pub const ALL: [Step; 9] = [
        Step::Join,
        Step::Claim,
        Step::Wait,
        Step::Recover,
        Step::Snapshot,
        Step::Settle,
        Step::Renew,
        Step::Release,
        Step::Propose,
    ];
}

/// Before the step takes effect, or after it but before the answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, TypeGenerator)]
pub enum Moment {
    Before,
    After,
}

impl Moment {
    pub const ALL: [Moment; 2] = [Moment::Before, Moment::After];
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, TypeGenerator)]
pub enum Fault {
    /// The process dies and is replaced some seconds later.
    Kill,
    /// The process is paused for longer than its lease.
    Pause,
    /// The process can reach its peers but not the log.
    CutFromLog,
    /// The process can reach the log but none of its peers.
    CutFromPeers,
    /// The process can reach neither the log nor its peers.
    CutOff,
    /// No process can reach the log.
    LogDown,
    /// The log answers after seconds.
    LogSlow,
    /// The log's answers reach the process seconds late, and it can't reach its peers.
    LateAnswers,
    /// Appends succeed, but their answers are lost.
    AnswerLost,
    /// Appends succeed seconds after they timed out.
    AppendLate,
    /// The control stream expires up to a snapshot while the process is paused.
    Expired,
    /// The process's clock runs 1% slow and all others 1% fast, and it can't read the log.
    ClockRate,
    /// Two operators change the same version through two processes.
    Operators,
}

impl Fault {
    pub const ALL: [Fault; 13] = [
        Fault::Kill,
        Fault::Pause,
        Fault::CutFromLog,
        Fault::CutFromPeers,
        Fault::CutOff,
        Fault::LogDown,
        Fault::LogSlow,
        Fault::LateAnswers,
        Fault::AnswerLost,
        Fault::AppendLate,
        Fault::Expired,
        Fault::ClockRate,
        Fault::Operators,
    ];
}

/// One fault at one step.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub struct Cell {
    pub step: Step,
    pub moment: Moment,
    pub fault: Fault,
}

impl Cell {
    pub fn all() -> Vec<Cell> {
        let mut cells = Vec::new();
        for step in Step::ALL {
            for moment in Moment::ALL {
                cells.extend(Fault::ALL.map(|fault| Cell { step, moment, fault }));
            }
        }
        cells
    }
}

/// A fault at a step, and a second fault at any process some time later.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub struct Pair {
    pub first: Cell,
    pub second: Fault,
    /// Time between the two in units of 50 ms, up to 12.8 s.
    pub gap: u8,
    pub victim: u8,
}
