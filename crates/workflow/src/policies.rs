//! Scheduling policies that an operator can switch.

use {
    compact_str::CompactString,
    std::{fmt, str::FromStr},
};

/// Which optional policies are in force. Their text form is a comma-separated list such as
/// `straggler-evidence=on,admission=off`; policies that it doesn't name keep their defaults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policies {
    /// Judges stragglers by what their workers do to other tasks, see `scheduler/stragglers.rs`.
    pub straggler_evidence: bool,
    /// Places workflows that can still meet their deadlines before those that can't.
    pub feasibility_order: bool,
    /// Bounds how often long-running tasks are stopped for batch tasks.
    pub preemption_budget: bool,
    /// Rejects submissions that can't end in time.
    pub admission: bool,
    /// Forecasts the load of latency-critical tasks by its period.
    pub load_forecast: bool,
}

impl Policies {
    /// All policies off.
    pub const OFF: Policies = Policies {
        straggler_evidence: false,
        feasibility_order: false,
        preemption_budget: false,
        admission: false,
        load_forecast: false,
    };

    /// Names and values of all policies.
    fn entries(&self) -> [(&'static str, bool); 5] {
        [
            ("straggler-evidence", self.straggler_evidence),
            ("feasibility-order", self.feasibility_order),
            ("preemption-budget", self.preemption_budget),
            ("admission", self.admission),
            ("load-forecast", self.load_forecast),
        ]
    }

    fn field_mut(&mut self, name: &str) -> Option<&mut bool> {
        match name {
            "straggler-evidence" => Some(&mut self.straggler_evidence),
            "feasibility-order" => Some(&mut self.feasibility_order),
            "preemption-budget" => Some(&mut self.preemption_budget),
            "admission" => Some(&mut self.admission),
            "load-forecast" => Some(&mut self.load_forecast),
            _ => None,
        }
    }
}

impl Default for Policies {
    fn default() -> Policies {
        Policies::OFF
    }
}

impl fmt::Display for Policies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (name, on)) in self.entries().into_iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            let value = if on { "on" } else { "off" };
            write!(f, "{separator}{name}={value}")?;
        }
        Ok(())
    }
}

/// Why a list of policies is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PolicyError {
    /// No policy has this name.
    UnknownName {
        /// The name.
        name: CompactString,
    },
    /// The value is neither `on` nor `off`.
    InvalidValue {
        /// The policy's name.
        name: CompactString,
        /// The value.
        value: CompactString,
    },
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PolicyError::UnknownName { name } => {
                write!(f, "unknown policy {name:?}; use some of {}", Policies::OFF)
            }
            PolicyError::InvalidValue { name, value } => {
                write!(f, "policy {name:?} has the value {value:?}; use \"on\" or \"off\"")
            }
        }
    }
}

impl std::error::Error for PolicyError {}

impl FromStr for Policies {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Policies, PolicyError> {
        let mut policies = Policies::default();
        for entry in text.split(',').map(str::trim).filter(|entry| !entry.is_empty()) {
            let (name, value) = entry.split_once('=').unwrap_or((entry, ""));
            let Some(field) = policies.field_mut(name) else {
                return Err(PolicyError::UnknownName { name: name.into() });
            };
            *field = match value {
                "on" => true,
                "off" => false,
                _ => {
                    let (name, value) = (name.into(), value.into());
                    return Err(PolicyError::InvalidValue { name, value });
                }
            };
        }
        Ok(policies)
    }
}
