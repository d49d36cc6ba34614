//! The reducer of an entry: callers' requests, and the control stream, which it follows.

mod event;

pub use self::event::{
    CallerArrival, EntryNodeEffect, EntryNodeEvent, EntryNodeOptions, RequestEffect,
};

use {
    crate::{
        node::{
            Delivery, NodeCore, NodeEffect, NodeEvent, Notice, OperatorReply, OperatorRequest,
            Outbox, PeerHandling, version_of,
        },
        peer::PeerMessage,
    },
    egretlb_control::{Control, ControlEffect, ControlEvent},
    egretlb_requests::{
        Entry, EntryEffect, EntryEvent, EntryOptions,
        entry::{Arrival, EntryDump, ShardOwner},
        keys::Permit,
    },
    egretlb_types::{NodeId, RequestKey, SHARD_COUNT, ShardId, Time, shard_of_class},
    serde_json::{Value, json},
};

/// The reducer of an entry process.
pub struct EntryNode {
    core: NodeCore,
    entry: Entry,
    known_owners: Vec<Option<ShardOwner>>,
    has_config: bool,
    shutting_down: bool,
    drained: bool,
    leave_started: bool,
}

#[derive(Default)]
struct Out {
    outbox: Outbox,
    requests: Vec<RequestEffect>,
}

impl EntryNode {
    /// An entry that has just started.
    pub fn new(options: EntryNodeOptions) -> Self {
        let EntryNodeOptions { info, seed, seeds } = options;
        let entry = EntryOptions::new(info.node, info.data_centre.clone(), seed);
        EntryNode {
            core: NodeCore::new(info, seed, seeds),
            entry: Entry::new(entry),
            known_owners: vec![None; usize::from(SHARD_COUNT)],
            has_config: false,
            shutting_down: false,
            drained: false,
            leave_started: false,
        }
    }

    /// Handles an event at `now` and appends the resulting effects.
    pub fn step(&mut self, now: Time, event: EntryNodeEvent, effects: &mut Vec<EntryNodeEffect>) {
        let mut out = Out::default();
        match event {
            EntryNodeEvent::Node(event) => self.node_event(now, event, &mut out),
            EntryNodeEvent::Arrived(arrival) => {
                let arrival = self.to_arrival(arrival);
                self.step_requests(now, EntryEvent::Arrived(arrival), &mut out);
            }
            EntryNodeEvent::CallerGone { request } => {
                self.step_requests(now, EntryEvent::CallerGone { request }, &mut out);
            }
            EntryNodeEvent::AttemptEnded { attempt, result } => {
                self.step_requests(now, EntryEvent::AttemptEnded { attempt, result }, &mut out);
            }
        }
        effects.extend(out.outbox.effects.into_iter().map(EntryNodeEffect::Node));
        effects.extend(out.requests.into_iter().map(EntryNodeEffect::Request));
    }

    /// The control reducer.
    pub fn control(&self) -> &Control {
        self.core.control()
    }

    /// When the most recent answered read of the control stream was sent.
    pub fn last_read_sent(&self) -> Option<Time> {
        self.core.last_read_sent()
    }

    /// The state of the requests in progress.
    pub fn request_state(&self) -> EntryDump {
        self.entry.dump()
    }

    /// Scopes the key to the organisation that owns the class (`member` in the configuration), so
    /// that keys of different organisations never collide.
    fn to_arrival(&self, arrival: CallerArrival) -> Arrival {
        let document = &self.core.control().in_force().document;
        let member = document.class(&arrival.class).map(|class| class.member.clone());
        let key = arrival.key.zip(member).map(|(text, member)| RequestKey { member, text });
        Arrival {
            request: arrival.request,
            class: arrival.class,
            deadline: arrival.deadline,
            key,
            body: arrival.body,
            body_size: arrival.body_size,
        }
    }

