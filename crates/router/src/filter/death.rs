//! Finds out whether an endpoint that broke an attempt, or refused a connection, has died.
//!
//! **Load pattern.** A request crashes its endpoint, and its caller sends it again at once. Beside
//! it, an instance loses its path to endpoints that go on serving others.
//!
//! **Without it.** Nobody learns of the crash before another request is sent to the endpoint, or
//! its registration lapses seconds later. Where a refused connection alone counts as a death, an
//! instance that is cut off has harmless requests refused by all instances.
//!
//! **Rule.** After a broken attempt the instance opens a connection to the endpoint, and another one
//! whenever it is closed, for [`CHECK_INTERVAL`]. Where connections are refused, it asks peers to try
//! ([`examine`]), and [`Inquiry`] decides by what they find. An instance without peers goes by what it
//! finds itself.
//!
//! **Grounds.** A connection breaks, or is refused, without any death where a path fails. Asking
//! takes two round trips. A process that ends closes its sockets one after another, so the first
//! connection after a break may still be accepted.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, header};
use policy::{
    EndpointGroup, EndpointId, Incarnation,
    examination::{Finding, Inquiry, MAX_WITNESSES, Verdict},
    forwarding::Peer,
    placement::CHECK_INTERVAL,
};
use serde::{Deserialize, Serialize};
use smol::{Timer, future::FutureExt, io::AsyncReadExt};

use super::{
    attempt::{self, CONNECT_TIMEOUT},
    dispatch::DispatchContext,
};
use crate::{
    dialect::Dialect,
    lock, net,
    payload::PayloadBody,
    snapshot::{decode, encode},
    state::{Group, Groups},
};

/// Other endpoints that are tried, of the same group and of others, to tell a dead endpoint from a
/// path that is cut. Some of them may have died together with it.
const MAX_CONTROLS: usize = 3;

/// Time limit of a peer's answer: two connections that hang, and a round trip.
const EXAMINATION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause before a check opens its next connection, so that a path that resets each of them gets few.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

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
        if refuses_connections(address).await {
            return confirm(&context, &group, endpoint, incarnation).await;
        }
        log::info!(group = group.name.as_str(), endpoint = endpoint.as_str(); "no_death_seen");
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

/// Whether connections are refused at an address, now or before the next check may begin.
async fn refuses_connections(address: SocketAddr) -> bool {
    let refused = async {
        loop {
            match net::connect(address, CONNECT_TIMEOUT).await {
                Ok(mut stream) => {
                    stream.read(&mut [0]).await.ok();
                }
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => return true,
                Err(e) => log::debug!(address:% = address, cause:% = e; "death_check_failed"),
            }
            Timer::after(RECONNECT_PAUSE).await;
        }
    };
    let timed_out = async {
        Timer::after(CHECK_INTERVAL).await;
        false
    };
    refused.or(timed_out).await
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
        false => {
            let mut inquiry = Inquiry::default();
            let finding = examine(&*context.dialect, &context.groups, &examination).await;
            (inquiry.record(finding).unwrap_or_else(|| inquiry.close()), 0)
        }
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

/// What the findings of peers prove, and the number of peers that were asked.
async fn ask_peers<D: Dialect>(
    context: &DispatchContext<D>,
    group: &Group,
    examination: &Examination,
) -> (Verdict, usize) {
    let mut inquiry = Inquiry::default();
    let mut asked: Vec<Peer> = Vec::new();
    let mut outstanding = 0;
    let mut rng = fastrand::Rng::new();
    let (tx, rx) = smol::channel::bounded(MAX_WITNESSES);
    loop {
        while asked.len() < inquiry.witnesses() {
            let now = context.clock.now();
            let peer = context.groups.peers().choose_witness(group.tag, &asked, now, &mut rng);
            let Some(peer) = peer else { break };
            let address = peer.address;
            asked.push(peer);
            outstanding += 1;
            let (tx, executor, body) = (tx.clone(), context.executor.clone(), encode(examination));
            let question = async move {
                // The receiver is dropped after the first proof.
                tx.send(ask(&executor, address, body).await).await.ok();
            };
            context.executor.spawn(question).detach();
        }
        if outstanding == 0 {
            return (inquiry.close(), asked.len());
        }
        outstanding -= 1;
        let finding = rx.recv().await.unwrap_or(Finding::Unknown);
        if let Some(verdict) = inquiry.record(finding) {
            return (verdict, asked.len());
        }
    }
}

async fn ask(executor: &attempt::SharedExecutor, address: SocketAddr, body: Bytes) -> Finding {
    let mut req = Request::new(PayloadBody::from(body));
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
        decode(&body.to_bytes()).ok()
    };
    let timed_out = async {
        Timer::after(EXAMINATION_TIMEOUT).await;
        None
    };
    answer.or(timed_out).await.unwrap_or(Finding::Unknown)
}

/// Finds out whether an endpoint has died.
pub(super) async fn examine<D: Dialect>(
    dialect: &D,
    groups: &Groups,
    Examination { group, endpoint, incarnation }: &Examination,
) -> Finding {
    let Some(group) = groups.get(group) else { return Finding::Unknown };
    let (registered, data_centre) = {
        let scheduler = lock(&group.scheduler);
        (scheduler.incarnation(endpoint), scheduler.data_centre(endpoint).cloned())
    };
    let address = group.address(endpoint).filter(|_| registered == Some(*incarnation));
    let Some(address) = address else {
        let is_replaced = registered.is_some_and(|registered| registered > *incarnation);
        return if is_replaced { Finding::Dead } else { Finding::Unknown };
    };
    let address_of = |address| dialect.endpoint_address(address);
    let is_refused = match net::connect(address_of(address), CONNECT_TIMEOUT).await {
        Ok(_) => return Finding::Alive,
        Err(e) => e.kind() == io::ErrorKind::ConnectionRefused,
    };
    let is_any_reached = async |controls: &[SocketAddr]| {
        for control in controls {
            if net::connect(address_of(*control), CONNECT_TIMEOUT).await.is_ok() {
                return true;
            }
        }
        false
    };
    let of_group = group.random_addresses(MAX_CONTROLS, Some(address));
    if is_any_reached(&of_group).await {
        return Finding::Dead;
    }
    let beside = data_centre.map_or_else(Vec::new, |data_centre| {
        groups.random_addresses_beside(&group.name, &data_centre, MAX_CONTROLS)
    });
    if of_group.is_empty() && beside.is_empty() {
        return Finding::Dead;
    }
    match is_refused && is_any_reached(&beside).await {
        true => Finding::Refused,
        false => Finding::Unknown,
    }
}
