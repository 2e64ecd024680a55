//! Parses the head of a request: its target and the headers that the daemon evaluates.

use std::{sync::Arc, time::Duration};

use http_types::{Body, Method, Request, StatusCode};
use policy::{EndpointGroup, Refusal, RefusalReason, RunStatus, config::Version};
use protocols::service::Header;

use crate::{
    error::CallError,
    filter::{Answer, Handler, InboundRequest},
    record::CallRecord,
    server::{connection::Connection, respond::REQUEST_ID, router},
    shared::{Shared, Stage},
};

/// Maximum length of `Idempotency-Key`, `traceparent` and `x-request-id`. Their values are stored,
/// logged and forwarded.
const MAX_HEADER_VALUE_BYTES: usize = 256;

/// `Retry-After` of an instance that is stopping or has no configuration yet. The load balancer
/// sends the retry to another instance, so the delay need not outlast the stop.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request headers that are forwarded to plain services.
const FORWARDED_HEADERS: [&str; 6] =
    ["accept", "accept-language", "content-type", "idempotency-key", "traceparent", "tracestate"];

/// A request whose head has been parsed.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The completion or service that it calls.
    pub target: RequestTarget,
    /// The headers that the daemon evaluates.
    pub headers: RequestHeaders,
    /// The body as an unread stream.
    pub body: Body,
    /// The caller's connection.
    pub conn: Arc<Connection>,
    /// Collects the data for the request's log entry and metrics.
    pub record: Arc<CallRecord>,
}

/// The completion or service that a request calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestTarget {
    /// A completion, with the path of its API.
    Model(&'static str),
    /// A call to a plain service.
    Service(ServiceTarget),
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTarget {
    /// The endpoint group, from the path's second segment.
    pub group: EndpointGroup,
    /// The HTTP method; only those that `parse_service_target` allows.
    pub method: Method,
    /// The path below `/services/<group>`, without the query.
    pub path: String,
    /// The query string without `?`.
    pub query: Option<String>,
    /// The headers to forward.
    pub headers: Vec<Header>,
}

/// The headers that the daemon evaluates.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestHeaders {
    /// The key from `Authorization: Bearer`.
    pub bearer: Option<String>,
    /// `x-deadline-ms`: the time allowed from the arrival of the head.
    pub deadline: Option<Duration>,
    /// `Idempotency-Key`, 1 to 256 bytes.
    pub idempotency_key: Option<String>,
    /// `traceparent`, forwarded to engines unchanged.
    pub traceparent: Option<String>,
}

/// The path of the chat completions API.
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";
/// The path of the text completions API.
pub(super) const COMPLETIONS_PATH: &str = "/v1/completions";

/// The filter that parses the head.
pub struct Parse<N> {
    shared: Arc<Shared>,
    next: N,
}

impl<N> Parse<N> {
    /// Creates the filter in front of `next`.
    pub fn new(shared: Arc<Shared>, next: N) -> Self {
        Parse { shared, next }
    }
}

impl<N: Handler<ParsedRequest>> Handler<InboundRequest> for Parse<N> {
    async fn handle(&self, mut inbound: InboundRequest) -> Result<Answer, CallError> {
        check_framing(&inbound.req)?;
        check_accepts_requests(&self.shared)?;
        let target = parse_target(&inbound.req)?;
        let headers = request_headers(&inbound.req)?;
        let body = inbound.req.take_body();
        let (conn, record) = (inbound.conn, inbound.record);
        self.next.handle(ParsedRequest { target, headers, body, conn, record }).await
    }
}

/// Refuses requests with ambiguous body framing.
///
/// Guards against request smuggling: this daemon and a proxy in front of it disagree where a body
/// ends, and one of them parses a part of the body as the next caller's request. The error answer
/// closes the connection.
fn check_framing(req: &Request) -> Result<(), CallError> {
    if req.header("content-length").is_some_and(|values| values.iter().count() > 1) {
        return Err(CallError::malformed("header `content-length` stands twice"));
    }
    let encoding = text_header(req, "transfer-encoding");
    if encoding.is_some_and(|encoding| !encoding.eq_ignore_ascii_case("chunked")) {
        return Err(CallError::malformed("header `transfer-encoding`: only `chunked` is served"));
    }
    Ok(())
}

