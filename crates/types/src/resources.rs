//! What a VM holds and a task takes.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Why a text isn't a size.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseSizeError {
    /// What the size should look like.
    pub expected: &'static str,
}

impl fmt::Display for ParseSizeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a size; write it as {}", self.expected)
    }
}

impl std::error::Error for ParseSizeError {}

macro_rules! size_type {
    ($(#[$doc:meta])* $name:ident, $unit:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseSizeError;

            fn from_str(text: &str) -> Result<Self, ParseSizeError> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                digits.parse().map($name).map_err(|_| ParseSizeError { expected: $expected })
            }
        }
    };
}

size_type!(
    /// Processor time in thousandths of a core.
    MilliCores,
    "m",
    "thousandths of a core, like 1500m"
);
size_type!(
    /// Memory in megabytes (10^6 bytes).
    Megabytes,
    "MB",
    "megabytes, like 2000MB"
);
size_type!(
    /// A count of accelerators.
    Accelerators,
    "",
    "a count, like 2"
);

/// What a VM holds or a task takes: a vector that must fit in every part.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time.
    pub cpu: MilliCores,
    /// Memory.
    pub memory: Megabytes,
    /// Accelerators; whole ones only.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// Whether `self` fits into `room` in every part.
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// The sum, part by part, held at the largest number.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: MilliCores(self.cpu.0.saturating_add(other.cpu.0)),
            memory: Megabytes(self.memory.0.saturating_add(other.memory.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_add(other.accelerators.0)),
        }
    }

    /// What is left after `other` is taken, zero in each part that is exceeded.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: MilliCores(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: Megabytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_sub(other.accelerators.0)),
        }
    }

    /// How many times `part` fits; the largest number if it takes nothing.
    pub fn times(&self, part: &Resources) -> u32 {
        let times = |room: u32, each: u32| room.checked_div(each).unwrap_or(u32::MAX);
        times(self.cpu.0, part.cpu.0)
            .min(times(self.memory.0, part.memory.0))
            .min(times(self.accelerators.0, part.accelerators.0))
    }

    /// The larger of the two in each part.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cpu={} memory={} accelerators={}", self.cpu, self.memory, self.accelerators)
    }
}
