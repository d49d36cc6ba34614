//! What follows from a workflow's lines.

use {
    crate::{
        TimelineEvent,
        downtime::{HeldWork, StepWait, Suspension, TaskDown, TaskGap, TaskRestart},
        waits,
    },
    compact_str::CompactString,
    serde::Serialize,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// A wait below this is no finding: an unloaded system starts a task within 50 ms of its acceptance.
const LONG_WAIT: Duration = Duration::from_millis(500);

/// What a change of the leader means where no line tells the end of its survey.
const UNHEARD: &str = "no line says that it heard all workers, so what it inherited may have waited for \
                       their leases";

/// A conclusion.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "finding", rename_all = "snake_case")]
pub enum Finding {
    /// No line names it.
    NotSeen,
    /// It was stored.
    Accepted {
        /// When.
        at: CompactString,
        /// By which VM.
        node: CompactString,
        /// How often the client had asked without success before.
        refused_before: usize,
    },
    /// It was surely not stored, and the client was told when to come back.
    Refused {
        /// How often.
        times: usize,
        /// What was wrong with the store then, if a line says so.
        store_failed: bool,
    },
    /// Nobody could say whether it was stored, and the client was told to ask again.
    AnsweredUnknown {
        /// How often.
        times: usize,
    },
    /// Its first start came late.
    StartedLate {
        /// How long after its acceptance, in milliseconds.
        waited_ms: u64,
        /// Changes of the leader meanwhile.
        leaders: usize,
    },
    /// The leader changed while it ran.
    LeaderChanged {
        /// When the new one was elected.
        at: CompactString,
        /// Which VM that is.
        node: CompactString,
        /// How long until it had heard all workers, in milliseconds, if a line says so.
        surveyed_after_ms: Option<u64>,
    },
    /// Runs failed.
    RunsFailed {
        /// How many, by worker.
        by_worker: BTreeMap<CompactString, usize>,
    },
    /// Runs were lost with their worker.
    RunsLost {
        /// How many, by task.
        by_task: BTreeMap<CompactString, usize>,
    },
    /// A task crashed the workers that started it, so it was given up.
    CrashedWorkers {
        /// The task.
        task: CompactString,
        /// How many workers were lost under it.
        crashes: u64,
    },
    /// Workers at which it had something were found to be at fault.
    WorkersAtFault {
        /// The workers.
        workers: Vec<CompactString>,
    },
    /// Orders got no answer.
    OrdersInDoubt {
        /// How many.
        times: usize,
    },
    /// Workers were lost with what ran there.
    WorkersLost {
        /// The workers.
        workers: Vec<CompactString>,
    },
    /// Its tasks were moved off slow workers.
    MovedOffSlow {
        /// How many.
        times: usize,
    },
    /// Its tasks made room for others.
    MadeRoom {
        /// How many.
        times: usize,
    },
    /// A new leader held back what it inherited.
    InheritedWorkHeld(HeldWork),
    /// A leader gave no orders.
    OrdersSuspended(Suspension),
    /// Tasks of a step waited.
    StepWaited(StepWait),
    /// Steps waited without a line of their own.
    WaitsUntold {
        /// How many at most at one time.
        steps: u64,
    },
    /// A lasting task didn't run for a while.
    TaskGap(TaskGap),
    /// A lasting task was started again, and no line tells the end of its run before.
    TaskRestarted(TaskRestart),
    /// A lasting task wasn't started again.
    TaskDown(TaskDown),
    /// A client asked to cancel it.
    Cancelled {
        /// When.
        at: CompactString,
    },
    /// How it ended.
    Ended {
        /// When.
        at: CompactString,
        /// `Completed`, `Failed` or `Cancelled`.
        outcome: CompactString,
        /// How long after its acceptance, in milliseconds.
        took_ms: Option<u64>,
    },
    /// No line says that it has ended.
    NotEnded,
    /// Lines are missing, so something may be missing here.
    LinesMissing {
        /// How many.
        lines: u64,
    },
}

/// A count for each name.
fn write_counts(
    f: &mut fmt::Formatter<'_>,
    head: &str,
    joint: &str,
    counts: &BTreeMap<CompactString, usize>,
) -> fmt::Result {
    f.write_str(head)?;
    counts.iter().try_for_each(|(name, count)| write!(f, " {count} {joint} {name}"))
}

/// A task that crashed its workers.
fn write_given_up(f: &mut fmt::Formatter<'_>, task: &str, crashes: u64) -> fmt::Result {
    write!(f, "{task} was given up: {crashes} workers crashed after it was started")
}

/// Tries before a success, if there were some.
fn write_tries(f: &mut fmt::Formatter<'_>, tries: usize) -> fmt::Result {
    match tries {
        0 => Ok(()),
        tries => write!(f, ", after {tries} tries without success"),
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
                "no line names it: the request never got to a queue; look whether the queue was in the \
                 configuration in force, and whether the lines of all VMs are here"
            ),
            Finding::Accepted { at, node, refused_before } => {
                write!(f, "accepted at {at} by {node}")?;
                write_tries(f, *refused_before)
            }
            Finding::Refused { times, store_failed } => {
                write!(f, "refused {times} times, surely not stored")?;
                if *store_failed { write!(f, ": the store took no appends") } else { Ok(()) }
            }
            Finding::AnsweredUnknown { times } => write!(
                f,
                "answered as unknown {times} times: the store's answer was lost, the client was to ask \
                 again with the same id"
            ),
            Finding::StartedLate { waited_ms, leaders } => {
                write!(f, "first started {waited_ms} ms after its acceptance: ")?;
                match leaders {
                    0 => write!(f, "nothing had room for it"),
                    _ => write!(f, "the leader changed meanwhile ({leaders})"),
                }
            }
            Finding::LeaderChanged { at, node, surveyed_after_ms } => {
                write!(f, "{node} became leader at {at}")?;
                match surveyed_after_ms {
                    Some(ms) => write!(f, ", and had heard all workers {ms} ms later"),
                    None => write!(f, "; {UNHEARD}"),
                }
            }
            Finding::RunsFailed { by_worker } => write_counts(f, "runs failed:", "at", by_worker),
            Finding::RunsLost { by_task } => {
                write_counts(f, "runs lost with their worker:", "of", by_task)
            }
            Finding::CrashedWorkers { task, crashes } => write_given_up(f, task, *crashes),
            Finding::WorkersAtFault { workers } => {
                write_workers(f, "the fault was the workers', which failed others, too", workers)
            }
            Finding::OrdersInDoubt { times } => {
                write!(
                    f,
                    "{times} orders got no answer and were settled before anything else started"
                )
            }
            Finding::WorkersLost { workers } => write_workers(
                f,
                "workers were lost, and what ran there waited for the end of its lease",
                workers,
            ),
            Finding::MovedOffSlow { times } => {
                write!(f, "{times} tasks were moved off slow workers")
            }
            Finding::MadeRoom { times } => {
                write!(f, "{times} tasks were stopped to make room for others")
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
                write!(f, "{lines} log lines are missing, so something may be missing here")
            }
        }
    }
}

