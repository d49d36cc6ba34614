//! Encoding of the frames between a leader and a relay.
//!
//! The leader declares a worker or a payload by sending it in full. Later frames refer to the worker by number and to
//! the payload by workflow, and lists of runs are sent as differences from the last one. Both ends therefore keep
//! identical tables.

use {
    crate::{
        message::{Answer, Call, RelayedCall},
        rows::{self, Row},
    },
    compact_str::CompactString,
    egretlb_types::Epoch,
    egretlb_workflow::{
        End, PaceResult, PollReply, PollResult, RunId, RunningTask, StartResult, StopResult,
        TaskId, UnreadableRows, WorkerId, WorkflowId,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, VecDeque},
        fmt,
        net::SocketAddr,
    },
};

/// The number of a call on its connection.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct CallNo(u32);

/// The index of a worker in the order of declaration on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct WorkerNo(u32);

/// Maximum number of payloads that both ends keep, of up to 4,000 bytes each.
const MAX_PAYLOADS: usize = 512;

/// Why a frame can't be decoded. The connection can't be used further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CodecError {
    /// It isn't a frame of the expected type.
    Malformed,
    /// It refers to a worker, payload or row that wasn't sent before.
    UndeclaredReference,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::Malformed => write!(f, "not a frame of this protocol"),
            CodecError::UndeclaredReference => write!(f, "a frame names what wasn't sent before"),
        }
    }
}

impl std::error::Error for CodecError {}

/// An element of a leader's frame: a declaration or a call. The fields are those of [`Call`].
#[derive(Debug, Serialize, Deserialize)]
enum Command {
    /// Declares a worker under the next number.
    Worker {
        id: WorkerId,
        addr: SocketAddr,
    },
    /// Declares the payload of a workflow.
    Payload {
        workflow: WorkflowId,
        payload: CompactString,
    },
    Poll {
        worker: WorkerNo,
        recorded: u64,
        until_ms: Option<u64>,
        wait_ms: u64,
    },
    Start {
        worker: WorkerNo,
        task: TaskId,
        run: RunId,
        until_ms: u64,
        checkpoint: CompactString,
        ticket: CompactString,
        data_centre: CompactString,
    },
    Stop {
        worker: WorkerNo,
        task: TaskId,
        run: RunId,
    },
    Pace {
        worker: WorkerNo,
        task: TaskId,
        run: RunId,
        percent: u32,
    },
}

#[derive(Debug, Serialize, Deserialize)]
struct CommandFrame {
    epoch: Epoch,
    /// Expiry of the calls, on the relay's clock in milliseconds.
    until_ms: u64,
    /// Number of the first call; the others are numbered consecutively, without the declarations.
    first: CallNo,
    commands: Vec<Command>,
}

/// The encoded form of an [`Answer`].
#[derive(Debug, Serialize, Deserialize)]
enum Report {
    PollReply {
        worker: WorkerNo,
        /// The worker's clock in milliseconds.
        clock_ms: u64,
        /// The runs in progress, relative to the worker's last list.
        rows: Vec<Row>,
        ended: Vec<End>,
        /// `None` if all rows are readable.
        unreadable: Option<UnreadableRows>,
    },
    PollFailure(PollFailure),
    Start(StartResult),
    Stop(StopResult),
    Pace(PaceResult),
}

/// Why a poll returned no lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
enum PollFailure {
    Outranked,
    OtherIncarnation,
    Restarted { started_ms: u64 },
    Refused,
    Failed,
}

#[derive(Debug, Serialize, Deserialize)]
struct ReportFrame {
    /// The relay's clock in milliseconds.
    clock_ms: u64,
    reports: Vec<(CallNo, Report)>,
}

/// The payloads of the workflows declared last. Both ends insert and evict in the same order; a payload that replaces
/// another keeps its place.
#[derive(Debug, Default)]
struct Payloads {
    by_workflow: HashMap<WorkflowId, CompactString>,
    insertion_order: VecDeque<WorkflowId>,
}

impl Payloads {
    fn insert(&mut self, workflow: WorkflowId, payload: CompactString) {
        if self.by_workflow.insert(workflow, payload).is_none() {
            self.insertion_order.push_back(workflow);
        }
        if self.insertion_order.len() > MAX_PAYLOADS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.by_workflow.remove(&oldest);
        }
    }
}

/// The leader's end of a connection.
#[derive(Debug, Default)]
pub struct LeaderCodec {
    workers: HashMap<WorkerId, (WorkerNo, SocketAddr)>,
    /// The last list of runs of each declared worker, by [`WorkerNo`].
    running_lists: Vec<Vec<RunningTask>>,
    payloads: Payloads,
    /// Number of the next call.
    next_number: u32,
    /// Number of the first call in the next frame.
    first_number: u32,
    commands: Vec<Command>,
}

