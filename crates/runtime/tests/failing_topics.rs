//! Reports on topics of the store whose reads fail.

use {
    egretlb_runtime::{
        FailingTopics, FailureReport, Regained,
        platform::{ReadFailure, Topic},
    },
    egretlb_types::Time,
    std::time::Duration,
};

const OPERATOR: Topic = Topic::Operator;

/// Guards against logs that don't show why reads fail.
#[test]
fn causes_counted() {
    let mut topics = FailingTopics::default();
    let at = Time::from_millis;
    let mut fail = |now, cause| topics.on_failed(at(now), OPERATOR, cause);
    assert_eq!(fail(1_000, ReadFailure::TimedOut), Some(FailureReport::Lost));
    assert_eq!(fail(1_200, ReadFailure::RateLimited), None);
    assert_eq!(fail(5_999, ReadFailure::RateLimited), None);
    let Some(FailureReport::StillLost { after, failures }) = fail(6_000, ReadFailure::TimedOut)
    else {
        panic!("no report after 5 s");
    };
    assert_eq!(after, Duration::from_secs(5));
    assert_eq!(failures.to_string(), "RateLimited:2,TimedOut:2");
    assert_eq!(fail(10_000, ReadFailure::TimedOut), None);
}

/// Guards against an end of one topic's outage that is taken for the end of another's.
#[test]
fn topics_apart() {
    let mut topics = FailingTopics::default();
    topics.on_failed(Time::from_secs(1), OPERATOR, ReadFailure::Rejected);
    topics.on_failed(Time::from_secs(2), Topic::Work, ReadFailure::Malformed);
    assert_eq!(topics.on_answered(Time::from_secs(3), Topic::Terms), None);
    let Some(Regained { after, failures }) = topics.on_answered(Time::from_secs(4), OPERATOR)
    else {
        panic!("the outage has no end");
    };
    assert_eq!(after, Duration::from_secs(3));
    assert_eq!(failures.to_string(), "Rejected:1");
    assert!(!topics.contains(OPERATOR));
    assert!(topics.contains(Topic::Work));
}
