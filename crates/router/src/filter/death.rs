//! Finds out whether an endpoint that broke an attempt, or refused a connection, has died.
//!
//! **Load pattern.** A request crashes its endpoint, and its caller sends it again at once. Beside
//! it, an instance loses its path to endpoints that go on serving others.
//!
//! **Without it.** Nobody learns of the crash before another request is sent to the endpoint, or
//! its registration lapses seconds later. Where a refused connection alone counts as a death, an
//! instance that is cut off has harmless requests refused by all instances.
//!
//! **Rule.** After a broken attempt the instance opens a connection to the endpoint and closes it.
//! Where connections are refused, it asks two peers to try ([`examine`]). A peer that isn't
//! connected either, while another endpoint accepts its connection, proves that the incarnation
//! ended; one that is connected disproves it. An instance without peers proves it the same way.
//!
//! **Grounds.** A connection breaks, or is refused, without any death where a path fails. A process
//! that has ended refuses connections for as long as it isn't started again, which takes seconds.
//! Asking takes two round trips.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::Full;
use policy::{EndpointGroup, EndpointId, Incarnation, forwarding::Peer};
use serde::{Deserialize, Serialize};
use smol::{Timer, future::FutureExt};

use super::{
    attempt::{self, CONNECT_TIMEOUT},
    dispatch::DispatchContext,
};
use crate::{
    dialect::Dialect,
    lock, net,
    snapshot::{decode, encode},
    state::{Group, Groups},
};

/// Peers that are asked about an endpoint. One of them may be cut off or frozen.
const PEERS_ASKED: usize = 2;

/// Other endpoints that are tried to tell a dead endpoint from a path that is cut. Some of them may
/// have died together with it.
const MAX_CONTROLS: usize = 3;

/// Time limit of a peer's answer: two connections that hang, and a round trip.
const EXAMINATION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Path of requests for an examination.
const EXAMINATION_PATH: &str = "/examine";

/// Longer requests for an examination are refused.
pub(super) const MAX_EXAMINATION_BYTES: usize = 1 << 10;

/// Asks a peer whether an incarnation of an endpoint has died.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Examination {
    group: EndpointGroup,
    endpoint: EndpointId,
    incarnation: Incarnation,
}

/// What an instance finds out about an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Verdict {
    /// It accepts connections.
    Alive,
    /// It doesn't, while another endpoint does; or a later incarnation has registered.
    Dead,
    /// This instance can't tell.
    Unknown,
}

/// Checks in the background whether an endpoint has died, after it broke an attempt.
pub(super) fn check<D: Dialect>(
    context: &Arc<DispatchContext<D>>,
    group: &Arc<Group>,
    endpoint: EndpointId,
    incarnation: Incarnation,
) {
    let Some(address) = begin(context, group, &endpoint, incarnation) else { return };
    let (context, group) = (context.clone(), group.clone());
    let executor = context.executor.clone();
    let check = async move {
        match net::connect(address, CONNECT_TIMEOUT).await {
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                confirm(&context, &group, endpoint, incarnation).await;
            }
            Err(e) => log::debug!(endpoint = endpoint.as_str(), cause:% = e; "death_not_checked"),
            Ok(_) => {}
        }
    };
    executor.spawn(check).detach();
}

/// The same for an endpoint that has refused a connection.
pub(super) fn check_refused<D: Dialect>(
    context: &Arc<DispatchContext<D>>,
    group: &Arc<Group>,
    endpoint: EndpointId,
    incarnation: Incarnation,
) {
    if begin(context, group, &endpoint, incarnation).is_none() {
        return;
    }
    let (context, group) = (context.clone(), group.clone());
    let executor = context.executor.clone();
    let check = async move { confirm(&context, &group, endpoint, incarnation).await };
    executor.spawn(check).detach();
}

/// The endpoint's address, unless it was checked just now.
fn begin<D: Dialect>(
    context: &DispatchContext<D>,
    group: &Group,
    endpoint: &EndpointId,
    incarnation: Incarnation,
) -> Option<SocketAddr> {
    let address = context.dialect.endpoint_address(group.address(endpoint)?);
    let now = context.clock.now();
    lock(&group.scheduler).begin_death_check(endpoint, incarnation, now).then_some(address)
}

