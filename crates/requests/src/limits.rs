//! The times that several processes must agree on.
//!
//! What a holder counts from its sending, a grantor counts from its receiving, so that the holder
//! always stops first.

use std::time::Duration;

/// How long an entry may send under a share, counted from when it sent the ask.
///
/// Longer than a takeover of the grantor's shard (the authority of the predecessor, 3 s, the
/// margin and the reading of its journal), so that entries go on sending meanwhile; short enough
/// that a dead entry's slots are back within half a minute.
pub const SHARE_LEASE: Duration = Duration::from_secs(10);

/// The longest that an exchange with a backend server may stay open, and that a server may work on
/// a request.
///
/// Assumed of backend servers: none works on a request for longer than this. One that does may get
/// another request for the slot that it still uses.
///
/// A grantor keeps a lapsed share aside for this long, because exchanges begun under it may still
/// be open; every millisecond is capacity lost after an entry's death.
pub const MAX_ATTEMPT_DURATION: Duration = Duration::from_secs(10);

/// How far two monotonic clocks may run apart, in thousandths of the time measured.
pub const MAX_CLOCK_DRIFT_PERMILLE: u32 = 10;

/// How long an entry waits for a permit before it refuses the request.
///
/// A permit takes one group commit of the log, some tens of milliseconds. A caller who waits a
/// whole second gains nothing from a longer wait.
pub const PERMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after a permit its outcome must have been reported, or the key is in doubt.
///
/// An entry sends at once after the permit came, and an exchange ends within [`MAX_ATTEMPT_DURATION`]; the
/// rest is for reports that have to be sent again.
pub const OUTCOME_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a key is remembered after its outcome was recorded or it fell in doubt. A request with
/// an older key is taken as new, and runs.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// The most keys remembered for a shard. When all are within their retention, a new key is refused
/// with [`egretlb_types::NotRunReason::NoPermit`]: forgetting one early could run a filing twice.
///
/// 256 shards of 4,096 keys are a million keys a day, 12 filings a second; an owner of 30 shards
/// then holds some 120,000 keys.
pub const MAX_KEYS_PER_SHARD: usize = 4_096;

/// The longest answer body recorded with a key's outcome, in bytes; a longer one is recorded by its
/// status alone. The log and the owner's memory keep it for a day.
pub const MAX_RECORDED_BODY_BYTES: usize = 256;

/// The span as the slower of two clocks may measure what the faster one calls `span`.
pub fn with_clock_margin(span: Duration) -> Duration {
    span + span * MAX_CLOCK_DRIFT_PERMILLE / 1_000
}