/// Milliseconds between two times; none if one of them isn't one, or they are the wrong way round.
pub(crate) fn between_ms(from: &str, to: &str) -> Option<u64> {
    let from = humantime::parse_rfc3339(from).ok()?;
    let to = humantime::parse_rfc3339(to).ok()?;
    u64::try_from(to.duration_since(from).ok()?.as_millis()).ok()
}

impl Finding {
    /// Whether it counts nothing.
    fn is_empty(&self) -> bool {
        matches!(
            self,
            Finding::OrdersInDoubt { times: 0 }
                | Finding::MovedOffSlow { times: 0 }
                | Finding::MadeRoom { times: 0 }
        )
    }
}

struct Reader<'a> {
    happenings: &'a [TimelineEvent],
    accepted: Option<&'a TimelineEvent>,
}

impl Finding {
    /// All that follows from what happened; `passed_over` lines weren't kept.
    pub(crate) fn all(happenings: &[TimelineEvent], passed_over: usize) -> Vec<Finding> {
        let submitted = |stored: &'static str| {
            move |happening: &&TimelineEvent| {
                happening.event == "submitted" && happening.get("stored") == Some(stored)
            }
        };
        let accepted = happenings.iter().find(submitted("Yes"));
        let reader = Reader { happenings, accepted };
        let mut found = Vec::new();
        if !happenings.iter().any(|happening| happening.own) {
            found.push(Finding::NotSeen);
        }
        found.extend(reader.submission());
        found.extend(reader.start());
        found.extend(reader.leaders());
        found.extend(reader.runs());
        found.extend(waits::all(happenings));
        found.extend(reader.end());
        found.extend(reader.missing(passed_over));
        found
    }
}

impl<'a> Reader<'a> {
    fn of(&self, event: &'a str) -> impl Iterator<Item = &'a TimelineEvent> + use<'a> {
        self.happenings.iter().filter(move |happening| happening.event == event)
    }

    fn count(&self, event: &'a str) -> usize {
        self.of(event).filter(|happening| happening.own).count()
    }

