//! Reservations of KV memory on helpers, for prompts that need memory on engines besides the one
//! that runs them.
//!
//! Guards against memory that is never released: a reservation expires soon after its last renewal,
//! whatever became of its owner, of its release or of the response to it. Every reservation has its
//! own id, so that no two requests can use the same one.
//!
//! An engine whose machine fails leaves its connections open, and prefilling may take many seconds,
//! so an owner that merely waits for a first event would keep renewing long after the run has
//! ended. It renews only while the engine that runs the prompt still accepts connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{Method, Request, StatusCode, Uri, header};
use policy::EndpointId;
use smol::{Task, Timer};

use super::attempt::{self, SharedExecutor};
use crate::{
    dialect::{Dialect, ReservationRequest},
    net,
    payload::{Payload, PayloadBody},
};

/// Lifetime of a reservation that isn't renewed. Long enough for two lost renewals, and short
/// enough that unused memory isn't missed.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(3_200);

const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of requests that reserve or release memory.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// How long the engine that runs the prompt may take to accept a connection. Beyond that one
/// renewal is skipped.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(350);

/// Attempts to release a reservation. If all fail, it expires.
const MAX_RELEASE_ATTEMPTS: usize = 2;

/// A reservation on one helper.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) tokens: u64,
    pub(super) id: String,
}

/// The reservations of one attempt. Dropping them releases them.
pub(super) struct Reservations<D: Dialect> {
    dialect: Arc<D>,
    executor: SharedExecutor,
    held: Vec<Reservation>,
    _renewal: Option<Task<()>>,
}

/// Generates reservation ids that are unique over all instances and incarnations.
#[derive(Debug)]
pub struct ReservationIds {
    prefix: String,
    next: AtomicU64,
}

impl ReservationIds {
    /// Creates the ids of one incarnation of an instance, which `prefix` names.
    pub fn new(prefix: String) -> ReservationIds {
        ReservationIds { prefix, next: AtomicU64::new(1) }
    }

    pub(super) fn next(&self) -> String {
        format!("{}.{}", self.prefix, self.next.fetch_add(1, Ordering::Relaxed))
    }
}

impl<D: Dialect> Reservations<D> {
    /// Makes all reservations or none, for a prompt that the engine at `runner` will run. The error
    /// is the endpoint that refused.
    pub(super) async fn reserve_all(
        dialect: &Arc<D>,
        executor: &SharedExecutor,
        runner: SocketAddr,
        reservations: Vec<Reservation>,
    ) -> Result<Reservations<D>, EndpointId> {
        let (dialect, executor) = (dialect.clone(), executor.clone());
        let requests: Vec<_> = reservations
            .iter()
            .map(|reservation| {
                executor.spawn(reserve(dialect.clone(), executor.clone(), reservation.clone()))
            })
            .collect();
        // From here on the reservations are released on every path that doesn't return them.
        let held = Reservations { dialect, executor, held: reservations, _renewal: None };
        let mut refused = None;
        for (request, reservation) in requests.into_iter().zip(&held.held) {
            if !request.await {
                refused = Some(reservation.endpoint.clone());
            }
        }
        match refused {
            Some(endpoint) => Err(endpoint),
            None if held.held.is_empty() => Ok(held),
            None => Ok(held.with_renewal(runner)),
        }
    }

    fn with_renewal(mut self, runner: SocketAddr) -> Self {
        let (dialect, executor, held) =
            (self.dialect.clone(), self.executor.clone(), self.held.clone());
        self._renewal = Some(self.executor.spawn(async move {
            let runner = dialect.endpoint_address(runner);
            loop {
                Timer::after(RENEWAL_INTERVAL).await;
                if let Err(e) = net::connect(runner, LIVENESS_TIMEOUT).await {
                    log::info!(runner:% = runner, cause:% = e; "not_renewed");
                    continue;
                }
                for reservation in &held {
                    let renewal = reserve(dialect.clone(), executor.clone(), reservation.clone());
                    // The outcome is logged, and the next renewal follows anyway.
                    executor.spawn(renewal).detach();
                }
            }
        }));
        self
    }
}

impl<D: Dialect> Drop for Reservations<D> {
    fn drop(&mut self) {
        for reservation in self.held.drain(..) {
            let (dialect, executor) = (self.dialect.clone(), self.executor.clone());
            self.executor.spawn(release(dialect, executor, reservation)).detach();
        }
    }
}

async fn reserve<D: Dialect>(
    dialect: Arc<D>,
    executor: SharedExecutor,
    reservation: Reservation,
) -> bool {
    let request = dialect.reserve(
        &reservation.endpoint,
        &reservation.id,
        reservation.tokens,
        RESERVATION_LIFETIME,
    );
    let address = dialect.endpoint_address(reservation.address);
    let status = send_request(&executor, address, request).await;
    log::info!(endpoint = reservation.endpoint.as_str(), reservation = reservation.id.as_str(),
        tokens = reservation.tokens, status:? = status; "reserve");
    status == Some(StatusCode::OK)
}

async fn release<D: Dialect>(dialect: Arc<D>, executor: SharedExecutor, reservation: Reservation) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let request = dialect.release(&reservation.endpoint, &reservation.id);
        let address = dialect.endpoint_address(reservation.address);
        let status = send_request(&executor, address, request).await;
        log::info!(endpoint = reservation.endpoint.as_str(), reservation = reservation.id.as_str(),
            status:? = status; "release");
        if status.is_some() {
            return;
        }
    }
}

/// Sends a request to a helper. Returns `None` if there was no response.
async fn send_request(
    executor: &SharedExecutor,
    address: SocketAddr,
    request: ReservationRequest,
) -> Option<StatusCode> {
    let mut req = Request::new(PayloadBody::from(request.body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from_static(request.path);
    *req.headers_mut() = request.headers;
    let host = address.to_string();
    req.headers_mut().insert(header::HOST, host.parse().ok()?);
    let response = attempt::send(executor, address, req, REQUEST_TIMEOUT, |_| {}).await.ok()?;
    let status = response.head.status;
    // The body states the free memory, which is out of date by the next request.
    let _: Option<Payload> = response.collect(REQUEST_TIMEOUT).await.ok();
    Some(status)
}
