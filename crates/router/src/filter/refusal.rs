//! Responses that the instance produces itself when no endpoint's response is passed on.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use super::ResponseBody;

/// Why the instance refuses a request or ends it without an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// A header or the body is malformed.
    Malformed,
    /// The body exceeds the limit.
    TooLarge,
    /// The body didn't arrive before the deadline.
    BodyTimeout,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    NoKey,
    /// An attempt that is meant for an endpoint, at whose registered address this instance listens.
    Misdirected,
    /// No configuration is known yet, or it is too old to accept or reject the request by it.
    ConfigurationStale,
    /// No endpoint may run the request now.
    NoEndpoint,
    /// All endpoints that might run the request are in drained data centres.
    Drained,
    /// All endpoints that might run the request are warming up.
    WarmingUp,
    /// All endpoints that might run the request take only a limited number of requests.
    Limited,
    /// All endpoints have asked this instance for rest.
    Resting,
    /// The answer would miss the caller's deadline.
    TooLate,
    /// The instance has no memory for the request, or closes its connection for others.
    Overloaded,
    /// Admission control: running the request would cost other requests more than it is worth.
    Crowded,
    /// The instance will stop before the request would be finished.
    Stopping,
    /// The instance has stopped before the request was finished.
    CutOff,
    /// The request is quarantined, because endpoints died while running it.
    Quarantined,
    /// Endpoints refused the request without running it.
    Rejected,
    /// A request that a peer passed on isn't taken: this instance reaches no endpoint either, is
    /// stopping or is busy with others.
    Unreachable,
    /// An endpoint failed, and it is unknown whether the request ran.
    OutcomeUnknown,
    /// The caller's deadline has passed.
    Expired,
    /// A fault of this instance ended the work on the request.
    Fault,
}

impl Reason {
    /// The reason as written in response bodies, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::TooLarge => "too_large",
            Reason::BodyTimeout => "slow_body",
            Reason::NoRoute => "no_route",
            Reason::NoKey => "no_key",
            Reason::Misdirected => "misdirected",
            Reason::ConfigurationStale => "configuration_stale",
            Reason::NoEndpoint => "no_endpoint",
            Reason::Drained => "drained",
            Reason::WarmingUp => "warming_up",
            Reason::Limited => "limited",
            Reason::Resting => "resting",
            Reason::TooLate => "too_late",
            Reason::Overloaded => "overloaded",
            Reason::Crowded => "crowded",
            Reason::Stopping => "stopping",
            Reason::CutOff => "cut_off",
            Reason::Quarantined => "quarantined",
            Reason::Rejected => "rejected",
            Reason::Unreachable => "unreachable",
            Reason::OutcomeUnknown => "outcome_unknown",
            Reason::Expired => "expired",
            Reason::Fault => "fault",
        }
    }
}

impl Reason {
    /// Whether another instance may be able to serve the request.
    pub(super) fn is_local(self) -> bool {
        matches!(
            self,
            Reason::ConfigurationStale
                | Reason::NoEndpoint
                | Reason::Stopping
                | Reason::CutOff
                | Reason::Unreachable
                | Reason::Overloaded
        )
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A response of the instance itself instead of an endpoint's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Written into the body and the logs.
    pub reason: Reason,
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Value of the `Retry-After` header: when a retry is likely to succeed.
    pub retry_after: Option<Duration>,
    /// How often the request was refused before; none where that isn't tracked.
    pub returned: Option<u8>,
}

impl Refusal {
    /// A request that the caller has to change before it can succeed.
    pub fn client_error(reason: Reason, status: StatusCode) -> Refusal {
        Refusal { reason, status, retry_after: None, returned: None }
    }

    /// A request that hasn't run and won't.
    pub fn not_run(reason: Reason, retry_after: Duration) -> Refusal {
        let retry_after = Some(retry_after);
        Refusal { reason, status: StatusCode::SERVICE_UNAVAILABLE, retry_after, returned: None }
    }

    /// A request that may have run.
    pub fn outcome_unknown(reason: Reason) -> Refusal {
        let status = match reason {
            Reason::Expired => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Refusal { reason, status, retry_after: None, returned: None }
    }

    /// Whether the instance has stopped before it had an answer, and the request may have run.
    pub(super) fn is_cut_off(&self) -> bool {
        self.reason == Reason::CutOff && self.status == StatusCode::BAD_GATEWAY
    }

    /// Builds the HTTP response.
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
