//! One entry with one slot: what waits, and what its caller is told when.

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

struct Desk {
    entry: Entry,
    now: Time,
}

impl Desk {
    fn new() -> Self {
        let opts = EntryOptions::new(NodeId(1), "dc-0".parse().unwrap(), 3)
            .max_queue_len(MAX_QUEUE_LEN)
            .order(QueueOrder::OldestFirst);
        let mut desk = Desk { entry: Entry::new(opts), now: Time::from_secs(50) };
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
        desk.step(EntryEvent::Config { document: Arc::new(document) });
        desk.grant_one_slot();
        desk
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
        let asked = self.step(EntryEvent::Owners { owners });
        let [EntryEffect::RequestShares { request, .. }] = &asked[..] else { panic!("{asked:?}") };
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

/// More requests come than may wait: memory stays bounded, and the one too many is told at once.
/// A caller who hangs up makes room for another.
#[test]
fn the_queue_is_bounded() {
    let mut desk = Desk::new();
    assert_eq!(sent(&desk.arrive(0, "check", None)).len(), 1);
    for i in 1..=MAX_QUEUE_LEN as u64 {
        assert_eq!(refusal(&desk.arrive(i, "check", None), i), None);
    }
    assert_eq!(refusal(&desk.arrive(90, "check", None), 90), Some(NotRunReason::QueueFull));
    let out = desk.step(EntryEvent::CallerGone { request: RequestId(3) });
    assert!(matches!(out[..], [EntryEffect::Forget { request: RequestId(3) }]), "{out:?}");
    assert_eq!(refusal(&desk.arrive(91, "check", None), 91), None);
}

/// A request waits behind a long one. As soon as it can't be answered in time any more its caller
/// is told so, not at its deadline.
#[test]
fn who_waits_in_vain_is_told_at_once() {
    let mut desk = Desk::new();
    let work = Duration::from_millis(100);
    for i in 0..30 {
        let (_, attempt) = sent(&desk.arrive(i, "check", None))[0];
        desk.now = desk.now + work;
        let result = AttemptResult::Complete { status: 200, recorded_body: None };
        desk.step(EntryEvent::AttemptEnded { attempt, result });
    }
    desk.arrive(100, "check", None);
    let deadline = desk.now + Duration::from_secs(1);
    assert_eq!(refusal(&desk.arrive(101, "check", Some(Duration::from_secs(1))), 101), None);
    while desk.now < deadline {
        desk.now = desk.entry.wake_at().expect("a timer");
        if let Some(reason) = refusal(&desk.step(EntryEvent::Tick), 101) {
            assert_eq!(reason, NotRunReason::TooLate);
            assert!(desk.now + work <= deadline);
            return;
        }
    }
    panic!("never told");
}

/// The server is slow and the caller's deadline passes: the caller is told that it may have run,
/// and the answer that comes later goes to nobody, but frees the slot.
#[test]
fn a_late_answer_frees_its_slot_only() {
    let mut desk = Desk::new();
    let first = sent(&desk.arrive(0, "check", Some(Duration::from_millis(300))));
    desk.now = desk.now + Duration::from_millis(300);
    let out = desk.step(EntryEvent::Tick);
    let told = out.iter().any(|effect| {
        matches!(
            effect,
            EntryEffect::Answer {
                verdict: Verdict::Error { reason: ErrorReason::TimedOut, ran: Ran::Unknown, .. },
                ..
            }
        )
    });
    assert!(told, "{out:?}");
    assert!(sent(&desk.arrive(1, "check", None)).is_empty());
    let result = AttemptResult::Complete { status: 200, recorded_body: None };
    let out = desk.step(EntryEvent::AttemptEnded { attempt: first[0].1, result });
    assert!(!out.iter().any(|effect| matches!(effect, EntryEffect::Answer { .. })));
    assert_eq!(sent(&out)[0].0, RequestId(1));
}

#[test]
fn an_unknown_class_is_refused() {
    let mut desk = Desk::new();
    let out = desk.arrive(0, "nothing", None);
    assert_eq!(refusal(&out, 0), Some(NotRunReason::UnknownClass));
}
