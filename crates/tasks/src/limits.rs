//! The limits that both books decide by, and the switches that tests turn protections off with.

use std::time::Duration;

/// Times and counts that the books decide by. Not for operators: they state targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// How long a worker runs a task without a renewal. Long enough that renewing costs little of
    /// the control budget, short enough that a lost VM's tasks run again soon.
    pub lease: Duration,
    /// How often the leases of a VM are renewed: a third of the lease, so that two lost renewals
    /// cost nothing.
    pub renew_interval: Duration,
    /// How long after its sending a call may still reach a worker. The runtime gives a call up
    /// earlier; this bounds what may sit in buffers. Assumed of the platform.
    pub max_call_delay: Duration,
    /// What clocks of different rates may differ by over the waits here.
    pub clock_margin: Duration,
    /// How long an owner out of authority goes on renewing leases, so that a log outage doesn't
    /// end all that runs. A successor of an owner that didn't release its shard waits as long
    /// before it declares an unreachable VM's attempts lost.
    pub renewal_without_authority: Duration,
    /// How long room is kept for a task that was placed: a journal append and two messages.
    pub reservation: Duration,
    /// How long a placement may stay unanswered before another node is asked.
    pub place_timeout: Duration,
    /// How long until a message without an answer is sent again.
    pub resend: Duration,
    /// How often the owner of a job asks about an attempt that is known to run. Needed only where
    /// a VM and its rack's owner are lost together, so that nobody is left who knew of the attempt.
    pub running_check_interval: Duration,
    /// The wait before a task that found no room asks again.
    pub place_backoff: Duration,
    /// The same for urgent tasks and services.
    pub urgent_backoff: Duration,
    /// The shortest time between two reports of a VM.
    pub min_poll_interval: Duration,
    /// The longest time between two reports of a VM.
    pub max_poll_interval: Duration,
    /// How long a call waits for the journal before the caller is told to ask again.
    pub ack_timeout: Duration,
    /// The most tasks of a job: bounds memory and the size of a snapshot.
    pub max_job_tasks: u32,
    /// The most jobs that a shard keeps; a full shard refuses with when to come back.
    pub max_shard_jobs: usize,
    /// How long an ended job's status is kept.
    pub ended_retention: Duration,
    /// Failures on so many distinct healthy VMs make the task itself at fault.
    pub parked_after_vms: usize,
    /// Failures of any kind after which a task is parked.
    pub parked_after_fails: u16,
    /// How long every node must say that a task can never fit before it is told so: longer than a
    /// succession, during which a rack's VMs are nobody's.
    pub never_fits_after: Duration,
    /// Stops of a cancellation wave in progress at once, for each shard. Keeps a wave of
    /// thousands from taking the place of renewals and starts.
    pub max_concurrent_stops: usize,
    /// Wants sent in one round of placement, for each shard.
    pub max_pending_placements: usize,
    /// Consecutive failures of distinct tasks that put a VM into quarantine.
    pub quarantine_after: u32,
    /// How often a VM in quarantine gets a task as a probe.
    pub probe_interval: Duration,
    /// How long a service's replica is shut off from new requests before it is stopped.
    pub drain: Duration,
    /// The least time that a task runs before it may be evicted: an eviction costs about as much
    /// as is lost since its start.
    pub min_run_time: Duration,
    /// How long a throttle is given to show before the task is evicted.
    pub throttle_effect_time: Duration,
    /// How long a service must meet its target before a throttle is lifted.
    pub throttle_release_after: Duration,
    /// Evictions for a target's sake allowed a minute, for each 100 batch tasks running at a node.
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

/// Switches for tests that show that a checker notices a missing protection. All are on by
/// default, and only a test turns one off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// A start waits until it is journalled.
    pub journal_before_start: bool,
    /// A VM's attempts are lost only after their leases must have lapsed.
    pub wait_for_lease: bool,
    /// A start needs the reservation that was made for it.
    pub reservation_per_start: bool,
    /// Placement checks committed room.
    pub capacity_check: bool,
    /// A new owner grants nothing on a VM without a report younger than its authority.
    pub report_before_grant: bool,
    /// An outcome counts only for the attempt that it names.
    pub fence_outcomes: bool,
    /// An end is acknowledged, and a submission answered, only once it is journalled.
    pub journal_before_ack: bool,
    /// A start whose answer was lost is asked about before the task is started elsewhere.
    pub resolve_unconfirmed: bool,
    /// Unsafe steps need authority.
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
