//! Errors of the command and their exit codes.

use {
    compact_str::CompactString,
    egretlb_config::Faults,
    egretlb_types::{JobId, Offset, ParseIdError},
    std::{fmt, io, path::PathBuf, process::ExitCode},
};

/// Exit codes. Scripts rely on their meanings, which must not change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Success.
    Done = 0,
    /// Another error, such as an unreadable file.
    Failed = 1,
    /// The command line is invalid; no call was made.
    Usage = 2,
    /// The file or its document has faults; nothing was changed.
    Faults = 3,
    /// Another configuration was accepted first; nothing was changed.
    LostRace = 4,
    /// There is no such job.
    NotFound = 5,
    /// No answer in time. A change may or may not have been made; repeating the command is safe.
    Unavailable = 6,
    /// The daemon refused the request; nothing was changed.
    Refused = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// The command line is invalid.
    Usage(CompactString),
    /// A file can't be read.
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// A file has faults.
    Faults {
        /// The file.
        path: PathBuf,
        /// The faults.
        faults: Faults,
    },
    /// The daemon found faults that the local check didn't, since its version differs.
    RejectedDocument(Vec<String>),
    /// Another configuration was accepted first.
    LostRace {
        /// The version now in force.
        version: Option<Offset>,
    },
    /// There is no such job.
    NoSuchJob(JobId),
    /// No log line names the workflow.
    NoLogLines(CompactString),
    /// No daemon gave a complete answer in time.
    Unavailable {
        /// Error of the last call.
        last_error: String,
        /// Whether a change was requested, which may have been made.
        change: bool,
    },
    /// The daemon refused the request.
    Refused(CompactString),
    /// The reader closed the output.
    OutputClosed,
    /// Writing the output failed.
    Output(io::Error),
}

impl CliError {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            CliError::Usage(_) => Exit::Usage,
            CliError::ReadFile { .. } | CliError::Output(_) => Exit::Failed,
            CliError::Faults { .. } | CliError::RejectedDocument(_) => Exit::Faults,
            CliError::LostRace { .. } => Exit::LostRace,
            CliError::NoSuchJob(_) | CliError::NoLogLines(_) => Exit::NotFound,
            CliError::Unavailable { .. } => Exit::Unavailable,
            CliError::Refused(_) => Exit::Refused,
            CliError::OutputClosed => Exit::Done,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Usage(message) => write!(f, "{message}; `egretlb --help` lists all commands"),
            CliError::ReadFile { path, error } => {
                write!(f, "{}: {error}; give the path of a readable text file", path.display())
            }
            CliError::Faults { path, faults } => {
                let count = faults.as_slice().len();
                let noun = if count == 1 { "fault" } else { "faults" };
                write!(f, "{}: {count} {noun}; nothing was changed", path.display())?;
                let listing = faults.to_string();
                listing.lines().try_for_each(|line| write!(f, "\n{}:{line}", path.display()))
            }
            CliError::RejectedDocument(faults) => {
                write!(
                    f,
                    "the daemon found faults in the document and changed nothing; fix them, or \
                     use an egretlb of the daemon's version"
                )?;
                faults.iter().try_for_each(|fault| write!(f, "\n{fault}"))
            }
            CliError::LostRace { version } => {
                write!(f, "another configuration was accepted first")?;
                if let Some(version) = version {
                    write!(f, ", version {version}")?;
                }
                write!(
                    f,
                    "; nothing was changed by yours: bring the differences shown into your file, \
                     then apply it again"
                )
            }
            CliError::NoSuchJob(job) => write!(
                f,
                "there is no job {job}; check its name, or it ended so long ago that it is \
                 forgotten"
            ),
            CliError::NoLogLines(workflow) => write!(
                f,
                "no line names workflow {workflow}; check the id, and give the logs of all VMs"
            ),
            CliError::Unavailable { last_error, change: true } => write!(
                f,
                "no answer in time ({last_error}); it may or may not have been done: give the same \
                 command again, which does it once"
            ),
            CliError::Unavailable { last_error, change: false } => {
                write!(f, "no answer in time ({last_error}); check --server and try again")
            }
            CliError::Refused(message) => write!(f, "refused: {message}"),
            CliError::OutputClosed => write!(f, "the reader closed the output"),
            CliError::Output(e) => write!(f, "the output can't be written: {e}"),
        }
    }
}

impl std::error::Error for CliError {}

impl From<io::Error> for CliError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::BrokenPipe => CliError::OutputClosed,
            _ => CliError::Output(error),
        }
    }
}

impl From<ParseIdError> for CliError {
    fn from(error: ParseIdError) -> Self {
        CliError::Usage(compact_str::format_compact!("{error}"))
    }
}
