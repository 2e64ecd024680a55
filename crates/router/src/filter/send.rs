//! Sends one attempt of a request to an endpoint and classifies the response.
//!
//! A request that isn't idempotent is sent again only after proof that it hasn't run: a failed
//! connection, or a response that says so. In all other failures the outcome is unknown, and the
//! caller is told so instead of "not run".

use std::time::{Duration, Instant};

use http::StatusCode;
use policy::{FailCause, placement::Placement};
use smol::Timer;

use super::{
    attempt::{self, AttemptError, EndpointResponse},
    call::{Call, Target},
    death,
    dispatch::DispatchContext,
    reservations::{Reservation, Reservations},
    run::{ActiveResponse, EndpointRun, Run, implies_not_run},
};
use crate::{
    dialect::{AttemptMetadata, Dialect, HelperEngine, ResponseMetadata, StatedLimit, StatedRest},
    lock,
    payload::PayloadBody,
};

/// Share of a non-streaming call's goal after which a hedge is sent. Two in a hundred ordinary
/// calls take that long, and the hedge's response is still on time.
const HEDGE_DELAY_GOAL_SHARE: f64 = 0.5;

/// A connection that is closed sooner than this after it was opened says nothing about the request:
/// endpoints take longer to run anything.
const EARLIEST_CRASH: Duration = Duration::from_millis(20);

/// Time beyond three times the predicted time to the first event after which a hedge is sent.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(900);

impl<D: Dialect> Call<D> {
    /// Sends one attempt. Returns `None` unless the response may be passed on to the caller.
    pub(super) async fn attempt(&self, placement: Placement) -> Option<ActiveResponse<D>> {
        let mut run = EndpointRun::new(
            &self.group,
            self.context.clock,
            &placement,
            self.received.workspace(),
        );
        if !self.wait_out_hold(&placement).await {
            return None;
        }
        lock(&self.progress).tried.push((placement.endpoint.clone(), placement.incarnation));
        let Some(address) = self.group.address(&placement.endpoint) else {
            lock(&self.progress).not_sent += 1;
            return None;
        };
        let helpers = self.helpers(&placement);
        let reservations = self.needed_reservations(&placement, &helpers);
        let DispatchContext { dialect, executor, .. } = &*self.context;
        match Reservations::reserve_all(dialect, executor, address, reservations).await {
            Ok(reservations) => run.keep_reservations(reservations),
            Err(endpoint) => {
                log::info!(id = self.id(), endpoint = endpoint.as_str(); "not_reserved");
                lock(&self.progress).not_sent += 1;
                run.end(Some(FailCause::Rejected));
                return None;
            }
        }
        // Reservations take up to some hundred milliseconds.
        if !lock(&self.group.scheduler).accepts(placement.job, self.context.clock.now()) {
            log::info!(id = self.id(), endpoint = placement.endpoint.as_str(); "placed_anew");
            return None;
        }
        let req = self.endpoint_request(&placement, &helpers);
        {
            let mut progress = lock(&self.progress);
            // Another attempt may have been sent since this one was placed.
            if !self.may_run_again(&progress) {
                return None;
            }
            // Until there is proof of the opposite, the attempt may have run.
            progress.sent += 1;
            progress.unknown_outcomes += 1;
        }
        self.context.metrics.sent();
        let group = self.group.clone();
        let mut sent_at = None;
        let before_send = |connect_time| {
            sent_at = Some(Instant::now());
            let mut scheduler = lock(&group.scheduler);
            scheduler.record_connect_time(&placement.endpoint, connect_time);
            scheduler.mark_sent(placement.job);
        };
        let address = dialect.endpoint_address(address);
        match attempt::send(executor, address, req, self.time_left(), before_send).await {
            Ok(response) => {
                lock(&self.group.path).record_answer();
                self.check_response(response, run).await
            }
            Err(e) => {
                self.record_error(e, run, sent_at);
                None
            }
        }
    }

    /// Ends an attempt that has no response. `sent_at` is when its connection was open.
    fn record_error(&self, error: AttemptError, run: EndpointRun<D>, sent_at: Option<Instant>) {
        let (endpoint, incarnation) = (run.endpoint.clone(), run.incarnation);
        match error {
            AttemptError::NotSent { is_refused } => {
                self.mark_unsent();
                self.record_unreached(&endpoint);
                log::info!(id = self.id(), endpoint = endpoint.as_str(), is_refused; "not_sent");
                run.end(Some(FailCause::NotSent));
                if is_refused {
                    death::check_refused(&self.context, &self.group, endpoint, incarnation);
                }
            }
            AttemptError::Unknown(cause) => {
                let is_early = sent_at.is_some_and(|at| at.elapsed() < EARLIEST_CRASH);
                if cause == FailCause::Broken && is_early {
                    self.record_unreached(&endpoint);
                }
                self.attempt_failed(Run::Endpoint(run), cause);
            }
        }
    }

