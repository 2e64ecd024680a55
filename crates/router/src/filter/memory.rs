//! Memory that a prompt needs on engines besides the one that runs it.
//!
//! Guards against memory that nobody gives back: a reservation lapses by itself soon after its
//! owner has stopped renewing it, whatever became of the owner, of its release or of the answer to
//! it. Each has an id of its own, so that no two requests can ever use the same.
//!
//! An engine that vanishes without a word leaves its connections open, and reading may take many
//! seconds, so an owner that merely waits for a first event would renew long after the run is gone.
//! It renews only while the engine that runs the prompt still takes connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use policy::EndpointId;
use smol::{Task, Timer};

use super::attempt::{self, Spawner};
use crate::{
    dialect::{Dialect, ReservationRequest},
    net,
};

/// How long a reservation lasts without being renewed. It outlives two lost renewals, and ends
/// before memory that nobody uses is missed.
const HOLD: Duration = Duration::from_millis(3_200);

/// Time between two renewals.
const RENEW: Duration = Duration::from_millis(1_000);

/// How long an order's answer is waited for.
const PATIENCE: Duration = Duration::from_millis(600);

/// How long an engine may take to accept a connection before it counts as gone for one renewal.
const ALIVE_WITHIN: Duration = Duration::from_millis(350);

/// How often a release is tried; what is left after that lapses.
const RELEASES: usize = 2;

/// What is reserved on one engine.
#[derive(Debug, Clone)]
pub(super) struct Wish {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) tokens: u64,
    pub(super) id: String,
}

/// Reservations for one attempt. Dropping them gives them back.
pub(super) struct Reservations<D: Dialect> {
    dialect: Arc<D>,
    executor: Spawner,
    held: Vec<Wish>,
    _renewing: Option<Task<()>>,
}

/// Makes ids that no other reservation of any instance has.
#[derive(Debug)]
pub struct ReservationIds {
    owner: String,
    next: AtomicU64,
}

impl ReservationIds {
    /// Ids of one life of an instance.
    pub fn new(owner: String) -> ReservationIds {
        ReservationIds { owner, next: AtomicU64::new(1) }
    }

    pub(super) fn next(&self) -> String {
        format!("{}.{}", self.owner, self.next.fetch_add(1, Ordering::Relaxed))
    }
}

impl<D: Dialect> Reservations<D> {
    /// Reserves all of it, or nothing, for a prompt that the engine at `runner` will run.
    pub(super) async fn take(
        dialect: &Arc<D>,
        executor: &Spawner,
        runner: SocketAddr,
        wishes: Vec<Wish>,
    ) -> Result<Reservations<D>, EndpointId> {
        let (dialect, executor) = (dialect.clone(), executor.clone());
        let asked: Vec<_> = wishes
            .iter()
            .map(|wish| executor.spawn(reserve(dialect.clone(), executor.clone(), wish.clone())))
            .collect();
        // From here on all of them are given back unless they are kept.
        let held = Reservations { dialect, executor, held: wishes, _renewing: None };
        let mut refused = None;
        for (asked, wish) in asked.into_iter().zip(&held.held) {
            if !asked.await {
                refused = Some(wish.endpoint.clone());
            }
        }
        match refused {
            Some(endpoint) => Err(endpoint),
            None if held.held.is_empty() => Ok(held),
            None => Ok(held.renewed(runner)),
        }
    }

    fn renewed(mut self, runner: SocketAddr) -> Self {
        let (dialect, executor, held) =
            (self.dialect.clone(), self.executor.clone(), self.held.clone());
        self._renewing = Some(self.executor.spawn(async move {
            loop {
                Timer::after(RENEW).await;
                if let Err(e) = net::connect(runner, ALIVE_WITHIN).await {
                    log::info!(runner:% = runner, cause:% = e; "not_renewed");
                    continue;
                }
                for wish in &held {
                    let order = reserve(dialect.clone(), executor.clone(), wish.clone());
                    // What became of it is in the log; the next renewal comes anyway.
                    executor.spawn(order).detach();
                }
            }
        }));
        self
    }
}

impl<D: Dialect> Drop for Reservations<D> {
    fn drop(&mut self) {
        for wish in self.held.drain(..) {
            let (dialect, executor) = (self.dialect.clone(), self.executor.clone());
            self.executor.spawn(release(dialect, executor, wish)).detach();
        }
    }
}

async fn reserve<D: Dialect>(dialect: Arc<D>, executor: Spawner, wish: Wish) -> bool {
    let order = dialect.reserve(&wish.endpoint, &wish.id, wish.tokens, HOLD);
    let status = give(&executor, wish.address, order).await;
    log::info!(endpoint = wish.endpoint.as_str(), reservation = wish.id.as_str(),
        tokens = wish.tokens, status:? = status; "reserve");
    status == Some(StatusCode::OK)
}

async fn release<D: Dialect>(dialect: Arc<D>, executor: Spawner, wish: Wish) {
    for _ in 0..RELEASES {
        let order = dialect.release(&wish.endpoint, &wish.id);
        let status = give(&executor, wish.address, order).await;
        log::info!(endpoint = wish.endpoint.as_str(), reservation = wish.id.as_str(),
            status:? = status; "release");
        if status.is_some() {
            return;
        }
    }
}

/// Gives an order; none where no answer came.
async fn give(
    executor: &Spawner,
    address: SocketAddr,
    order: ReservationRequest,
) -> Option<StatusCode> {
    let mut req = Request::new(Full::new(order.body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from_static(order.path);
    *req.headers_mut() = order.headers;
    let host = address.to_string();
    req.headers_mut().insert(header::HOST, host.parse().ok()?);
    let answer = attempt::send(executor, address, req, PATIENCE, |_| {}).await.ok()?;
    let status = answer.head.status;
    // The body says how much is free, which is old by the next order.
    let _: Option<Bytes> = answer.collect(PATIENCE).await.ok();
    Some(status)
}
