//! One entry with one slot: queueing, refusals and late answers.

use {
    egretlb_requests::{
        AttemptId, BodyHash, Entry, EntryEffect, EntryEvent, EntryOptions, RequestId,
        entry::{Arrival, AttemptResult, ErrorReason, QueueOrder, ShardOwner, Verdict},
        shares::{ServerGrant, ServerInfo, ShareGrant},
    },
    egretlb_types::{
        ClassKind, ClassSpec, ConfigDocument, Epoch, NodeId, NotRunReason, Ran, Resources, Time,
        VmRecord, VmState, shard_of_rack,
    },
    std::{sync::Arc, time::Duration},
};

const MAX_QUEUE_LEN: usize = 5;
const TARGET: Duration = Duration::from_secs(2);

struct Harness {
    entry: Entry,
    now: Time,
}

impl Harness {
    fn new() -> Self {
        let opts = EntryOptions::new(NodeId(1), "dc-0".parse().unwrap(), 3)
            .max_queue_len(MAX_QUEUE_LEN)
            .order(QueueOrder::OldestFirst);
        let mut harness = Harness { entry: Entry::new(opts), now: Time::from_secs(50) };
        let class = ClassSpec {
            name: "check".parse().unwrap(),
            member: "andina".parse().unwrap(),
            team: "team".parse().unwrap(),
            kind: ClassKind::Latency {
                permille: 990,
                target: TARGET,
                idempotent: true,
                replica: Resources::default(),
                spread: false,
            },
        };
        let document = ConfigDocument { classes: vec![class], ..ConfigDocument::default() };
        harness.step(EntryEvent::Config { document: Arc::new(document) });
        harness.grant_one_slot();
        harness
    }

    fn grant_one_slot(&mut self) {
        let vm = VmRecord {
            vm: "vm-0".parse().unwrap(),
            addr: "10.0.0.1:80".into(),
            data_centre: "dc-0".parse().unwrap(),
            rack: "rack-0".parse().unwrap(),
            state: VmState::Live,
            capacity: Resources::default(),
            slots: 1,
            connections: 1,
        };
        let shard = shard_of_rack(&vm.rack);
        self.step(EntryEvent::Vms { vms: vec![vm.clone()] });
        let owners = vec![ShardOwner { shard, node: NodeId(9), epoch: Epoch(1) }];
        let requested = self.step(EntryEvent::Owners { owners });
        let [EntryEffect::RequestShares { request, .. }] = &requested[..] else {
            panic!("{requested:?}")
        };
        let info = ServerInfo {
            vm: vm.vm.clone(),
            addr: vm.addr,
            data_centre: vm.data_centre,
            state: VmState::Live,
            classes: std::iter::once("check".parse().unwrap()).collect(),
        };
        let grant = ShareGrant {
            shard,
            epoch: Epoch(1),
            seq: request.seq,
            lease: Duration::from_secs(10),
            servers: vec![ServerGrant { vm: vm.vm, max_open: 1 }],
            version: 1,
            descriptions: vec![info],
        };
        self.step(EntryEvent::SharesGranted { grant });
    }

    fn step(&mut self, event: EntryEvent) -> Vec<EntryEffect> {
        let mut out = Vec::new();
        self.entry.step(self.now, event, &mut out);
        out
    }

    fn arrive(
        &mut self,
        request: u64,
        class: &str,
        deadline: Option<Duration>,
    ) -> Vec<EntryEffect> {
        self.step(EntryEvent::Arrived(Arrival {
            request: RequestId(request),
            class: class.parse().unwrap(),
            deadline,
            key: None,
            body: BodyHash(1),
            body_size: 10,
        }))
    }
}

fn refusal(out: &[EntryEffect], request: u64) -> Option<NotRunReason> {
    out.iter().find_map(|effect| match effect {
        EntryEffect::Answer { request: id, verdict: Verdict::Refuse { reason, .. } }
            if *id == RequestId(request) =>
        {
            Some(*reason)
        }
        _ => None,
    })
}

fn sent(out: &[EntryEffect]) -> Vec<(RequestId, AttemptId)> {
    let sends = out.iter().filter_map(|effect| match effect {
        EntryEffect::Send { request, attempt, .. } => Some((*request, *attempt)),
        _ => None,
    });
    sends.collect()
}

/// Guards against an unbounded queue, and against a disconnected caller that keeps its place.
#[test]
fn the_queue_is_bounded() {
    let mut harness = Harness::new();
    assert_eq!(sent(&harness.arrive(0, "check", None)).len(), 1);
    for i in 1..=MAX_QUEUE_LEN as u64 {
        assert_eq!(refusal(&harness.arrive(i, "check", None), i), None);
    }
    assert_eq!(refusal(&harness.arrive(90, "check", None), 90), Some(NotRunReason::QueueFull));
    let out = harness.step(EntryEvent::CallerGone { request: RequestId(3) });
    assert!(matches!(out[..], [EntryEffect::Forget { request: RequestId(3) }]), "{out:?}");
    assert_eq!(refusal(&harness.arrive(91, "check", None), 91), None);
}

/// Guards against a request that waits until its deadline although it can't be answered in time.
#[test]
fn late_request_is_refused_before_its_deadline() {
    let mut harness = Harness::new();
    let work = Duration::from_millis(100);
    for i in 0..30 {
        let (_, attempt) = sent(&harness.arrive(i, "check", None))[0];
        harness.now = harness.now + work;
        let result = AttemptResult::Complete { status: 200, recorded_body: None };
        harness.step(EntryEvent::AttemptEnded { attempt, result });
    }
    harness.arrive(100, "check", None);
    let deadline = harness.now + Duration::from_secs(1);
    assert_eq!(refusal(&harness.arrive(101, "check", Some(Duration::from_secs(1))), 101), None);
    while harness.now < deadline {
        harness.now = harness.entry.wake_at().expect("a timer");
        if let Some(reason) = refusal(&harness.step(EntryEvent::Tick), 101) {
            assert_eq!(reason, NotRunReason::TooLate);
            assert!(harness.now + work <= deadline);
            return;
        }
    }
    panic!("never refused");
}

/// Guards against a late answer that reaches a caller, or that doesn't free its slot.
#[test]
fn a_late_answer_frees_its_slot_only() {
    let mut harness = Harness::new();
    let first = sent(&harness.arrive(0, "check", Some(Duration::from_millis(300))));
    harness.now = harness.now + Duration::from_millis(300);
    let out = harness.step(EntryEvent::Tick);
    let answered = out.iter().any(|effect| {
        matches!(
            effect,
            EntryEffect::Answer {
                verdict: Verdict::Error { reason: ErrorReason::TimedOut, ran: Ran::Unknown, .. },
                ..
            }
        )
    });
    assert!(answered, "{out:?}");
    assert!(sent(&harness.arrive(1, "check", None)).is_empty());
    let result = AttemptResult::Complete { status: 200, recorded_body: None };
    let out = harness.step(EntryEvent::AttemptEnded { attempt: first[0].1, result });
    assert!(!out.iter().any(|effect| matches!(effect, EntryEffect::Answer { .. })));
    assert_eq!(sent(&out)[0].0, RequestId(1));
}

#[test]
fn an_unknown_class_is_refused() {
    let mut harness = Harness::new();
    let out = harness.arrive(0, "nothing", None);
    assert_eq!(refusal(&out, 0), Some(NotRunReason::UnknownClass));
}
