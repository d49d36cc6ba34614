//! The reducer that both daemons share.

use {
    super::{
        convert::{base_of, call_again, spec_of, version_of},
        event::{CallTicket, Delivery, NodeEffect, OperatorReply, OperatorRequest},
        job_calls::{Answered, JobCalls},
        notice::Notice,
        outbox::Outbox,
    },
    crate::peer::{JobRequest, PeerMessage},
    compact_str::{CompactString, format_compact},
    egretlb_api::{ConfigView, NodeStatus, ProposeAnswer, ProposeConfig, Status},
    egretlb_config::{check_document, parse_config, render_compact},
    egretlb_control::{
        ConfigVersion, Control, ControlEffect, ControlEvent, ControlOptions, NodeInfo, ProposalId,
        ProposalOutcome, Role,
    },
    egretlb_types::{ConfigDocument, NodeId, ShardId, Time, shard_of_job},
    smallvec::SmallVec,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// The largest configuration that a peer is sent, in bytes.
pub const PEER_CONFIG_MAX_BYTES: usize = 4 * 1024 * 1024;

/// How long an operator waits for a proposal to be decided. An append and the read that shows it
/// take about a second; after this the operator is told to send the same proposal again.
const DECIDE_WITHIN: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Proposal {
    call: CallTicket,
    until: Time,
}

/// Checks a configuration's text: the same pure function in every process, or they would disagree
/// on what is in force.
fn validate(text: &str) -> Result<ConfigDocument, CompactString> {
    parse_config(text).map_err(|faults| format_compact!("{faults}"))
}

/// The part of a daemon's state that doesn't depend on its role.
pub(crate) struct NodeCore {
    control: Control,
    seeds: SmallVec<[CompactString; 4]>,
    proposals: BTreeMap<ProposalId, Proposal>,
    jobs: JobCalls,
    last_read_sent: Option<Time>,
    /// The versions that peers said they have in force.
    heard_versions: BTreeMap<NodeId, ConfigVersion>,
}

impl NodeCore {
    /// `seeds` are peers to be asked for a configuration while the log is out of reach.
    pub(crate) fn new(
        info: NodeInfo,
        seed: u64,
        seeds: impl IntoIterator<Item = CompactString>,
    ) -> Self {
        let options = ControlOptions::new(info, seed);
        NodeCore {
            control: Control::new(options, Arc::new(validate)),
            seeds: seeds.into_iter().collect(),
            proposals: BTreeMap::new(),
            jobs: JobCalls::default(),
            last_read_sent: None,
            heard_versions: BTreeMap::new(),
        }
    }

    pub(crate) fn last_read_sent(&self) -> Option<Time> {
        self.last_read_sent
    }

    pub(crate) fn control(&self) -> &Control {
        &self.control
    }

    /// Steps the control reducer; returns the effects that depend on the daemon's role.
    pub(crate) fn step_control(
        &mut self,
        now: Time,
        event: ControlEvent,
        out: &mut Outbox,
    ) -> Vec<ControlEffect> {
        if let ControlEvent::ReadDone { sent, .. } = &event {
            self.last_read_sent = self.last_read_sent.max(Some(*sent));
        }
        let mut effects = Vec::new();
        self.control.step(now, event, &mut effects);
        effects.into_iter().filter_map(|effect| self.perform(effect, out)).collect()
    }

    /// Performs a control effect that is the same for both roles; gives back any other.
    fn perform(&mut self, effect: ControlEffect, out: &mut Outbox) -> Option<ControlEffect> {
        match effect {
            ControlEffect::Read { from } => out.effects.push(NodeEffect::ReadControl { from }),
            ControlEffect::Append { ticket, bytes } => {
                out.effects.push(NodeEffect::AppendControl { ticket, bytes });
            }
            ControlEffect::Heartbeat { to, heartbeat } => {
                out.send(&self.control, to.node, PeerMessage::Heartbeat(heartbeat));
            }
            ControlEffect::FetchConfig { from: Some(peer) } => {
                out.send(&self.control, peer.node, PeerMessage::ConfigRequest);
            }
            ControlEffect::FetchConfig { from: None } => {
                for addr in &self.seeds {
                    let message = Box::new(PeerMessage::ConfigRequest);
                    out.effects.push(NodeEffect::Send { addr: addr.clone(), message });
                }
            }
            ControlEffect::Alarm { alarm, raised } => {
                out.effects.push(NodeEffect::Notice(Notice::Control { alarm, raised }));
            }
            ControlEffect::ProposalDecided { id, outcome } => self.decided(id, outcome, out),
            other => return Some(other),
        }
        None
    }

    fn decided(&mut self, id: ProposalId, outcome: ProposalOutcome, out: &mut Outbox) {
        let Some(proposal) = self.proposals.remove(&id) else { return };
        let unavailable = ProposeAnswer::Unavailable { retry_after: call_again() };
        let answer = match outcome {
            ProposalOutcome::Accepted { version } => match version_of(version) {
                Some(version) => ProposeAnswer::Accepted { version },
                None => unavailable,
            },
            ProposalOutcome::Superseded { version, document } => ProposeAnswer::Lost {
                version: version_of(version),
                document: Box::new(parse_config(&document).unwrap_or_default()),
            },
            ProposalOutcome::Invalid { faults } => {
                ProposeAnswer::Invalid { faults: faults.lines().map(String::from).collect() }
            }
            ProposalOutcome::Unavailable | ProposalOutcome::Unconfirmed => unavailable,
        };
        let reply = OperatorReply::Propose(answer);
        out.effects.push(NodeEffect::Reply { call: proposal.call, reply });
    }

    /// Answers an operator's call, now or later. The state dump and readiness are the daemon's own.
    pub(crate) fn operator(
        &mut self,
        now: Time,
        call: CallTicket,
        request: OperatorRequest,
        out: &mut Outbox,
    ) -> Vec<ControlEffect> {
        match request {
            OperatorRequest::Config => {
                let reply = OperatorReply::Config(Box::new(self.config_view()));
                out.effects.push(NodeEffect::Reply { call, reply });
            }
            OperatorRequest::Status => {
                let reply = OperatorReply::Status(self.status(now));
                out.effects.push(NodeEffect::Reply { call, reply });
            }
            OperatorRequest::Propose(propose) => return self.propose(now, call, propose, out),
            OperatorRequest::Submit(submit) => {
                self.call_job(now, call, JobRequest::Submit(spec_of(submit)), out);
            }
            OperatorRequest::Job(job) => self.call_job(now, call, JobRequest::Status(job), out),
            OperatorRequest::Cancel(job) => self.call_job(now, call, JobRequest::Cancel(job), out),
            OperatorRequest::State | OperatorRequest::Ready => {}
        }
        Vec::new()
    }

    fn propose(
        &mut self,
        now: Time,
        call: CallTicket,
        propose: Box<ProposeConfig>,
        out: &mut Outbox,
    ) -> Vec<ControlEffect> {
        let faults = check_document(&propose.document);
        if !faults.is_empty() {
            let faults = faults.iter().map(ToString::to_string).collect();
            let reply = OperatorReply::Propose(ProposeAnswer::Invalid { faults });
            out.effects.push(NodeEffect::Reply { call, reply });
            return Vec::new();
        }
        let id = ProposalId(propose.proposal.0);
        self.proposals.insert(id, Proposal { call, until: now + DECIDE_WITHIN });
        let event = ControlEvent::Propose {
            id,
            base: base_of(propose.base),
            by: propose.by,
            document: render_compact(&propose.document),
        };
        self.step_control(now, event, out)
    }

    fn call_job(&mut self, now: Time, call: CallTicket, request: JobRequest, out: &mut Outbox) {
        let id = match self.jobs.begin(now, call, &request) {
            Ok(id) => id,
            Err(answered) => return reply(answered, out),
        };
        let shard = shard_of_job(request.job());
        let message = PeerMessage::JobCall { call: id, request };
        if !out.send_to_owner(&self.control, shard, message) {
            self.jobs.unreachable(id).into_iter().for_each(|answered| reply(answered, out));
        }
    }

    /// Takes a message that concerns both roles; gives back any other.
    pub(crate) fn peer(
        &mut self,
        now: Time,
        from: NodeId,
        message: PeerMessage,
        out: &mut Outbox,
    ) -> PeerTaken {
        let event = match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.heard_version(heartbeat.from, heartbeat.config);
                ControlEvent::HeartbeatReceived(heartbeat)
            }
            PeerMessage::Config { version, document } => {
                ControlEvent::PeerConfig { version, document }
            }
            PeerMessage::ConfigRequest => {
                self.tell_config(from, out);
                return PeerTaken::Done(Vec::new());
            }
            PeerMessage::JobReply { call, reply: answer } => {
                self.jobs.answered(call, answer).into_iter().for_each(|a| reply(a, out));
                return PeerTaken::Done(Vec::new());
            }
            other => return PeerTaken::NotMine(other),
        };
        PeerTaken::Done(self.step_control(now, event, out))
    }

    fn heard_version(&mut self, node: NodeId, version: ConfigVersion) {
        let state = self.control.state();
        self.heard_versions.retain(|node, _| state.is_some_and(|s| s.member(*node).is_some()));
        self.heard_versions.insert(node, version);
    }

    fn tell_config(&self, to: NodeId, out: &mut Outbox) {
        let in_force = self.control.in_force();
        if in_force.text.is_empty() || in_force.text.len() > PEER_CONFIG_MAX_BYTES {
            return;
        }
        let document = in_force.text.to_string();
        out.send(&self.control, to, PeerMessage::Config { version: in_force.version, document });
    }

    /// A call that never left need not keep its operator waiting.
    pub(crate) fn undelivered(
        &mut self,
        message: &PeerMessage,
        delivery: Delivery,
        out: &mut Outbox,
    ) {
        if let (PeerMessage::JobCall { call, .. }, Delivery::NeverSent) = (message, delivery) {
            self.jobs.unreachable(*call).into_iter().for_each(|answered| reply(answered, out));
        }
    }

    /// Gives up on calls that have waited too long.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Outbox) -> Vec<ControlEffect> {
        self.jobs.overdue(now).into_iter().for_each(|answered| reply(answered, out));
        let late = self.proposals.extract_if(.., |_, proposal| now >= proposal.until);
        for (_, proposal) in late {
            let answer = ProposeAnswer::Unavailable { retry_after: call_again() };
            let reply = OperatorReply::Propose(answer);
            out.effects.push(NodeEffect::Reply { call: proposal.call, reply });
        }
        self.step_control(now, ControlEvent::Tick, out)
    }

    fn config_view(&self) -> ConfigView {
        let in_force = self.control.in_force();
        ConfigView { version: version_of(in_force.version), document: (*in_force.document).clone() }
    }

    fn status(&self, now: Time) -> Status {
        let state = self.control.state();
        let accepted = state.map(|state| state.config().current().version);
        let members = state.into_iter().flat_map(|state| state.members());
        Status {
            asked: self.control.info().node,
            config_version: accepted.and_then(version_of),
            control_read_ms_ago: self.last_read_sent.map(|sent| millis(now.since(sent))),
            nodes: members.map(|info| self.node_status(now, info)).collect(),
        }
    }

    fn node_status(&self, now: Time, info: &NodeInfo) -> NodeStatus {
        let shards = self.control.state().into_iter().flat_map(|state| state.shards());
        let owned = shards.filter(|(shard, _): &(ShardId, _)| {
            self.control.owner_of(*shard).is_some_and(|owner| owner.node == info.node)
        });
        let me = info.node == self.control.info().node;
        let in_force = self.control.in_force().version;
        let version =
            if me { Some(in_force) } else { self.heard_versions.get(&info.node).copied() };
        let silence =
            if me { Some(Duration::ZERO) } else { self.control.time_since_contact(now, info.node) };
        NodeStatus {
            node: info.node,
            name: format_compact!("{}", info.http_addr),
            role: match info.role {
                Role::Entry => egretlb_api::Role::Entry,
                Role::Scheduler => egretlb_api::Role::Scheduler,
            },
            data_centre: info.data_centre.clone(),
            shards_owned: owned.count() as u32,
            config_version: version.and_then(version_of),
            heard_ms_ago: silence.map(millis),
        }
    }
}

/// What became of a peer's message.
pub(crate) enum PeerTaken {
    /// It was dealt with; these effects depend on the daemon's role.
    Done(Vec<ControlEffect>),
    /// It is for the daemon's role.
    NotMine(PeerMessage),
}

fn reply(answered: Answered, out: &mut Outbox) {
    let Answered { call, reply } = answered;
    out.effects.push(NodeEffect::Reply { call, reply });
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