    /// Waits until the engines have prefilled the requests ahead of this one. Returns false if the
    /// request has to be placed again, because one of the engines is leaving or was given another
    /// request in the meantime.
    async fn wait_out_hold(&self, placement: &Placement) -> bool {
        if placement.hold.is_zero() {
            return true;
        }
        Timer::after(placement.hold).await;
        let is_valid =
            lock(&self.group.scheduler).is_still_valid(placement.job, self.context.clock.now());
        if !is_valid {
            log::info!(id = self.id(), endpoint = placement.endpoint.as_str(); "placed_anew");
        }
        is_valid
    }

    fn helpers(&self, placement: &Placement) -> Vec<HelperEngine> {
        let helpers = placement.helpers.iter().filter_map(|helper| {
            let address = self.group.address(&helper.endpoint)?;
            let reservation = helper.reserve_tokens.map(|_| self.context.reservation_ids.next());
            Some(HelperEngine { address, reservation })
        });
        helpers.collect()
    }

    /// Reservations that helpers have to grant before the prompt is sent.
    fn needed_reservations(
        &self,
        placement: &Placement,
        helpers: &[HelperEngine],
    ) -> Vec<Reservation> {
        let reservations = placement.helpers.iter().filter_map(|helper| {
            let tokens = helper.reserve_tokens?;
            let address = self.group.address(&helper.endpoint)?;
            let engine = helpers.iter().find(|engine| engine.address == address)?;
            let id = engine.reservation.clone()?;
            Some(Reservation { endpoint: helper.endpoint.clone(), address, tokens, id })
        });
        reservations.collect()
    }

    fn endpoint_request(
        &self,
        placement: &Placement,
        helpers: &[HelperEngine],
    ) -> http::Request<PayloadBody> {
        let received = &self.received;
        let metadata = AttemptMetadata {
            time_left: self.time_left(),
            endpoint: &placement.endpoint,
            workspace: received.owner.as_ref().map(|owner| &owner.workspace),
            priority: received.caller.tokens.map(|_| placement.priority),
            helpers,
            resume_after: self.last_event_id(),
        };
        let headers = self.context.dialect.write_attempt(&received.head.headers, &metadata);
        attempt::request(&received.head, headers, &received.body)
    }

    /// Corrects the counters for an attempt that turned out not to have been sent.
    pub(super) fn mark_unsent(&self) {
        let mut progress = lock(&self.progress);
        progress.sent -= 1;
        progress.unknown_outcomes -= 1;
        progress.not_sent += 1;
    }

    /// How long to wait for an attempt before a hedge is sent.
    pub(super) fn hedge_delay(&self, target: &Target) -> Duration {
        let route = &self.received.route;
        if !route.retry_safety.is_idempotent() {
            return Duration::MAX;
        }
        let predicted = match target {
            Target::Endpoint(placement) => {
                let seconds = placement.predicted_ms.max(0.0) / 1000.0;
                Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
            }
            // With several attempts a peer hedges by its own prediction, and a hedge here is for the
            // peer's own failure.
            Target::Peer(peer) if self.attempts_for_peer(peer, &lock(&self.progress)) > 1 => {
                return route.goal + FIRST_EVENT_SLACK;
            }
            Target::Peer(_) => {
                let prompt = self.prompt_tokens().unwrap_or_default();
                lock(&self.group.scheduler).typical_duration(prompt, 0)
            }
        };
        if route.is_streaming {
            return predicted.saturating_mul(3).saturating_add(FIRST_EVENT_SLACK);
        }
        route.goal.mul_f64(HEDGE_DELAY_GOAL_SHARE)
    }

