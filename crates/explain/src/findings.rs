//! Findings derived from a workflow's timeline.

use {
    crate::{
        TimelineEvent,
        downtime::{HeldWork, StepWait, Suspension, TaskDown, TaskGap, TaskRestart},
        refusals::DelayRefusals,
        waits,
    },
    compact_str::CompactString,
    serde::Serialize,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Minimum time from acceptance to the first start that is reported as late.
const LATE_START_THRESHOLD: Duration = Duration::from_millis(500);

/// Explanation of a change of the leader if the end of its reconciliation isn't logged.
const NOT_RECONCILED: &str = "no line says that it reconciled with all workers, so inherited tasks may have \
                              waited for the end of their leases";

/// A conclusion.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "finding", rename_all = "snake_case")]
pub enum Finding {
    /// No line names the workflow.
    NotSeen,
    /// The workflow was stored.
    Accepted {
        /// When.
        at: CompactString,
        /// The VM that accepted it.
        node: CompactString,
        /// Number of submissions that weren't stored or whose outcome was unknown, also later ones.
        refused_before: usize,
    },
    /// Submissions were rejected without storing the workflow.
    Refused {
        /// Number of rejections.
        times: usize,
        /// Whether the store had rejected appends.
        store_failed: bool,
    },
    /// Submissions were refused since by the estimated delay the workflow couldn't end in time.
    RefusedByDelay(DelayRefusals),
    /// Submissions whose outcome was unknown; the client was asked to retry.
    AnsweredUnknown {
        /// Number of such submissions.
        times: usize,
    },
    /// The first start was late.
    StartedLate {
        /// Time from acceptance to the first start, in milliseconds.
        waited_ms: u64,
        /// Number of leader changes meanwhile.
        leaders: usize,
    },
    /// The leader changed.
    LeaderChanged {
        /// When the new leader was elected.
        at: CompactString,
        /// The new leader.
        node: CompactString,
        /// Time until it had reconciled with all workers, in milliseconds, if logged.
        surveyed_after_ms: Option<u64>,
    },
    /// Runs failed.
    RunsFailed {
        /// Number of failed runs by worker.
        by_worker: BTreeMap<CompactString, usize>,
    },
    /// Long-running tasks ended successfully.
    TasksExited {
        /// Number of such ends by task.
        by_task: BTreeMap<CompactString, usize>,
    },
    /// Runs were lost with their worker.
    RunsLost {
        /// Number of lost runs by task.
        by_task: BTreeMap<CompactString, usize>,
    },
    /// A task was given up because it crashed the workers that started it.
    CrashedWorkers {
        /// The task.
        task: CompactString,
        /// Number of workers that crashed.
        crashes: u64,
    },
    /// Workers that ran its tasks were quarantined.
    WorkersAtFault {
        /// The workers.
        workers: Vec<CompactString>,
    },
    /// Starts weren't confirmed by the worker.
    OrdersInDoubt {
        /// Number of unconfirmed starts.
        times: usize,
    },
    /// Workers were lost with their runs.
    WorkersLost {
        /// The workers.
        workers: Vec<CompactString>,
    },
    /// Tasks were moved off slow workers.
    MovedOffSlow {
        /// Number of tasks.
        times: usize,
    },
    /// Tasks were preempted.
    MadeRoom {
        /// Number of preemptions.
        times: usize,
    },
    /// A new leader delayed inherited tasks.
    InheritedWorkHeld(HeldWork),
    /// A leader sent no commands.
    OrdersSuspended(Suspension),
    /// Tasks of a step waited to be started.
    StepWaited(StepWait),
    /// Steps waited whose waits weren't logged individually.
    WaitsUntold {
        /// Maximum number of such steps at one time.
        steps: u64,
    },
    /// A long-running task didn't run for a while.
    TaskGap(TaskGap),
    /// A long-running task was restarted, and the end of its previous run isn't logged.
    TaskRestarted(TaskRestart),
    /// A long-running task ended and wasn't restarted.
    TaskDown(TaskDown),
    /// A client cancelled the workflow.
    Cancelled {
        /// When.
        at: CompactString,
    },
    /// The workflow ended.
    Ended {
        /// When.
        at: CompactString,
        /// `Completed`, `Failed` or `Cancelled`.
        outcome: CompactString,
        /// Time since its acceptance, in milliseconds.
        took_ms: Option<u64>,
    },
    /// No end is logged.
    NotEnded,
    /// Log lines are missing, so findings may be missing.
    LinesMissing {
        /// Number of missing lines.
        lines: u64,
    },
}

/// Writes the heading and a count per name.
fn write_counts(
    f: &mut fmt::Formatter<'_>,
    heading: &str,
    preposition: &str,
    counts: &BTreeMap<CompactString, usize>,
) -> fmt::Result {
    f.write_str(heading)?;
    counts.iter().try_for_each(|(name, count)| write!(f, " {count} {preposition} {name}"))
}

fn write_started_late(f: &mut fmt::Formatter<'_>, waited_ms: u64, leaders: usize) -> fmt::Result {
    write!(f, "first started {waited_ms} ms after its acceptance: ")?;
    match leaders {
        0 => write!(f, "no worker had free capacity"),
        _ => write!(f, "the leader changed meanwhile ({leaders})"),
    }
}

fn write_given_up(f: &mut fmt::Formatter<'_>, task: &str, crashes: u64) -> fmt::Result {
    write!(f, "{task} was given up: {crashes} workers crashed after it was started")
}

fn write_refused(f: &mut fmt::Formatter<'_>, times: usize, store_failed: bool) -> fmt::Result {
    write!(f, "refused {times} times, not stored")?;
    if store_failed { write!(f, ": the store rejected appends") } else { Ok(()) }
}

/// Writes the number of failed attempts, if any.
fn write_failed_attempts(f: &mut fmt::Formatter<'_>, attempts: usize) -> fmt::Result {
    match attempts {
        0 => Ok(()),
        attempts => write!(f, ", after {attempts} failed attempts"),
    }
}

fn write_workers(f: &mut fmt::Formatter<'_>, text: &str, workers: &[CompactString]) -> fmt::Result {
    write!(f, "{text}: {}", workers.join(" "))
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::NotSeen => write!(
                f,
                "no line names it: the request never reached a queue; check that the queue is in the active \
                 configuration, and that the logs of all VMs are included"
            ),
            Finding::Accepted { at, node, refused_before } => {
                write!(f, "accepted at {at} by {node}")?;
                write_failed_attempts(f, *refused_before)
            }
            Finding::Refused { times, store_failed } => write_refused(f, *times, *store_failed),
            Finding::RefusedByDelay(refusals) => refusals.fmt(f),
            Finding::AnsweredUnknown { times } => write!(
                f,
                "unknown outcome {times} times: the store's response was lost, the client should retry \
                 with the same id"
            ),
            Finding::StartedLate { waited_ms, leaders } => {
                write_started_late(f, *waited_ms, *leaders)
            }
            Finding::LeaderChanged { at, node, surveyed_after_ms } => {
                write!(f, "{node} became leader at {at}")?;
                match surveyed_after_ms {
                    Some(ms) => write!(f, ", and had reconciled with all workers {ms} ms later"),
                    None => write!(f, "; {NOT_RECONCILED}"),
                }
            }
            Finding::RunsFailed { by_worker } => write_counts(f, "runs failed:", "at", by_worker),
            Finding::TasksExited { by_task } => write_counts(
                f,
                "long-running tasks ended successfully and were started again:",
                "of",
                by_task,
            ),
            Finding::RunsLost { by_task } => {
                write_counts(f, "runs lost with their worker:", "of", by_task)
            }
            Finding::CrashedWorkers { task, crashes } => write_given_up(f, task, *crashes),
            Finding::WorkersAtFault { workers } => {
                write_workers(f, "quarantined workers, which failed other tasks, too", workers)
            }
            Finding::OrdersInDoubt { times } => {
                write!(
                    f,
                    "{times} starts were unconfirmed and resolved before anything else started"
                )
            }
            Finding::WorkersLost { workers } => write_workers(
                f,
                "workers were lost, and their runs waited for the end of the lease",
                workers,
            ),
            Finding::MovedOffSlow { times } => {
                write!(f, "{times} tasks were moved off slow workers")
            }
            Finding::MadeRoom { times } => {
                write!(f, "{times} tasks were preempted by others")
            }
            Finding::InheritedWorkHeld(held) => held.fmt(f),
            Finding::OrdersSuspended(suspension) => suspension.fmt(f),
            Finding::StepWaited(wait) => wait.fmt(f),
            Finding::WaitsUntold { steps } => write!(
                f,
                "up to {steps} steps waited without a line of their own, this one perhaps, too"
            ),
            Finding::TaskGap(gap) => gap.fmt(f),
            Finding::TaskRestarted(restart) => restart.fmt(f),
            Finding::TaskDown(down) => down.fmt(f),
            Finding::Cancelled { at } => write!(f, "a client cancelled it at {at}"),
            Finding::Ended { at, outcome, took_ms: Some(ms) } => {
                write!(f, "{} at {at}, {ms} ms after its acceptance", outcome.to_lowercase())
            }
            Finding::Ended { at, outcome, took_ms: None } => {
                write!(f, "{} at {at}", outcome.to_lowercase())
            }
            Finding::NotEnded => write!(f, "no line says that it has ended"),
            Finding::LinesMissing { lines } => {
                write!(f, "{lines} log lines are missing, so findings may be missing")
            }
        }
    }
}

