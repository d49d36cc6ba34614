//! What can go wrong, and when.

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

/// Just before the step's effect, or after it and before its answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, TypeGenerator)]
pub enum Moment {
    Before,
    After,
}

impl Moment {
    pub const ALL: [Moment; 2] = [Moment::Before, Moment::After];
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, TypeGenerator)]
pub enum Fault {
    /// The process dies; another one takes its VM's place some seconds later.
    Kill,
    /// The process stands still for longer than its authority lasts.
    Pause,
    /// The process reaches its peers and not the log.
    CutFromLog,
    /// The process reaches the log and none of its peers.
    CutFromPeers,
    /// The process reaches nothing.
    CutOff,
    /// The log answers nobody.
    LogDown,
    /// The log takes seconds for each answer.
    LogSlow,
    /// The log's answers reach the process seconds late, and its peers hear nothing of it.
    LateAnswers,
    /// Appends take effect and their answers are lost.
    AnswerLost,
    /// Appends take effect seconds after they were given up.
    AppendLate,
    /// The control stream expires up to a snapshot while the process stands still.
    Expired,
    /// The process's clock runs 1% slow, all others 1% fast, and it can't read the log.
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

/// A fault at a step, and a second one some time after it at any process.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub struct Pair {
    pub first: Cell,
    pub second: Fault,
    /// Twentieths of a second between the two, up to 12.8 s.
    pub gap: u8,
    pub victim: u8,
}