/// Records that an endpoint has died, once that is proved, and has the other instances told.
async fn confirm<D: Dialect>(
    context: &DispatchContext<D>,
    group: &Group,
    endpoint: EndpointId,
    incarnation: Incarnation,
) {
    let examination = Examination { group: group.name.clone(), endpoint, incarnation };
    let has_peers = !context.groups.peers().is_empty();
    let (verdict, asked) = match has_peers {
        true => ask_peers(context, group, &examination).await,
        false => (examine(&*context.dialect, &context.groups, &examination).await, 0),
    };
    let Examination { endpoint, .. } = examination;
    if verdict != Verdict::Dead {
        log::info!(group = group.name.as_str(), endpoint = endpoint.as_str(),
            verdict:? = verdict, asked; "death_not_proved");
        return;
    }
    let now = context.clock.now();
    let suspects = lock(&group.scheduler).record_death(&endpoint, incarnation, now);
    log::info!(group = group.name.as_str(), endpoint = endpoint.as_str(), suspects, asked;
        "endpoint_died");
    context.urgent.raise();
}

/// The first verdict of a peer that can tell, and the number of peers that were asked.
async fn ask_peers<D: Dialect>(
    context: &DispatchContext<D>,
    group: &Group,
    examination: &Examination,
) -> (Verdict, usize) {
    let mut asked: Vec<Peer> = Vec::new();
    let now = context.clock.now();
    let mut rng = fastrand::Rng::new();
    while asked.len() < PEERS_ASKED {
        let peer = context.groups.peers().choose(group.tag, &asked, now, &mut rng);
        let Some(peer) = peer else { break };
        asked.push(peer);
    }
    let count = asked.len();
    let (tx, rx) = smol::channel::bounded(PEERS_ASKED);
    for Peer { address, .. } in asked {
        let (tx, executor, body) = (tx.clone(), context.executor.clone(), encode(examination));
        let question = async move {
            // The receiver is dropped after the first verdict.
            tx.send(ask(&executor, address, body).await).await.ok();
        };
        context.executor.spawn(question).detach();
    }
    drop(tx);
    while let Ok(verdict) = rx.recv().await {
        if verdict != Verdict::Unknown {
            return (verdict, count);
        }
    }
    (Verdict::Unknown, count)
}

async fn ask(executor: &attempt::SharedExecutor, address: SocketAddr, body: Bytes) -> Verdict {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(EXAMINATION_PATH);
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(header::HOST, host);
    }
    *req.headers_mut() = headers;
    let answer = async {
        let response = attempt::send(executor, address, req, EXAMINATION_TIMEOUT, |_| {}).await;
        let body = response.ok()?.collect(EXAMINATION_TIMEOUT).await.ok()?;
        decode(&body).ok()
    };
    let timed_out = async {
        Timer::after(EXAMINATION_TIMEOUT).await;
        None
    };
    answer.or(timed_out).await.unwrap_or(Verdict::Unknown)
}

/// Finds out whether an endpoint has died.
pub(super) async fn examine<D: Dialect>(
    dialect: &D,
    groups: &Groups,
    Examination { group, endpoint, incarnation }: &Examination,
) -> Verdict {
    let Some(group) = groups.get(group) else { return Verdict::Unknown };
    let registered = lock(&group.scheduler).incarnation(endpoint);
    let address = group.address(endpoint).filter(|_| registered == Some(*incarnation));
    let Some(address) = address else {
        let is_replaced = registered.is_some_and(|registered| registered > *incarnation);
        return if is_replaced { Verdict::Dead } else { Verdict::Unknown };
    };
    let is_connected = async |address| {
        net::connect(dialect.endpoint_address(address), CONNECT_TIMEOUT).await.is_ok()
    };
    if is_connected(address).await {
        return Verdict::Alive;
    }
    let controls = group.random_addresses(MAX_CONTROLS, Some(address));
    if controls.is_empty() {
        return Verdict::Dead;
    }
    for control in controls {
        if is_connected(control).await {
            return Verdict::Dead;
        }
    }
    Verdict::Unknown
}
