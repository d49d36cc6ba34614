//! A configuration, requests and a batch job across real processes.

mod support;

use {
    egretlb_api::JobState,
    egretlb_standins::worker::{Served, WorkerEventKind},
    support::{CLASSES, System, eventually, header, status},
};

#[test]
fn serves_and_runs() {
    let system = System::start(2, 2, 2);
    let version = system.apply(CLASSES);
    eventually("both entries have the configuration", || {
        let have = system.entries.iter().all(|entry| {
            let seen = status(entry.operators);
            let own = seen.nodes.iter().find(|node| node.node == seen.asked);
            own.is_some_and(|own| own.config_version == Some(version))
        });
        have.then_some(())
    });

    for entry in 0..2 {
        system.wait_for_service(entry, "check");
        let answer = system.request(entry, "check", "mine", &[]).expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(header(&answer, "egretlb-ran"), Some("yes"));
        let served: Served = serde_json::from_slice(&answer.body).expect("the service's answer");
        assert_eq!(served.id, "mine");
    }

    system.submit("reconcile-1", 6, "reconcile run=200ms");
    let job = system.wait_for_end("reconcile-1");
    assert_eq!(job.state, JobState::Done);
    assert_eq!(job.tasks.done, 6);
    let starts: usize = system
        .workers
        .iter()
        .flat_map(|worker| worker.history())
        .filter(|event| {
            matches!(
                &event.kind,
                WorkerEventKind::Started { class, .. } if class.as_str() == "merge"
            )
        })
        .count();
    assert_eq!(starts, 6);
}
