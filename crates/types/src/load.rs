//! The load of a service class, as entries report it to the class's owner.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One entry's measurements of one class over a period.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClassLoad {
    /// Length of the period.
    pub period: Duration,
    /// Requests that arrived.
    pub arrived: u32,
    /// Requests answered within the class's target.
    pub within_target: u32,
    /// Requests answered after the target.
    pub late: u32,
    /// Requests rejected without being run.
    pub refused: u32,
    /// Mean number of requests in flight at backend servers, in thousandths.
    pub open_permille: u32,
}
