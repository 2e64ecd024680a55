//! Whose request it is, by its bearer key.

use std::sync::Arc;

use http_types::{Request, StatusCode};
use policy::Workspace;

use crate::{
    active::ActiveConfig,
    error::CallError,
    filter::{Answer, Handler, ParsedRequest, parse::text_header},
    shared::Shared,
};

/// A request whose workspace is known. This comes before the body is read, so that nobody without
/// a key can make an instance hold megabytes.
#[derive(Debug)]
pub struct IdentifiedRequest {
    /// The request.
    pub parsed: ParsedRequest,
    /// Whose it is.
    pub workspace: Workspace,
    /// The configuration it began with.
    pub active: Arc<ActiveConfig>,
}

/// Finds the workspace.
pub struct Identify<N> {
    shared: Arc<Shared>,
    next: N,
}

impl<N> Identify<N> {
    /// Passes on to `next`.
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

/// The key of `Authorization: Bearer`, if any.
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
