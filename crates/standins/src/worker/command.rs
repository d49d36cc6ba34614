//! Simulated behaviour of a task, parsed from its command.

use {
    egretlb_types::{Megabytes, MilliCores},
    std::{fmt, str::FromStr, time::Duration},
};

/// Simulated behaviour of a task, written like
/// `run=500ms use=800m mem=200MB fail=0.1 checkpoint=100ms`.
///
/// Every part is optional. Words without `=` are ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Command {
    /// Run time on an unthrottled worker; zero by default.
    pub run: Duration,
    /// CPU usage; by default the CPU of its resources.
    pub cpu: Option<MilliCores>,
    /// Memory usage; by default the memory of its resources.
    pub memory: Option<Megabytes>,
    /// Probability that a run fails.
    pub fail: f64,
    /// Work between checkpoints; `None` for a task without checkpoints.
    pub checkpoint: Option<Duration>,
}

/// A part of a command that can't be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseCommandError {
    /// The part.
    pub part: String,
}

impl fmt::Display for ParseCommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't read {:?}; write it like run=500ms use=800m fail=0.1", self.part)
    }
}

impl std::error::Error for ParseCommandError {}

impl FromStr for Command {
    type Err = ParseCommandError;

    fn from_str(text: &str) -> Result<Self, ParseCommandError> {
        let mut command = Command::default();
        for part in text.split_whitespace() {
            if let Some((key, value)) = part.split_once('=') {
                let parsed = command.set(key, value);
                parsed.ok_or_else(|| ParseCommandError { part: part.to_owned() })?;
            }
        }
        Ok(command)
    }
}

impl Command {
    fn set(&mut self, key: &str, value: &str) -> Option<()> {
        match key {
            "run" => self.run = parse_duration(value)?,
            "use" => self.cpu = Some(value.parse().ok()?),
            "mem" => self.memory = Some(value.parse().ok()?),
            "fail" => self.fail = value.parse().ok()?,
            "checkpoint" => self.checkpoint = Some(parse_duration(value)?),
            _ => return None,
        }
        Some(())
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    match text.strip_suffix("ms") {
        Some(millis) => millis.parse().ok().map(Duration::from_millis),
        None => text.strip_suffix('s')?.parse().ok().map(Duration::from_secs),
    }
}
