//! One request from its arrival to its answer, without faults.

mod support;

use {
    egretlb_requests::{Protections, entry::Verdict},
    support::faults::{Kind, run_cell},
};

#[test]
fn each_kind_of_request_is_answered() {
    for kind in Kind::ALL {
        let cell = run_cell(*kind, &[], Protections::default(), 1);
        assert_eq!(cell.first, "answer", "{cell:?}");
        assert_eq!(cell.runs, 1, "{cell:?}");
        assert_eq!(cell.violations, Vec::<String>::new());
    }
}

#[test]
fn a_refusal_says_not_run() {
    let reason = egretlb_types::NotRunReason::TooLate;
    let retry_after = egretlb_types::RetryAfter::from_wait(std::time::Duration::ZERO);
    let verdict = Verdict::Refuse { reason, retry_after };
    assert_eq!(verdict.ran(), egretlb_types::Ran::No);
}
