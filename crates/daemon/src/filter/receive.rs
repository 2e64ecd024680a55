//! Reads the body within its limits and finds out what the request needs.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt, future::yield_now};
use http_types::{Body, StatusCode};
use policy::{Fingerprint, Model, RunStatus, Tokens, Workspace, config::RouteRules};
use smol::Timer;
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    active::{ActiveConfig, Route},
    budget::BodyPermit,
    error::CallError,
    filter::{
        Answer, Handler, ParsedRequest, RequestHeaders, RequestTarget,
        parse::{CHAT_PATH, ServiceTarget},
        scan::{PromptMember, ScannedBody, scan},
        workspace::IdentifiedRequest,
    },
    record::CallRecord,
    server::connection::Connection,
    shared::Shared,
};

/// How long a body may take to come in. A million tokens over a slow office line take seconds;
/// one that takes longer than this is a broken or hostile upload.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// How much is read before others get their turn on the thread.
const READ_CHUNK_BYTES: usize = 256 << 10;

/// Bodies above this are scanned on a thread of their own: at about a gigabyte a second, this
/// much holds up the other requests of a thread by a tenth of a millisecond.
const MAX_INLINE_SCAN_BYTES: usize = 64 << 10;

/// A request that came in whole.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// What it needs.
    pub details: CallDetails,
    /// Its deployment.
    pub route: Route,
    /// Whose it is.
    pub workspace: Workspace,
    /// The headers that govern it.
    pub headers: RequestHeaders,
    /// Its body as it came.
    pub body: Bytes,
    /// Its part of the bytes that may be held at once.
    pub body_permit: BodyPermit,
    /// Hash of the prompt, or of path and body for a plain service.
    pub fingerprint: Fingerprint,
    /// The configuration it began with.
    pub active: Arc<ActiveConfig>,
    /// Its connection.
    pub conn: Arc<Connection>,
    /// Its record.
    pub record: Arc<CallRecord>,
}

/// What a request needs.
#[derive(Debug, Clone)]
pub enum CallDetails {
    /// A completion.
    Model(ModelCallDetails),
    /// A call to a plain service.
    Service(ServiceCallDetails),
}