impl LeaderCodec {
    /// Adds a call to the next frame and returns its number.
    pub fn add(&mut self, worker: &WorkerId, addr: SocketAddr, call: Call) -> CallNo {
        if self.commands.is_empty() {
            self.first_number = self.next_number;
        }
        let worker = self.declare_worker(worker, addr);
        let command = match call {
            Call::Poll { recorded, until_ms, wait_ms } => {
                Command::Poll { worker, recorded, until_ms, wait_ms }
            }
            Call::Start { task, run, payload, until_ms, checkpoint, ticket, data_centre } => {
                self.declare_payload(task.workflow, payload);
                Command::Start { worker, task, run, until_ms, checkpoint, ticket, data_centre }
            }
            Call::Stop { task, run } => Command::Stop { worker, task, run },
            Call::Pace { task, run, percent } => Command::Pace { worker, task, run, percent },
        };
        self.commands.push(command);
        let number = CallNo(self.next_number);
        self.next_number = self.next_number.wrapping_add(1);
        number
    }

    /// Whether the worker has been declared on this connection.
    pub fn has_worker(&self, id: &WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    /// Returns the worker's number. Declares it first if it is new or has another address, under a new number.
    fn declare_worker(&mut self, id: &WorkerId, addr: SocketAddr) -> WorkerNo {
        if let Some((number, known_addr)) = self.workers.get(id)
            && *known_addr == addr
        {
            return *number;
        }
        let number = WorkerNo(u32::try_from(self.running_lists.len()).unwrap_or(u32::MAX));
        self.workers.insert(id.clone(), (number, addr));
        self.running_lists.push(Vec::new());
        self.commands.push(Command::Worker { id: id.clone(), addr });
        number
    }

    /// Declares the workflow's payload if the relay doesn't have it.
    fn declare_payload(&mut self, workflow: WorkflowId, payload: CompactString) {
        if self.payloads.by_workflow.get(&workflow) != Some(&payload) {
            self.payloads.insert(workflow, payload.clone());
            self.commands.push(Command::Payload { workflow, payload });
        }
    }

    /// Whether the next frame contains calls.
    pub fn has_calls(&self) -> bool {
        !self.commands.is_empty()
    }

    /// Encodes the calls added since the last frame. The relay makes them if they arrive by `until_ms` on its
    /// clock.
    pub fn next_frame(&mut self, epoch: Epoch, until_ms: u64) -> Vec<u8> {
        let commands = std::mem::take(&mut self.commands);
        let frame = CommandFrame { epoch, until_ms, first: CallNo(self.first_number), commands };
        // Serializing this type can't fail.
        postcard::to_stdvec(&frame).unwrap_or_default()
    }

    /// Decodes a frame of the relay: its clock in milliseconds, and the results of calls.
    ///
    /// # Errors
    ///
    /// The frame is malformed, or refers to a worker or row that wasn't sent before.
    pub fn read(&mut self, frame: &[u8]) -> Result<(u64, Vec<(CallNo, Answer)>), CodecError> {
        let frame: ReportFrame = postcard::from_bytes(frame).map_err(|_| CodecError::Malformed)?;
        let mut answers = Vec::with_capacity(frame.reports.len());
        for (number, report) in frame.reports {
            answers.push((number, self.answer(report)?));
        }
        Ok((frame.clock_ms, answers))
    }

    fn answer(&mut self, report: Report) -> Result<Answer, CodecError> {
        Ok(match report {
            Report::Start(result) => Answer::Start(result),
            Report::Stop(result) => Answer::Stop(result),
            Report::Pace(result) => Answer::Pace(result),
            Report::PollFailure(failure) => Answer::Poll(match failure {
                PollFailure::Outranked => PollResult::Outranked,
                PollFailure::OtherIncarnation => PollResult::OtherIncarnation,
                PollFailure::Restarted { started_ms } => PollResult::Restarted { started_ms },
                PollFailure::Refused => PollResult::Refused,
                PollFailure::Failed => PollResult::Failed,
            }),
            Report::PollReply { worker, clock_ms, rows, ended, unreadable } => {
                let previous = self
                    .running_lists
                    .get_mut(worker.0 as usize)
                    .ok_or(CodecError::UndeclaredReference)?;
                let running = rows::apply(previous, rows).ok_or(CodecError::UndeclaredReference)?;
                previous.clone_from(&running);
                let unreadable = unreadable.unwrap_or_default();
                Answer::Poll(PollResult::Lists(PollReply { clock_ms, running, ended, unreadable }))
            }
        })
    }
}

/// The relay's end of a connection.
#[derive(Debug, Default)]
pub struct RelayCodec {
    /// The declared workers, by [`WorkerNo`].
    workers: Vec<(WorkerId, SocketAddr)>,
    /// The last list of runs of each, by [`WorkerNo`].
    running_lists: Vec<Vec<RunningTask>>,
    payloads: Payloads,
    /// The workers of unanswered polls.
    polls: HashMap<CallNo, WorkerNo>,
    reports: Vec<(CallNo, Report)>,
}

impl RelayCodec {
    /// Decodes a frame of the leader: the expiry of its calls on this relay's clock in milliseconds, and the
    /// calls.
    ///
    /// # Errors
    ///
    /// The frame is malformed, or refers to a worker or payload that wasn't sent before.
    pub fn read(&mut self, frame: &[u8]) -> Result<(u64, Vec<RelayedCall>), CodecError> {
        let CommandFrame { epoch, until_ms, first, commands } =
            postcard::from_bytes(frame).map_err(|_| CodecError::Malformed)?;
        let mut number = first;
        let mut calls = Vec::with_capacity(commands.len());
        for command in commands {
            let (worker, call) = match command {
                Command::Worker { id, addr } => {
                    self.workers.push((id, addr));
                    self.running_lists.push(Vec::new());
                    continue;
                }
                Command::Payload { workflow, payload } => {
                    self.payloads.insert(workflow, payload);
                    continue;
                }
                Command::Poll { worker, recorded, until_ms, wait_ms } => {
                    self.polls.insert(number, worker);
                    (worker, Call::Poll { recorded, until_ms, wait_ms })
                }
                Command::Start { worker, task, run, until_ms, checkpoint, ticket, data_centre } => {
                    let payload = self.payloads.by_workflow.get(&task.workflow);
                    let payload = payload.ok_or(CodecError::UndeclaredReference)?.clone();
                    let call = Call::Start {
                        task,
                        run,
                        payload,
                        until_ms,
                        checkpoint,
                        ticket,
                        data_centre,
                    };
                    (worker, call)
                }
                Command::Stop { worker, task, run } => (worker, Call::Stop { task, run }),
                Command::Pace { worker, task, run, percent } => {
                    (worker, Call::Pace { task, run, percent })
                }
            };
            let declared =
                self.workers.get(worker.0 as usize).ok_or(CodecError::UndeclaredReference)?;
            let (id, addr) = declared.clone();
            calls.push(RelayedCall { number, epoch, worker: id, addr, call });
            number = CallNo(number.0.wrapping_add(1));
        }
        Ok((until_ms, calls))
    }

