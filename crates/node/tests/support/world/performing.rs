//! Performs the schedulers' effects: calls to the log and the workers, and messages to peers, each
//! with a delay.

use {
    super::{Node, World, WorldFault},
    egretlb_log::{AppendOutcome, NotAppendedReason, ReadOutcome, Record, StreamName},
    egretlb_node::{
        Delivery, NodeEffect, NodeEvent, SchedulerEffect, SchedulerEvent, WorkerCallGuard,
    },
    egretlb_tasks::{CallError, WorkerAnswer, WorkerCall},
    egretlb_types::Offset,
    rand::Rng,
    std::time::Duration,
};

/// A message in flight to a node.
pub(super) enum Traffic {
    Event(SchedulerEvent),
    Append {
        stream: StreamName,
        bytes: Vec<u8>,
        answer: Box<dyn Fn(AppendOutcome) -> SchedulerEvent>,
    },
    Read {
        stream: StreamName,
        from: Offset,
        answer: Box<dyn Fn(ReadOutcome) -> SchedulerEvent>,
    },
    Call {
        addr: String,
        call: WorkerCall,
        ticket: egretlb_types::Ticket,
    },
}

impl World {
    pub(super) fn send(&mut self, node: usize, traffic: Traffic) {
        let delay = Duration::from_micros(self.rng.random_range(300..3_000));
        self.send_after(node, delay, traffic);
    }

    fn send_after(&mut self, node: usize, delay: Duration, traffic: Traffic) {
        self.next += 1;
        self.traffic.insert((self.now + delay, self.next), (node, traffic));
    }

    pub(super) fn arrive(&mut self, ix: usize, traffic: Traffic) {
        match traffic {
            Traffic::Event(event) => {
                let node = &self.nodes[ix];
                if node.gone {
                    return;
                }
                if node.paused_until > self.now {
                    let wait = node.paused_until.since(self.now);
                    return self.send_after(ix, wait, Traffic::Event(event));
                }
                self.step(ix, event);
            }
            Traffic::Append { stream, bytes, answer } => {
                let outcome = self.append(ix, &stream, bytes);
                self.send(ix, Traffic::Event(answer(outcome)));
            }
            Traffic::Read { stream, from, answer } => {
                let outcome = self.read(ix, &stream, from);
                self.send(ix, Traffic::Event(answer(outcome)));
            }
            Traffic::Call { addr, call, ticket } => {
                let result = self.call(ix, &addr, call);
                self.send(ix, Traffic::Event(SchedulerEvent::WorkerAnswered { ticket, result }));
            }
        }
    }

    fn can_reach_log(&self, ix: usize) -> bool {
        self.now >= self.log_down_until && !self.nodes[ix].is_cut(self.now, WorldFault::CutFromLog)
    }

    fn append(&mut self, ix: usize, stream: &StreamName, bytes: Vec<u8>) -> AppendOutcome {
        if !self.can_reach_log(ix) {
            return AppendOutcome::NotAppended(NotAppendedReason::Unreachable);
        }
        let appended = self.log.append(self.now, stream.as_str(), bytes);
        if self.now < self.answers_lost_until {
            return AppendOutcome::Unknown;
        }
        match appended {
            Ok(appended) => AppendOutcome::Appended(Offset(appended.offset)),
            Err(_) => AppendOutcome::NotAppended(NotAppendedReason::Refused),
        }
    }

    fn read(&mut self, ix: usize, stream: &StreamName, from: Offset) -> ReadOutcome {
        if !self.can_reach_log(ix) {
            return ReadOutcome::Unavailable;
        }
        match self.log.read(self.now, stream.as_str(), from.0, 1 << 20) {
            Ok(page) => {
                let record = |r: egretlb_standins::log::Record| Record {
                    offset: Offset(r.offset),
                    bytes: r.data,
                };
                let records = page.records.into_iter().map(record).collect();
                ReadOutcome::Page { records, next: Offset(page.next), end: page.end }
            }
            Err(gone) => ReadOutcome::Gone { oldest: Offset(gone.oldest) },
        }
    }

