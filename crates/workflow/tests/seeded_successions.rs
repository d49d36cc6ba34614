//! Seeded days on which racks are lost and come back around changes of the leader: entries lapse,
//! connections are refused, leaders are cut from the store, frozen or both. Whatever happens, no task runs in
//! two places, none runs again after its end was acknowledged; and when the faults are over, all work is
//! finished, lasting tasks run, cancelled ones don't, and every worker is used again.

mod support;

use {
    egretlb_workflow::{Limits, State, Step, WorkerState, WorkflowId},
    rand::Rng,
    std::{env, ops::Range, time::Duration},
    support::{step, submission, worker::Worker, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

const SEEDS: Range<u64> = 0..60;

/// Seeds that found a fault in earlier code.
const FOUND: [u64; 4] = [128, 204, 250, 257];

/// Seeds to play by hand in place of the committed ones, as in `1000..1500`.
const SEEDS_VARIABLE: &str = "EGRETLB_SUCCESSION_SEEDS";

const NODES: usize = 4;
const WORKERS: usize = 12;
const RACK: usize = 4;
const CORES: u32 = 8;
const LASTING: u32 = 12;
const ROUNDS: u64 = 3;

/// Ids of workflows that are cancelled while the leader changes, before any of their tasks can be done.
const DOOMED: u64 = 3_000;

/// The id of a last workflow, as wide as the room.
const WIDE: u64 = 2_000;

fn millis(world: &mut World, range: Range<u64>) -> Duration {
    Duration::from_millis(world.rng.random_range(range))
}

fn some_worker(world: &mut World) -> usize {
    world.rng.random_range(0..world.workers.len())
}

/// What befalls workers.
fn strike_workers(world: &mut World) -> Vec<usize> {
    let rack = world.rng.random_range(0..world.workers.len() / RACK) * RACK;
    let lost: Vec<usize> = (rack..rack + RACK).filter(|worker| world.workers[*worker].up).collect();
    match world.rng.random_range(0..6) {
        0 | 1 => lost.iter().for_each(|w| world.workers[*w].crash(&mut world.checker)),
        2 => lost.iter().for_each(|w| world.workers[*w].exit(&mut world.checker)),
        3 => {
            let share = world.rng.random_range(1..4);
            for worker in 0..world.workers.len() {
                world.workers[worker].listed = worker % 4 >= share;
            }
            return Vec::new();
        }
        4 => {
            lost.iter().for_each(|w| world.workers[*w].info.state = WorkerState::Draining);
            // They stay for long, or leave at the latest when others come in their place.
            if world.rng.random_range(0..2) == 0 {
                return Vec::new();
            }
        }
        _ => {
            let cut = lost.clone();
            world.nodes.iter_mut().for_each(|node| node.cut_from.clone_from(&cut));
            return Vec::new();
        }
    }
    lost
}

fn revive(world: &mut World, lost: &[usize]) {
    for worker in lost {
        if world.workers[*worker].up {
            world.workers[*worker].exit(&mut world.checker);
        }
        world.revive(*worker);
    }
}

/// What befalls the network between nodes and workers just before the leader changes.
fn strike_network(world: &mut World) {
    let leader = world.leader();
    let first = some_worker(world);
    let hit = vec![first, (first + 1) % world.workers.len()];
    let kind = world.rng.random_range(0..6);
    for node in 0..NODES {
        let follows = leader != Some(node);
        match kind {
            0 if follows => world.nodes[node].cut_from = hit.clone(),
            1 if follows => world.nodes[node].refused_by = hit.clone(),
            2 if !follows => world.nodes[node].cut_from = hit.clone(),
            3 => world.late_orders = 60,
            4 => world.lost_appends = 300,
            _ => {}
        }
    }
}

/// What befalls the leader.
fn strike_leader(world: &mut World) {
    let Some(leader) = world.leader() else { return };
    let span = millis(world, 500..7_000);
    match world.rng.random_range(0..8) {
        0 => world.kill(leader),
        1 => world.freeze(leader, span),
        2 | 3 => world.nodes[leader].reaches_store = false,
        4 => {
            world.nodes[leader].reaches_store = false;
            world.nodes[leader].calls_hang = true;
        }
        5 => {
            world.nodes[leader].reaches_store = false;
            let pause = millis(world, 50..1_500);
            world.run(pause);
            world.freeze(leader, span);
        }
        6 => (0..NODES).for_each(|node| world.kill(node)),
        _ => world.store_down = true,
    }
}

fn heal(world: &mut World) {
    world.store_down = false;
    world.lost_appends = 0;
    world.late_orders = 0;
    for worker in &mut world.workers {
        worker.listed = true;
    }
    for node in 0..NODES {
        world.nodes[node].reaches_store = true;
        world.nodes[node].calls_hang = false;
        world.nodes[node].cut_from.clear();
        world.nodes[node].refused_by.clear();
        if !world.nodes[node].up {
            world.restart(node);
        }
    }
}

/// Clients' work of a moment.
fn submit_some(world: &mut World, id: &mut u64) {
    for _ in 0..3 {
        *id += 1;
        let (count, ms) = (world.rng.random_range(2..10), world.rng.random_range(200..6_000));
        let later = Step { after: [0].into_iter().collect(), ..step(3, 400) };
        world.submit(*id, &submission(vec![step(count, ms), later]));
    }
    if *id > 6 && world.rng.random_range(0..3) == 0 {
        let victim = world.rng.random_range(*id - 5..=*id);
        world.cancel(WorkflowId(victim));
    }
}

/// A step whose tasks run until they are cancelled.
fn lasting_step() -> Step {
    Step { lasting: true, ..step(LASTING, 0) }
}

/// How many of a workflow's tasks run.
fn running(world: &World, id: WorkflowId) -> usize {
    let of = |worker: &Worker| worker.running.keys().filter(|task| task.workflow == id).count();
    world.workers.iter().map(of).sum()
}

/// Plays a day; returns what went wrong, and how many tasks were started.
fn play(seed: u64) -> (Vec<String>, u32) {
    let mut world = World::new(seed, NODES, WORKERS, Limits::default());
    for worker in &mut world.workers {
        worker.stop_ms = seed % 3 * 200;
        worker.rate = if seed.is_multiple_of(2) { 1_000 } else { 980 };
    }
    world.run(2 * SECOND);
    let lasting = world.submit(1_000, &submission(vec![lasting_step()]));
    let mut id = 0;
    for round in 0..ROUNDS {
        let doomed = world.submit(DOOMED + round, &submission(vec![step(6, 90_000)]));
        submit_some(&mut world, &mut id);
        let pause = millis(&mut world, 100..1_000);
        world.run(pause);
        let lost = strike_workers(&mut world);
        submit_some(&mut world, &mut id);
        let pause = millis(&mut world, 0..6_000);
        world.run(pause);
        let early = world.rng.random_range(0..2) == 0;
        if early {
            revive(&mut world, &lost);
        }
        strike_network(&mut world);
        let pause = millis(&mut world, 0..600);
        world.run(pause);
        strike_leader(&mut world);
        submit_some(&mut world, &mut id);
        let pause = millis(&mut world, 0..3_000);
        world.run(pause);
        world.cancel(doomed);
        let pause = millis(&mut world, 0..3_000);
        world.run(pause);
        if !early {
            revive(&mut world, &lost);
        }
        let pause = millis(&mut world, 0..5_000);
        world.run(pause);
        heal(&mut world);
        let pause = millis(&mut world, 0..4_000);
        world.run(pause);
    }
    world.run(30 * SECOND);
    let wrong = check_end(&mut world, id, lasting);
    (wrong, world.checker.starts)
}

fn check_end(world: &mut World, last: u64, lasting: WorkflowId) -> Vec<String> {
    let mut wrong = Vec::new();
    for id in (1..=last).chain(DOOMED..DOOMED + ROUNDS).map(WorkflowId) {
        let (state, running) = (world.state(id), running(world, id));
        if !matches!(state, Some(State::Ended(_))) || running > 0 {
            wrong.push(format!("workflow {id}: {state:?}, {running} tasks run"));
        }
    }
    let at_work = running(world, lasting);
    if at_work != LASTING as usize {
        wrong.push(format!("{at_work} lasting tasks run"));
    }
    let ready = |worker: &&Worker| worker.up && worker.info.state == WorkerState::Ready;
    let ready = world.workers.iter().filter(ready).count();
    let room = u32::try_from(ready).expect("few workers") * CORES - LASTING;
    let wide = world.submit(WIDE, &submission(vec![step(room, 1_500)]));
    if world.run_until(3 * SECOND, |world| world.completed(wide)).is_none() {
        let at_work = running(world, wide);
        wrong.push(format!("{at_work} tasks run of a step for {ready} workers"));
    }
    wrong.append(&mut world.checker.faults);
    wrong
}

fn seeds() -> Vec<u64> {
    let Ok(given) = env::var(SEEDS_VARIABLE) else { return SEEDS.chain(FOUND).collect() };
    let (first, end) = given.split_once("..").expect("a range");
    (first.parse().expect("a number")..end.parse().expect("a number")).collect()
}

#[test]
fn all_seeds() {
    let mut starts = 0;
    let mut failed = Vec::new();
    for seed in seeds() {
        let (wrong, started) = play(seed);
        starts += started;
        if !wrong.is_empty() {
            failed.push(format!("seed {seed}: {wrong:?}"));
        }
    }
    println!("{} days, {starts} starts", seeds().len());
    assert_eq!(failed, Vec::<String>::new());
}
