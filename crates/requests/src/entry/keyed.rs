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

/// How long after a shutdown reports are waited for. A key without a report is in doubt, which is
/// safe; a process that waits for a dead owner doesn't end.
pub(super) const REPORT_ON_SHUTDOWN: Duration = Duration::from_secs(10);

/// After so long a report is sent again, at first.
const REPORT_AGAIN: Duration = Duration::from_secs(1);

/// The longest wait between two sendings of a report.
const REPORT_AGAIN_MAX: Duration = Duration::from_secs(30);

/// The most reports that are kept; the oldest goes first, and its key stays in doubt. An hour
/// without owners at three filings a second.
const REPORTS_MAX: usize = 10_000;

/// When to come back for a permit or for a request in progress.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// A report that its key's owner hasn't confirmed.
#[derive(Clone, Debug)]
struct Pending {
    report: OutcomeReport,
    again: Duration,
}

/// The reports that aren't confirmed yet.
#[derive(Debug, Default)]
pub(super) struct Reports {
    pending: BTreeMap<RequestId, Pending>,
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

    pub(super) fn take_permit(
        &mut self,
        now: Time,
        id: RequestId,
        permit: Permit,
        out: &mut Vec<EntryEffect>,
    ) {
        // Too late, or come twice: a request that has ended has reported its outcome already, and
        // one that was sent must not be sent again.
        let waits = self.requests.get(&id).is_some_and(|req| req.phase == Phase::AwaitsPermit);
        if !waits {
            return;
        }
        let retry_after = RetryAfter::from_wait(ASK_AGAIN);
        match permit {
            Permit::Granted => self.enqueue(now, id),
            Permit::Recorded(answer) => {
                self.end_unpermitted(now, id, Verdict::Recorded(answer), out);
            }
            Permit::InDoubt => {
                let reason = ErrorReason::KeyInDoubt;
                let verdict = Verdict::Error { reason, ran: Ran::Unknown, retry_after };
                self.end_unpermitted(now, id, verdict, out);
            }
            Permit::InProgress => {
                self.refuse_permit(now, id, NotRunReason::KeyInProgress, out);
            }
            Permit::BodyMismatch => self.refuse_permit(now, id, NotRunReason::KeyReused, out),
            Permit::Unavailable => self.refuse_permit(now, id, NotRunReason::NoPermit, out),
        }
    }

    /// The owner hasn't answered in time. It may have given the permit, and the answer is lost:
    /// the report that nothing ran frees the key then.
    pub(super) fn permit_overdue(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let waits = self.requests.get(&id).is_some_and(|req| req.phase == Phase::AwaitsPermit);
        if waits {
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
        let retry_after = RetryAfter::from_wait(ASK_AGAIN);
        self.end_unpermitted(now, id, Verdict::Refuse { reason, retry_after }, out);
    }

    /// Ends a request whose permit isn't its own: there is no outcome to report.
    fn end_unpermitted(
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
        self.end_if_done(now, id, out);
    }

    /// Reports what became of a key, until its owner has confirmed.
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
        if self.reports.pending.len() >= REPORTS_MAX {
            self.reports.pending.pop_first();
        }
        self.reports.pending.insert(id, Pending { report, again: REPORT_AGAIN });
        self.report_again(now, id, out);
    }

    pub(super) fn report_again(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(pending) = self.reports.pending.get_mut(&id) else { return };
        self.timers.insert((now + pending.again, Timer::Report(id)));
        pending.again = (pending.again * 2).min(REPORT_AGAIN_MAX);
        if let Some((node, _)) = self.owners.get(&pending.report.shard) {
            let report = pending.report.clone();
            out.push(EntryEffect::ReportOutcome { node: *node, report });
        }
    }

    pub(super) fn report_done(&mut self, id: RequestId) {
        self.reports.pending.remove(&id);
    }
}
