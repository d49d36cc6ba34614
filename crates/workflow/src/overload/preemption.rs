//! Bounds on stops of long-running tasks in favour of batch tasks.
//!
//! Without bounds, a burst of batch tasks takes the room of a few long-running workflows again and again, until hardly any of
//! their tasks is at work. So each workflow has a number of stops a minute, a lower one for batch tasks of lower priority
//! than its own, and those with most of their tasks at work are asked first.

use {
    crate::{TaskId, WorkflowId},
    egretlb_types::Time,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Minimum time between two stops of the same task, as commanded: it must not be stopped twice in 10 s, and a stop may take effect
/// 0.4 s after its command.
const MIN_STOP_INTERVAL: Duration = Duration::from_millis(10_500);

/// The span in which stops are counted.
const COUNTED_SPAN: Duration = Duration::from_secs(60);

/// Number of stops in the counted span per four tasks of a workflow. With 4 s until a stopped task is at work again, this costs
/// 5% of the workflow's time.
const STOPS_PER_FOUR_TASKS: u32 = 3;

/// Lower bound of the stops that batch tasks of at least the workflow's priority may cause in the counted span. A service whose
/// long-running workflows have one task each must serve batch tasks as well.
const MIN_STOPS: u32 = 2;

/// Share of a workflow's tasks that may be away at once through a stop, as a divisor: with a quarter away, and some of the others
/// above their target, the workflow still is of use.
const MAX_AWAY_DIVISOR: u32 = 4;

/// A batch task of lower priority than a workflow has one part in this many of the workflow's stops and of the tasks that may be
/// away.
const LOWER_DIVISOR: u32 = 2;

/// Interval at which the state of the long-running workflows is taken anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// A batch task's right to the room of a long-running one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Claim {
    /// Its priority is at least that of the long-running workflow.
    Equal,
    /// Its priority is lower.
    Lower,
}

/// Why a long-running task isn't stopped.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Refusal {
    /// It was stopped a short time ago, or may have been by the previous leader.
    StoppedRecently,
    /// Too many tasks of its workflow are away.
    MostlyAway,
    /// Its workflow has had its number of stops.
    LimitReached,
}

impl Refusal {
    /// The word for it in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Refusal::StoppedRecently => "stopped_recently",
            Refusal::MostlyAway => "mostly_away",
            Refusal::LimitReached => "limit_reached",
        }
    }
}

/// How many tasks a long-running workflow has, and how many of them are at work within their targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Standing {
    pub(crate) priority: u64,
    pub(crate) tasks: u32,
    pub(crate) at_work: u32,
}

impl Standing {
    fn away(self) -> u32 {
        self.tasks.saturating_sub(self.at_work)
    }

    fn max_away(self, claim: Claim) -> u32 {
        let share = self.tasks / MAX_AWAY_DIVISOR;
        match claim {
            Claim::Equal => share,
            Claim::Lower => share / LOWER_DIVISOR,
        }
        .max(1)
    }

    fn max_stops(self, claim: Claim) -> u32 {
        let stops = (self.tasks * STOPS_PER_FOUR_TASKS / 4).max(MIN_STOPS);
        match claim {
            Claim::Equal => stops,
            Claim::Lower => (stops / LOWER_DIVISOR).max(1),
        }
    }
}

/// Preference among tasks that may be stopped, higher first: workflows with the smallest share of tasks away, then those with
/// the fewest stops per task, both in thousandths.
pub(crate) type StopRank = (Reverse<u32>, Reverse<u32>);

/// A long-running workflow and its recent stops, oldest first.
#[derive(Debug, Default)]
struct Account {
    standing: Standing,
    stops: VecDeque<Time>,
}

/// Counts stops of long-running tasks and decides which may be stopped.
#[derive(Debug)]
pub(crate) struct PreemptionBudget {
    /// When the leader's term began; its predecessor may have stopped any task just before.
    term_began: Time,
    accounts: BTreeMap<WorkflowId, Account>,
    /// When tasks were last stopped.
    stopped: BTreeMap<TaskId, Time>,
    refreshed_at: Option<Time>,
    /// When batch tasks last found no room, by priority.
    blocked: BTreeMap<u64, Time>,
}

