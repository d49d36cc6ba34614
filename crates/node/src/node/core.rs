//! The reducer that both daemons share.

use {
    super::{
        convert::{base_of, default_retry_after, spec_of, version_of},
        event::{CallTicket, Delivery, NodeEffect, OperatorReply, OperatorRequest},
        job_calls::{CallReply, JobCalls},
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

/// Maximum size in bytes of a configuration sent to a peer.
pub const PEER_CONFIG_MAX_BYTES: usize = 4 * 1024 * 1024;

/// How long an operator's call waits for a decision. Without one, the operator has to propose again
/// with the same id.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct PendingProposal {
    call: CallTicket,
    until: Time,
}

/// Validates a configuration. Must be a pure function that is the same in every process, or they
/// would disagree on the configuration in force.
fn validate(text: &str) -> Result<ConfigDocument, CompactString> {
    parse_config(text).map_err(|faults| format_compact!("{faults}"))
}

/// The state of a daemon that doesn't depend on its role.
pub(crate) struct NodeCore {
    control: Control,
    seeds: SmallVec<[CompactString; 4]>,
    proposals: BTreeMap<ProposalId, PendingProposal>,
    job_calls: JobCalls,
    last_read_sent: Option<Time>,
    /// The configuration version in force at each peer, from its heartbeats.
    peer_config_versions: BTreeMap<NodeId, ConfigVersion>,
}

impl NodeCore {
    /// `seeds` are the peers to request a configuration from while the log is unavailable.
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
            job_calls: JobCalls::default(),
            last_read_sent: None,
            peer_config_versions: BTreeMap::new(),
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

    /// Performs an effect that both roles handle alike; returns any other.
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
            ControlEffect::ProposalDecided { id, outcome } => {
                self.proposal_decided(id, outcome, out)
            }
            other => return Some(other),
        }
        None
    }

    fn proposal_decided(&mut self, id: ProposalId, outcome: ProposalOutcome, out: &mut Outbox) {
        let Some(proposal) = self.proposals.remove(&id) else { return };
        let unavailable = ProposeAnswer::Unavailable { retry_after: default_retry_after() };
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

    /// Handles an operator's call; the reply may follow later. The daemons handle the state dump
    /// and readiness themselves.
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
        self.proposals.insert(id, PendingProposal { call, until: now + PROPOSAL_TIMEOUT });
        let event = ControlEvent::Propose {
            id,
            base: base_of(propose.base),
            by: propose.by,
            document: render_compact(&propose.document),
        };
        self.step_control(now, event, out)
    }

    fn call_job(&mut self, now: Time, call: CallTicket, request: JobRequest, out: &mut Outbox) {
        let id = match self.job_calls.begin(now, call, &request) {
            Ok(id) => id,
            Err(call_reply) => return reply(call_reply, out),
        };
        let shard = shard_of_job(request.job());
        let message = PeerMessage::JobCall { call: id, request };
        if !out.send_to_owner(&self.control, shard, message) {
            self.job_calls
                .unreachable(id)
                .into_iter()
                .for_each(|call_reply| reply(call_reply, out));
        }
    }

    /// Handles a message that concerns both roles; returns any other.
    pub(crate) fn peer(
        &mut self,
        now: Time,
        from: NodeId,
        message: PeerMessage,
        out: &mut Outbox,
    ) -> PeerHandling {
        let event = match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.record_peer_version(heartbeat.from, heartbeat.config);
                ControlEvent::HeartbeatReceived(heartbeat)
            }
            PeerMessage::Config { version, document } => {
                ControlEvent::PeerConfig { version, document }
            }
            PeerMessage::ConfigRequest => {
                self.send_config(from, out);
                return PeerHandling::Handled(Vec::new());
            }
            PeerMessage::JobReply { call, reply: answer } => {
                self.job_calls.answered(call, answer).into_iter().for_each(|a| reply(a, out));
                return PeerHandling::Handled(Vec::new());
            }
            other => return PeerHandling::RoleSpecific(other),
        };
        PeerHandling::Handled(self.step_control(now, event, out))
    }

    fn record_peer_version(&mut self, node: NodeId, version: ConfigVersion) {
        let state = self.control.state();
        self.peer_config_versions
            .retain(|node, _| state.is_some_and(|s| s.member(*node).is_some()));
        self.peer_config_versions.insert(node, version);
    }

    fn send_config(&self, to: NodeId, out: &mut Outbox) {
        let in_force = self.control.in_force();
        if in_force.text.is_empty() || in_force.text.len() > PEER_CONFIG_MAX_BYTES {
            return;
        }
        let document = in_force.text.to_string();
        out.send(&self.control, to, PeerMessage::Config { version: in_force.version, document });
    }

    /// Answers a call at once if its message was never sent.
    pub(crate) fn undelivered(
        &mut self,
        message: &PeerMessage,
        delivery: Delivery,
        out: &mut Outbox,
    ) {
        if let (PeerMessage::JobCall { call, .. }, Delivery::NeverSent) = (message, delivery) {
            self.job_calls
                .unreachable(*call)
                .into_iter()
                .for_each(|call_reply| reply(call_reply, out));
        }
    }

    /// Answers calls that timed out, and steps the control reducer.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Outbox) -> Vec<ControlEffect> {
        self.job_calls.timed_out(now).into_iter().for_each(|call_reply| reply(call_reply, out));
        let expired = self.proposals.extract_if(.., |_, proposal| now >= proposal.until);
        for (_, proposal) in expired {
            let answer = ProposeAnswer::Unavailable { retry_after: default_retry_after() };
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
        let is_self = info.node == self.control.info().node;
        let in_force = self.control.in_force().version;
        let version = if is_self {
            Some(in_force)
        } else {
            self.peer_config_versions.get(&info.node).copied()
        };
        let idle_time =
            if is_self { Some(Duration::ZERO) } else { self.control.idle_time(now, info.node) };
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
            heard_ms_ago: idle_time.map(millis),
        }
    }
}

/// The result of handling a peer's message.
pub(crate) enum PeerHandling {
    /// It was handled; the effects depend on the daemon's role.
    Handled(Vec<ControlEffect>),
    /// It is for the daemon's role.
    RoleSpecific(PeerMessage),
}

fn reply(answered: CallReply, out: &mut Outbox) {
    let CallReply { call, reply } = answered;
    out.effects.push(NodeEffect::Reply { call, reply });
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
