//! Resources of VMs and tasks.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// A text isn't a valid size.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseSizeError {
    /// The expected format.
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
    /// CPU time in thousandths of a core.
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
    /// Number of accelerators.
    Accelerators,
    "",
    "a count, like 2"
);

/// Resources of a VM or a task; a demand fits if each dimension does.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU time.
    pub cpu: MilliCores,
    /// Memory.
    pub memory: Megabytes,
    /// Accelerators, not divisible.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// Whether `self` fits into `available` in every dimension.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpu <= available.cpu
            && self.memory <= available.memory
            && self.accelerators <= available.accelerators
    }

    /// The sum in each dimension, saturating.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: MilliCores(self.cpu.0.saturating_add(other.cpu.0)),
            memory: Megabytes(self.memory.0.saturating_add(other.memory.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_add(other.accelerators.0)),
        }
    }

    /// The difference in each dimension, saturating at zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: MilliCores(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: Megabytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_sub(other.accelerators.0)),
        }
    }

    /// How many times `unit` fits into `self`; `u32::MAX` if `unit` is zero.
    pub fn times(&self, unit: &Resources) -> u32 {
        let quotient = |total: u32, unit: u32| total.checked_div(unit).unwrap_or(u32::MAX);
        quotient(self.cpu.0, unit.cpu.0)
            .min(quotient(self.memory.0, unit.memory.0))
            .min(quotient(self.accelerators.0, unit.accelerators.0))
    }

    /// The maximum in each dimension.
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
