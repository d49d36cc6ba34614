//! Invariants of every history.

use {
    super::world::{Record, World},
    egretlb_requests::{RequestId, entry::Verdict},
    egretlb_types::{Ran, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Returns one line per violation.
pub fn violations(world: &World) -> Vec<String> {
    let mut found = Vec::new();
    for (i, record) in world.requests.iter().enumerate() {
        check_answers(world, i, record, &mut found);
        check_truth(i, record, &mut found);
    }
    check_runs(world, &mut found);
    for server in &world.servers {
        if server.peak > server.slots {
            let (peak, slots) = (server.peak, server.slots);
            found.push(format!("{} had {peak} requests at once in {slots} slots", server.vm));
        }
    }
    found
}

/// Each caller gets exactly one answer, its own, complete and in time, unless its entry died.
fn check_answers(world: &World, i: usize, record: &Record, found: &mut Vec<String>) {
    if record.answers.len() > 1 {
        found.push(format!("request {i} got {} answers", record.answers.len()));
    }
    let lost = record.caller_gone || record.connection_lost;
    if record.answers.is_empty() && !lost {
        found.push(format!("request {i} never got an answer"));
    }
    let waited = record.answers.first().map_or(Duration::ZERO, |(at, _)| at.since(record.arrived));
    let paused = world.entries[record.entry].paused_until > Time::ZERO;
    if waited > record.deadline.unwrap_or(Duration::from_secs(10)) && !paused {
        found.push(format!("request {i} waited {waited:?} for its answer"));
    }
    match record.answers.first().map(|(_, verdict)| verdict) {
        Some(Verdict::Forward { attempt }) => {
            let own = world.sent.get(&(record.entry, record.incarnation, *attempt));
            if own != Some(&RequestId(i as u64)) {
                found.push(format!("request {i} got the answer of {own:?}"));
            }
            if world.truncated.contains(&(record.entry, record.incarnation, *attempt)) {
                found.push(format!("request {i} got a truncated answer as whole"));
            }
        }
        Some(Verdict::Recorded(answer)) => {
            let body = (record.operation as u64).to_le_bytes().to_vec();
            if answer.body != Some(body) {
                found.push(format!("request {i} got the recorded answer of another"));
            }
        }
        _ => {}
    }
}

/// `Egretlb-Ran` is correct.
fn check_truth(i: usize, record: &Record, found: &mut Vec<String>) {
    let Some((_, verdict)) = record.answers.first() else { return };
    if verdict.ran() == Ran::No && record.runs > 0 {
        found.push(format!("request {i} was said not to have run, and ran {}", record.runs));
    }
    if matches!(verdict, Verdict::Forward { .. }) && record.runs == 0 {
        found.push(format!("request {i} was said to have run, and did not"));
    }
}

/// A non-idempotent request runs at most once over all tries.
fn check_runs(world: &World, found: &mut Vec<String>) {
    let mut runs: BTreeMap<usize, u32> = BTreeMap::new();
    for record in &world.requests {
        if !world.setup.classes[record.class].idempotent {
            *runs.entry(record.operation).or_default() += record.runs;
        }
    }
    for (operation, runs) in runs.into_iter().filter(|(_, runs)| *runs > 1) {
        found.push(format!("non-idempotent request {operation} ran {runs} times"));
    }
}
