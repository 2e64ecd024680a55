//! What operators' tools, probes and metrics collectors ask; `docs/PROTOCOLS.md` describes it.

pub mod fleet;
pub mod publish;

use std::sync::Arc;

use bytes::Bytes;
use http_types::{Method, Request, Response, StatusCode};
use policy::{
    DataCentre, EndpointGroup, EndpointId, Incarnation, InstanceId, Offset, config::Version,
    scheduler::EndpointState,
};
use serde::{Deserialize, Serialize};

use crate::{
    server::respond,
    shared::{Shared, Stage},
};

/// `GET /admin/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Version of the configuration in force; zero for none.
    pub config_version: Version,
    /// Whether the balancer may send callers here.
    pub ready: bool,
    /// `serving`, `leaving` or `refusing`.
    pub stage: String,
    /// Admitted requests that haven't ended.
    pub under_way: usize,
    /// Every endpoint.
    pub endpoints: Vec<EndpointStatus>,
    /// Every known instance.
    pub peers: Vec<PeerStatus>,
    /// The ledgers of calls that may not be repeated; none without a log.
    #[serde(default)]
    pub ledgers: Vec<LedgerStatus>,
}

/// One ledger stream in [`Status`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerStatus {
    /// Whether the whole stream was read and the log takes appends.
    pub ready: bool,
    /// Keys remembered.
    pub keys: usize,
    /// The offset that will be read next.
    pub next: Offset,
}

/// One endpoint in [`Status`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its group.
    pub group: EndpointGroup,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its life; zero where nothing was heard of it.
    pub incarnation: Incarnation,
    /// Whether it may get work.
    pub state: EndpointState,
    /// Requests of this instance under way there.
    pub running: u32,
    /// Prefill speed as learned here, in tokens a second; zero where nothing was learned.
    pub prefill_rate: f64,
    /// Whether this instance has ejected it.
    pub ejected: bool,
}

/// One other instance in [`Status`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// `live`, `leaving`, `suspect` or `dead`, by all witnesses.
    pub state: String,
    /// Whether a link to it stands.
    pub linked: bool,
}

/// Whether a request is one that only operators may make, unlike probes and metrics.
pub fn is_privileged(req: &Request) -> bool {
    req.url().path().starts_with("/admin/")
}

/// Answers a request for operators; none where the path isn't one of theirs.
pub async fn answer(shared: &Arc<Shared>, req: &mut Request) -> Option<Response> {
    match (req.method(), req.url().path()) {
        (Method::Get, "/livez") => Some(respond::text(StatusCode::Ok, "ok\n")),
        (Method::Get, "/readyz") => Some(ready(shared)),
        (Method::Get, "/metrics") => Some(respond::text(StatusCode::Ok, &shared.metrics.to_text())),
        (Method::Get, "/admin/status") => Some(json(&status(shared))),
        (Method::Get, "/admin/fleet") => Some(json(&fleet::ask(shared).await)),
        _ => publish::answer(shared, req).await,
    }
}

fn ready(shared: &Shared) -> Response {
    match shared.unready_reason() {
        None => respond::text(StatusCode::Ok, "ready\n"),
        Some(why) => respond::text(StatusCode::ServiceUnavailable, &format!("not ready: {why}\n")),
    }
}

fn json<T: Serialize>(content: &T) -> Response {
    json_with(StatusCode::Ok, content)
}

fn json_with<T: Serialize>(status: StatusCode, content: &T) -> Response {
    let body = serde_json::to_vec(content).unwrap_or_default();
    respond::bytes(status, respond::JSON, Bytes::from(body))
}

/// The instance as it is now.
pub fn status(shared: &Shared) -> Status {
    let active = shared.active();
    let deployments = active.deployments.values().map(|route| &route.deployment);
    let shares: Vec<_> =
        deployments.clone().flat_map(|deployment| deployment.digest().endpoints).collect();
    let endpoints = active.endpoints.values().map(|endpoint| {
        let own = shares.iter().filter(|share| share.endpoint == endpoint.config.id);
        EndpointStatus {
            endpoint: endpoint.config.id.clone(),
            group: endpoint.config.group.clone(),
            data_centre: endpoint.config.data_centre.clone(),
            incarnation: endpoint.lifecycle().incarnation,
            state: endpoint.change().state,
            running: own.clone().map(|share| share.running).sum(),
            prefill_rate: own.clone().map(|share| share.prefill_rate.0).fold(0.0, f64::max),
            ejected: own.clone().any(|share| share.ejected),
        }
    });
    Status {
        instance: shared.owner.instance.clone(),
        incarnation: shared.owner.incarnation,
        data_centre: shared.settings.data_centre.clone(),
        config_version: active.version,
        ready: shared.is_ready(),
        stage: stage_name(shared.stage()).to_owned(),
        under_way: deployments.map(|deployment| deployment.in_flight_requests()).sum(),
        endpoints: endpoints.collect(),
        peers: peers(shared),
        ledgers: ledgers(shared),
    }
}

fn peers(shared: &Shared) -> Vec<PeerStatus> {
    let Some(mesh) = shared.mesh() else { return Vec::new() };
    let known = mesh.status().into_iter().map(|peer| PeerStatus {
        instance: peer.instance,
        incarnation: peer.incarnation,
        state: format!("{:?}", peer.state).to_lowercase(),
        linked: peer.linked,
    });
    known.collect()
}

fn ledgers(shared: &Shared) -> Vec<LedgerStatus> {
    let streams = shared.ledgers().into_iter().flat_map(|ledgers| ledgers.iter());
    let status = streams.map(|ledger| LedgerStatus {
        ready: ledger.is_ready(),
        keys: ledger.key_count(),
        next: ledger.next_offset(),
    });
    status.collect()
}

fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Serving => "serving",
        Stage::Leaving => "leaving",
        Stage::Refusing => "refusing",
    }
}
