//! What follows from lines on tasks that weren't running.

use {
    crate::{
        Finding, TimelineEvent,
        downtime::{HeldWork, StepWait, Suspension, TaskDown, TaskGap, TaskRestart},
        findings::between_ms,
    },
    compact_str::{CompactString, format_compact},
    std::{
        collections::BTreeMap,
        time::{Duration, SystemTime},
    },
};

/// Gaps in a lasting task's running that are shorter are no finding: a move to another worker takes up to
/// half a second.
const SHORT_GAP_MS: u64 = 500;

/// The most findings of a kind; a workflow of hundreds of tasks may have hundreds of gaps. The longest are
/// told.
const MOST_FINDINGS: usize = 20;

/// All findings on what wasn't running, from happenings in the order of time.
pub(crate) fn all(happenings: &[TimelineEvent]) -> Vec<Finding> {
    let mut found = held_work(happenings);
    found.extend(suspensions(happenings));
    found.extend(waits(happenings));
    found.extend(untold(happenings));
    found.extend(gaps(happenings));
    found
}

/// What new leaders held back, from `inherited_work_held` and `inherited_work_released`.
fn held_work(happenings: &[TimelineEvent]) -> Vec<Finding> {
    let mut found = Vec::new();
    for held in happenings.iter().filter(|happening| happening.event == "inherited_work_held") {
        let epoch = held.get("epoch");
        let released = happenings.iter().find(|happening| {
            happening.event == "inherited_work_released" && happening.get("epoch") == epoch
        });
        // Workers that answered after all are named no more at the end.
        let names =
            released.and_then(|line| line.get("unanswered")).filter(|names| !names.is_empty());
        let names = names.or_else(|| held.get("workers")).unwrap_or_default();
        found.push(Finding::InheritedWorkHeld(HeldWork {
            node: held.node.clone(),
            since: earlier(&held.at, number(held, "held_ms").unwrap_or(0)),
            until: released.map(|line| line.at.clone()),
            at_most: later(&held.at, number(held, "at_most_ms").unwrap_or(0)),
            deposed: next_leader(happenings, held),
            held_ms: released.and_then(|line| number(line, "held_ms")),
            workers: names.split(',').map(CompactString::new).collect(),
        }));
    }
    found
}

/// When another leader was elected after a line.
fn next_leader(happenings: &[TimelineEvent], line: &TimelineEvent) -> Option<CompactString> {
    let later = |known: &&TimelineEvent| known.event == "elected" && known.at > line.at;
    happenings.iter().find(later).map(|elected| elected.at.clone())
}

/// Whether another leader had been elected before a line: it is of one that woke up from a pause.
fn is_outdated(happenings: &[TimelineEvent], line: &TimelineEvent) -> bool {
    let higher = |known: &TimelineEvent| number(known, "epoch") > number(line, "epoch");
    let elected = happenings.iter().filter(|known| known.event == "elected");
    elected.take_while(|known| known.at <= line.at).any(higher)
}

/// When leaders gave no orders, from `orders_suspended` and `orders_resumed`.
fn suspensions(happenings: &[TimelineEvent]) -> Vec<Finding> {
    let mut found = Vec::new();
    for line in happenings.iter().filter(|happening| happening.event == "orders_suspended") {
        if is_outdated(happenings, line) {
            continue;
        }
        let resumed = happenings.iter().find(|known| {
            known.event == "orders_resumed" && known.node == line.node && known.at > line.at
        });
        let resumed = resumed.map(|known| known.at.clone());
        let until = resumed.into_iter().chain(next_leader(happenings, line)).min();
        let (node, since) = (line.node.clone(), line.at.clone());
        found.push(Finding::OrdersSuspended(Suspension { node, since, until }));
    }
    found
}

/// Whether there were waits without a line, from `waits_untold`.
fn untold(happenings: &[TimelineEvent]) -> Option<Finding> {
    let lines = happenings.iter().filter(|happening| happening.event == "waits_untold");
    let steps = lines.filter_map(|line| number(line, "steps")).max()?;
    Some(Finding::WaitsUntold { steps })
}

/// What steps waited for, from `tasks_waiting`. Lines of one wait and reason come again every few seconds and
/// count as one.
fn waits(happenings: &[TimelineEvent]) -> Vec<Finding> {
    let mut waits: Vec<StepWait> = Vec::new();
    for line in happenings.iter().filter(|happening| happening.event == "tasks_waiting") {
        let wait = read_wait(line);
        let last = waits.iter_mut().rev().find(|known| known.step == wait.step);
        match last.filter(|known| known.reason == wait.reason && wait.waited_ms > known.waited_ms) {
            Some(known) if known.tasks > wait.tasks => {
                let (tasks, indices) = (known.tasks, known.indices.clone());
                *known = StepWait { tasks, indices, ..wait };
            }
            Some(known) => *known = wait,
            None => waits.push(wait),
        }
    }
    longest(waits, |wait| wait.waited_ms).into_iter().map(Finding::StepWaited).collect()
}

fn read_wait(line: &TimelineEvent) -> StepWait {
    let text = |key| CompactString::new(line.get(key).unwrap_or_default());
    let waited_ms = number(line, "waited_ms").unwrap_or(0);
    StepWait {
        step: within_workflow(line.get("step").unwrap_or_default()),
        since: earlier(&line.at, waited_ms),
        waited_ms,
        tasks: number(line, "tasks").unwrap_or(0),
        indices: text("indices"),
        reason: text("reason"),
        workers: text("workers"),
        service_workers: number(line, "service_workers"),
        fit_workers: number(line, "fit_workers"),
    }
}

