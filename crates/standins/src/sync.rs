//! Locks that outlive a panic of a thread that held them.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes the lock. A stand-in goes on after a severed connection, which unwinds its thread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
