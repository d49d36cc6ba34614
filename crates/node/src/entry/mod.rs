//! The entry's reducer: callers' requests, and the control stream that it only follows.

mod event;

pub use self::event::{
    CallerArrival, EntryNodeEffect, EntryNodeEvent, EntryNodeOptions, RequestEffect,
};

use {
    crate::{
        node::{
            Delivery, NodeCore, NodeEffect, NodeEvent, Notice, OperatorReply, OperatorRequest,
            Outbox, PeerTaken, version_of,
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

/// All the decisions of one entry process.
pub struct EntryNode {
    core: NodeCore,
    entry: Entry,
    owners: Vec<Option<ShardOwner>>,
    has_config: bool,
    shutting_down: bool,
    drained: bool,
    leaving: bool,
}

#[derive(Default)]
struct Out {
    node: Outbox,
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
            owners: vec![None; usize::from(SHARD_COUNT)],
            has_config: false,
            shutting_down: false,
            drained: false,
            leaving: false,
        }
    }

    /// Takes an event and appends what is to be done.
    pub fn step(&mut self, now: Time, event: EntryNodeEvent, effects: &mut Vec<EntryNodeEffect>) {
        let mut out = Out::default();
        match event {
            EntryNodeEvent::Node(event) => self.node_event(now, event, &mut out),
            EntryNodeEvent::Arrived(arrival) => {
                let arrival = self.arrival(arrival);
                self.requests(now, EntryEvent::Arrived(arrival), &mut out);
            }
            EntryNodeEvent::CallerGone { request } => {
                self.requests(now, EntryEvent::CallerGone { request }, &mut out);
            }
            EntryNodeEvent::AttemptEnded { attempt, result } => {
                self.requests(now, EntryEvent::AttemptEnded { attempt, result }, &mut out);
            }
        }
        effects.extend(out.node.effects.into_iter().map(EntryNodeEffect::Node));
        effects.extend(out.requests.into_iter().map(EntryNodeEffect::Request));
    }

    /// The node's control.
    pub fn control(&self) -> &Control {
        self.core.control()
    }

    /// When the last answered read of the control stream was sent.
    pub fn last_read_sent(&self) -> Option<Time> {
        self.core.last_read_sent()
    }

    /// What becomes of the requests in progress.
    pub fn request_state(&self) -> EntryDump {
        self.entry.dump()
    }

    /// Puts the key under the member that owns the class: keys of two members never meet.
    fn arrival(&self, arrival: CallerArrival) -> Arrival {
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

    /// When to step next, if nothing else happens before.
    pub fn wake_at(&self) -> Option<Time> {
        self.entry.wake_at()
    }

    fn node_event(&mut self, now: Time, event: NodeEvent, out: &mut Out) {
        match event {
            NodeEvent::Tick => {
                let effects = self.core.tick(now, &mut out.node);
                self.perform(now, effects, out);
                self.requests(now, EntryEvent::Tick, out);
            }
            NodeEvent::ControlRead { sent, outcome } => {
                self.step_control(now, ControlEvent::ReadDone { sent, outcome }, out);
                self.follow_owners(now, out);
            }
            NodeEvent::ControlAppended { ticket, outcome } => {
                self.step_control(now, ControlEvent::AppendDone { ticket, outcome }, out);
            }
            NodeEvent::Peer { from, message } => self.peer(now, from, message, out),
            NodeEvent::Undelivered { message, delivery } => {
                self.undelivered(now, &message, delivery, out);
            }
            NodeEvent::Vms(vms) => self.requests(now, EntryEvent::Vms { vms }, out),
            NodeEvent::Operator { call, request: OperatorRequest::State } => {
                let reply = OperatorReply::State(self.dump(now));
                out.node.effects.push(NodeEffect::Reply { call, reply });
            }
            NodeEvent::Operator { call, request: OperatorRequest::Ready } => {
                let reply = OperatorReply::Ready { missing: self.missing() };
                out.node.effects.push(NodeEffect::Reply { call, reply });
            }
            NodeEvent::Operator { call, request } => {
                let effects = self.core.operator(now, call, request, &mut out.node);
                self.perform(now, effects, out);
            }
            NodeEvent::Shutdown => {
                self.shutting_down = true;
                self.requests(now, EntryEvent::Shutdown, out);
            }
        }
    }

    /// What keeps the entry from serving. Being out of touch with the log doesn't: idempotent
    /// requests go on under the shares that it holds.
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
        let effects = self.core.step_control(now, event, &mut out.node);
        self.perform(now, effects, out);
    }

    fn perform(&mut self, now: Time, effects: Vec<ControlEffect>, out: &mut Out) {
        for effect in effects {
            match effect {
                ControlEffect::ConfigInForce { version, document, .. } => {
                    self.has_config = true;
                    self.requests(now, EntryEvent::Config { document }, out);
                    out.node.effects.push(NodeEffect::Notice(Notice::ConfigInForce(version)));
                }
                ControlEffect::ShutdownDone => out.node.effects.push(NodeEffect::Exit),
                // An entry owns nothing; the rest is the same for both roles and done already.
                _ => {}
            }
        }
    }

    /// Tells the request reducer of the owners that have changed.
    fn follow_owners(&mut self, now: Time, out: &mut Out) {
        let Some(state) = self.core.control().state() else { return };
        let mut changed = Vec::new();
        for (ix, known) in self.owners.iter_mut().enumerate() {
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
            self.requests(now, EntryEvent::Owners { owners: changed }, out);
        }
    }

    fn peer(&mut self, now: Time, from: NodeId, message: PeerMessage, out: &mut Out) {
        let message = match self.core.peer(now, from, message, &mut out.node) {
            PeerTaken::Done(effects) => return self.perform(now, effects, out),
            PeerTaken::NotMine(message) => message,
        };
        let event = match message {
            PeerMessage::Permit { request, permit } => EntryEvent::PermitAnswer { request, permit },
            PeerMessage::OutcomeRecorded { request } => EntryEvent::ReportConfirmed { request },
            PeerMessage::Shares(grant) => EntryEvent::SharesGranted { grant },
            PeerMessage::RecallShares { shard } => EntryEvent::SharesRecalled { shard },
            // For a scheduler that had this address before.
            _ => return,
        };
        self.requests(now, event, out);
    }

    fn undelivered(&mut self, now: Time, message: &PeerMessage, delivery: Delivery, out: &mut Out) {
        self.core.undelivered(message, delivery, &mut out.node);
        // Only an ask that certainly never left may be refused at once: for any other the owner
        // may have given the permit, and the entry has to report that nothing ran.
        if let (PeerMessage::PermitRequest(ask), Delivery::NeverSent) = (message, delivery) {
            let request = ask.holder.request;
            let permit = Permit::Unavailable;
            self.requests(now, EntryEvent::PermitAnswer { request, permit }, out);
        }
    }

    fn requests(&mut self, now: Time, event: EntryEvent, out: &mut Out) {
        let mut effects = Vec::new();
        self.entry.step(now, event, &mut effects);
        for effect in effects {
            self.perform_request(effect, out);
        }
        self.leave_if_drained(now, out);
    }

    /// Leaves the control stream once nothing is in progress.
    ///
    /// Whoever has left has no address any more: grants and permits for the requests still in
    /// progress would be dropped by their senders. A request that was taken right before the
    /// shutdown would then wait for a share that never comes, until its deadline.
    fn leave_if_drained(&mut self, now: Time, out: &mut Out) {
        if self.drained && !self.leaving {
            self.leaving = true;
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
                out.node.send(control, node, PeerMessage::PermitRequest(request));
            }
            EntryEffect::ReportOutcome { node, report } => {
                out.node.send(control, node, PeerMessage::Outcome(report));
            }
            EntryEffect::RequestShares { node, request } => {
                out.node.send(control, node, PeerMessage::ShareRequest(request));
            }
            EntryEffect::ReportLoad { class, load } => {
                let shard = shard_of_class(&class);
                out.node.send_to_owner(control, shard, PeerMessage::Load { class, load });
            }
            EntryEffect::Drained => {
                self.drained = true;
            }
        }
    }

    /// The state dump: no bodies, no keys.
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
