//! The admin interface for operators' tools, probes and metrics collectors, described in
//! `docs/PROTOCOLS.md`.

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

/// The response to `GET /admin/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance's name.
    pub instance: InstanceId,
    /// The instance's incarnation.
    pub incarnation: Incarnation,
    /// The instance's data centre.
    pub data_centre: DataCentre,
    /// Version of the active configuration; zero if there is none.
    pub config_version: Version,
    /// Whether the balancer may send callers to this instance.
    pub ready: bool,
    /// The stage of the shutdown: `serving`, `leaving` or `refusing`.
    pub stage: String,
    /// Admitted requests that haven't ended.
    pub under_way: usize,
    /// All endpoints of the active configuration.
    pub endpoints: Vec<EndpointStatus>,
    /// All other known instances.
    pub peers: Vec<PeerStatus>,
    /// The ledgers of calls that may not be repeated; empty without a log service.
    #[serde(default)]
    pub ledgers: Vec<LedgerStatus>,
}

/// One ledger stream in [`Status`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerStatus {
    /// Whether the stream was read to its end and the log accepts appends.
    pub ready: bool,
    /// The number of idempotency keys held.
    pub keys: usize,
    /// The offset of the next record to read.
    pub next: Offset,
}

/// One endpoint in [`Status`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint's name.
    pub endpoint: EndpointId,
    /// The endpoint's group.
    pub group: EndpointGroup,
    /// The endpoint's data centre.
    pub data_centre: DataCentre,
    /// The endpoint's incarnation; zero if it has never responded.
    pub incarnation: Incarnation,
    /// Whether it may receive requests.
    pub state: EndpointState,
    /// Requests of this instance that are in flight at the endpoint.
    pub running: u32,
    /// Prefill rate estimated by this instance, in tokens per second; zero without an estimate.
    pub prefill_rate: f64,
    /// Whether this instance has ejected it.
    pub ejected: bool,
}

/// One other instance in [`Status`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The peer's name.
    pub instance: InstanceId,
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// `live`, `leaving`, `suspect` or `dead`, from the reports of all instances.
    pub state: String,
    /// Whether this instance is connected to it.
    pub linked: bool,
}

/// Whether a request is reserved for operators, which probes and metrics aren't.
pub fn is_privileged(req: &Request) -> bool {
    req.url().path().starts_with("/admin/")
}

/// Handles a request of the admin interface; `None` if the path doesn't belong to it.
pub async fn answer(shared: &Arc<Shared>, req: &mut Request) -> Option<Response> {
    match (req.method(), req.url().path()) {
        (Method::Get, "/livez") => Some(respond::text(StatusCode::Ok, "ok\n")),
        (Method::Get, "/readyz") => Some(ready_response(shared)),
        (Method::Get, "/metrics") => Some(respond::text(StatusCode::Ok, &shared.metrics.to_text())),
        (Method::Get, "/admin/status") => Some(json_response(&status(shared))),
        (Method::Get, "/admin/fleet") => {
            Some(json_response(&fleet::collect_statuses(shared).await))
        }
        _ => publish::answer(shared, req).await,
    }
}

fn ready_response(shared: &Shared) -> Response {
    match shared.unready_reason() {
        None => respond::text(StatusCode::Ok, "ready\n"),
        Some(reason) => {
            respond::text(StatusCode::ServiceUnavailable, &format!("not ready: {reason}\n"))
        }
    }
}

fn json_response<T: Serialize>(content: &T) -> Response {
    json_response_with_status(StatusCode::Ok, content)
}

fn json_response_with_status<T: Serialize>(status: StatusCode, content: &T) -> Response {
    let body = serde_json::to_vec(content).unwrap_or_default();
    respond::bytes(status, respond::JSON, Bytes::from(body))
}

/// Collects the current status of the instance.
pub fn status(shared: &Shared) -> Status {
    let active = shared.active();
    let deployments = active.deployments.values().map(|route| &route.deployment);
    let digest_entries: Vec<_> =
        deployments.clone().flat_map(|deployment| deployment.digest().endpoints).collect();
    let endpoints = active.endpoints.values().map(|endpoint| {
        let own_entries =
            digest_entries.iter().filter(|entry| entry.endpoint == endpoint.config.id);
        EndpointStatus {
            endpoint: endpoint.config.id.clone(),
            group: endpoint.config.group.clone(),
            data_centre: endpoint.config.data_centre.clone(),
            incarnation: endpoint.lifecycle().incarnation,
            state: endpoint.change().state,
            running: own_entries.clone().map(|entry| entry.running).sum(),
            prefill_rate: own_entries.clone().map(|entry| entry.prefill_rate.0).fold(0.0, f64::max),
            ejected: own_entries.clone().any(|entry| entry.ejected),
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
    let statuses = mesh.status().into_iter().map(|peer| PeerStatus {
        instance: peer.instance,
        incarnation: peer.incarnation,
        state: format!("{:?}", peer.state).to_lowercase(),
        linked: peer.linked,
    });
    statuses.collect()
}

fn ledgers(shared: &Shared) -> Vec<LedgerStatus> {
    let streams = shared.ledgers().into_iter().flat_map(|ledgers| ledgers.iter());
    let statuses = streams.map(|ledger| LedgerStatus {
        ready: ledger.is_ready(),
        keys: ledger.key_count(),
        next: ledger.next_offset(),
    });
    statuses.collect()
}

fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Serving => "serving",
        Stage::Leaving => "leaving",
        Stage::Refusing => "refusing",
    }
}
