//! Ids of requests and attempts within one entry.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

id_type!(
    /// A caller's request. Assigned by the runtime, unique within an entry process.
    RequestId
);
id_type!(
    /// One attempt to send a request to a backend server. Assigned by [`crate::Entry`] and never
    /// reused, so that a late answer isn't matched to another attempt.
    AttemptId
);
id_type!(
    /// Hash of a request's method, path and body, computed by the runtime. An idempotency key
    /// identifies one request only if the hashes are equal.
    BodyHash
);