/// Milliseconds between two timestamps; none if one is invalid or `to` is earlier than `from`.
pub(crate) fn between_ms(from: &str, to: &str) -> Option<u64> {
    let from = humantime::parse_rfc3339(from).ok()?;
    let to = humantime::parse_rfc3339(to).ok()?;
    u64::try_from(to.duration_since(from).ok()?.as_millis()).ok()
}

impl Finding {
    /// Whether this is a count of 0.
    fn is_empty(&self) -> bool {
        matches!(
            self,
            Finding::OrdersInDoubt { times: 0 }
                | Finding::MovedOffSlow { times: 0 }
                | Finding::MadeRoom { times: 0 }
        )
    }
}

/// Derives findings from a timeline.
struct Analyzer<'a> {
    events: &'a [TimelineEvent],
    /// The submission that was stored.
    accepted: Option<&'a TimelineEvent>,
}

impl Finding {
    /// All findings; `dropped` is the number of context lines that weren't kept.
    pub(crate) fn all(events: &[TimelineEvent], dropped: usize) -> Vec<Finding> {
        let submitted = |stored: &'static str| {
            move |event: &&TimelineEvent| {
                event.event == "submitted" && event.get("stored") == Some(stored)
            }
        };
        let accepted = events.iter().find(submitted("Yes"));
        let analyzer = Analyzer { events, accepted };
        let mut findings = Vec::new();
        if !events.iter().any(|event| event.own) {
            findings.push(Finding::NotSeen);
        }
        findings.extend(analyzer.submission());
        findings.extend(analyzer.start());
        findings.extend(analyzer.leaders());
        findings.extend(analyzer.runs());
        findings.extend(waits::all(events));
        findings.extend(analyzer.end());
        findings.extend(analyzer.missing(dropped));
        findings
    }
}

