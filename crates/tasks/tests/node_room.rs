//! What an owner of jobs makes of the room that nodes tell it.

use {
    egretlb_tasks::{
        CallId, JobEffect, JobEvent, JobSpec, JobTable,
        msg::{JobMsg, NodeCapacity, NodeMsg, Place, Placed},
    },
    egretlb_types::{
        Authority, ClassKind, ClassSpec, ConfigDocument, Epoch, Megabytes, MilliCores, NodeId,
        Resources, ShardId, Time, shard_of_job,
    },
    std::{sync::Arc, time::Duration},
};

const NODE: NodeId = NodeId(1);

struct Always;

impl Authority for Always {
    fn epoch_if_held(&self, _: Time, _: ShardId) -> Option<Epoch> {
        Some(Epoch(1))
    }
}

fn task_size() -> Resources {
    Resources { cpu: MilliCores(1_000), memory: Megabytes(1_000), ..Resources::default() }
}

fn config() -> ConfigDocument {
    let name = |text: &str| text.parse().expect("a valid name");
    let class = ClassSpec {
        name: name("merge"),
        member: "firm".parse().expect("a valid name"),
        team: "all".parse().expect("a valid name"),
        kind: ClassKind::Batch {
            amount: 10,
            period: Duration::from_secs(3_600),
            task: task_size(),
            run_time: Duration::from_secs(1),
            urgent: false,
        },
    };
    ConfigDocument { classes: vec![class], ..ConfigDocument::default() }
}

/// The questions for room among the effects.
fn places(effects: &[JobEffect]) -> Vec<Place> {
    let place = |effect: &JobEffect| match effect {
        JobEffect::SendToNode { msg: NodeMsg::Place(place), .. } => Some(place.clone()),
        _ => None,
    };
    effects.iter().filter_map(place).collect()
}

/// The room of a node that hears of its first VM a second after it took its racks over.
fn room(now: Time) -> NodeCapacity {
    let mut room = NodeCapacity::default();
    if now >= Time::from_secs(1) {
        room.vms = 1;
        room.add_size(&task_size());
    }
    room
}

// A scheduler has just taken over the racks and has heard of none of their VMs yet when a job's
// owner asks it for room. If the owner takes that for "no VM is large enough", the job waits until
// the room is told anew: a recall batch or an urgent watch job starts 20 s late after each
// takeover, and so did every service of a freshly started system.
#[test]
fn asks_again_soon() {
    let job = "recall-1".parse().expect("a valid name");
    let shard = shard_of_job(&job);
    let mut book = JobTable::builder().build();
    let mut out = Vec::new();
    let mut step = |book: &mut JobTable, now, event| {
        book.step(now, event, &Always, &mut out);
        std::mem::take(&mut out)
    };
    step(&mut book, Time::ZERO, JobEvent::Config { document: Arc::new(config()) });
    step(&mut book, Time::ZERO, JobEvent::Nodes { nodes: vec![NODE] });
    step(&mut book, Time::ZERO, JobEvent::Owned { shard, epoch: Epoch(1) });
    let spec = JobSpec {
        job,
        class: "merge".parse().expect("a valid name"),
        tasks: 1,
        command: "merge".into(),
        resources: None,
    };
    step(&mut book, Time::ZERO, JobEvent::Submit { call: CallId(1), spec });

    let mut asked_at = Vec::new();
    for tick in 0..50 {
        let now = Time::from_millis(100 * tick);
        let effects = step(&mut book, now, JobEvent::Tick);
        for effect in &effects {
            if let JobEffect::Journal { ticket, .. } = effect {
                step(&mut book, now, JobEvent::Journaled { ticket: *ticket });
            }
        }
        for place in places(&effects) {
            if !place.requests.is_empty() {
                asked_at.push(now);
            }
            let placed = Placed {
                round: place.round,
                granted: Vec::new(),
                refused: place.requests.iter().map(|want| want.task.clone()).collect(),
                reclaiming: 0,
                capacity: room(now),
                usage: Vec::new(),
            };
            step(&mut book, now, JobEvent::Message { from: NODE, msg: JobMsg::Placed(placed) });
        }
    }
    assert!(asked_at.len() >= 2, "asked only at {asked_at:?}");
}