    fn submission(&self) -> Vec<Finding> {
        let times =
            |stored| self.of("submitted").filter(|h| h.get("stored") == Some(stored)).count();
        let (refused, unknown) = (times("No"), times("Unknown"));
        let mut found = Vec::new();
        if refused > 0 {
            let store_failed = self.of("append_given_up").next().is_some();
            found.push(Finding::Refused { times: refused, store_failed });
        }
        if unknown > 0 {
            found.push(Finding::AnsweredUnknown { times: unknown });
        }
        if let Some(TimelineEvent { at, node, .. }) = self.accepted {
            let refused_before = refused + unknown;
            let (at, node) = (at.clone(), node.clone());
            found.push(Finding::Accepted { at, node, refused_before });
        }
        found
    }

    fn start(&self) -> Option<Finding> {
        let accepted = self.accepted?;
        let started = self.of("workflow_started").next()?;
        let waited_ms = between_ms(&accepted.at, &started.at)?;
        let meanwhile = |h: &&TimelineEvent| h.at >= accepted.at && h.at <= started.at;
        let leaders = self.of("elected").filter(meanwhile).count();
        let long = Duration::from_millis(waited_ms) >= LONG_WAIT;
        long.then_some(Finding::StartedLate { waited_ms, leaders })
    }

    fn leaders(&self) -> Vec<Finding> {
        let changed = |elected: &TimelineEvent| {
            let epoch = elected.get("epoch");
            let surveyed = self.of("survey_complete").find(|h| h.get("epoch") == epoch);
            Finding::LeaderChanged {
                at: elected.at.clone(),
                node: elected.node.clone(),
                surveyed_after_ms: surveyed.and_then(|h| between_ms(&elected.at, &h.at)),
            }
        };
        self.of("elected").map(changed).collect()
    }

    fn workers(&self, events: &[&'a str]) -> Vec<CompactString> {
        let mut workers: Vec<CompactString> = Vec::new();
        for event in events {
            for worker in self.of(event).filter_map(|happening| happening.get("worker")) {
                if !workers.iter().any(|known| known == worker) {
                    workers.push(CompactString::new(worker));
                }
            }
        }
        workers
    }

    /// How many lines of an event there are for each value of `key`.
    fn count_by(&self, event: &'a str, key: &str) -> BTreeMap<CompactString, usize> {
        let mut counts: BTreeMap<CompactString, usize> = BTreeMap::new();
        for value in self.of(event).filter_map(|happening| happening.get(key)) {
            *counts.entry(CompactString::new(value)).or_default() += 1;
        }
        counts
    }

    fn runs(&self) -> Vec<Finding> {
        let mut found = Vec::new();
        let by_worker = self.count_by("task_failed", "worker");
        if !by_worker.is_empty() {
            found.push(Finding::RunsFailed { by_worker });
        }
        let by_task = self.count_by("run_lost", "task");
        if !by_task.is_empty() {
            found.push(Finding::RunsLost { by_task });
        }
        found.extend(self.of("task_given_up").filter_map(|happening| {
            let crashes = happening.get("crashes")?.parse().ok()?;
            Some(Finding::CrashedWorkers { task: happening.get("task")?.into(), crashes })
        }));
        let workers = self.workers(&["worker_quarantined"]);
        if !workers.is_empty() {
            found.push(Finding::WorkersAtFault { workers });
        }
        let workers = self.workers(&["leases_lapsed", "worker_left", "worker_replaced"]);
        if !workers.is_empty() {
            found.push(Finding::WorkersLost { workers });
        }
        let counted = [
            Finding::OrdersInDoubt { times: self.count("start_in_doubt") },
            Finding::MovedOffSlow { times: self.count("straggler_moved") },
            Finding::MadeRoom { times: self.count("task_preempted") },
        ];
        found.extend(counted.into_iter().filter(|finding| !finding.is_empty()));
        found
    }

    fn end(&self) -> Vec<Finding> {
        let mut found = Vec::new();
        let cancelled = self.of("cancelled").find(|h| h.own && h.get("stored") == Some("Yes"));
        if let Some(happening) = cancelled {
            found.push(Finding::Cancelled { at: happening.at.clone() });
        }
        let ended = self.of("workflow_ended").last();
        match ended {
            Some(happening) => found.push(Finding::Ended {
                at: happening.at.clone(),
                outcome: CompactString::new(happening.get("outcome").unwrap_or("Ended")),
                took_ms: self.accepted.and_then(|accepted| between_ms(&accepted.at, &happening.at)),
            }),
            None if self.accepted.is_some() => found.push(Finding::NotEnded),
            None => {}
        }
        found
    }

    fn missing(&self, passed_over: usize) -> Option<Finding> {
        let lines = |event| {
            let counts = self.of(event).filter_map(|h| h.get("lines")?.parse::<u64>().ok());
            counts.sum::<u64>()
        };
        let lines = lines("log_lines_dropped") + lines("lines_left_out") + passed_over as u64;
        (lines > 0).then_some(Finding::LinesMissing { lines })
    }
}