impl<'a> Analyzer<'a> {
    /// The events with this name.
    fn named(&self, name: &'a str) -> impl Iterator<Item = &'a TimelineEvent> + use<'a> {
        self.events.iter().filter(move |event| event.event == name)
    }

    /// The number of events with this name that name the workflow.
    fn count(&self, name: &'a str) -> usize {
        self.named(name).filter(|event| event.own).count()
    }

    fn submission(&self) -> Vec<Finding> {
        let count = |stored| {
            self.named("submitted").filter(|event| event.get("stored") == Some(stored)).count()
        };
        let (refused, unknown) = (count("No"), count("Unknown"));
        let mut findings = Vec::new();
        if refused > 0 {
            let store_failed = self.named("append_given_up").next().is_some();
            findings.push(Finding::Refused { times: refused, store_failed });
        }
        findings.extend(DelayRefusals::find(self.events).map(Finding::RefusedByDelay));
        if unknown > 0 {
            findings.push(Finding::AnsweredUnknown { times: unknown });
        }
        if let Some(TimelineEvent { at, node, .. }) = self.accepted {
            let refused_before = refused + unknown + self.count("submission_refused");
            let (at, node) = (at.clone(), node.clone());
            findings.push(Finding::Accepted { at, node, refused_before });
        }
        findings
    }

