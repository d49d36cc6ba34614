//! The validated configuration: classes with their targets, and teams with their quotas.

use {
    crate::{
        ids::{ClassName, Organisation, TeamName},
        resources::Resources,
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::time::Duration,
};

/// The kind of a class and its target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClassKind {
    /// Requests with a latency target.
    Latency {
        /// The percentile of the target in thousandths: 990 is p99.
        permille: u16,
        /// The response time at that percentile.
        target: Duration,
        /// Whether requests may run more than once. Others run at most once.
        idempotent: bool,
        /// Declared resources of one replica of the service.
        replica: Resources,
        /// Whether the service must survive the loss of one data centre.
        spread: bool,
    },
    /// Tasks with a throughput target.
    Batch {
        /// Number of tasks to complete in each `period`.
        amount: u32,
        /// The time in which they must complete.
        period: Duration,
        /// Declared resources of one task; the estimate until usage is observed.
        task: Resources,
        /// Declared run time of one task.
        run_time: Duration,
        /// Whether tasks of the class start ahead of other work.
        urgent: bool,
    },
}

/// One class of work.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// The class's name.
    pub name: ClassName,
    /// The organisation that owns the class.
    pub member: Organisation,
    /// The team whose quota is charged for the class's work.
    pub team: TeamName,
    /// The kind and the target.
    pub kind: ClassKind,
}

/// One team and its quota.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamSpec {
    /// The team's name.
    pub name: TeamName,
    /// The organisation that the team belongs to.
    pub member: Organisation,
    /// Maximum resources of the team's work under contention; unused quota is lent to others.
    pub quota: Resources,
}

/// A complete configuration; updates replace it as a whole.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// All teams, by name.
    pub teams: SmallVec<[TeamSpec; 4]>,
    /// All classes, by name.
    pub classes: Vec<ClassSpec>,
}

impl ConfigDocument {
    /// Returns the class with the given name.
    pub fn class(&self, name: &ClassName) -> Option<&ClassSpec> {
        self.classes.iter().find(|class| class.name == *name)
    }

    /// Returns the team with the given name.
    pub fn team(&self, name: &TeamName) -> Option<&TeamSpec> {
        self.teams.iter().find(|team| team.name == *name)
    }
}
