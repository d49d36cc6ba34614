//! Retries when many servers fail.

mod support;

use {
    egretlb_requests::entry::QueueOrder,
    std::time::Duration,
    support::{
        load::{BOGOTA, Stream, load_requests, record},
        world::{ClassSetup, World},
    },
};

/// Guards against retries that multiply the load when a third or all of the servers truncate their
/// answers.
#[test]
fn a_retry_storm_is_impossible() {
    for failing in [22, 65] {
        let target = Duration::from_millis(500);
        let class = ClassSetup { name: "check", organisation: "andina", target, idempotent: true };
        let per_second = BOGOTA.capacity(100.0) * 0.5;
        let stream =
            Stream { class: 0, from_ms: 0, to_ms: 10_000, per_second, mean_work_ms: 100.0 };
        let mut world = World::new(BOGOTA.setup(&[class], QueueOrder::default(), 5));
        let start = world.now + Duration::from_secs(2);
        for (i, load_request) in load_requests(&[stream], BOGOTA.entries, 5).iter().enumerate() {
            world.request(start + load_request.at, record(i, load_request, start));
        }
        for server in &mut world.servers[..failing] {
            server.truncates_answers = true;
        }
        world.run_until(start + Duration::from_secs(25));
        let sends: u32 = world.requests.iter().map(|record| record.sends).sum();
        let firsts = world.requests.iter().filter(|record| record.sends > 0).count();
        let extra = f64::from(sends) / firsts as f64 - 1.0;
        let answered = world.requests.iter().filter(|record| record.answers.len() == 1).count();
        println!("failing={failing} of 65 extra={extra:.3} firsts={firsts}");
        assert!(extra <= 0.1, "{extra}");
        assert_eq!(answered, world.requests.len());
    }
}