    fn start(&self) -> Option<Finding> {
        let accepted = self.accepted?;
        let started = self.named("workflow_started").next()?;
        let waited_ms = between_ms(&accepted.at, &started.at)?;
        let meanwhile = |event: &&TimelineEvent| event.at >= accepted.at && event.at <= started.at;
        let leaders = self.named("elected").filter(meanwhile).count();
        let is_late = Duration::from_millis(waited_ms) >= LATE_START_THRESHOLD;
        is_late.then_some(Finding::StartedLate { waited_ms, leaders })
    }

    fn leaders(&self) -> Vec<Finding> {
        let leader_changed = |elected: &TimelineEvent| {
            let epoch = elected.get("epoch");
            let reconciled =
                self.named("survey_complete").find(|event| event.get("epoch") == epoch);
            Finding::LeaderChanged {
                at: elected.at.clone(),
                node: elected.node.clone(),
                surveyed_after_ms: reconciled.and_then(|event| between_ms(&elected.at, &event.at)),
            }
        };
        self.named("elected").map(leader_changed).collect()
    }

    /// The distinct workers of the events with these names.
    fn workers(&self, names: &[&'a str]) -> Vec<CompactString> {
        let mut workers: Vec<CompactString> = Vec::new();
        for name in names {
            for worker in self.named(name).filter_map(|event| event.get("worker")) {
                if !workers.iter().any(|other| other == worker) {
                    workers.push(CompactString::new(worker));
                }
            }
        }
        workers
    }

    /// The number of events with this name by the value of `key`.
    fn count_by(&self, name: &'a str, key: &str) -> BTreeMap<CompactString, usize> {
        let mut counts: BTreeMap<CompactString, usize> = BTreeMap::new();
        for value in self.named(name).filter_map(|event| event.get(key)) {
            *counts.entry(CompactString::new(value)).or_default() += 1;
        }
        counts
    }

    fn runs(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let by_worker = self.count_by("task_failed", "worker");
        if !by_worker.is_empty() {
            findings.push(Finding::RunsFailed { by_worker });
        }
        let by_task = self.count_by("task_exited", "task");
        if !by_task.is_empty() {
            findings.push(Finding::TasksExited { by_task });
        }
        let by_task = self.count_by("run_lost", "task");
        if !by_task.is_empty() {
            findings.push(Finding::RunsLost { by_task });
        }
        findings.extend(self.named("task_given_up").filter_map(|event| {
            let crashes = event.get("crashes")?.parse().ok()?;
            Some(Finding::CrashedWorkers { task: event.get("task")?.into(), crashes })
        }));
        let workers = self.workers(&["worker_quarantined"]);
        if !workers.is_empty() {
            findings.push(Finding::WorkersAtFault { workers });
        }
        let lost = ["leases_lapsed", "worker_left", "worker_replaced", "worker_restarted"];
        let workers = self.workers(&lost);
        if !workers.is_empty() {
            findings.push(Finding::WorkersLost { workers });
        }
        let counts = [
            Finding::OrdersInDoubt { times: self.count("start_in_doubt") },
            Finding::MovedOffSlow { times: self.count("straggler_moved") },
            Finding::MadeRoom { times: self.count("task_preempted") },
        ];
        findings.extend(counts.into_iter().filter(|finding| !finding.is_empty()));
        findings
    }

    fn end(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let cancelled =
            self.named("cancelled").find(|event| event.own && event.get("stored") == Some("Yes"));
        if let Some(event) = cancelled {
            findings.push(Finding::Cancelled { at: event.at.clone() });
        }
        let ended = self.named("workflow_ended").last();
        match ended {
            Some(event) => findings.push(Finding::Ended {
                at: event.at.clone(),
                outcome: CompactString::new(event.get("outcome").unwrap_or("Ended")),
                took_ms: self.accepted.and_then(|accepted| between_ms(&accepted.at, &event.at)),
            }),
            None if self.accepted.is_some() => findings.push(Finding::NotEnded),
            None => {}
        }
        findings
    }

    fn missing(&self, dropped: usize) -> Option<Finding> {
        let lines = |name| {
            let counts =
                self.named(name).filter_map(|event| event.get("lines")?.parse::<u64>().ok());
            counts.sum::<u64>()
        };
        let lines = lines("log_lines_dropped") + lines("lines_left_out") + dropped as u64;
        (lines > 0).then_some(Finding::LinesMissing { lines })
    }
}
