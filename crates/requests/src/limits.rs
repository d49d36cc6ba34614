//! Limits that several processes must agree on.
//!
//! The holder of a lease counts from when it sent the request, the grantor from when it received it,
//! so the holder always stops first.

use std::time::Duration;

/// How long an entry may send under a share, counted from the sending of the request for it.
///
/// Longer than a takeover of the grantor's shard, so that entries keep sending meanwhile; short
/// enough that a dead entry's slots are free again within 30 s.
pub const SHARE_LEASE: Duration = Duration::from_secs(10);

/// Maximum duration of an exchange with a backend server, and of the server's work on a request.
///
/// A server that works longer may get another request for the slot that is still in use. A grantor
/// reserves an expired share for this long, because exchanges begun under it may still be open.
pub const MAX_ATTEMPT_DURATION: Duration = Duration::from_secs(10);

/// Maximum rate difference between two monotonic clocks, in thousandths.
pub const MAX_CLOCK_DRIFT_PERMILLE: u32 = 10;

/// How long an entry waits for a permit before it refuses the request. A permit normally takes one
/// group commit of the log, tens of milliseconds.
pub const PERMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after a permit its outcome must be reported; then the key is in doubt. Covers
/// [`MAX_ATTEMPT_DURATION`] and resent reports.
pub const OUTCOME_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a key is stored after its outcome was recorded or it fell in doubt. A request with an
/// older key is treated as new.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Maximum number of keys stored for a shard. While all are within their retention, a new key is
/// refused with [`egretlb_types::NotRunReason::NoPermit`]: dropping one early could run a request
/// twice.
///
/// With 256 shards this allows a million keys a day, 12 a second.
pub const MAX_KEYS_PER_SHARD: usize = 4_096;

/// Maximum size of an answer body recorded with a key's outcome, in bytes; of a larger one only the
/// status is recorded.
pub const MAX_RECORDED_BODY_BYTES: usize = 256;

/// Extends `span` by the maximum clock drift.
pub fn with_clock_margin(span: Duration) -> Duration {
    span + span * MAX_CLOCK_DRIFT_PERMILLE / 1_000
}
