//! Durations, percentiles and byte sizes in the files' notation. Numbers without a unit are
//! refused.

use std::{fmt, str::FromStr, time::Duration};

/// A text isn't a value with its unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseUnitError {
    /// The expected notation, with an example.
    pub expected: &'static str,
}

impl fmt::Display for ParseUnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "write it as {}", self.expected)
    }
}

impl std::error::Error for ParseUnitError {}

/// A span of time in whole milliseconds, written with its unit: `400ms`, `20s`, `90min`, `8h`,
/// `7d`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Period(Duration);

/// The units of a [`Period`] with their milliseconds, largest first. Minutes are `min`, since `m`
/// means thousandths of a core.
const PERIOD_UNITS: [(&str, u64); 5] =
    [("d", 86_400_000), ("h", 3_600_000), ("min", 60_000), ("s", 1_000), ("ms", 1)];

const PERIOD_EXPECTED: &str = "a whole number and its unit (ms, s, min, h, d), like \"400ms\"";

impl Period {
    /// Creates a period from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Period(Duration::from_millis(millis))
    }

    /// Returns the period as a [`Duration`].
    pub const fn as_duration(self) -> Duration {
        self.0
    }
}

impl From<Duration> for Period {
    fn from(duration: Duration) -> Self {
        Period(duration)
    }
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis() as u64;
        let fits = |(_, unit): &&(&str, u64)| millis >= *unit && millis.is_multiple_of(*unit);
        match PERIOD_UNITS.iter().find(fits) {
            Some((name, unit)) => write!(f, "{}{name}", millis / unit),
            None => write!(f, "0ms"),
        }
    }
}

impl FromStr for Period {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        let err = ParseUnitError { expected: PERIOD_EXPECTED };
        let (number, unit) = split_unit(text).ok_or(err)?;
        let (_, millis) = PERIOD_UNITS.iter().find(|(name, _)| *name == unit).ok_or(err)?;
        number.checked_mul(*millis).map(Period::from_millis).ok_or(err)
    }
}

/// A latency percentile in thousandths, written `p99` or `p99.9`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Percentile(pub u16);

const PERCENTILE_EXPECTED: &str = "p and a number with at most one decimal, like \"p99\"";

impl fmt::Display for Percentile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 % 10 {
            0 => write!(f, "p{}", self.0 / 10),
            tenth => write!(f, "p{}.{tenth}", self.0 / 10),
        }
    }
}

impl FromStr for Percentile {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        let err = ParseUnitError { expected: PERCENTILE_EXPECTED };
        let number = text.strip_prefix('p').ok_or(err)?;
        let (whole, tenth) = number.split_once('.').unwrap_or((number, "0"));
        let whole = digits(whole).filter(|n| *n <= 100).ok_or(err)?;
        let tenth = digits(tenth).filter(|_| tenth.len() == 1).ok_or(err)?;
        Ok(Percentile((whole * 10 + tenth) as u16))
    }
}

/// A count of bytes, written with its unit: `512B`, `64KB` (10^3), `1MB` (10^6).
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ByteSize(pub u64);

const BYTE_UNITS: [(&str, u64); 3] = [("MB", 1_000_000), ("KB", 1_000), ("B", 1)];

const BYTES_EXPECTED: &str = "a whole number and its unit (B, KB, MB), like \"1MB\"";

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |(_, unit): &&(&str, u64)| self.0 >= *unit && self.0.is_multiple_of(*unit);
        match BYTE_UNITS.iter().find(fits) {
            Some((name, unit)) => write!(f, "{}{name}", self.0 / unit),
            None => write!(f, "0B"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        let err = ParseUnitError { expected: BYTES_EXPECTED };
        let (number, unit) = split_unit(text).ok_or(err)?;
        let (_, bytes) = BYTE_UNITS.iter().find(|(name, _)| *name == unit).ok_or(err)?;
        number.checked_mul(*bytes).map(ByteSize).ok_or(err)
    }
}

/// Splits `8h` into 8 and `h`.
fn split_unit(text: &str) -> Option<(u64, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(end);
    Some((digits(number)?, unit))
}

/// Parses decimal digits; unlike `u64::from_str`, refuses a sign.
fn digits(text: &str) -> Option<u64> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok())?
}
