//! The headers between callers and entries.

/// On every answer of an entry: whether the request ran, as [`egretlb_types::Ran`] writes it.
pub const RAN: &str = "egretlb-ran";

/// On a refusal: in how many seconds to come back.
pub const RETRY_AFTER: &str = "retry-after";

/// On a request that must not run twice: the caller's key, which makes sending it again safe.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// On a request: in how many milliseconds the answer is of no use any more.
pub const DEADLINE_MS: &str = "egretlb-deadline-ms";
