//! Which route a request takes, and whose it is.

use std::{sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use policy::{
    Workspace,
    routes::{Owner, Route, RouteTable},
};

use super::{Handler, Refusal, ResponseBody, refusal::Reason};
use crate::{
    dialect::{Dialect, RequestMetadata},
    state::Configuration,
};

/// Beyond this age a route or key that isn't there may have been added meanwhile; asking again
/// after a moment is better than hearing that it doesn't exist. News arrive at once, so a reading
/// that is held while nothing changes is no sign of age; beyond its end and a retry it is.
const TRUSTED_FOR: Duration = Duration::from_millis(3_300);

/// When to come back to an instance that knows too little: two readings of the configuration.
const KNOWN_SOON: Duration = Duration::from_millis(500);

/// The part of the operators' bound for revoked keys up to which a table of keys is trusted. The
/// rest covers what lies between the look at the clock and the endpoint.
const REVOKE_MARGIN: f64 = 0.9;

/// A request whose route and workspace are known.
#[derive(Debug)]
pub struct Identified {
    /// The request.
    pub req: Request<Incoming>,
    /// What the caller says of it.
    pub caller: RequestMetadata,
    /// The configuration it began with.
    pub table: Arc<RouteTable>,
    /// Its route.
    pub route: Arc<Route>,
    /// Whose it is, where its route asks for a key.
    pub owner: Option<Owner>,
}

impl Identified {
    /// The workspace.
    pub fn workspace(&self) -> Option<&Workspace> {
        self.owner.as_ref().map(|owner| &owner.workspace)
    }
}

/// Finds route and workspace.
pub struct Identify<D, N> {
    dialect: Arc<D>,
    configuration: Arc<Configuration>,
    /// How long a key that was taken away may still run.
    revoke: Duration,
    next: N,
}

impl<D, N> Identify<D, N> {
    /// Passes on to `next`.
    pub fn new(
        dialect: Arc<D>,
        configuration: Arc<Configuration>,
        revoke: Duration,
        next: N,
    ) -> Self {
        Identify { dialect, configuration, revoke, next }
    }

    /// 404 or 401, unless the configuration is too old to be sure.
    fn absent(&self, reason: Reason, status: StatusCode) -> Refusal {
        match self.configuration.age() {
            Some(age) if age <= TRUSTED_FOR => Refusal::caller(reason, status),
            _ => Refusal::not_run(Reason::Stale, KNOWN_SOON),
        }
    }

    fn owner(
        &self,
        table: &RouteTable,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Owner>, Refusal> {
        if !table.keys.is_required() || route.is_public {
            return Ok(None);
        }
        if self.configuration.age().is_none_or(|age| age > self.revoke.mul_f64(REVOKE_MARGIN)) {
            return Err(Refusal::not_run(Reason::Stale, KNOWN_SOON));
        }
        let owner = key.and_then(|key| table.keys.owner(key));
        owner.cloned().map(Some).ok_or_else(|| self.absent(Reason::NoKey, StatusCode::UNAUTHORIZED))
    }
}

impl<D: Dialect, N: Handler<Identified>> Handler<Request<Incoming>> for Identify<D, N> {
    async fn handle(&self, req: Request<Incoming>) -> Result<Response<ResponseBody>, Refusal> {
        let (head, body) = req.into_parts();
        let caller = self
            .dialect
            .read_request(&head)
            .map_err(|_| Refusal::caller(Reason::Malformed, StatusCode::BAD_REQUEST))?;
        let table = self.configuration.table();
        if table.version.0 == 0 {
            return Err(Refusal::not_run(Reason::Stale, KNOWN_SOON));
        }
        let route = table.find(&caller.host, head.uri.path()).cloned();
        let route = route.ok_or_else(|| self.absent(Reason::NoRoute, StatusCode::NOT_FOUND))?;
        let owner = self.owner(&table, &route, caller.api_key.as_deref())?;
        let req = Request::from_parts(head, body);
        self.next.handle(Identified { req, caller, table, route, owner }).await
    }
}
