//! Derives findings about tasks that weren't running.

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

/// Minimum gap between runs of a long-running task that is reported; planned moves between workers are shorter.
const MIN_GAP_MS: u64 = 500;

/// Maximum number of findings of a kind; the longest are reported.
const MAX_FINDINGS: usize = 20;

/// All findings about waits and gaps; `events` are sorted by time.
pub(crate) fn all(events: &[TimelineEvent]) -> Vec<Finding> {
    let mut findings = held_work(events);
    findings.extend(suspensions(events));
    findings.extend(waits(events));
    findings.extend(unlogged_waits(events));
    findings.extend(gaps(events));
    findings
}

/// Delays of inherited tasks by new leaders, from `inherited_work_held` and `inherited_work_released`.
fn held_work(events: &[TimelineEvent]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for held in events.iter().filter(|event| event.event == "inherited_work_held") {
        let epoch = held.get("epoch");
        let released = events
            .iter()
            .find(|event| event.event == "inherited_work_released" && event.get("epoch") == epoch);
        // The release names only the workers that still hadn't answered by then.
        let names =
            released.and_then(|line| line.get("unanswered")).filter(|names| !names.is_empty());
        let names = names.or_else(|| held.get("workers")).unwrap_or_default();
        findings.push(Finding::InheritedWorkHeld(HeldWork {
            node: held.node.clone(),
            since: earlier(&held.at, number(held, "held_ms").unwrap_or(0)),
            until: released.map(|line| line.at.clone()),
            at_most: later(&held.at, number(held, "at_most_ms").unwrap_or(0)),
            deposed: next_election(events, held),
            held_ms: released.and_then(|line| number(line, "held_ms")),
            workers: names.split(',').map(CompactString::new).collect(),
        }));
    }
    findings
}

/// When another leader was elected after an event.
fn next_election(events: &[TimelineEvent], line: &TimelineEvent) -> Option<CompactString> {
    let is_later_election = |event: &&TimelineEvent| event.event == "elected" && event.at > line.at;
    events.iter().find(is_later_election).map(|elected| elected.at.clone())
}

/// Whether a line was written by a leader already superseded by one with a higher epoch.
fn is_superseded(events: &[TimelineEvent], line: &TimelineEvent) -> bool {
    let has_higher_epoch = |event: &TimelineEvent| number(event, "epoch") > number(line, "epoch");
    let elected = events.iter().filter(|event| event.event == "elected");
    elected.take_while(|event| event.at <= line.at).any(has_higher_epoch)
}

/// When leaders sent no commands, from `orders_suspended` and `orders_resumed`.
fn suspensions(events: &[TimelineEvent]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for line in events.iter().filter(|event| event.event == "orders_suspended") {
        if is_superseded(events, line) {
            continue;
        }
        let resumed = events.iter().find(|event| {
            event.event == "orders_resumed" && event.node == line.node && event.at > line.at
        });
        let resumed = resumed.map(|event| event.at.clone());
        let until = resumed.into_iter().chain(next_election(events, line)).min();
        let (node, since) = (line.node.clone(), line.at.clone());
        findings.push(Finding::OrdersSuspended(Suspension { node, since, until }));
    }
    findings
}

/// Waits that weren't logged individually, from `waits_untold`.
fn unlogged_waits(events: &[TimelineEvent]) -> Option<Finding> {
    let lines = events.iter().filter(|event| event.event == "waits_untold");
    let steps = lines.filter_map(|line| number(line, "steps")).max()?;
    Some(Finding::WaitsUntold { steps })
}

/// Waits of steps, from `tasks_waiting`. Repeated lines of one wait and reason are merged.
fn waits(events: &[TimelineEvent]) -> Vec<Finding> {
    let mut waits: Vec<StepWait> = Vec::new();
    for line in events.iter().filter(|event| event.event == "tasks_waiting") {
        let wait = parse_wait(line);
        let last = waits.iter_mut().rev().find(|other| other.step == wait.step);
        match last.filter(|other| other.reason == wait.reason && wait.waited_ms > other.waited_ms) {
            Some(previous) if previous.tasks > wait.tasks => {
                let (tasks, indices) = (previous.tasks, previous.indices.clone());
                *previous = StepWait { tasks, indices, ..wait };
            }
            Some(previous) => *previous = wait,
            None => waits.push(wait),
        }
    }
    retain_longest(waits, |wait| wait.waited_ms).into_iter().map(Finding::StepWaited).collect()
}