    /// Returns the response if it may be passed on to the caller, and otherwise ends the attempt.
    async fn check_response(
        &self,
        response: EndpointResponse,
        run: EndpointRun<D>,
    ) -> Option<ActiveResponse<D>> {
        let metadata = self.context.dialect.read_response(&response.head);
        let status = response.head.status;
        if !self.matches_request(&metadata) {
            self.attempt_failed(Run::Endpoint(run), FailCause::BadAnswer);
            return None;
        }
        if metadata.is_sealed || metadata.not_run && status != StatusCode::MISDIRECTED_REQUEST {
            self.record_limit(&run, &metadata.limit);
        }
        self.record_rest(&run, &metadata.rest);
        // Another server at the address speaks for itself.
        if metadata.is_leaving && status != StatusCode::MISDIRECTED_REQUEST && run.record_leaving()
        {
            log::info!(endpoint = run.endpoint.as_str(); "endpoint_leaving");
            self.context.urgent.raise();
        }
        if metadata.not_run {
            self.record_not_run(run, &metadata, status);
            return None;
        }
        if status.is_success() && !metadata.is_sealed {
            self.attempt_failed(Run::Endpoint(run), FailCause::BadAnswer);
            return None;
        }
        if status.is_server_error() || implies_not_run(status) {
            self.endpoint_error(response, run).await;
            return None;
        }
        if !metadata.is_sealed && !self.is_echoed(&metadata) {
            self.attempt_failed(Run::Endpoint(run), FailCause::BadAnswer);
            return None;
        }
        Some(ActiveResponse { response, run: Run::Endpoint(run) })
    }

    pub(super) fn matches_request(&self, metadata: &ResponseMetadata) -> bool {
        match (&metadata.request_id, &self.received.caller.request_id) {
            (Some(echoed), Some(sent)) => echoed == sent,
            _ => true,
        }
    }

    /// Whether the response repeats the id of the request. Endpoints do so where there is one; other
    /// servers at a registered address, such as a port of an instance, don't.
    fn is_echoed(&self, metadata: &ResponseMetadata) -> bool {
        self.received.caller.request_id.is_none() || metadata.request_id.is_some()
    }

    /// Records the limit that an endpoint names, and has the other instances told of a change.
    fn record_limit(&self, run: &EndpointRun<D>, limit: &StatedLimit) {
        let per_s = match limit {
            StatedLimit::None => None,
            StatedLimit::PerSecond(per_s) => Some(*per_s),
            StatedLimit::Invalid(value) => {
                log::warn!(endpoint = run.endpoint.as_str(), value = value.as_str();
                    "limit_ignored");
                return;
            }
        };
        if run.record_named_limit(per_s) {
            log::info!(endpoint = run.endpoint.as_str(), per_s:? = per_s; "limit_changed");
            self.context.urgent.raise();
        }
    }

    /// Records the rest that an endpoint asks for.
    fn record_rest(&self, run: &EndpointRun<D>, rest: &StatedRest) {
        match rest {
            StatedRest::None => {}
            StatedRest::For(rest) => {
                if run.record_rest(*rest) {
                    log::info!(endpoint = run.endpoint.as_str(), rest_ms = rest.as_millis() as u64;
                        "endpoint_rests");
                }
            }
            StatedRest::Invalid(value) => {
                log::warn!(endpoint = run.endpoint.as_str(), value = value.as_str();
                    "rest_ignored");
            }
        }
    }

    fn record_not_run(&self, run: EndpointRun<D>, metadata: &ResponseMetadata, status: StatusCode) {
        log::info!(id = self.id(), endpoint = run.endpoint.as_str(), status = status.as_u16(),
            at_fault:? = metadata.at_fault; "not_run");
        if status == StatusCode::MISDIRECTED_REQUEST {
            // Another server has the endpoint's address, so the endpoint hasn't received the
            // request.
            self.mark_unsent();
            return run.end(Some(FailCause::NotSent));
        }
        lock(&self.progress).unknown_outcomes -= 1;
        let fault = metadata.at_fault.and_then(|address| self.group.endpoint_at(address));
        if let Some(fault) = fault.filter(|fault| *fault != run.endpoint) {
            lock(&self.group.scheduler).record_helper_refusal(&fault, self.context.clock.now());
            self.context.urgent.raise();
        }
        run.end(Some(FailCause::Rejected));
    }

    /// Handles an error of the endpoint itself. The request ran; it is retried on another endpoint
    /// where that is allowed, and otherwise this response is passed on.
    async fn endpoint_error(&self, response: EndpointResponse, mut run: EndpointRun<D>) {
        run.release_reservations();
        let head = response.head.clone();
        log::info!(id = self.id(), endpoint = run.endpoint.as_str(),
            status = head.status.as_u16(); "endpoint_error");
        let body = response.receive(self.time_left(), &self.received.holder).await;
        run.end(Some(FailCause::EndpointError));
        if let Ok(body) = body
            && !implies_not_run(head.status)
        {
            lock(&self.progress).endpoint_failure = Some(self.response(&head, body));
        }
    }
}
