//! What a task does, read from its command.

use {
    egretlb_types::{Megabytes, MilliCores},
    std::{fmt, str::FromStr, time::Duration},
};

/// What a task does, written like `run=500ms use=800m mem=200MB fail=0.1 checkpoint=100ms`.
///
/// Every part may be left out. Words without `=` are passed over, so that a command may carry a
/// name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Command {
    /// How long it runs on an unthrottled worker; zero if it isn't said.
    pub run: Duration,
    /// The processor time it uses; what it was given if it isn't said.
    pub cpu: Option<MilliCores>,
    /// The memory it uses; what it was given if it isn't said.
    pub memory: Option<Megabytes>,
    /// The share of its runs that fail.
    pub fail: f64,
    /// How much work lies between two points that it can resume from; without it, none.
    pub checkpoint: Option<Duration>,
}

/// A part of a command that can't be read.
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
                let read = command.set(key, value);
                read.ok_or_else(|| ParseCommandError { part: part.to_owned() })?;
            }
        }
        Ok(command)
    }
}

impl Command {
    fn set(&mut self, key: &str, value: &str) -> Option<()> {
        match key {
            "run" => self.run = span(value)?,
            "use" => self.cpu = Some(value.parse().ok()?),
            "mem" => self.memory = Some(value.parse().ok()?),
            "fail" => self.fail = value.parse().ok()?,
            "checkpoint" => self.checkpoint = Some(span(value)?),
            _ => return None,
        }
        Some(())
    }
}

fn span(text: &str) -> Option<Duration> {
    match text.strip_suffix("ms") {
        Some(millis) => millis.parse().ok().map(Duration::from_millis),
        None => text.strip_suffix('s')?.parse().ok().map(Duration::from_secs),
    }
}
