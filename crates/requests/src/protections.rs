//! Switches that disable single protections in tests.

/// Protections of the request path, all enabled by default.
///
/// For tests only: they disable one protection and assert that the history checker reports the
/// violation that it prevents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// A lease runs from the time its request was sent, and nothing is sent under an expired share.
    pub expire_shares: bool,
    /// A grantor reserves an expired share until exchanges begun under it must have ended.
    pub await_open_exchanges: bool,
    /// A new grantor waits until its predecessor's shares have expired before it grants from the
    /// same pool.
    pub await_predecessor_expiry: bool,
    /// An entry accepts only the grant that answers its latest request, from the newest epoch.
    pub fence_grants: bool,
    /// A request that may have run is sent again only if its class is idempotent.
    pub at_most_once: bool,
    /// The intent is in the log before a permit is granted.
    pub journal_intent: bool,
    /// A key whose permit has no outcome accepts no further request.
    pub keep_in_doubt: bool,
    /// An answer is delivered only to the request of its attempt, and dropped if that has ended.
    pub match_answers: bool,
    /// A truncated answer isn't forwarded.
    pub reject_truncated_answers: bool,
    /// A request of which bytes may have been sent is never reported as not run.
    pub truthful_ran: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Protections {
            expire_shares: true,
            await_open_exchanges: true,
            await_predecessor_expiry: true,
            fence_grants: true,
            at_most_once: true,
            journal_intent: true,
            keep_in_doubt: true,
            match_answers: true,
            reject_truncated_answers: true,
            truthful_ran: true,
        }
    }
}
