//! The error format for callers; `docs/PROTOCOLS.md` describes it.

use std::time::Duration;

use bytes::Bytes;
use http_types::StatusCode;
use policy::{FailCause, Failure, Refusal, RefusalReason, RunStatus};
use serde::Serialize;

/// An error returned to the caller in place of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct CallError {
    /// The HTTP status, where no part of an answer has been sent yet.
    pub status: StatusCode,
    /// A stable, machine-readable code.
    pub code: &'static str,
    /// A human-readable description.
    pub message: String,
    /// Whether the call ran.
    pub ran: RunStatus,
    /// Delay after which a retry is likely to succeed; `None` if retries can't succeed.
    pub retry_after: Option<Duration>,
}

impl CallError {
    /// An error of the caller; the call was not run.
    pub fn caller(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        CallError { status, code, message: message.into(), ran: RunStatus::No, retry_after: None }
    }

    /// A malformed call: 400, `bad_request`.
    pub fn malformed(message: impl Into<String>) -> Self {
        Self::caller(StatusCode::BadRequest, "bad_request", message)
    }

    /// Serializes the error as JSON.
    pub fn to_json(&self) -> Bytes {
        let body = ErrorBody {
            error: ErrorContent {
                code: self.code,
                message: &self.message,
                ran: self.ran,
                retry_after: self.retry_after.map(|wait| wait.as_secs_f64()),
            },
        };
        // Serializing plain strings and numbers can't fail.
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    /// The value of `Retry-After` in whole seconds, rounded up so that no caller retries early.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after.map(|wait| wait.as_secs_f64().ceil().max(1.0) as u64)
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorContent<'a>,
}

#[derive(Serialize)]
struct ErrorContent<'a> {
    code: &'a str,
    message: &'a str,
    ran: RunStatus,
    retry_after: Option<f64>,
}

impl From<Refusal> for CallError {
    fn from(refusal: Refusal) -> Self {
        let (status, message) = refusal_text(refusal.reason);
        let is_permanent =
            matches!(refusal.reason, RefusalReason::TooLarge | RefusalReason::Quarantined);
        CallError {
            status,
            code: refusal.reason.as_str(),
            message: message.to_owned(),
            ran: RunStatus::No,
            retry_after: (!is_permanent).then_some(refusal.retry_after),
        }
    }
}

fn refusal_text(reason: RefusalReason) -> (StatusCode, &'static str) {
    match reason {
        RefusalReason::TooLate => (
            StatusCode::ServiceUnavailable,
            "the first token can't be expected in time, so the request was not run",
        ),
        RefusalReason::OverLimit => {
            (StatusCode::TooManyRequests, "the workspace is over its configured limit")
        }
        RefusalReason::OverShare => {
            (StatusCode::TooManyRequests, "the workspace's share of the waiting room is full")
        }
        RefusalReason::TooLarge => (
            StatusCode::PayloadTooLarge,
            "the prompt needs more memory than all engines of the deployment have",
        ),
        RefusalReason::NoEndpoint => {
            (StatusCode::ServiceUnavailable, "no endpoint can serve the request now")
        }
        RefusalReason::Quarantined => (
            StatusCode::UnprocessableEntity,
            "endpoints died of this request before, so it isn't run again",
        ),
        RefusalReason::Stopping => (StatusCode::ServiceUnavailable, "this instance is stopping"),
        RefusalReason::LogUnavailable => (
            StatusCode::ServiceUnavailable,
            "the call may not be repeated and can't be recorded now, so it was not run",
        ),
    }
}

impl From<Failure> for CallError {
    fn from(failure: Failure) -> Self {
        let (status, code, message) = failure_text(failure.cause);
        let is_permanent = failure.cause == FailCause::Quarantined;
        CallError {
            status,
            code,
            message: message.to_owned(),
            ran: failure.ran,
            retry_after: (!is_permanent).then_some(failure.retry_after),
        }
    }
}

fn failure_text(cause: FailCause) -> (StatusCode, &'static str, &'static str) {
    let (unavailable, bad) = (StatusCode::ServiceUnavailable, StatusCode::BadGateway);
    match cause {
        FailCause::Deadline => {
            (StatusCode::GatewayTimeout, "deadline", "the request didn't end by its deadline")
        }
        FailCause::TooLate => (
            unavailable,
            "too_late",
            "by the speeds measured meanwhile the first token would come too late",
        ),
        FailCause::NotSent => (unavailable, "not_sent", "no endpoint could be reached"),
        FailCause::Rejected => (unavailable, "rejected", "the endpoints took no work"),
        FailCause::Broken => (bad, "broken", "the connection to the endpoint broke"),
        FailCause::Silent => (bad, "silent", "the endpoint fell silent"),
        FailCause::EndpointError => (bad, "endpoint_error", "the endpoint failed"),
        FailCause::BadAnswer => {
            (bad, "bad_answer", "the endpoint's answer was not whole or not to this request")
        }
        FailCause::EndpointDied => (bad, "endpoint_died", "the endpoint died"),
        FailCause::Quarantined => (
            StatusCode::UnprocessableEntity,
            "quarantined",
            "endpoints died of this request, so it isn't run again",
        ),
        FailCause::Shed => (
            StatusCode::TooManyRequests,
            "shed",
            "the request was given up while it waited, because others had waited for their share",
        ),
        FailCause::RetryBudget => {
            (unavailable, "retry_budget", "too many requests are being retried")
        }
        FailCause::NoEndpoint => (unavailable, "no_endpoint", "no endpoint is left"),
    }
}
