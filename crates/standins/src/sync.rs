//! Mutex access that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex, even if poisoned: severing a connection unwinds the connection's thread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
