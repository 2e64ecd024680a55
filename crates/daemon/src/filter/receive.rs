//! Reads the body within its limits and looks up the deployment that serves the request.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt, future::yield_now};
use http_types::{Body, StatusCode};
use policy::{Fingerprint, Model, RunStatus, Tokens, Workspace, config::RouteRules};
use router::resources::{Exhausted, Permit, REQUEST_BYTES};
use smol::Timer;
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    active::{ActiveConfig, Route},
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

/// Timeout for receiving a body. A million tokens over a slow office line take seconds; an upload
/// that takes longer than this is broken or hostile.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Bytes read at once.
const READ_BYTES: usize = 16 << 10;

/// Bytes read before the task yields its thread to others, and by which the buffer of a long body
/// grows.
const READ_CHUNK_BYTES: usize = 256 << 10;

/// Code of the error of a request for which there is no memory.
pub(super) const BUSY: &str = "busy";

/// Larger bodies are scanned on the blocking thread pool. At about a gigabyte per second, a body of
/// this size delays the other requests of a thread by a tenth of a millisecond.
const MAX_INLINE_SCAN_BYTES: usize = 64 << 10;

/// A request whose body has been received.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The completion or service call, parsed.
    pub details: CallDetails,
    /// The deployment that serves it.
    pub route: Route,
    /// The workspace that its key belongs to.
    pub workspace: Workspace,
    /// The headers that the daemon evaluates.
    pub headers: RequestHeaders,
    /// The body, unchanged.
    pub body: Bytes,
    /// Room for the request and its body in the instance's memory.
    pub permit: Permit,
    /// Hash of the prompt, or of path and body for a plain service.
    pub fingerprint: Fingerprint,
    /// The configuration in force when the request was identified.
    pub active: Arc<ActiveConfig>,
    /// The caller's connection.
    pub conn: Arc<Connection>,
    /// Collects the data for the request's log entry and metrics.
    pub record: Arc<CallRecord>,
}

/// The parsed call, by kind.
#[derive(Debug, Clone)]
pub enum CallDetails {
    /// A completion by a model.
    Model(ModelCallDetails),
    /// A call to a plain service.
    Service(ServiceCallDetails),
}

/// A completion by a model.
#[derive(Debug, Clone)]
pub struct ModelCallDetails {
    /// The path of its API, which the engine serves under the same name.
    pub path: &'static str,
    /// The model that the body names.
    pub model: Model,
    /// The other members of the body that the daemon evaluates.
    pub scan: ScannedBody,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCallDetails {
    /// Group, method, path and headers of the call.
    pub target: ServiceTarget,
    /// The configured rules of its route; `None` where no route matches the path.
    pub rules: Option<RouteRules>,
}

impl ServiceCallDetails {
    /// Whether the call is idempotent. Calls without a configured route are.
    pub fn repeatable(&self) -> bool {
        self.rules.as_ref().is_none_or(|rules| rules.repeatable)
    }
}

/// The filter that reads the body.
pub struct Receive<N> {
    shared: Arc<Shared>,
    next: N,
}

impl<N> Receive<N> {
    /// Creates the filter in front of `next`.
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
        let mut permit = conn.holder().permit();
        permit.grow(REQUEST_BYTES).await.map_err(|Exhausted| busy())?;
        let body = read_body(body, max, &mut permit).await?;
        if !conn.holder().begin_service() {
            return Err(busy());
        }
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
            permit,
            fingerprint,
            active,
            conn,
            record,
        };
        self.next.handle(received).await
    }
}

/// The error of a request for which there is no memory.
pub fn busy() -> CallError {
    CallError {
        status: StatusCode::ServiceUnavailable,
        code: BUSY,
        message: "too many large requests are coming in at once".to_owned(),
        ran: RunStatus::No,
        retry_after: Some(Duration::from_secs(2)),
    }
}

async fn read_body(body: Body, max: usize, permit: &mut Permit) -> Result<Bytes, CallError> {
    let timeout = async {
        Timer::after(BODY_TIMEOUT).await;
        let message = "the body didn't come in time";
        Err(CallError::caller(StatusCode::RequestTimeout, "body_timeout", message))
    };
    let bytes = read_all(body, max, permit).or(timeout).await?;
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

/// Reads at most `max + 1` bytes, so that the caller can detect a body that is too large. The buffer
/// grows with what arrives, not with what is announced.
async fn read_all(mut body: Body, max: usize, permit: &mut Permit) -> Result<Bytes, CallError> {
    let malformed = |_| CallError::malformed("the body broke off or isn't framed as the head says");
    let expected = body.len();
    let held = permit.bytes();
    let mut bytes = Vec::new();
    let mut part = vec![0; expected.map_or(READ_BYTES, |len| len.clamp(1, READ_BYTES))];
    let mut unyielded = 0;
    while bytes.len() <= max {
        let len = body.read(&mut part).await.map_err(malformed)?;
        if len == 0 {
            break;
        }
        if bytes.len() + len > bytes.capacity() {
            let more = expected.map_or(READ_CHUNK_BYTES, |len| len.saturating_sub(bytes.len()));
            let more = more.min(bytes.len().clamp(READ_BYTES, READ_CHUNK_BYTES)).max(len);
            permit.grow_to(held + bytes.len() + more).await.map_err(|Exhausted| busy())?;
            bytes.reserve_exact(more);
        }
        bytes.extend_from_slice(&part[..len]);
        unyielded += len;
        if unyielded >= READ_CHUNK_BYTES {
            unyielded = 0;
            yield_now().await;
        }
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
