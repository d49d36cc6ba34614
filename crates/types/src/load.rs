//! What an entry tells the owner of a service class of its load.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One entry's measurements of one class over a period.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClassLoad {
    /// How long was measured.
    pub period: Duration,
    /// Requests that arrived.
    pub arrived: u32,
    /// Requests answered within the class's target.
    pub within_target: u32,
    /// Requests answered later than that.
    pub late: u32,
    /// Requests refused without being run.
    pub refused: u32,
    /// Requests open at backend servers, averaged over the period, in thousandths.
    pub open_permille: u32,
}
