//! HTTP headers between callers and entries.

/// Response header: whether the request ran, as formatted by [`egretlb_types::Ran`].
pub const RAN: &str = "egretlb-ran";

/// Response header of a refusal: when to retry, in seconds.
pub const RETRY_AFTER: &str = "retry-after";

/// Request header: the caller's key of a request that must not run twice, which makes retries safe.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Request header: time until the caller needs no answer any more, in milliseconds.
pub const DEADLINE_MS: &str = "egretlb-deadline-ms";
