//! What the decisions know of one request.

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Model, RequestId, Time, Tokens, Workspace};

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// A completion by this model.
    Model(Model),
    /// A call to a plain service.
    Service,
}

/// One request as the decisions see it. Sizes are estimates made from the body's length; the
/// engine's own counts replace them once it reports.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestSpec {
    /// The request, unique within this instance's life.
    pub id: RequestId,
    /// Whose share it counts against.
    pub workspace: Workspace,
    /// What it asks for.
    pub kind: CallKind,
    /// Estimated prompt size. For a service call, [`RequestSpec::SERVICE_CALL_TOKENS`].
    pub prompt: Tokens,
    /// The most tokens it may generate.
    pub max_output: Tokens,
    /// When the request came in.
    pub arrived: Time,
    /// When it has to have ended, whether finished or failed.
    pub deadline: Time,
    /// By when the first token must be out, where the route states a bound; otherwise the
    /// deadline less the time that generating takes.
    pub first_token_by: Option<Time>,
    /// Hashes of the prompt's leading blocks, each covering all blocks before it, so that equal
    /// hashes at position n mean an equal prefix of n + 1 blocks.
    pub prefix: Vec<u64>,
    /// Hash of the body.
    pub fingerprint: Fingerprint,
    /// Whether it may be run again after it may have been run once (it is idempotent).
    pub repeatable: bool,
}

impl RequestSpec {
    /// The weight of one call to a plain service, in tokens. Only its ratio to other service
    /// calls matters, because services and engines never share an endpoint.
    pub const SERVICE_CALL_TOKENS: Tokens = Tokens(100);

    /// Tokens of one prefix block. 256 tokens keep a million-token prompt's chain under 4,000
    /// hashes; engines cache in smaller blocks, whose multiples these are.
    pub const PREFIX_BLOCK_TOKENS: Tokens = Tokens(256);

    /// Memory the request needs on an engine when its output is as long as allowed.
    pub fn footprint(&self) -> Tokens {
        self.prompt + self.max_output
    }
}