impl PreemptionBudget {
    /// Creates the account of a leader whose term begins now.
    pub(crate) fn new(now: Time) -> PreemptionBudget {
        PreemptionBudget {
            term_began: now,
            accounts: BTreeMap::new(),
            stopped: BTreeMap::new(),
            refreshed_at: None,
            blocked: BTreeMap::new(),
        }
    }

    /// Whether the state of the long-running workflows is due to be taken anew.
    pub(crate) fn is_refresh_due(&self, now: Time) -> bool {
        self.refreshed_at.is_none_or(|at| now.since(at) >= REFRESH_INTERVAL)
    }

    /// Takes the state of all long-running workflows, and forgets stops that no longer count.
    pub(crate) fn refresh(
        &mut self,
        now: Time,
        standings: impl IntoIterator<Item = (WorkflowId, Standing)>,
    ) {
        self.refreshed_at = Some(now);
        let mut former = std::mem::take(&mut self.accounts);
        for (id, standing) in standings {
            let mut stops = former.remove(&id).map(|account| account.stops).unwrap_or_default();
            while stops.front().is_some_and(|at| now.since(*at) >= COUNTED_SPAN) {
                stops.pop_front();
            }
            self.accounts.insert(id, Account { standing, stops });
        }
        self.stopped.retain(|_, at| now.since(*at) < MIN_STOP_INTERVAL);
    }

    /// A batch task's right to the room of a workflow's tasks.
    pub(crate) fn claim(&self, workflow: WorkflowId, priority: u64) -> Claim {
        match self.accounts.get(&workflow) {
            Some(account) if priority <= account.standing.priority => Claim::Equal,
            _ => Claim::Lower,
        }
    }

    /// The preference for stopping a task in favour of a batch task of a priority, or why it may not be stopped.
    pub(crate) fn rank(&self, now: Time, task: TaskId, priority: u64) -> Result<StopRank, Refusal> {
        let is_term_new = now.since(self.term_began) < MIN_STOP_INTERVAL;
        if is_term_new || self.was_stopped_recently(now, task) {
            return Err(Refusal::StoppedRecently);
        }
        let Some(account) = self.accounts.get(&task.workflow) else {
            return Err(Refusal::MostlyAway);
        };
        let Account { standing, stops } = account;
        let claim = self.claim(task.workflow, priority);
        if standing.away() >= standing.max_away(claim) {
            return Err(Refusal::MostlyAway);
        }
        let stops = u32::try_from(stops.len()).unwrap_or(u32::MAX);
        if stops >= standing.max_stops(claim) {
            return Err(Refusal::LimitReached);
        }
        let permille = |count: u32| count.saturating_mul(1_000) / standing.tasks.max(1);
        Ok((Reverse(permille(standing.away())), Reverse(permille(stops))))
    }

    /// Counts a stop.
    pub(crate) fn note_stop(&mut self, now: Time, task: TaskId) {
        self.stopped.insert(task, now);
        if let Some(account) = self.accounts.get_mut(&task.workflow) {
            account.stops.push_back(now);
            account.standing.at_work = account.standing.at_work.saturating_sub(1);
        }
    }

    /// Whether a task was stopped for a batch task a short time ago.
    pub(crate) fn was_stopped_recently(&self, now: Time, task: TaskId) -> bool {
        self.stopped.get(&task).is_some_and(|at| now.since(*at) < MIN_STOP_INTERVAL)
    }

    /// Notes that a batch task of a priority found no room.
    pub(crate) fn note_blocked(&mut self, now: Time, priority: u64) {
        self.blocked.insert(priority, now);
    }

    /// Whether a batch task of at least this priority found no room within `span`.
    pub(crate) fn was_blocked(&self, now: Time, priority: u64, span: Duration) -> bool {
        self.blocked.range(..=priority).any(|(_, at)| now.since(*at) < span)
    }
}

#[cfg(test)]
#[path = "tests/preemption.rs"]
mod tests;
