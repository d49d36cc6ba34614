//! Permits for non-idempotent requests with a key, and reports of their outcomes.

use {
    super::{
        Entry, Phase, Timer,
        event::{EntryEffect, ErrorReason, Verdict},
        request::Keyed,
    },
    crate::{
        ids::RequestId,
        keys::{KeyOutcome, OutcomeReport, Permit, PermitHolder, PermitRequest},
    },
    egretlb_types::{NotRunReason, Ran, RetryAfter, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// How long a shutdown waits for reports to be confirmed. A key without a report falls in doubt,
/// which is safe.
pub(super) const SHUTDOWN_REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// Initial interval at which a report is resent.
const INITIAL_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum interval at which a report is resent.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of pending reports; beyond it the oldest is dropped and its key falls in doubt.
const MAX_PENDING_REPORTS: usize = 10_000;

/// When the caller may retry after a refusal or error because of a key.
const PERMIT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A report that its key's owner hasn't confirmed.
#[derive(Clone, Debug)]
struct PendingReport {
    report: OutcomeReport,
    retry_interval: Duration,
}

/// All pending reports.
#[derive(Debug, Default)]
pub(super) struct Reports {
    pending: BTreeMap<RequestId, PendingReport>,
}

impl Reports {
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}

impl Entry {
    pub(super) fn request_permit(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(keyed) = self.requests.get(&id).and_then(|request| request.keyed.as_ref()) else {
            return;
        };
        let Some((node, _)) = self.owners.get(&keyed.shard).copied() else {
            return self.refuse_permit(now, id, NotRunReason::NoPermit, out);
        };
        let request = PermitRequest {
            shard: keyed.shard,
            key: keyed.key.clone(),
            body: keyed.body,
            holder: PermitHolder { entry: self.opts.node, request: id },
        };
        out.push(EntryEffect::RequestPermit { node, request });
    }

    pub(super) fn apply_permit(
        &mut self,
        now: Time,
        id: RequestId,
        permit: Permit,
        out: &mut Vec<EntryEffect>,
    ) {
        // Late or duplicate: a request that has ended has reported its outcome, and one that was
        // sent must not be sent again.
        let awaits_permit =
            self.requests.get(&id).is_some_and(|req| req.phase == Phase::AwaitsPermit);
        if !awaits_permit {
            return;
        }
        let retry_after = RetryAfter::from_wait(PERMIT_RETRY_AFTER);
        match permit {
            Permit::Granted => self.enqueue(now, id),
            Permit::Recorded(answer) => {
                self.finish_unpermitted(now, id, Verdict::Recorded(answer), out);
            }
            Permit::InDoubt => {
                let reason = ErrorReason::KeyInDoubt;
                let verdict = Verdict::Error { reason, ran: Ran::Unknown, retry_after };
                self.finish_unpermitted(now, id, verdict, out);
            }
            Permit::InProgress => {
                self.refuse_permit(now, id, NotRunReason::KeyInProgress, out);
            }
            Permit::BodyMismatch => self.refuse_permit(now, id, NotRunReason::KeyReused, out),
            Permit::Unavailable => self.refuse_permit(now, id, NotRunReason::NoPermit, out),
        }
    }

    /// The owner hasn't answered in time. If it granted the permit and its answer was lost, the
    /// report that nothing ran frees the key.
    pub(super) fn permit_timed_out(
        &mut self,
        now: Time,
        id: RequestId,
        out: &mut Vec<EntryEffect>,
    ) {
        let awaits_permit =
            self.requests.get(&id).is_some_and(|req| req.phase == Phase::AwaitsPermit);
        if awaits_permit {
            let reason = ErrorReason::Broken;
            self.fail(now, id, reason, NotRunReason::NoPermit, out);
        }
    }

    fn refuse_permit(
        &mut self,
        now: Time,
        id: RequestId,
        reason: NotRunReason,
        out: &mut Vec<EntryEffect>,
    ) {
        let retry_after = RetryAfter::from_wait(PERMIT_RETRY_AFTER);
        self.finish_unpermitted(now, id, Verdict::Refuse { reason, retry_after }, out);
    }

    /// Ends a request that got no permit: there is no outcome to report.
    fn finish_unpermitted(
        &mut self,
        now: Time,
        id: RequestId,
        verdict: Verdict,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.keyed = None;
        let state = self.classes.get_mut(request.class);
        if matches!(verdict, Verdict::Refuse { .. }) && request.caller_waits {
            state.load.refused();
        }
        self.answer(id, verdict, out);
        self.finish_if_done(now, id, out);
    }

    /// Reports the outcome of a key until its owner has confirmed it.
    pub(super) fn report(
        &mut self,
        now: Time,
        id: RequestId,
        keyed: &Keyed,
        outcome: KeyOutcome,
        out: &mut Vec<EntryEffect>,
    ) {
        let report = OutcomeReport {
            shard: keyed.shard,
            key: keyed.key.clone(),
            holder: PermitHolder { entry: self.opts.node, request: id },
            outcome,
        };
        if self.reports.pending.len() >= MAX_PENDING_REPORTS {
            self.reports.pending.pop_first();
        }
        self.reports
            .pending
            .insert(id, PendingReport { report, retry_interval: INITIAL_REPORT_INTERVAL });
        self.resend_report(now, id, out);
    }

    pub(super) fn resend_report(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(pending) = self.reports.pending.get_mut(&id) else { return };
        self.timers.insert((now + pending.retry_interval, Timer::ResendReport(id)));
        pending.retry_interval = (pending.retry_interval * 2).min(MAX_REPORT_INTERVAL);
        if let Some((node, _)) = self.owners.get(&pending.report.shard) {
            let report = pending.report.clone();
            out.push(EntryEffect::ReportOutcome { node: *node, report });
        }
    }

    pub(super) fn report_confirmed(&mut self, id: RequestId) {
        self.reports.pending.remove(&id);
    }
}