    fn call(&mut self, ix: usize, addr: &str, call: WorkerCall) -> Result<WorkerAnswer, CallError> {
        if self.nodes[ix].is_cut(self.now, WorldFault::CutFromWorkers) {
            return Err(CallError::NotSent);
        }
        let n: usize = addr.strip_prefix("worker-").and_then(|n| n.parse().ok()).expect("a worker");
        let (now, worker) = (self.now, &mut self.workers[n]);
        Ok(match call {
            WorkerCall::Start(start) => WorkerAnswer::Start(worker.start(now, start)),
            WorkerCall::Renew(renew) => WorkerAnswer::Renew(worker.renew(now, renew)),
            WorkerCall::Stop(stop) => WorkerAnswer::Stop(worker.stop(now, stop)),
            WorkerCall::Throttle(throttle) => WorkerAnswer::Stop(worker.throttle(now, throttle)),
            WorkerCall::Report => WorkerAnswer::Report(worker.report(now)),
        })
    }

    pub(super) fn step(&mut self, ix: usize, event: SchedulerEvent) {
        let mut effects = Vec::new();
        self.nodes[ix].scheduler.step(self.now, event, &mut effects);
        for effect in effects {
            self.perform(ix, effect);
        }
    }

    fn perform(&mut self, ix: usize, effect: SchedulerEffect) {
        match effect {
            SchedulerEffect::Node(effect) => self.perform_node(ix, effect),
            SchedulerEffect::AppendJournal { seq, bytes } => {
                let stream = StreamName::journal(self.nodes[ix].scheduler.node());
                let answer =
                    Box::new(move |outcome| SchedulerEvent::JournalAppended { seq, outcome });
                self.send(ix, Traffic::Append { stream, bytes, answer });
            }
            SchedulerEffect::ReadJournal { read_id, node, from } => {
                let stream = StreamName::journal(node);
                let answer =
                    Box::new(move |outcome| SchedulerEvent::JournalRead { read_id, outcome });
                self.send(ix, Traffic::Read { stream, from, answer });
            }
            SchedulerEffect::CallWorker { addr, ticket, call, guard } => {
                let may_call = match guard {
                    WorkerCallGuard::None => true,
                    WorkerCallGuard::Before(until) => self.now < until,
                    WorkerCallGuard::Refused(_) => false,
                };
                if may_call {
                    self.send(ix, Traffic::Call { addr: addr.to_string(), call, ticket });
                } else {
                    let result = Err(CallError::NotSent);
                    self.send(
                        ix,
                        Traffic::Event(SchedulerEvent::WorkerAnswered { ticket, result }),
                    );
                }
            }
        }
    }

    fn perform_node(&mut self, ix: usize, effect: NodeEffect) {
        match effect {
            NodeEffect::ReadControl { from } => {
                let sent = self.now;
                let answer =
                    Box::new(move |outcome| NodeEvent::ControlRead { sent, outcome }.into());
                self.send(ix, Traffic::Read { stream: StreamName::control(), from, answer });
            }
            NodeEffect::AppendControl { ticket, bytes } => {
                let answer =
                    Box::new(move |outcome| NodeEvent::ControlAppended { ticket, outcome }.into());
                self.send(ix, Traffic::Append { stream: StreamName::control(), bytes, answer });
            }
            NodeEffect::Send { addr, message } => {
                let from = self.nodes[ix].scheduler.node();
                let cut = |node: &Node| node.is_cut(self.now, WorldFault::CutFromPeers);
                let to = self.nodes.iter().position(|n| !n.gone && *n.addr == *addr);
                let recipient = to.filter(|to| !cut(&self.nodes[ix]) && !cut(&self.nodes[*to]));
                match recipient {
                    Some(to) => {
                        let event = NodeEvent::Peer { from, message: *message };
                        self.send(to, Traffic::Event(event.into()));
                    }
                    None => {
                        let delivery = Delivery::NeverSent;
                        let event = NodeEvent::Undelivered { message, delivery };
                        self.send(ix, Traffic::Event(event.into()));
                    }
                }
            }
            NodeEffect::Reply { call, reply } => {
                self.replies.insert(call, reply);
            }
            NodeEffect::Notice(_) => {}
            NodeEffect::Exit => {
                self.nodes[ix].gone = true;
                self.add_scheduler();
            }
        }
    }
}