    /// When to step next if no event arrives before.
    pub fn wake_at(&self) -> Option<Time> {
        self.entry.wake_at()
    }

    fn node_event(&mut self, now: Time, event: NodeEvent, out: &mut Out) {
        match event {
            NodeEvent::Tick => {
                let effects = self.core.tick(now, &mut out.outbox);
                self.perform(now, effects, out);
                self.step_requests(now, EntryEvent::Tick, out);
            }
            NodeEvent::ControlRead { sent, outcome } => {
                self.step_control(now, ControlEvent::ReadDone { sent, outcome }, out);
                self.report_owner_changes(now, out);
            }
            NodeEvent::ControlAppended { ticket, outcome } => {
                self.step_control(now, ControlEvent::AppendDone { ticket, outcome }, out);
            }
            NodeEvent::Peer { from, message } => self.peer(now, from, message, out),
            NodeEvent::Undelivered { message, delivery } => {
                self.undelivered(now, &message, delivery, out);
            }
            NodeEvent::Vms(vms) => self.step_requests(now, EntryEvent::Vms { vms }, out),
            NodeEvent::Operator { call, request: OperatorRequest::State } => {
                let reply = OperatorReply::State(self.dump(now));
                out.outbox.effects.push(NodeEffect::Reply { call, reply });
            }
            NodeEvent::Operator { call, request: OperatorRequest::Ready } => {
                let reply = OperatorReply::Ready { missing: self.missing() };
                out.outbox.effects.push(NodeEffect::Reply { call, reply });
            }
            NodeEvent::Operator { call, request } => {
                let effects = self.core.operator(now, call, request, &mut out.outbox);
                self.perform(now, effects, out);
            }
            NodeEvent::Shutdown => {
                self.shutting_down = true;
                self.step_requests(now, EntryEvent::Shutdown, out);
            }
        }
    }

