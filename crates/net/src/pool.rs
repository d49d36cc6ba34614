//! A pool of threads for calls that block.
//!
//! `oxhttp`'s client blocks its thread for the length of a call. A thread for each call costs a
//! start of some 20 µs; a fixed pool would let a few slow backend servers hold up every call. So
//! idle threads are used again, and a new one is started only when none is idle, up to a limit.
//! At the limit a job waits in line: the limit must lie above what the reducers may have open.

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

/// How long an idle thread is kept.
const IDLE_KEEP: Duration = Duration::from_secs(10);

/// Each thread runs plain blocking input and output, which needs little stack.
const STACK_BYTES: usize = 256 * 1024;

type Job = Box<dyn FnOnce() + Send>;

/// A pool of threads for calls that block. Clones share the threads.
#[derive(Clone)]
pub struct Pool {
    tx: Sender<Job>,
    rx: Receiver<Job>,
    idle: Arc<AtomicUsize>,
    threads: Arc<AtomicUsize>,
    limit: usize,
}

impl Pool {
    /// A pool of at most `limit` threads.
    pub fn new(limit: usize) -> Self {
        let (tx, rx) = channel::unbounded();
        Pool { tx, rx, idle: Arc::default(), threads: Arc::default(), limit }
    }

    /// Runs `job` on a thread of the pool.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        let queued = self.tx.len();
        let wanted = queued >= self.idle.load(Ordering::Acquire);
        if wanted && self.threads.load(Ordering::Acquire) < self.limit {
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
        let work = move || {
            loop {
                idle.fetch_add(1, Ordering::AcqRel);
                let job = rx.recv_timeout(IDLE_KEEP);
                idle.fetch_sub(1, Ordering::AcqRel);
                match job {
                    Ok(job) => job(),
                    Err(_) => break,
                }
            }
            threads.fetch_sub(1, Ordering::AcqRel);
            // A job queued between the time-out and the decrement would wait for the next one.
            if let Ok(job) = rx.try_recv() {
                job();
            }
        };
        let started =
            thread::Builder::new().name("egretlb-io".into()).stack_size(STACK_BYTES).spawn(work);
        if started.is_err() {
            // Out of threads: the job waits for a running one.
            self.threads.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
