//! Semantic checks of a configuration: ranges, references and names.
//!
//! The command and the daemons run the same checks. [`crate::parse_config`] maps each place to a
//! line and column of the file.

use {
    crate::{
        fault::{FaultKind, MAX_FAULTS},
        nearest::nearest,
        units::{Percentile, Period},
    },
    compact_str::{CompactString, ToCompactString},
    egretlb_types::{ClassKind, ClassSpec, ConfigDocument, Resources, TeamName, TeamSpec},
    std::{
        collections::{HashMap, HashSet},
        fmt,
    },
};

/// Maximum number of classes of a configuration. Keeps a configuration within the maximum size of a
/// log record.
pub const MAX_CLASSES: usize = 5_000;

/// Maximum number of teams of a configuration.
pub const MAX_TEAMS: usize = 500;

/// Percentiles below the median don't describe the tail; above p99.9, a few minutes of requests
/// are too few samples.
const PERCENTILE_RANGE: (Percentile, Percentile) = (Percentile(500), Percentile(999));

/// Below a millisecond the network alone takes longer; work beyond a minute belongs in a batch.
const LATENCY_TARGET_RANGE: (Period, Period) =
    (Period::from_millis(1), Period::from_millis(60_000));

/// Below a minute, starting the tasks takes longer than the target; beyond a month, the estimated
/// rates don't predict the completion time.
const BATCH_PERIOD_RANGE: (Period, Period) =
    (Period::from_millis(60_000), Period::from_millis(31 * 86_400_000));

/// With a run time of zero every batch would count as done.
const RUN_TIME_RANGE: (Period, Period) = (Period::from_millis(100), BATCH_PERIOD_RANGE.1);

/// The maximum keeps the computation of the urgency exact.
const AMOUNT_RANGE: (u32, u32) = (1, 10_000_000);

/// The place of a fault in a document.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Place {
    /// The list of teams.
    Teams,
    /// The list of classes.
    Classes,
    /// A field of a team.
    Team {
        /// The team's index in the list.
        index: usize,
        /// The field.
        field: &'static str,
    },
    /// A field of a class.
    Class {
        /// The class's index in the list.
        index: usize,
        /// The field.
        field: &'static str,
    },
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Teams => write!(f, "teams"),
            Place::Classes => write!(f, "classes"),
            Place::Team { index, field } => write!(f, "teams[{index}].{field}"),
            Place::Class { index, field } => write!(f, "classes[{index}].{field}"),
        }
    }
}

/// A semantic fault of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckFault {
    /// Where it is.
    pub place: Place,
    /// What it is.
    pub kind: FaultKind,
}

impl fmt::Display for CheckFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.kind)
    }
}

/// Returns all semantic faults of the document, at most [`MAX_FAULTS`]; none if it is valid.
///
/// A document with too many teams or classes isn't checked further, which bounds the cost.
pub fn check_document(document: &ConfigDocument) -> Vec<CheckFault> {
    let mut faults = Vec::new();
    check_counts(document, &mut faults);
    if !faults.is_empty() {
        return faults;
    }
    check_teams(document, &mut faults);
    check_classes(document, &mut faults);
    faults.truncate(MAX_FAULTS);
    faults
}

fn check_counts(document: &ConfigDocument, faults: &mut Vec<CheckFault>) {
    let mut check = |place, what, found, limit| {
        if found > limit {
            faults.push(CheckFault { place, kind: FaultKind::TooMany { what, found, limit } });
        }
    };
    check(Place::Teams, "teams", document.teams.len(), MAX_TEAMS);
    check(Place::Classes, "classes", document.classes.len(), MAX_CLASSES);
}

fn check_teams(document: &ConfigDocument, faults: &mut Vec<CheckFault>) {
    let mut names = HashSet::new();
    for (index, team) in document.teams.iter().enumerate() {
        let mut push = |field, kind| {
            faults.push(CheckFault { place: Place::Team { index, field }, kind });
        };
        if !names.insert(&team.name) {
            push("name", duplicate_name("team", team.name.as_str()));
        }
        check_resources(&team.quota, "quota", &mut push);
    }
}