fn check_accepts_requests(shared: &Shared) -> Result<(), CallError> {
    if shared.stage() == Stage::Refusing {
        let refusal = Refusal::new(RefusalReason::Stopping, RETRY_AFTER);
        return Err(refusal.into());
    }
    if shared.active().version == Version(0) {
        return Err(CallError {
            status: StatusCode::ServiceUnavailable,
            code: "not_ready",
            message: "this instance has no configuration yet".to_owned(),
            ran: RunStatus::No,
            retry_after: Some(RETRY_AFTER),
        });
    }
    Ok(())
}

fn parse_target(req: &Request) -> Result<RequestTarget, CallError> {
    let path = req.url().path();
    if let Some(rest) = path.strip_prefix("/services/") {
        return parse_service_target(req, rest).map(RequestTarget::Service);
    }
    let path = match path {
        CHAT_PATH => CHAT_PATH,
        COMPLETIONS_PATH => COMPLETIONS_PATH,
        _ => return Err(router::not_found_error(path)),
    };
    match req.method() {
        Method::Post => Ok(RequestTarget::Model(path)),
        method => Err(method_not_allowed(method, path)),
    }
}

fn parse_service_target(req: &Request, rest: &str) -> Result<ServiceTarget, CallError> {
    let (group, path) = rest.split_once('/').unwrap_or((rest, ""));
    let group = group
        .parse()
        .map_err(|e| CallError::malformed(format!("path, after `/services/`: {e}")))?;
    let method = req.method();
    // Answers to other methods, such as HEAD, may lack the body that `content-length` announces.
    let allowed = [Method::Get, Method::Post, Method::Put, Method::Patch, Method::Delete];
    if !allowed.contains(&method) {
        return Err(method_not_allowed(method, req.url().path()));
    }
    let headers = FORWARDED_HEADERS.into_iter().filter_map(|name| {
        let value = text_header(req, name)?;
        Some(Header { name: name.to_owned(), value: value.to_owned() })
    });
    Ok(ServiceTarget {
        group,
        method,
        path: format!("/{path}"),
        query: req.url().query().map(str::to_owned),
        headers: headers.collect(),
    })
}

fn method_not_allowed(method: Method, path: &str) -> CallError {
    let message = format!("`{method}` isn't served at `{path}`");
    CallError::caller(StatusCode::MethodNotAllowed, "method_not_allowed", message)
}

fn request_headers(req: &Request) -> Result<RequestHeaders, CallError> {
    Ok(RequestHeaders {
        bearer: super::workspace::bearer(req),
        deadline: parse_deadline(req)?,
        idempotency_key: bounded_header(req, "idempotency-key")?,
        traceparent: bounded_header(req, "traceparent")?,
    })
}

fn parse_deadline(req: &Request) -> Result<Option<Duration>, CallError> {
    let Some(text) = text_header(req, "x-deadline-ms") else { return Ok(None) };
    let millis: u64 = text.parse().ok().filter(|millis| *millis > 0).ok_or_else(|| {
        let text: String = text.chars().take(32).collect();
        let message = format!(
            "header `x-deadline-ms`: expected a count of milliseconds above zero, found {text:?}"
        );
        CallError::malformed(message)
    })?;
    Ok(Some(Duration::from_millis(millis)))
}

fn bounded_header(req: &Request, name: &'static str) -> Result<Option<String>, CallError> {
    let Some(text) = text_header(req, name) else { return Ok(None) };
    if text.is_empty() || text.len() > MAX_HEADER_VALUE_BYTES {
        let message = format!(
            "header `{name}`: expected 1 to {MAX_HEADER_VALUE_BYTES} bytes, found {}",
            text.len()
        );
        return Err(CallError::malformed(message));
    }
    Ok(Some(text.to_owned()))
}

/// The caller's `x-request-id`, if it is printable ASCII within the length limit.
pub(crate) fn request_id(req: &Request) -> Option<String> {
    let text = text_header(req, REQUEST_ID)?;
    let usable = (1..=MAX_HEADER_VALUE_BYTES).contains(&text.len())
        && text.bytes().all(|b| b.is_ascii_graphic());
    usable.then(|| text.to_owned())
}

/// The last value of a header, as text.
pub(super) fn text_header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.header(name).map(|values| values.last().as_str().trim())
}
