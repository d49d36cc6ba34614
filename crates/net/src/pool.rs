//! A thread pool for blocking calls.
//!
//! Idle threads are reused, and a new one is started only when none is idle, up to a limit. At the
//! limit jobs queue up, so it must exceed the number of calls that the reducers have open.

use {
    crossbeam::channel::{self, Receiver, Sender},
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// How long an idle thread waits for a job before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Stack size of a thread; blocking calls need little.
const STACK_BYTES: usize = 256 * 1024;

type Job = Box<dyn FnOnce() + Send>;

/// A thread pool for blocking calls. Clones share the threads.
#[derive(Clone)]
pub struct Pool {
    tx: Sender<Job>,
    rx: Receiver<Job>,
    idle: Arc<AtomicUsize>,
    threads: Arc<AtomicUsize>,
    limit: usize,
}

impl Pool {
    /// Creates a pool of at most `limit` threads.
    pub fn new(limit: usize) -> Self {
        let (tx, rx) = channel::unbounded();
        Pool { tx, rx, idle: Arc::default(), threads: Arc::default(), limit }
    }

    /// Runs `job` on a thread of the pool.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        let queued = self.tx.len();
        let needs_thread = queued >= self.idle.load(Ordering::Acquire);
        if needs_thread && self.threads.load(Ordering::Acquire) < self.limit {
            self.start_thread();
        }
        // The receiver lives as long as `self`, so the send can't fail.
        let _ = self.tx.send(Box::new(job));
    }

    fn start_thread(&self) {
        self.threads.fetch_add(1, Ordering::AcqRel);
        let rx = self.rx.clone();
        let idle = Arc::clone(&self.idle);
        let threads = Arc::clone(&self.threads);
        let worker = move || {
            loop {
                idle.fetch_add(1, Ordering::AcqRel);
                let job = rx.recv_timeout(IDLE_TIMEOUT);
                idle.fetch_sub(1, Ordering::AcqRel);
                match job {
                    Ok(job) => job(),
                    Err(_) => break,
                }
            }
            threads.fetch_sub(1, Ordering::AcqRel);
            // Runs a job that was queued between the timeout and the decrement.
            if let Ok(job) = rx.try_recv() {
                job();
            }
        };
        let started =
            thread::Builder::new().name("egretlb-io".into()).stack_size(STACK_BYTES).spawn(worker);
        if started.is_err() {
            // The system is out of threads: the job waits for a running one.
            self.threads.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