/// What the lines tell of a lasting task so far.
#[derive(Default)]
struct Running<'a> {
    /// Where its last start was, unless its end is told.
    at: Option<&'a str>,
    /// The line on the end of its last run, unless it was started since.
    ended: Option<&'a TimelineEvent>,
}

/// When lasting tasks didn't run, from `lasting_task_started` and `lasting_task_ended`.
fn gaps(happenings: &[TimelineEvent]) -> Vec<Finding> {
    let mut tasks: BTreeMap<&str, Running<'_>> = BTreeMap::new();
    let mut gaps: Vec<Finding> = Vec::new();
    for line in happenings {
        let Some(task) = line.get("task") else { continue };
        let running = tasks.entry(task);
        match line.event.as_str() {
            "lasting_task_started" => gaps.extend(started(task, running.or_default(), line)),
            "lasting_task_ended" => take_end(running.or_default(), line),
            _ => {}
        }
    }
    let over = happenings.iter().any(|happening| happening.event == "workflow_ended");
    if !over {
        let down = tasks.iter().filter_map(|(task, running)| Some((task, running.ended?)));
        gaps.extend(down.map(|(task, ended)| {
            Finding::TaskDown(TaskDown {
                task: within_workflow(task),
                since: down_since(ended),
                how: how_ended(ended),
            })
        }));
    }
    longest(gaps, |gap| match gap {
        Finding::TaskGap(gap) => gap.down_ms,
        Finding::TaskRestarted(restart) => restart.waited_ms,
        // What still isn't running comes before all that runs again.
        _ => u64::MAX,
    })
}

/// Takes the end of a run in. Two leaders may tell the same one, and the first counts. Of another run it is a
/// later end: its start has no line.
fn take_end<'a>(running: &mut Running<'a>, line: &'a TimelineEvent) {
    running.at = None;
    match running.ended {
        Some(known) if known.get("run") == line.get("run") => {}
        _ => running.ended = Some(line),
    }
}

/// Since when a task is down whose end a line tells: a worker's silence begins before its runs are given up.
fn down_since(ended: &TimelineEvent) -> CompactString {
    earlier(&ended.at, number(ended, "down_ms").unwrap_or(0))
}

fn started<'a>(task: &str, running: &mut Running<'a>, line: &'a TimelineEvent) -> Option<Finding> {
    let ended = running.ended.take();
    let worker = line.get("worker").unwrap_or_default();
    let before = running.at.replace(worker);
    let task = within_workflow(task);
    if let Some(ended) = ended {
        let since = down_since(ended);
        let down_ms = between_ms(&since, &line.at).unwrap_or(0);
        let how = how_ended(ended);
        let worker = CompactString::new(worker);
        let gap = Finding::TaskGap(TaskGap { task, since, down_ms, how, worker });
        return (down_ms >= SHORT_GAP_MS).then_some(gap);
    }
    Some(Finding::TaskRestarted(TaskRestart {
        task,
        at: line.at.clone(),
        worker: CompactString::new(worker),
        before: CompactString::new(before?),
        waited_ms: number(line, "waited_ms").unwrap_or(0),
    }))
}

/// How a run ended, in words.
fn how_ended(line: &TimelineEvent) -> CompactString {
    let worker = line.get("worker").unwrap_or_default();
    let end = match line.get("end").unwrap_or_default() {
        "lost" => format_compact!("lost with {worker}"),
        "lapsed" => format_compact!("ended by its lease at {worker}"),
        "rejected" => format_compact!("turned away by {worker}"),
        "broken" | "alone" => format_compact!("ended with its gang at {worker}"),
        end => format_compact!("{end} at {worker}"),
    };
    match line.get("why").unwrap_or("-") {
        "-" => end,
        why => format_compact!("{end}: {why}"),
    }
}

/// The `MOST_FINDINGS` longest, in their order.
fn longest<T>(mut all: Vec<T>, length: impl Fn(&T) -> u64) -> Vec<T> {
    if all.len() > MOST_FINDINGS {
        let mut lengths: Vec<u64> = all.iter().map(&length).collect();
        lengths.sort_unstable();
        let least = lengths[lengths.len() - MOST_FINDINGS];
        all.retain(|one| length(one) >= least);
        all.truncate(MOST_FINDINGS);
    }
    all
}

/// An id without its workflow, which the reader asked for.
fn within_workflow(id: &str) -> CompactString {
    CompactString::new(id.split_once('.').map_or(id, |(_, rest)| rest))
}

fn number(line: &TimelineEvent, key: &str) -> Option<u64> {
    line.get(key)?.parse().ok()
}

/// The time `ms` milliseconds before `at`.
fn earlier(at: &str, ms: u64) -> CompactString {
    moved(at, |time| time.checked_sub(Duration::from_millis(ms)))
}

/// The time `ms` milliseconds after `at`.
fn later(at: &str, ms: u64) -> CompactString {
    moved(at, |time| time.checked_add(Duration::from_millis(ms)))
}

fn moved(at: &str, by: impl Fn(SystemTime) -> Option<SystemTime>) -> CompactString {
    let time = humantime::parse_rfc3339(at).ok().and_then(by);
    time.map_or_else(
        || CompactString::new(at),
        |time| format_compact!("{}", humantime::format_rfc3339_millis(time)),
    )
}