fn check_classes(document: &ConfigDocument, faults: &mut Vec<CheckFault>) {
    let teams: HashMap<&TeamName, &TeamSpec> =
        document.teams.iter().map(|team| (&team.name, team)).collect();
    let mut names = HashSet::new();
    for (index, class) in document.classes.iter().enumerate() {
        let mut push = |field, kind| {
            faults.push(CheckFault { place: Place::Class { index, field }, kind });
        };
        if !names.insert(&class.name) {
            push("name", duplicate_name("class", class.name.as_str()));
        }
        check_team_of_class(class, &teams, &mut push);
        check_target(&class.kind, &mut push);
    }
}

fn duplicate_name(what: &'static str, name: &str) -> FaultKind {
    FaultKind::DuplicateName { what, name: CompactString::new(name), first: None }
}

fn check_team_of_class(
    class: &ClassSpec,
    teams: &HashMap<&TeamName, &TeamSpec>,
    push: &mut impl FnMut(&'static str, FaultKind),
) {
    match teams.get(&class.team) {
        None => {
            let names = teams.keys().map(|name| name.as_str());
            let nearest = nearest(class.team.as_str(), names).and_then(|name| name.parse().ok());
            push("team", FaultKind::UnknownTeam { team: class.team.clone(), nearest });
        }
        Some(team) if team.member != class.member => {
            let kind = FaultKind::TeamOfOtherMember {
                class: class.name.clone(),
                member: class.member.clone(),
                team: class.team.clone(),
                team_member: team.member.clone(),
            };
            push("team", kind);
        }
        Some(_) => {}
    }
}

fn check_target(kind: &ClassKind, push: &mut impl FnMut(&'static str, FaultKind)) {
    match kind {
        ClassKind::Latency { permille, target, replica, .. } => {
            let percentile = Percentile(*permille);
            let reason = "below it says nothing of the tail, above can't be measured in minutes";
            check_range("percentile", percentile, PERCENTILE_RANGE, reason, push);
            let reason = "callers wait for the answer; work that takes longer is a batch";
            check_range("within", Period::from(*target), LATENCY_TARGET_RANGE, reason, push);
            check_resources(replica, "replica", push);
        }
        ClassKind::Batch { amount, period, task, run_time, .. } => {
            let reason = "the target needs an amount of work; split a larger one into classes";
            check_range("amount", *amount, AMOUNT_RANGE, reason, push);
            let reason = "shorter targets are for a latency class, longer ones can't be foreseen";
            check_range("within", Period::from(*period), BATCH_PERIOD_RANGE, reason, push);
            let reason = "it is the first guess of how long a task runs";
            check_range("run_time", Period::from(*run_time), RUN_TIME_RANGE, reason, push);
            if run_time > period {
                let (run_time, within) = (Period::from(*run_time), Period::from(*period));
                push("run_time", FaultKind::RunTimeExceedsPeriod { run_time, within });
            }
            check_resources(task, "task", push);
        }
    }
}

fn check_range<T: PartialOrd + fmt::Display>(
    field: &'static str,
    found: T,
    (min, max): (T, T),
    reason: &'static str,
    push: &mut impl FnMut(&'static str, FaultKind),
) {
    if found < min || found > max {
        let kind = FaultKind::OutOfRange {
            found: found.to_compact_string(),
            min: min.to_compact_string(),
            max: max.to_compact_string(),
            reason,
        };
        push(field, kind);
    }
}

/// Requires nonzero CPU and memory: without them, any number would fit a full VM.
fn check_resources(
    resources: &Resources,
    field: &'static str,
    push: &mut impl FnMut(&'static str, FaultKind),
) {
    const MIN_RESOURCES: &str = "1m and 1MB";
    if resources.cpu.0 == 0 || resources.memory.0 == 0 {
        let kind = FaultKind::OutOfRange {
            found: resources.to_compact_string(),
            min: CompactString::const_new(MIN_RESOURCES),
            max: CompactString::const_new("what a VM holds"),
            reason: "what takes nothing would fit a full VM any number of times",
        };
        push(field, kind);
    }
}
