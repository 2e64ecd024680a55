//! Identifies the workspace of a request by its bearer key.

use std::sync::Arc;

use http_types::{Request, StatusCode};
use policy::Workspace;

use crate::{
    active::ActiveConfig,
    error::CallError,
    filter::{Answer, Handler, ParsedRequest, parse::text_header},
    shared::Shared,
};

/// A request whose workspace has been identified. This precedes reading the body, so that callers
/// without a valid key can't make an instance buffer megabytes.
#[derive(Debug)]
pub struct IdentifiedRequest {
    /// The request, with its body unread.
    pub parsed: ParsedRequest,
    /// The workspace that its key belongs to.
    pub workspace: Workspace,
    /// The configuration in force when the request was identified.
    pub active: Arc<ActiveConfig>,
}

/// The filter that identifies the workspace.
pub struct Identify<N> {
    shared: Arc<Shared>,
    next: N,
}

impl<N> Identify<N> {
    /// Creates the filter in front of `next`.
    pub fn new(shared: Arc<Shared>, next: N) -> Self {
        Identify { shared, next }
    }
}

impl<N: Handler<IdentifiedRequest>> Handler<ParsedRequest> for Identify<N> {
    async fn handle(&self, parsed: ParsedRequest) -> Result<Answer, CallError> {
        let active = self.shared.active();
        let workspace = identify(&active, parsed.headers.bearer.as_deref())?;
        parsed.record.update(|summary| summary.workspace = Some(workspace.clone()));
        self.next.handle(IdentifiedRequest { parsed, workspace, active }).await
    }
}

/// The key from `Authorization: Bearer`; `None` for other schemes.
pub fn bearer(req: &Request) -> Option<String> {
    let (scheme, key) = text_header(req, "authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}

/// The workspace that `key` belongs to.
///
/// # Errors
///
/// 401 for a missing or unknown key.
pub fn identify(active: &ActiveConfig, key: Option<&str>) -> Result<Workspace, CallError> {
    let unauthorized =
        |message| CallError::caller(StatusCode::Unauthorized, "unauthorized", message);
    let key = key.ok_or_else(|| {
        unauthorized("header `authorization`: expected `Bearer` and a workspace's key")
    })?;
    let workspace = active.workspace(key.as_bytes());
    workspace.cloned().ok_or_else(|| unauthorized("header `authorization`: the key is unknown"))
}
