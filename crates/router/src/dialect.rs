//! What an outside system's headers say, as facts. One type for each wire format implements it.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, request, response};
use policy::{EndpointId, Workspace};

/// What a caller says of a request besides its method, path and body.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestMetadata {
    /// The caller's own name for this request.
    pub request_id: Option<String>,
    /// The host by which routes are chosen, without a port.
    pub host: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub api_key: Option<String>,
    /// Tokens of the prompt and the most of the answer, where the caller counts them.
    pub tokens: Option<(u64, u64)>,
    /// The last event that the caller has of a stream that it resumes.
    pub last_event_id: Option<u64>,
}

/// What an endpoint is told besides what the caller sent.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptMetadata<'a> {
    /// How long the caller still waits.
    pub time_left: Duration,
    /// The endpoint that is meant; another one at the same address refuses.
    pub endpoint: &'a EndpointId,
    /// Whose request it is.
    pub workspace: Option<&'a Workspace>,
    /// Rank on the engine; zero goes first.
    pub priority: Option<u8>,
    /// Engines that read a part of the prompt.
    pub helpers: &'a [HelperEngine],
    /// The last event that the caller has, where the answer goes on behind it.
    pub resume_after: Option<u64>,
}

/// An engine that reads a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HelperEngine {
    /// Where it listens.
    pub address: SocketAddr,
    /// The reservation that holds a part of the prompt's memory there.
    pub reservation: Option<String>,
}

/// An order to an engine, as it goes out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservationRequest {
    /// The path.
    pub path: &'static str,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What an endpoint says of an answer besides its status and body.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseMetadata {
    /// The request that it answers, as the caller named it.
    pub request_id: Option<String>,
    /// The endpoint declares that it didn't run the request and won't.
    pub not_run: bool,
    /// The endpoint vouches that this is its answer.
    pub is_sealed: bool,
    /// Where another endpoint is at fault: its address.
    pub at_fault: Option<SocketAddr>,
}

/// A request whose headers can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidHeader {
    /// The header.
    pub name: &'static str,
    /// What was expected.
    pub expected: &'static str,
}

/// Reads and writes one wire format's headers. It decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// What a caller says.
    ///
    /// # Errors
    ///
    /// The first header that can't be read.
    fn read_request(&self, head: &request::Parts) -> Result<RequestMetadata, InvalidHeader>;

    /// The caller's own name for a request, for logs.
    fn request_id(&self, headers: &HeaderMap) -> Option<String>;

    /// The headers of an attempt: the caller's, less what concerns only its connection and what
    /// endpoints must not see, and what the endpoint is told.
    fn write_attempt(&self, caller: &HeaderMap, attempt: &AttemptMetadata<'_>) -> HeaderMap;

    /// What an endpoint says.
    fn read_response(&self, head: &response::Parts) -> ResponseMetadata;

    /// An order to reserve memory under an id for a while, or to go on doing so.
    fn reserve(
        &self,
        endpoint: &EndpointId,
        id: &str,
        tokens: u64,
        hold: Duration,
    ) -> ReservationRequest;

    /// An order to end a reservation.
    fn release(&self, endpoint: &EndpointId, id: &str) -> ReservationRequest;

    /// The endpoint's headers as the caller gets them.
    fn response_headers(&self, answer: &HeaderMap) -> HeaderMap;

    /// The path at which the balancer asks whether the instance is ready.
    fn ready_path(&self) -> &'static str;
}