    /// Why the entry isn't ready to serve; `None` if it is. It stays ready while the log is
    /// unavailable: idempotent requests continue on the shares of backend servers that it holds.
    fn missing(&self) -> Option<&'static str> {
        if self.shutting_down {
            return Some("the entry is shutting down");
        }
        if !self.has_config {
            return Some("no configuration is known yet; apply one or check the log service");
        }
        None
    }

    fn step_control(&mut self, now: Time, event: ControlEvent, out: &mut Out) {
        let effects = self.core.step_control(now, event, &mut out.outbox);
        self.perform(now, effects, out);
    }

    fn perform(&mut self, now: Time, effects: Vec<ControlEffect>, out: &mut Out) {
        for effect in effects {
            match effect {
                ControlEffect::ConfigInForce { version, document, .. } => {
                    self.has_config = true;
                    self.step_requests(now, EntryEvent::Config { document }, out);
                    out.outbox.effects.push(NodeEffect::Notice(Notice::ConfigInForce(version)));
                }
                ControlEffect::ShutdownDone => out.outbox.effects.push(NodeEffect::Exit),
                // An entry owns no shards, and the core has performed the effects that are the same
                // for both roles.
                _ => {}
            }
        }
    }

    /// Reports changed shard owners to the request reducer.
    fn report_owner_changes(&mut self, now: Time, out: &mut Out) {
        let Some(state) = self.core.control().state() else { return };
        let mut changed = Vec::new();
        for (ix, known) in self.known_owners.iter_mut().enumerate() {
            let shard = ShardId(ix as u16);
            let owner = state.owner_of(shard).map(|info| ShardOwner {
                shard,
                node: info.node,
                epoch: state.shard(shard).epoch(),
            });
            if let Some(owner) = owner.filter(|_| owner != *known) {
                changed.push(owner);
                *known = Some(owner);
            }
        }
        if !changed.is_empty() {
            self.step_requests(now, EntryEvent::Owners { owners: changed }, out);
        }
    }

    fn peer(&mut self, now: Time, from: NodeId, message: PeerMessage, out: &mut Out) {
        let message = match self.core.peer(now, from, message, &mut out.outbox) {
            PeerHandling::Handled(effects) => return self.perform(now, effects, out),
            PeerHandling::RoleSpecific(message) => message,
        };
        let event = match message {
            PeerMessage::Permit { request, permit } => EntryEvent::PermitAnswer { request, permit },
            PeerMessage::OutcomeRecorded { request } => EntryEvent::ReportConfirmed { request },
            PeerMessage::Shares(grant) => EntryEvent::SharesGranted { grant },
            PeerMessage::RecallShares { shard } => EntryEvent::SharesRecalled { shard },
            // For a scheduler that had this address before.
            _ => return,
        };
        self.step_requests(now, event, out);
    }

    fn undelivered(&mut self, now: Time, message: &PeerMessage, delivery: Delivery, out: &mut Out) {
        self.core.undelivered(message, delivery, &mut out.outbox);
        // Refuse at once only if the permit request was never sent. Otherwise the owner may have
        // granted the permit, and the entry must report that nothing ran.
        if let (PeerMessage::PermitRequest(permit_request), Delivery::NeverSent) =
            (message, delivery)
        {
            let request = permit_request.holder.request;
            let permit = Permit::Unavailable;
            self.step_requests(now, EntryEvent::PermitAnswer { request, permit }, out);
        }
    }

    fn step_requests(&mut self, now: Time, event: EntryEvent, out: &mut Out) {
        let mut effects = Vec::new();
        self.entry.step(now, event, &mut effects);
        for effect in effects {
            self.perform_request(effect, out);
        }
        self.leave_if_drained(now, out);
    }

    /// Ends this process's membership once no request is in progress.
    ///
    /// Messages to a process that isn't a member are dropped. Without their grants and permits,
    /// requests in progress would wait until their deadline.
    fn leave_if_drained(&mut self, now: Time, out: &mut Out) {
        if self.drained && !self.leave_started {
            self.leave_started = true;
            self.step_control(now, ControlEvent::Shutdown, out);
        }
    }

    fn perform_request(&mut self, effect: EntryEffect, out: &mut Out) {
        let control = self.core.control();
        match effect {
            EntryEffect::Send { request, attempt, addr, timeout, .. } => {
                out.requests.push(RequestEffect::Send { request, attempt, addr, timeout });
            }
            EntryEffect::CancelAttempt { attempt } => {
                out.requests.push(RequestEffect::CancelAttempt { attempt });
            }
            EntryEffect::Answer { request, verdict } => {
                out.requests.push(RequestEffect::Answer { request, verdict });
            }
            EntryEffect::Forget { request } => {
                out.requests.push(RequestEffect::Forget { request });
            }
            EntryEffect::RequestPermit { node, request } => {
                out.outbox.send(control, node, PeerMessage::PermitRequest(request));
            }
            EntryEffect::ReportOutcome { node, report } => {
                out.outbox.send(control, node, PeerMessage::Outcome(report));
            }
            EntryEffect::RequestShares { node, request } => {
                out.outbox.send(control, node, PeerMessage::ShareRequest(request));
            }
            EntryEffect::ReportLoad { class, load } => {
                let shard = shard_of_class(&class);
                out.outbox.send_to_owner(control, shard, PeerMessage::Load { class, load });
            }
            EntryEffect::Drained => {
                self.drained = true;
            }
        }
    }

    /// The state dump; holds no bodies and no keys.
    fn dump(&self, now: Time) -> Value {
        let control = self.core.control();
        let alarms: Vec<String> = control.alarms().map(|alarm| alarm.to_string()).collect();
        json!({
            "node": control.info().node.to_string(),
            "role": "entry",
            "data_centre": control.info().data_centre,
            "config_version": version_of(control.in_force().version),
            "in_touch_with_log": control.has_fresh_read(now),
            "alarms": alarms,
            "requests": self.entry.dump(),
        })
    }
}