/// A completion.
#[derive(Debug, Clone)]
pub struct ModelCallDetails {
    /// Its path.
    pub path: &'static str,
    /// The model.
    pub model: Model,
    /// What else the body says.
    pub scan: ScannedBody,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCallDetails {
    /// What is called.
    pub target: ServiceTarget,
    /// The rules of its route, if any.
    pub rules: Option<RouteRules>,
}

impl ServiceCallDetails {
    /// Whether the call is idempotent.
    pub fn repeatable(&self) -> bool {
        self.rules.as_ref().is_none_or(|rules| rules.repeatable)
    }
}

/// Reads the body.
pub struct Receive<N> {
    shared: Arc<Shared>,
    next: N,
}

impl<N> Receive<N> {
    /// Passes on to `next`.
    pub fn new(shared: Arc<Shared>, next: N) -> Self {
        Receive { shared, next }
    }
}

impl<N: Handler<ReceivedRequest>> Handler<IdentifiedRequest> for Receive<N> {
    async fn handle(&self, identified: IdentifiedRequest) -> Result<Answer, CallError> {
        let IdentifiedRequest { parsed, workspace, active } = identified;
        let ParsedRequest { target, headers, body, conn, record } = parsed;
        let max = self.shared.settings.max_body;
        check_size(&body, max)?;
        let mut body_permit = self
            .shared
            .body_budget
            .try_acquire(body.len().unwrap_or(max))
            .ok_or_else(body_budget_exhausted)?;
        let body = read_body(body, max).await?;
        body_permit.shrink_to(body.len());
        let (details, route, fingerprint) = match target {
            RequestTarget::Model(path) => {
                let scan = scan_body(path, body.clone()).await?;
                let model = parse_model(&scan)?;
                let route =
                    active.model_route(&model).cloned().ok_or_else(|| unknown_model(&model))?;
                let fingerprint = scan.prompt.fingerprint;
                (CallDetails::Model(ModelCallDetails { path, model, scan }), route, fingerprint)
            }
            RequestTarget::Service(target) => {
                let route = active.service_route(&target.group).cloned();
                let route = route.ok_or_else(|| unknown_service(&target))?;
                let rules = route.rules.route(&target.path).cloned();
                let fingerprint = fingerprint(&target.path, &body);
                (CallDetails::Service(ServiceCallDetails { target, rules }), route, fingerprint)
            }
        };
        record.update(|summary| {
            summary.deployment = Some(route.deployment.name.clone());
            summary.prompt = prompt_tokens(&details);
        });
        let received = ReceivedRequest {
            details,
            route,
            workspace,
            headers,
            body,
            body_permit,
            fingerprint,
            active,
            conn,
            record,
        };
        self.next.handle(received).await
    }
}

fn body_budget_exhausted() -> CallError {
    CallError {
        status: StatusCode::ServiceUnavailable,
        code: "busy",
        message: "too many large requests are coming in at once".to_owned(),
        ran: RunStatus::No,
        retry_after: Some(Duration::from_secs(2)),
    }
}

async fn read_body(body: Body, max: usize) -> Result<Bytes, CallError> {
    let limit = async {
        Timer::after(BODY_TIMEOUT).await;
        let message = "the body didn't come in time";
        Err(CallError::caller(StatusCode::RequestTimeout, "body_timeout", message))
    };
    let bytes = read_all(body, max).or(limit).await?;
    if bytes.len() > max {
        return Err(too_large(max));
    }
    Ok(bytes)
}

fn check_size(body: &Body, max: usize) -> Result<(), CallError> {
    match body.len().is_some_and(|len| len > max) {
        true => Err(too_large(max)),
        false => Ok(()),
    }
}

fn too_large(max: usize) -> CallError {
    let message = format!("the body has more than {max} bytes");
    CallError::caller(StatusCode::PayloadTooLarge, "body_too_large", message)
}

/// Reads at most one byte more than `max`.
async fn read_all(body: Body, max: usize) -> Result<Bytes, CallError> {
    let malformed = |_| CallError::malformed("the body broke off or isn't framed as the head says");
    let expected = body.len();
    let mut bytes = Vec::with_capacity(expected.unwrap_or(0).min(max));
    let mut body = body.take(max as u64 + 1);
    loop {
        let before = bytes.len();
        let mut step = (&mut body).take(READ_CHUNK_BYTES as u64);
        step.read_to_end(&mut bytes).await.map_err(malformed)?;
        if bytes.len() - before < READ_CHUNK_BYTES {
            break;
        }
        yield_now().await;
    }
    if expected.is_some_and(|expected| bytes.len() < expected.min(max)) {
        return Err(CallError::malformed("the body is shorter than `content-length` says"));
    }
    Ok(bytes.into())
}

async fn scan_body(path: &'static str, body: Bytes) -> Result<ScannedBody, CallError> {
    let member = if path == CHAT_PATH { PromptMember::Messages } else { PromptMember::Prompt };
    let inline = body.len() <= MAX_INLINE_SCAN_BYTES;
    let scan_task = move || scan(&body, member);
    let scanned = if inline { scan_task() } else { smol::unblock(scan_task).await };
    scanned.map_err(CallError::malformed)
}

fn fingerprint(path: &str, body: &[u8]) -> Fingerprint {
    Fingerprint(xxh3_128(body) ^ xxh3_128(path.as_bytes()))
}

fn parse_model(scan: &ScannedBody) -> Result<Model, CallError> {
    Model::new(&scan.model).map_err(|e| CallError::malformed(format!("member `model`: {e}")))
}

fn unknown_model(model: &Model) -> CallError {
    let message = format!("member `model`: no deployment serves `{model}`");
    CallError::caller(StatusCode::NotFound, "unknown_model", message)
}

fn unknown_service(target: &ServiceTarget) -> CallError {
    let message = format!("path: no plain service is called `{}`", target.group);
    CallError::caller(StatusCode::NotFound, "unknown_service", message)
}

fn prompt_tokens(details: &CallDetails) -> Tokens {
    match details {
        CallDetails::Model(details) => details.scan.prompt.tokens,
        CallDetails::Service(_) => Tokens::ZERO,
    }
}
