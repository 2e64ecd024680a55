//! Description of a request as used by the scheduler.

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Model, RequestId, Time, Tokens, Workspace};

/// Kind of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// A completion by a model.
    Model(Model),
    /// A call to a plain service.
    Service,
}

/// A request as the scheduler sees it. Sizes are estimated from the length of the body; the
/// engine's own counts replace them once they are reported.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestSpec {
    /// Id of the request, unique within this incarnation of the instance.
    pub id: RequestId,
    /// The workspace whose share of the capacity the request uses.
    pub workspace: Workspace,
    /// Whether the request is for a model or a plain service.
    pub kind: CallKind,
    /// Estimated prompt size; [`RequestSpec::SERVICE_CALL_TOKENS`] for a service call.
    pub prompt: Tokens,
    /// Limit on the generated tokens.
    pub max_output: Tokens,
    /// When the request was received.
    pub arrived: Time,
    /// When the request must have finished or failed.
    pub deadline: Time,
    /// Deadline of the first token: the route's bound, if it has one; otherwise the deadline minus
    /// the time needed for decoding.
    pub first_token_by: Option<Time>,
    /// Hashes of the prompt's leading blocks, each covering all blocks before it, so that equal
    /// hashes at position n mean an equal prefix of n + 1 blocks.
    pub prefix: Vec<u64>,
    /// Hash of the body.
    pub fingerprint: Fingerprint,
    /// Whether the request may be run again although it may already have been run (it is
    /// idempotent).
    pub repeatable: bool,
}

impl RequestSpec {
    /// Weight of one call to a plain service, in tokens. Only its ratio to other service calls
    /// matters, because services and engines never share an endpoint.
    pub const SERVICE_CALL_TOKENS: Tokens = Tokens(100);

    /// Size of one prefix block. 256 tokens keep the hash chain of a million-token prompt below
    /// 4,000 hashes. Engines cache in smaller blocks, and this size is a multiple of theirs.
    pub const PREFIX_BLOCK_TOKENS: Tokens = Tokens(256);

    /// Memory that the request needs on an engine if its output reaches the limit.
    pub fn footprint(&self) -> Tokens {
        self.prompt + self.max_output
    }
}
