//! A job owner's use of the capacity that nodes report.

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

/// The placement requests among the effects.
fn place_requests(effects: &[JobEffect]) -> Vec<Place> {
    let place = |effect: &JobEffect| match effect {
        JobEffect::SendToNode { msg: NodeMsg::Place(place), .. } => Some(place.clone()),
        _ => None,
    };
    effects.iter().filter_map(place).collect()
}

/// Capacity of a node that learns of its first VM one second after it took racks over.
fn capacity_at(now: Time) -> NodeCapacity {
    let mut capacity = NodeCapacity::default();
    if now >= Time::from_secs(1) {
        capacity.vms = 1;
        capacity.add_size(&task_size());
    }
    capacity
}

// Guards against taking a node that doesn't know its VMs yet for one without large enough VMs,
// which delays jobs by 20 s after each succession.
#[test]
fn capacity_is_queried_again_soon() {
    let job = "recall-1".parse().expect("a valid name");
    let shard = shard_of_job(&job);
    let mut table = JobTable::builder().build();
    let mut out = Vec::new();
    let mut step = |table: &mut JobTable, now, event| {
        table.step(now, event, &Always, &mut out);
        std::mem::take(&mut out)
    };
    step(&mut table, Time::ZERO, JobEvent::Config { document: Arc::new(config()) });
    step(&mut table, Time::ZERO, JobEvent::Nodes { nodes: vec![NODE] });
    step(&mut table, Time::ZERO, JobEvent::Owned { shard, epoch: Epoch(1) });
    let spec = JobSpec {
        job,
        class: "merge".parse().expect("a valid name"),
        tasks: 1,
        command: "merge".into(),
        resources: None,
    };
    step(&mut table, Time::ZERO, JobEvent::Submit { call: CallId(1), spec });

    let mut requested_at = Vec::new();
    for tick in 0..50 {
        let now = Time::from_millis(100 * tick);
        let effects = step(&mut table, now, JobEvent::Tick);
        for effect in &effects {
            if let JobEffect::Journal { ticket, .. } = effect {
                step(&mut table, now, JobEvent::Journaled { ticket: *ticket });
            }
        }
        for place in place_requests(&effects) {
            if !place.requests.is_empty() {
                requested_at.push(now);
            }
            let placed = Placed {
                round: place.round,
                granted: Vec::new(),
                refused: place.requests.iter().map(|request| request.task.clone()).collect(),
                reclaiming: 0,
                capacity: capacity_at(now),
                usage: Vec::new(),
            };
            step(&mut table, now, JobEvent::Message { from: NODE, msg: JobMsg::Placed(placed) });
        }
    }
    assert!(requested_at.len() >= 2, "asked only at {requested_at:?}");
}
