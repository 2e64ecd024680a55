//! Resolves a request's route and workspace.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use policy::{
    Time, Workspace,
    routes::{KeyOwner, Route, RouteTable},
};

use super::{Admitted, Handler, ReadAhead, Refusal, ResponseBody, refusal::Reason};
use crate::{
    dialect::{Dialect, RequestMetadata},
    request_body::RequestBody,
    serve::LocalAddress,
    state::{Configuration, Group, Groups},
};

/// Maximum age of the configuration at which a missing route or key is reported as such. With an
/// older one it may have been added in the meantime, so the caller is told to retry. Changes arrive
/// immediately, so a long poll that is held because nothing changes is no sign of staleness; an age
/// beyond such a poll and one retry is.
const MAX_AGE_FOR_NOT_FOUND: Duration = Duration::from_millis(3_300);

/// `Retry-After` of an instance whose configuration is too old: the time of two reads.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Share of the operators' limit for revoked keys up to which the key table is trusted. The rest
/// covers the time between the check here and the request's arrival at the endpoint.
const REVOKE_DELAY_SHARE: f64 = 0.9;

/// A request with its route and workspace.
#[derive(Debug)]
pub struct Identified {
    /// The request.
    pub req: Request<ReadAhead<RequestBody>>,
    /// When the head had been received.
    pub arrived: Time,
    /// What the caller's headers state.
    pub caller: RequestMetadata,
    /// The route table by which the request was resolved.
    pub table: Arc<RouteTable>,
    /// The route that matches host and path.
    pub route: Arc<Route>,
    /// Owner of the API key; `None` where no key is required.
    pub owner: Option<KeyOwner>,
}

impl Identified {
    /// Workspace of the API key; `None` where no key is required.
    pub fn workspace(&self) -> Option<&Workspace> {
        self.owner.as_ref().map(|owner| &owner.workspace)
    }
}

/// Filter that resolves route and workspace, and refuses requests without a valid API key.
pub struct Identify<D, N> {
    dialect: Arc<D>,
    configuration: Arc<Configuration>,
    groups: Arc<Groups>,
    /// How long a revoked key may still be accepted.
    max_revoke_delay: Duration,
    next: N,
}

impl<D, N> Identify<D, N> {
    /// Creates the filter in front of `next`.
    pub fn new(
        dialect: Arc<D>,
        configuration: Arc<Configuration>,
        groups: Arc<Groups>,
        max_revoke_delay: Duration,
        next: N,
    ) -> Self {
        Identify { dialect, configuration, groups, max_revoke_delay, next }
    }

    /// Whether the request is an attempt for an endpoint whose registered address is the one at
    /// which this instance accepted it.
    ///
    /// Guards against attempts that are placed again and again: routes without API keys would accept
    /// them like requests of callers.
    fn is_misdirected(&self, caller: &RequestMetadata, local_address: Option<SocketAddr>) -> bool {
        // Attempts carry no key.
        let RequestMetadata { api_key: None, endpoint: Some(endpoint), .. } = caller else {
            return false;
        };
        let is_here =
            |group: &Group| local_address.is_some_and(|at| group.address(endpoint) == Some(at));
        self.groups.all().iter().any(|group| is_here(group))
    }

    /// Refuses with `status`, unless the configuration is too old to be sure that the route or key
    /// is missing.
    fn not_found_or_stale(&self, reason: Reason, status: StatusCode) -> Refusal {
        match self.configuration.age() {
            Some(age) if age <= MAX_AGE_FOR_NOT_FOUND => Refusal::client_error(reason, status),
            _ => Refusal::not_run(Reason::ConfigurationStale, CONFIGURATION_RETRY_AFTER),
        }
    }

    fn owner(
        &self,
        table: &RouteTable,
        route: &Route,
        caller: &RequestMetadata,
    ) -> Result<Option<KeyOwner>, Refusal> {
        if !table.keys.is_required() || route.is_public {
            return Ok(None);
        }
        if self
            .configuration
            .age()
            .is_none_or(|age| age > self.max_revoke_delay.mul_f64(REVOKE_DELAY_SHARE))
        {
            return Err(Refusal::not_run(Reason::ConfigurationStale, CONFIGURATION_RETRY_AFTER));
        }
        let owner = caller.api_key.as_deref().and_then(|key| table.keys.owner(key));
        owner.cloned().map(Some).ok_or_else(|| match caller {
            // The sender of an attempt takes this response for another server's.
            RequestMetadata { api_key: None, endpoint: Some(_), .. } => misdirected(),
            _ => self.not_found_or_stale(Reason::NoKey, StatusCode::UNAUTHORIZED),
        })
    }
}

fn misdirected() -> Refusal {
    Refusal::client_error(Reason::Misdirected, StatusCode::MISDIRECTED_REQUEST)
}

impl<D: Dialect, N: Handler<Identified>> Handler<Admitted> for Identify<D, N> {
    async fn handle(&self, input: Admitted) -> Result<Response<ResponseBody>, Refusal> {
        let Admitted { req, arrived } = input;
        let (head, body) = req.into_parts();
        let caller = self
            .dialect
            .read_request(&head)
            .map_err(|_| Refusal::client_error(Reason::Malformed, StatusCode::BAD_REQUEST))?;
        let local_address = head.extensions.get().map(|LocalAddress(address)| *address);
        if self.is_misdirected(&caller, local_address) {
            return Err(misdirected());
        }
        let table = self.configuration.table();
        if table.version.0 == 0 {
            return Err(Refusal::not_run(Reason::ConfigurationStale, CONFIGURATION_RETRY_AFTER));
        }
        let route = table.find(&caller.host, head.uri.path()).cloned();
        let route =
            route.ok_or_else(|| self.not_found_or_stale(Reason::NoRoute, StatusCode::NOT_FOUND))?;
        let owner = self.owner(&table, &route, &caller)?;
        let req = Request::from_parts(head, body);
        self.next.handle(Identified { req, arrived, caller, table, route, owner }).await
    }
}