fn parse_wait(line: &TimelineEvent) -> StepWait {
    let text = |key| CompactString::new(line.get(key).unwrap_or_default());
    let waited_ms = number(line, "waited_ms").unwrap_or(0);
    StepWait {
        step: strip_workflow(line.get("step").unwrap_or_default()),
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

/// The state of a long-running task by the events so far.
#[derive(Default)]
struct TaskState<'a> {
    /// The worker of its current run, unless an end is logged.
    worker: Option<&'a str>,
    /// The event of its last end, unless it was started since.
    last_end: Option<&'a TimelineEvent>,
}

/// Gaps between runs of long-running tasks, from `lasting_task_started` and `lasting_task_ended`.
fn gaps(events: &[TimelineEvent]) -> Vec<Finding> {
    let mut tasks: BTreeMap<&str, TaskState<'_>> = BTreeMap::new();
    let mut gaps: Vec<Finding> = Vec::new();
    for line in events {
        let Some(task) = line.get("task") else { continue };
        let state = tasks.entry(task);
        match line.event.as_str() {
            "lasting_task_started" => gaps.extend(record_start(task, state.or_default(), line)),
            "lasting_task_ended" => record_end(state.or_default(), line),
            _ => {}
        }
    }
    let workflow_ended = events.iter().any(|event| event.event == "workflow_ended");
    if !workflow_ended {
        let down = tasks.iter().filter_map(|(task, state)| Some((task, state.last_end?)));
        gaps.extend(down.map(|(task, end)| {
            Finding::TaskDown(TaskDown {
                task: strip_workflow(task),
                since: down_since(end),
                how: describe_end(end),
            })
        }));
    }
    retain_longest(gaps, |gap| match gap {
        Finding::TaskGap(gap) => gap.down_ms,
        Finding::TaskRestarted(restart) => restart.waited_ms,
        // Tasks that are still down come before all others.
        _ => u64::MAX,
    })
}

/// Records the end of a run. Two leaders may log the same end; the first counts. The end of another run replaces it:
/// the start of that run isn't logged.
fn record_end<'a>(state: &mut TaskState<'a>, line: &'a TimelineEvent) {
    state.worker = None;
    match state.last_end {
        Some(end) if end.get("run") == line.get("run") => {}
        _ => state.last_end = Some(line),
    }
}

/// When a task went down. A worker may be unresponsive for `down_ms` before the end of its runs is logged.
fn down_since(end: &TimelineEvent) -> CompactString {
    earlier(&end.at, number(end, "down_ms").unwrap_or(0))
}

/// Records a start; returns the gap before it if it is long enough, or a restart without a logged end.
fn record_start<'a>(
    task: &str,
    state: &mut TaskState<'a>,
    line: &'a TimelineEvent,
) -> Option<Finding> {
    let last_end = state.last_end.take();
    let worker = line.get("worker").unwrap_or_default();
    let previous_worker = state.worker.replace(worker);
    let task = strip_workflow(task);
    if let Some(end) = last_end {
        let since = down_since(end);
        let down_ms = between_ms(&since, &line.at).unwrap_or(0);
        let how = describe_end(end);
        let worker = CompactString::new(worker);
        let gap = Finding::TaskGap(TaskGap { task, since, down_ms, how, worker });
        return (down_ms >= MIN_GAP_MS).then_some(gap);
    }
    Some(Finding::TaskRestarted(TaskRestart {
        task,
        at: line.at.clone(),
        worker: CompactString::new(worker),
        before: CompactString::new(previous_worker?),
        waited_ms: number(line, "waited_ms").unwrap_or(0),
    }))
}

/// Describes how and on which worker a run ended.
fn describe_end(line: &TimelineEvent) -> CompactString {
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

/// Keeps the `MAX_FINDINGS` longest items in their order.
fn retain_longest<T>(mut items: Vec<T>, length: impl Fn(&T) -> u64) -> Vec<T> {
    if items.len() > MAX_FINDINGS {
        let mut lengths: Vec<u64> = items.iter().map(&length).collect();
        lengths.sort_unstable();
        let min_length = lengths[lengths.len() - MAX_FINDINGS];
        items.retain(|item| length(item) >= min_length);
        items.truncate(MAX_FINDINGS);
    }
    items
}

/// A step or task id without its workflow id.
fn strip_workflow(id: &str) -> CompactString {
    CompactString::new(id.split_once('.').map_or(id, |(_, rest)| rest))
}

fn number(line: &TimelineEvent, key: &str) -> Option<u64> {
    line.get(key)?.parse().ok()
}

/// The time `ms` milliseconds before `at`.
fn earlier(at: &str, ms: u64) -> CompactString {
    shift_time(at, |time| time.checked_sub(Duration::from_millis(ms)))
}

/// The time `ms` milliseconds after `at`.
fn later(at: &str, ms: u64) -> CompactString {
    shift_time(at, |time| time.checked_add(Duration::from_millis(ms)))
}

/// Shifts a timestamp; returns it unchanged if it is invalid or out of range.
fn shift_time(at: &str, shift: impl Fn(SystemTime) -> Option<SystemTime>) -> CompactString {
    let time = humantime::parse_rfc3339(at).ok().and_then(shift);
    time.map_or_else(
        || CompactString::new(at),
        |time| format_compact!("{}", humantime::format_rfc3339_millis(time)),
    )
}
