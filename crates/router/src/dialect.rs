//! Converts an outside system's headers to and from plain values. Each wire format implements
//! [`Dialect`].

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, request, response};
use policy::{EndpointId, Workspace};

/// What a caller's headers and URI state about a request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestMetadata {
    /// The caller's id for this request.
    pub request_id: Option<String>,
    /// The host for choosing a route, without a port.
    pub host: String,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The API key.
    pub api_key: Option<String>,
    /// The endpoint that the request is meant for. Attempts name one, callers have no reason to.
    pub endpoint: Option<EndpointId>,
    /// Tokens of the prompt, and the maximum of the answer, if the caller states them.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt that other prompts may share.
    pub parts: StatedParts,
    /// Id of the last event received of a stream that the caller resumes.
    pub last_event_id: Option<u64>,
}

/// What a caller states of the parts of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatedParts {
    /// Ids of the parts that other prompts may share, in their order. The last part of a prompt belongs
    /// to its request or session alone.
    Shared(Vec<String>),
    /// A list that can't be read; the request is served without it.
    Invalid,
}

impl Default for StatedParts {
    fn default() -> StatedParts {
        StatedParts::Shared(Vec::new())
    }
}

/// What the router tells an endpoint in addition to the caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptMetadata<'a> {
    /// How long the caller will still wait.
    pub time_left: Duration,
    /// The intended endpoint; another one at the same address refuses the request.
    pub endpoint: &'a EndpointId,
    /// Workspace of the API key.
    pub workspace: Option<&'a Workspace>,
    /// Priority on the engine; 0 is the highest.
    pub priority: Option<u8>,
    /// Engines that prefill parts of the prompt.
    pub helpers: &'a [HelperEngine],
    /// Id of the last event that the caller has received, if the endpoint has to resume after it.
    pub resume_after: Option<u64>,
}

/// What an instance changes in a caller's request that it passes on to a peer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ForwardMetadata {
    /// How long the caller will still wait.
    pub time_left: Duration,
    /// Id of the last event that the caller has received, if the stream has to resume after it.
    pub resume_after: Option<u64>,
}

/// An engine that prefills a part of the prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HelperEngine {
    /// Address for the runner's requests.
    pub address: SocketAddr,
    /// Id of the reservation of KV memory for that part.
    pub reservation: Option<String>,
}

/// An HTTP POST that makes, renews or releases a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservationRequest {
    /// Path on the engine.
    pub path: &'static str,
    /// All headers except `Host`.
    pub headers: HeaderMap,
    /// Encoded content.
    pub body: Bytes,
}

/// What an endpoint's headers state about a response.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseMetadata {
    /// The caller's id of the request that this is the response to.
    pub request_id: Option<String>,
    /// Whether the endpoint declares that it hasn't run the request and won't.
    pub not_run: bool,
    /// Whether the response carries the endpoint's seal, which confirms that the endpoint produced
    /// it.
    pub is_sealed: bool,
    /// Address of another endpoint that caused the refusal.
    pub at_fault: Option<SocketAddr>,
    /// The limit on requests that the endpoint names.
    pub limit: StatedLimit,
    /// How long the endpoint wants no further request from this instance.
    pub rest: StatedRest,
    /// Whether the endpoint is leaving.
    pub is_leaving: bool,
}

/// What a response states about the requests that its endpoint takes from all instances together.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum StatedLimit {
    /// There is no limit.
    #[default]
    None,
    /// Requests a second.
    PerSecond(f64),
    /// A value that can't be a limit, as it was received.
    Invalid(String),
}

/// What a response states about the time for which its endpoint wants no request from the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum StatedRest {
    /// Nothing.
    #[default]
    None,
    /// From the response on.
    For(Duration),
    /// A value that can't be a time, as it was received.
    Invalid(String),
}

/// A request header that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidHeader {
    /// Name of the header.
    pub name: &'static str,
    /// Description of the expected value.
    pub expected: &'static str,
}

/// Reads and writes the headers of one wire format. It makes no decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// The first header that can't be parsed.
    fn read_request(&self, head: &request::Parts) -> Result<RequestMetadata, InvalidHeader>;

    /// The caller's request id, for logs.
    fn request_id(&self, headers: &HeaderMap) -> Option<String>;

    /// Headers of an attempt: those of the caller, without the ones that concern only its
    /// connection or that endpoints must not get, and the attempt's metadata.
    fn write_attempt(&self, caller: &HeaderMap, attempt: &AttemptMetadata<'_>) -> HeaderMap;

    /// Headers of a request that is passed on to a peer: those of the caller, without the ones that
    /// concern only its connection, and with the metadata in place of the caller's.
    fn write_forward(&self, caller: &HeaderMap, forward: &ForwardMetadata) -> HeaderMap;

    /// Reads the headers of a response.
    fn read_response(&self, head: &response::Parts) -> ResponseMetadata;

    /// Builds a request that reserves KV memory under an id for `hold`, or renews the reservation.
    fn reserve(
        &self,
        endpoint: &EndpointId,
        id: &str,
        tokens: u64,
        hold: Duration,
    ) -> ReservationRequest;

    /// Builds a request that releases a reservation.
    fn release(&self, endpoint: &EndpointId, id: &str) -> ReservationRequest;

    /// Address at which this instance reaches an endpoint, from the registered one. They differ where
    /// addresses are translated on the way.
    fn endpoint_address(&self, registered: SocketAddr) -> SocketAddr {
        registered
    }

    /// Headers for the caller's response, from those of the endpoint's.
    fn response_headers(&self, answer: &HeaderMap) -> HeaderMap;

    /// Path of the balancer's readiness probe.
    fn ready_path(&self) -> &'static str;
}
