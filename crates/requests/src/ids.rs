//! Numbers that identify requests and their attempts within one entry.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

macro_rules! number_type {
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

number_type!(
    /// A caller's request. Given by the runtime, never used twice by one entry process.
    RequestId
);
number_type!(
    /// One sending of a request to one backend server. Given by [`crate::Entry`], never used twice,
    /// so that a late answer can't be taken for that of another sending.
    AttemptId
);
number_type!(
    /// A hash of a request's method, path and body, computed by the runtime. Two requests of one
    /// idempotency key with different hashes are different requests.
    BodyHash
);
