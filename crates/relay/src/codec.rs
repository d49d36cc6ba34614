//! The two ends of a connection between a leader and a relay.
//!
//! Both ends count names alike: a worker and a payload are sent in full once, and by number or by their
//! workflow afterwards.

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

/// The place of a worker among those that were named on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct WorkerNo(u32);

/// The most payloads that both ends remember; a payload takes 4,000 bytes at most.
const MOST_PAYLOADS: usize = 512;

/// A frame can't be read: the connection is of no use any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CodecError {
    /// It isn't a frame of this kind.
    Malformed,
    /// It names a worker, a payload or a row that wasn't sent before.
    UnknownName,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::Malformed => write!(f, "not a frame of this protocol"),
            CodecError::UnknownName => write!(f, "a frame names what wasn't sent before"),
        }
    }
}

impl std::error::Error for CodecError {}

#[derive(Debug, Serialize, Deserialize)]
enum Command {
    Worker {
        id: WorkerId,
        addr: SocketAddr,
    },
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
    /// On the relay's clock in milliseconds: what arrives later isn't carried out.
    until_ms: u64,
    /// The number of the first call; the others follow it.
    first: CallNo,
    commands: Vec<Command>,
}

#[derive(Debug, Serialize, Deserialize)]
enum Report {
    Lists {
        worker: WorkerNo,
        clock_ms: u64,
        rows: Vec<Row>,
        ended: Vec<End>,
        odd: Option<UnreadableRows>,
    },
    NoLists(NoLists),
    Start(StartResult),
    Stop(StopResult),
    Pace(PaceResult),
}

/// What became of a poll that returned no lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
enum NoLists {
    Outranked,
    OtherIncarnation,
    Refused,
    Failed,
}

#[derive(Debug, Serialize, Deserialize)]
struct ReportFrame {
    /// The relay's clock in milliseconds.
    clock_ms: u64,
    reports: Vec<(CallNo, Report)>,
}

/// Payloads in the order in which they were named; both ends forget the same ones.
#[derive(Debug, Default)]
struct Payloads {
    known: HashMap<WorkflowId, CompactString>,
    order: VecDeque<WorkflowId>,
}

impl Payloads {
    fn insert(&mut self, workflow: WorkflowId, payload: CompactString) {
        if self.known.insert(workflow, payload).is_none() {
            self.order.push_back(workflow);
        }
        if self.order.len() > MOST_PAYLOADS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

/// The leader's end.
#[derive(Debug, Default)]
pub struct LeaderCodec {
    workers: HashMap<WorkerId, (WorkerNo, SocketAddr)>,
    /// What was last listed at each worker that was named.
    lists: Vec<Vec<RunningTask>>,
    payloads: Payloads,
    next: u32,
    first: u32,
    commands: Vec<Command>,
}

impl LeaderCodec {
    /// Adds a call to the next frame.
    pub fn add(&mut self, worker: &WorkerId, addr: SocketAddr, call: Call) -> CallNo {
        if self.commands.is_empty() {
            self.first = self.next;
        }
        let worker = self.name(worker, addr);
        let command = match call {
            Call::Poll { recorded, until_ms, wait_ms } => {
                Command::Poll { worker, recorded, until_ms, wait_ms }
            }
            Call::Start { task, run, payload, until_ms, checkpoint, ticket } => {
                self.name_payload(task.workflow, payload);
                Command::Start { worker, task, run, until_ms, checkpoint, ticket }
            }
            Call::Stop { task, run } => Command::Stop { worker, task, run },
            Call::Pace { task, run, percent } => Command::Pace { worker, task, run, percent },
        };
        self.commands.push(command);
        let number = CallNo(self.next);
        self.next = self.next.wrapping_add(1);
        number
    }

    /// Whether a call to the worker was added before.
    pub fn has_worker(&self, id: &WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    fn name(&mut self, id: &WorkerId, addr: SocketAddr) -> WorkerNo {
        if let Some((number, known)) = self.workers.get(id)
            && *known == addr
        {
            return *number;
        }
        let number = WorkerNo(u32::try_from(self.lists.len()).unwrap_or(u32::MAX));
        self.workers.insert(id.clone(), (number, addr));
        self.lists.push(Vec::new());
        self.commands.push(Command::Worker { id: id.clone(), addr });
        number
    }

    fn name_payload(&mut self, workflow: WorkflowId, payload: CompactString) {
        if self.payloads.known.get(&workflow) != Some(&payload) {
            self.payloads.insert(workflow, payload.clone());
            self.commands.push(Command::Payload { workflow, payload });
        }
    }

    /// Whether calls wait for the next frame.
    pub fn has_calls(&self) -> bool {
        !self.commands.is_empty()
    }

    /// The next frame, with all calls since the last one. They are carried out if they arrive before `until_ms`
    /// on the relay's clock.
    pub fn next_frame(&mut self, epoch: Epoch, until_ms: u64) -> Vec<u8> {
        let commands = std::mem::take(&mut self.commands);
        let frame = CommandFrame { epoch, until_ms, first: CallNo(self.first), commands };
        // Plain data always has a form.
        postcard::to_stdvec(&frame).unwrap_or_default()
    }

    /// Reads a frame of the relay: its clock in milliseconds, and what became of calls.
    ///
    /// # Errors
    ///
    /// The frame can't be read.
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
            Report::NoLists(kind) => Answer::Poll(match kind {
                NoLists::Outranked => PollResult::Outranked,
                NoLists::OtherIncarnation => PollResult::OtherIncarnation,
                NoLists::Refused => PollResult::Refused,
                NoLists::Failed => PollResult::Failed,
            }),
            Report::Lists { worker, clock_ms, rows, ended, odd } => {
                let before =
                    self.lists.get_mut(worker.0 as usize).ok_or(CodecError::UnknownName)?;
                let running = rows::follow(before, rows).ok_or(CodecError::UnknownName)?;
                before.clone_from(&running);
                let unreadable = odd.unwrap_or_default();
                Answer::Poll(PollResult::Lists(PollReply { clock_ms, running, ended, unreadable }))
            }
        })
    }
}

