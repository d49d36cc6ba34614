//! Faults of a file with their positions and remedies.

use {
    crate::units::Period,
    compact_str::CompactString,
    egretlb_types::{ClassName, Organisation, TeamName},
    std::fmt,
};

/// Maximum number of faults that a listing shows.
pub const MAX_FAULTS_SHOWN: usize = 100;

/// Maximum number of faults that are kept. Bounds the time spent on locating them.
pub const MAX_FAULTS: usize = 1_000;

/// A position in a text, counted from 1.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// The line, from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// One fault of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Where it is.
    pub position: Position,
    /// What it is.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.position, self.kind)
    }
}

/// The kind of a fault. The message states what was found, what was expected and the remedy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The text isn't JSON with comments.
    Syntax {
        /// The parser's message.
        detail: CompactString,
    },
    /// The text exceeds the maximum size.
    TextTooLong {
        /// Its size in bytes.
        found: usize,
        /// The maximum size in bytes.
        limit: usize,
    },
    /// A value of another type than expected.
    WrongType {
        /// The type found, with its article.
        found: &'static str,
        /// What is expected, with an example.
        expected: &'static str,
    },
    /// An unknown field.
    UnknownField {
        /// The field found.
        name: CompactString,
        /// The known field with the most similar name.
        nearest: Option<&'static str>,
        /// The known fields of the object.
        known: &'static [&'static str],
    },
    /// A field occurs twice in one object.
    DuplicateField {
        /// The field.
        name: &'static str,
        /// Position of the first occurrence.
        first: Position,
    },
    /// A required field is missing.
    MissingField {
        /// The field.
        name: &'static str,
        /// What is expected, with an example.
        expected: &'static str,
    },
    /// A string that can't be parsed.
    BadText {
        /// The string, shortened if long.
        found: CompactString,
        /// The cause, with the remedy.
        reason: CompactString,
    },
    /// A value outside its range.
    OutOfRange {
        /// The value found.
        found: CompactString,
        /// The minimum.
        min: CompactString,
        /// The maximum.
        max: CompactString,
        /// The reason for the range.
        reason: &'static str,
    },
    /// A class has neither a latency nor a batch target.
    MissingTarget,
    /// A class has both a latency and a batch target.
    ConflictingTargets,
    /// Two teams or two classes have the same name.
    DuplicateName {
        /// `team` or `class`.
        what: &'static str,
        /// The name.
        name: CompactString,
        /// Position of the first occurrence; `None` for a document not read from a file.
        first: Option<Position>,
    },
    /// A class refers to an unknown team.
    UnknownTeam {
        /// The unknown team.
        team: TeamName,
        /// The known team with the most similar name.
        nearest: Option<TeamName>,
    },
    /// A class refers to another member's team.
    TeamOfOtherMember {
        /// The class.
        class: ClassName,
        /// The member that owns the class.
        member: Organisation,
        /// The team.
        team: TeamName,
        /// The member that owns the team.
        team_member: Organisation,
    },
    /// The run time of one task exceeds the time for the whole amount.
    RunTimeExceedsPeriod {
        /// The declared run time.
        run_time: Period,
        /// The time for the whole amount.
        within: Period,
    },
    /// Too many teams or classes.
    TooMany {
        /// `teams` or `classes`.
        what: &'static str,
        /// The number found.
        found: usize,
        /// The maximum number.
        limit: usize,
    },
    /// An address that other processes connect to is unspecified, such as `0.0.0.0`.
    UnspecifiedAddress {
        /// The address.
        address: CompactString,
    },
    /// Two listeners have the same address.
    DuplicateAddress {
        /// The address.
        address: CompactString,
    },
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultKind::Syntax { detail } => write!(
                f,
                "not JSON with comments: {detail}; mend this place first, as what follows it can't \
                 be read"
            ),
            FaultKind::TextTooLong { found, limit } => {
                write!(
                    f,
                    "the text has {found} bytes; at most {limit} are read: split or shorten it"
                )
            }
            FaultKind::WrongType { found, expected } => {
                write!(f, "found {found}, expected {expected}")
            }
            FaultKind::UnknownField { name, nearest, known } => {
                write!(f, "unknown field {name:?}; ")?;
                match nearest {
                    Some(nearest) => write!(f, "did you mean {nearest:?}?"),
                    None => write!(f, "remove it; the fields here are {}", known.join(", ")),
                }
            }
            FaultKind::DuplicateField { name, first } => {
                write!(f, "{name:?} stands twice, first at {first}; remove one of them")
            }
            FaultKind::MissingField { name, expected } => {
                write!(f, "{name:?} is missing; add it: {expected}")
            }
            FaultKind::BadText { found, reason } => write!(f, "found {found:?}: {reason}"),
            FaultKind::OutOfRange { found, min, max, reason } => {
                write!(f, "{found} is out of range; use {min} to {max}: {reason}")
            }
            _ => self.fmt_semantic_fault(f),
        }
    }
}

impl FaultKind {
    /// Formats the semantic faults, whose values are well-formed by themselves.
    fn fmt_semantic_fault(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultKind::MissingTarget => write!(
                f,
                "the class has no target; add \"latency\": {{...}} for requests or \"batch\": \
                 {{...}} for tasks"
            ),
            FaultKind::ConflictingTargets => write!(
                f,
                "the class has both \"latency\" and \"batch\"; keep one, and make a second class \
                 for the other"
            ),
            FaultKind::DuplicateName { what, name, first } => {
                write!(f, "a second {what} named {name:?}")?;
                if let Some(first) = first {
                    write!(f, ", first at {first}")?;
                }
                write!(f, "; rename or remove one of them")
            }
            FaultKind::UnknownTeam { team, nearest } => {
                write!(f, "no team is named {team}; ")?;
                match nearest {
                    Some(nearest) => write!(f, "did you mean {nearest}?"),
                    None => write!(f, "add it to \"teams\""),
                }
            }
            FaultKind::TeamOfOtherMember { class, member, team, team_member } => write!(
                f,
                "class {class} is owned by {member}, but team {team} belongs to {team_member}; \
                 name a team of {member}"
            ),
            FaultKind::RunTimeExceedsPeriod { run_time, within } => write!(
                f,
                "one task runs {run_time}, longer than the {within} in which all are to be done; \
                 lengthen \"within\" or split the task"
            ),
            FaultKind::TooMany { what, found, limit } => {
                write!(f, "{found} {what}; at most {limit} are allowed: remove unused ones")
            }
            FaultKind::UnspecifiedAddress { address } => write!(
                f,
                "{address} stands for any interface, and other processes are to call it; give the \
                 VM's own IP number"
            ),
            FaultKind::DuplicateAddress { address } => {
                write!(f, "{address} is listened on twice; give each its own port")
            }
            _ => Ok(()),
        }
    }
}

/// All faults of one file, ordered by position; never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Sorts the faults by position; `None` if there are none.
    pub(crate) fn new(mut faults: Vec<Fault>) -> Option<Self> {
        faults.sort_by_key(|fault| fault.position);
        (!faults.is_empty()).then_some(Faults(faults))
    }

    /// The faults.
    pub fn as_slice(&self) -> &[Fault] {
        &self.0
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().take(MAX_FAULTS_SHOWN).enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        match self.0.len().saturating_sub(MAX_FAULTS_SHOWN) {
            0 => Ok(()),
            more if self.0.len() < MAX_FAULTS => write!(f, "\nand {more} more; mend these first"),
            more => write!(f, "\nand at least {more} more; mend these first"),
        }
    }
}

impl std::error::Error for Faults {}
