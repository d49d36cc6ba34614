//! Switches for tests that show what each protection prevents.

/// The protections of the request path, all on by default.
///
/// Only for tests: each one is switched off to show that the checker of histories notices what it
/// prevents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// A share counts from the sending of its ask, and nothing is sent under a lapsed one.
    pub expire_shares: bool,
    /// A grantor keeps a lapsed share aside until exchanges begun under it must have ended.
    pub await_open_exchanges: bool,
    /// A new grantor waits out its predecessor's shares before it grants from the same pool.
    pub await_predecessor_expiry: bool,
    /// An entry takes only the grant that answers its last ask, from the newest epoch.
    pub fence_grants: bool,
    /// A request that may have run is sent again only if its class is idempotent.
    pub at_most_once: bool,
    /// The intent is in the log before a permit is given.
    pub journal_intent: bool,
    /// A key whose permit has no outcome stays closed.
    pub keep_in_doubt: bool,
    /// An answer belongs to the request of its attempt; one of a finished request is dropped.
    pub match_answers: bool,
    /// A truncated answer isn't passed on.
    pub reject_truncated_answers: bool,
    /// A request whose bytes may have left is never called not run.
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