    /// Adds the result of a call to the next frame.
    pub fn add(&mut self, number: CallNo, answer: Answer) {
        let report = match answer {
            Answer::Start(result) => Report::Start(result),
            Answer::Stop(result) => Report::Stop(result),
            Answer::Pace(result) => Report::Pace(result),
            Answer::Poll(result) => self.poll_report(number, result),
        };
        self.reports.push((number, report));
    }

    fn poll_report(&mut self, number: CallNo, result: PollResult) -> Report {
        let worker = self.polls.remove(&number);
        let reply = match result {
            PollResult::Lists(reply) => reply,
            PollResult::Outranked => return Report::PollFailure(PollFailure::Outranked),
            PollResult::OtherIncarnation => {
                return Report::PollFailure(PollFailure::OtherIncarnation);
            }
            PollResult::Restarted { started_ms } => {
                return Report::PollFailure(PollFailure::Restarted { started_ms });
            }
            PollResult::Refused => return Report::PollFailure(PollFailure::Refused),
            PollResult::Failed => return Report::PollFailure(PollFailure::Failed),
        };
        let previous = worker.and_then(|worker| self.running_lists.get_mut(worker.0 as usize));
        let (Some(worker), Some(previous)) = (worker, previous) else {
            return Report::PollFailure(PollFailure::Failed);
        };
        let PollReply { clock_ms, running, ended, unreadable } = reply;
        let rows = rows::diff(previous, &running);
        *previous = running;
        let unreadable = (unreadable != UnreadableRows::default()).then_some(unreadable);
        Report::PollReply { worker, clock_ms, rows, ended, unreadable }
    }

    /// Whether the next frame contains reports.
    pub fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Encodes the reports added since the last frame. `clock_ms` is this relay's clock in milliseconds.
    pub fn next_frame(&mut self, clock_ms: u64) -> Vec<u8> {
        let frame = ReportFrame { clock_ms, reports: std::mem::take(&mut self.reports) };
        // Serializing this type can't fail.
        postcard::to_stdvec(&frame).unwrap_or_default()
    }
}
