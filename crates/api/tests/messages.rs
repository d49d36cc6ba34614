//! Serialized form of the messages, which scripts rely on.

use {
    egretlb_api::{
        CancelAnswer, JobAnswer, JobState, JobStatus, ProposalId, ProposeAnswer, SubmitAnswer,
        SubmitJob, TaskCounts, job_of_path, job_path,
    },
    egretlb_types::{JobId, Offset, RetryAfter},
    std::time::Duration,
};

fn job(text: &str) -> JobId {
    text.parse().unwrap()
}

#[test]
fn answers_name_result() {
    let retry_after = RetryAfter::from_wait(Duration::from_millis(1_500));
    let answers = [
        (serde_json::to_string(&ProposeAnswer::Accepted { version: Offset(7) }), {
            r#"{"result":"accepted","version":7}"#
        }),
        (serde_json::to_string(&SubmitAnswer::Unavailable { retry_after }), {
            r#"{"result":"unavailable","retry_after":2}"#
        }),
        (serde_json::to_string(&CancelAnswer::NotFound), r#"{"result":"not_found"}"#),
    ];
    for (json, expected) in answers {
        assert_eq!(json.unwrap(), expected);
    }
}

#[test]
fn job_answer_round_trip() {
    let tasks = TaskCounts { queued: 2, done: 1, ..TaskCounts::default() };
    let class = "gazette-watch".parse().unwrap();
    let status = JobStatus { job: job("night-7"), class, state: JobState::Active, tasks };
    let answer = JobAnswer::Found { job: status };
    let json = serde_json::to_string(&answer).unwrap();
    assert_eq!(serde_json::from_str::<JobAnswer>(&json).unwrap(), answer);
}

#[test]
fn status_codes() {
    let retry_after = RetryAfter::from_wait(Duration::ZERO);
    let lost = ProposeAnswer::Lost { version: None, document: Box::default() };
    assert_eq!(lost.status_code(), 409);
    assert_eq!(ProposeAnswer::Invalid { faults: vec![] }.status_code(), 422);
    assert_eq!(JobAnswer::Unavailable { retry_after }.status_code(), 503);
    assert_eq!(SubmitAnswer::Conflict.status_code(), 409);
}

#[test]
fn job_paths() {
    assert_eq!(job_of_path(&job_path(&job("night-7"))), Some(Ok(job("night-7"))));
    assert_eq!(job_of_path("/status"), None);
    assert_eq!(job_of_path("/jobs"), None);
    assert!(job_of_path("/jobs/a b").unwrap().is_err());
}

#[test]
fn proposal_id_text() {
    let id = ProposalId(0x1f);
    assert_eq!(id.to_string(), "000000000000001f");
    assert_eq!(id.to_string().parse(), Ok(id));
    for bad in ["", "1f", "+00000000000001f", "000000000000001g"] {
        assert!(bad.parse::<ProposalId>().is_err(), "{bad:?}");
    }
}

#[test]
fn unknown_fields_refused() {
    let body = r#"{"job":"a","class":"b","tasks":1,"command":"c","priority":9}"#;
    let err = serde_json::from_str::<SubmitJob>(body).unwrap_err().to_string();
    assert!(err.contains("priority"), "{err}");
}
