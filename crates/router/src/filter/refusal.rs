//! Answers of the instance's own where no endpoint's answer is passed on.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use super::ResponseBody;

/// Why an instance answers itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// A header or the body can't be read.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// The body didn't come in time.
    Slow,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// No configuration is known yet, or it is too old to tell whose key is whose.
    Stale,
    /// No endpoint may run it now.
    NoEndpoint,
    /// Its answer would come after its caller's time.
    TooLate,
    /// Others would lose more by it than it is worth.
    Crowded,
    /// The instance stops before it would be done.
    Stopping,
    /// Endpoints died of it.
    Quarantined,
    /// Endpoints refused it without running it.
    Rejected,
    /// An endpoint failed, and whether it ran the request is unknown.
    Unknown,
    /// The time is over.
    Expired,
}

impl Reason {
    /// The reason as it stands in bodies, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::TooLarge => "too_large",
            Reason::Slow => "slow_body",
            Reason::NoRoute => "no_route",
            Reason::NoKey => "no_key",
            Reason::Stale => "configuration_stale",
            Reason::NoEndpoint => "no_endpoint",
            Reason::TooLate => "too_late",
            Reason::Crowded => "crowded",
            Reason::Stopping => "stopping",
            Reason::Quarantined => "quarantined",
            Reason::Rejected => "rejected",
            Reason::Unknown => "outcome_unknown",
            Reason::Expired => "expired",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An answer of the instance's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// HTTP status.
    pub status: StatusCode,
    /// When asking again is likely to succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A request that the caller has to change.
    pub fn caller(reason: Reason, status: StatusCode) -> Refusal {
        Refusal { reason, status, retry_after: None }
    }

    /// A request that has not run and won't.
    pub fn not_run(reason: Reason, retry_after: Duration) -> Refusal {
        let retry_after = Some(retry_after);
        Refusal { reason, status: StatusCode::SERVICE_UNAVAILABLE, retry_after }
    }

    /// A request that may have run.
    pub fn unknown(reason: Reason) -> Refusal {
        let status = match reason {
            Reason::Expired => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Refusal { reason, status, retry_after: None }
    }

    /// The answer.
    pub fn response(self) -> Response<ResponseBody> {
        let text = format!("{{\"error\":\"{}\"}}", self.reason);
        let mut resp = Response::new(ResponseBody::whole(Bytes::from(text)));
        *resp.status_mut() = self.status;
        let headers = resp.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        resp
    }
}