/// The relay's end.
#[derive(Debug, Default)]
pub struct RelayCodec {
    workers: Vec<(WorkerId, SocketAddr)>,
    lists: Vec<Vec<RunningTask>>,
    payloads: Payloads,
    /// The workers of polls that aren't answered yet.
    polled: HashMap<CallNo, WorkerNo>,
    reports: Vec<(CallNo, Report)>,
}

impl RelayCodec {
    /// Reads a frame of the leader: until when its calls may be carried out, on this relay's clock in
    /// milliseconds, and the calls.
    ///
    /// # Errors
    ///
    /// The frame can't be read.
    pub fn read(&mut self, frame: &[u8]) -> Result<(u64, Vec<RelayedCall>), CodecError> {
        let CommandFrame { epoch, until_ms, first, commands } =
            postcard::from_bytes(frame).map_err(|_| CodecError::Malformed)?;
        let mut number = first;
        let mut calls = Vec::with_capacity(commands.len());
        for command in commands {
            let (worker, call) = match command {
                Command::Worker { id, addr } => {
                    self.workers.push((id, addr));
                    self.lists.push(Vec::new());
                    continue;
                }
                Command::Payload { workflow, payload } => {
                    self.payloads.insert(workflow, payload);
                    continue;
                }
                Command::Poll { worker, recorded, until_ms, wait_ms } => {
                    self.polled.insert(number, worker);
                    (worker, Call::Poll { recorded, until_ms, wait_ms })
                }
                Command::Start { worker, task, run, until_ms, checkpoint, ticket } => {
                    let payload = self.payloads.known.get(&task.workflow);
                    let payload = payload.ok_or(CodecError::UnknownName)?.clone();
                    (worker, Call::Start { task, run, payload, until_ms, checkpoint, ticket })
                }
                Command::Stop { worker, task, run } => (worker, Call::Stop { task, run }),
                Command::Pace { worker, task, run, percent } => {
                    (worker, Call::Pace { task, run, percent })
                }
            };
            let named = self.workers.get(worker.0 as usize).ok_or(CodecError::UnknownName)?;
            let (id, addr) = named.clone();
            calls.push(RelayedCall { number, epoch, worker: id, addr, call });
            number = CallNo(number.0.wrapping_add(1));
        }
        Ok((until_ms, calls))
    }

    /// Adds what became of a call to the next frame.
    pub fn add(&mut self, number: CallNo, answer: Answer) {
        let report = match answer {
            Answer::Start(result) => Report::Start(result),
            Answer::Stop(result) => Report::Stop(result),
            Answer::Pace(result) => Report::Pace(result),
            Answer::Poll(result) => self.polled_report(number, result),
        };
        self.reports.push((number, report));
    }

    fn polled_report(&mut self, number: CallNo, result: PollResult) -> Report {
        let worker = self.polled.remove(&number);
        let reply = match result {
            PollResult::Lists(reply) => reply,
            PollResult::Outranked => return Report::NoLists(NoLists::Outranked),
            PollResult::OtherIncarnation => return Report::NoLists(NoLists::OtherIncarnation),
            PollResult::Refused => return Report::NoLists(NoLists::Refused),
            PollResult::Failed => return Report::NoLists(NoLists::Failed),
        };
        let before = worker.and_then(|worker| self.lists.get_mut(worker.0 as usize));
        let (Some(worker), Some(before)) = (worker, before) else {
            return Report::NoLists(NoLists::Failed);
        };
        let PollReply { clock_ms, running, ended, unreadable } = reply;
        let rows = rows::changes(before, &running);
        *before = running;
        let odd = (unreadable != UnreadableRows::default()).then_some(unreadable);
        Report::Lists { worker, clock_ms, rows, ended, odd }
    }

    /// Whether reports wait for the next frame.
    pub fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// The next frame, with all reports since the last one. `clock_ms` is this relay's clock.
    pub fn next_frame(&mut self, clock_ms: u64) -> Vec<u8> {
        let frame = ReportFrame { clock_ms, reports: std::mem::take(&mut self.reports) };
        // Plain data always has a form.
        postcard::to_stdvec(&frame).unwrap_or_default()
    }
}
