//! Timing and size limits of both tables, and the switches with which tests disable protections.

use std::time::Duration;

/// Timeouts, intervals and maximum counts. Not configurable by operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// How long a worker runs a task without a renewal. Balances the cost of renewals against the
    /// delay before a lost VM's tasks run again.
    pub lease: Duration,
    /// How often the leases of a VM are renewed. A third of the lease tolerates two lost renewals.
    pub renew_interval: Duration,
    /// How long after it is sent a call may still reach a worker. Longer than the call timeout,
    /// since calls may sit in buffers.
    pub max_call_delay: Duration,
    /// Maximum drift between two clocks over the waits here.
    pub clock_margin: Duration,
    /// How long an owner without authority keeps renewing leases, so that a log outage doesn't end
    /// running tasks. The successor of an owner that didn't release its shard waits as long before
    /// it declares an unreachable VM's attempts lost.
    pub renewal_without_authority: Duration,
    /// How long a reservation is kept: covers a journal append and two messages.
    pub reservation: Duration,
    /// How long to wait for a placement response before another node is tried.
    pub place_timeout: Duration,
    /// Interval between retransmissions of an unanswered message.
    pub resend: Duration,
    /// How often a job's owner checks an attempt that is known to run. Needed only if a VM and its
    /// rack's owner are lost together, so that no owner knows of the attempt.
    pub running_check_interval: Duration,
    /// Backoff of a job after every node has refused its tasks.
    pub place_backoff: Duration,
    /// The same for urgent jobs and services.
    pub urgent_backoff: Duration,
    /// Minimum time between two reports of a VM.
    pub min_poll_interval: Duration,
    /// Maximum time between two reports of a VM.
    pub max_poll_interval: Duration,
    /// How long a call waits for the journal before the caller is asked to retry.
    pub ack_timeout: Duration,
    /// Maximum number of tasks of a job. Bounds memory and snapshot size.
    pub max_job_tasks: u32,
    /// Maximum number of jobs in a shard; a full shard refuses submissions with a retry time.
    pub max_shard_jobs: usize,
    /// How long the status of an ended job is kept.
    pub ended_retention: Duration,
    /// Number of distinct healthy VMs on which a task fails before it is parked.
    pub parked_after_vms: usize,
    /// Number of failures of any kind after which a task is parked.
    pub parked_after_fails: u16,
    /// How long every node must report that a task can't fit before it is final. Longer than a
    /// succession, during which a rack's VMs have no owner.
    pub never_fits_after: Duration,
    /// Maximum number of stops of cancelled tasks in progress per shard, so that mass cancellations
    /// don't delay renewals and starts.
    pub max_concurrent_stops: usize,
    /// Maximum number of tasks in pending placement requests, per shard.
    pub max_pending_placements: usize,
    /// Consecutive failures of distinct tasks that put a VM into quarantine.
    pub quarantine_after: u32,
    /// How often a VM in quarantine gets a task as a probe.
    pub probe_interval: Duration,
    /// How long a replica gets no new requests before it is stopped.
    pub drain: Duration,
    /// Minimum run time before a task may be evicted: an eviction loses about as much work as was
    /// done since the start.
    pub min_run_time: Duration,
    /// How long a throttle may take to show an effect before the task is evicted.
    pub throttle_effect_time: Duration,
    /// How long a service must meet its target before a throttle is lifted.
    pub throttle_release_after: Duration,
    /// Maximum evictions per minute to protect services, per 100 batch tasks running on a node's
    /// VMs.
    pub evictions_per_minute: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            lease: Duration::from_secs(60),
            renew_interval: Duration::from_secs(20),
            max_call_delay: Duration::from_secs(2),
            clock_margin: Duration::from_secs(1),
            renewal_without_authority: Duration::from_secs(3_600),
            reservation: Duration::from_secs(8),
            place_timeout: Duration::from_secs(2),
            resend: Duration::from_secs(2),
            running_check_interval: Duration::from_secs(120),
            place_backoff: Duration::from_secs(2),
            urgent_backoff: Duration::from_millis(300),
            min_poll_interval: Duration::from_secs(1),
            max_poll_interval: Duration::from_secs(15),
            ack_timeout: Duration::from_secs(5),
            max_job_tasks: 10_000,
            max_shard_jobs: 4_000,
            ended_retention: Duration::from_secs(24 * 3_600),
            parked_after_vms: 3,
            parked_after_fails: 8,
            never_fits_after: Duration::from_secs(30),
            max_concurrent_stops: 32,
            max_pending_placements: 64,
            quarantine_after: 5,
            probe_interval: Duration::from_secs(60),
            drain: Duration::from_secs(10),
            min_run_time: Duration::from_secs(60),
            throttle_effect_time: Duration::from_secs(20),
            throttle_release_after: Duration::from_secs(60),
            evictions_per_minute: 2,
        }
    }
}

/// Switches with which tests show that the checker detects a missing protection. All are on by
/// default; only tests turn one off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// An attempt starts only after it is journalled.
    pub journal_before_start: bool,
    /// A VM's attempts are declared lost only after their leases must have lapsed.
    pub wait_for_lease: bool,
    /// A start needs its reservation.
    pub reservation_per_start: bool,
    /// Placement checks free capacity.
    pub capacity_check: bool,
    /// A new owner grants nothing on a VM before it has a report requested under its own authority.
    pub report_before_grant: bool,
    /// An outcome counts only for the attempt that it names.
    pub fence_outcomes: bool,
    /// Ends are acknowledged, and submissions answered, only once journalled.
    pub journal_before_ack: bool,
    /// A start without an answer is resolved before the task is started elsewhere.
    pub resolve_unconfirmed: bool,
    /// Steps that are unsafe for two owners to take require authority.
    pub authority: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Protections {
            journal_before_start: true,
            wait_for_lease: true,
            reservation_per_start: true,
            capacity_check: true,
            report_before_grant: true,
            fence_outcomes: true,
            journal_before_ack: true,
            resolve_unconfirmed: true,
            authority: true,
        }
    }
}
