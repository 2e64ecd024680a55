//! Sends a request to endpoints until one has answered or nothing more may be tried.
//!
//! What may not be repeated is sent again only after proof that it hasn't run: a connection that
//! failed, or an answer that says so. Everything else is an unknown outcome, and the caller hears
//! that and not "not run".

use std::time::Duration;

use http::StatusCode;
use policy::{FailCause, placement::Placement};
use smol::Timer;

use super::{
    attempt::{self, AttemptError},
    call::Call,
    dispatch::DispatchContext,
    memory::{Reservations, Wish},
    run::{Live, Run, is_promise},
};
use crate::{
    dialect::{AttemptMetadata, Dialect, HelperEngine, ResponseMetadata},
    lock,
};

/// The part of a plain call's goal after which another endpoint is asked beside the first. Two in a
/// hundred ordinary calls take that long, and the second answer is still on time.
const HEDGE_AFTER: f64 = 0.5;

/// How long the first event may take beyond three times its prediction before another endpoint is
/// asked beside the first.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(900);

impl<D: Dialect> Call<D> {
    /// Sends it to a place; none where that gave no answer that may be the caller's.
    pub(super) async fn attempt(&self, placement: Placement) -> Option<Live<D>> {
        let mut run = Run::new(&self.group, self.parts.clock, &placement);
        if !self.held(&placement).await {
            return None;
        }
        lock(&self.progress).tried.push((placement.endpoint.clone(), placement.incarnation));
        let Some(address) = self.group.address(&placement.endpoint) else {
            lock(&self.progress).not_sent += 1;
            return None;
        };
        let helpers = self.helpers(&placement);
        let wishes = self.wishes(&placement, &helpers);
        let DispatchContext { dialect, executor, .. } = &*self.parts;
        match Reservations::take(dialect, executor, address, wishes).await {
            Ok(memory) => run.hold(memory),
            Err(endpoint) => {
                log::info!(id = self.id(), endpoint = endpoint.as_str(); "not_reserved");
                lock(&self.progress).not_sent += 1;
                run.end(Some(FailCause::Rejected));
                return None;
            }
        }
        let req = self.request(&placement, &helpers);
        {
            // Until the attempt proves otherwise it may have run.
            let mut progress = lock(&self.progress);
            progress.sent += 1;
            progress.doubtful += 1;
        }
        self.parts.metrics.sent();
        let group = self.group.clone();
        let sending = |took| {
            let mut scheduler = lock(&group.scheduler);
            scheduler.record_connect_time(&placement.endpoint, took);
            scheduler.mark_sent(placement.job);
        };
        match attempt::send(&self.parts.executor, address, req, self.left(), sending).await {
            Ok(upstream) => self.judge(Live { upstream, run }).await,
            Err(AttemptError::NotSent { is_refused }) => {
                self.take_back();
                log::info!(id = self.id(), endpoint = run.endpoint.as_str(), is_refused;
                    "not_sent");
                if is_refused {
                    lock(&self.group.scheduler).record_death(&run.endpoint, self.parts.clock.now());
                }
                run.end(Some(FailCause::NotSent));
                None
            }
            Err(AttemptError::Unknown(cause)) => {
                self.failed(run, cause);
                None
            }
        }
    }

    /// Waits until a request's engines have read what came before it; false where it has to be placed
    /// anew, because one of them has begun to leave or went to another request meanwhile.
    async fn held(&self, placement: &Placement) -> bool {
        if placement.hold.is_zero() {
            return true;
        }
        Timer::after(placement.hold).await;
        let stands =
            lock(&self.group.scheduler).is_still_valid(placement.job, self.parts.clock.now());
        if !stands {
            log::info!(id = self.id(), endpoint = placement.endpoint.as_str(); "placed_anew");
        }
        stands
    }

    fn helpers(&self, placement: &Placement) -> Vec<HelperEngine> {
        let helpers = placement.helpers.iter().filter_map(|helper| {
            let address = self.group.address(&helper.endpoint)?;
            let reservation = helper.reserve_tokens.map(|_| self.parts.reservation_ids.next());
            Some(HelperEngine { address, reservation })
        });
        helpers.collect()
    }

    /// What has to be reserved before the prompt is sent.
    fn wishes(&self, placement: &Placement, helpers: &[HelperEngine]) -> Vec<Wish> {
        let reserving = placement.helpers.iter().filter_map(|helper| {
            let tokens = helper.reserve_tokens?;
            let address = self.group.address(&helper.endpoint)?;
            let facts = helpers.iter().find(|facts| facts.address == address)?;
            let id = facts.reservation.clone()?;
            Some(Wish { endpoint: helper.endpoint.clone(), address, tokens, id })
        });
        reserving.collect()
    }

    fn request(
        &self,
        placement: &Placement,
        helpers: &[HelperEngine],
    ) -> http::Request<http_body_util::Full<bytes::Bytes>> {
        let received = &self.received;
        let facts = AttemptMetadata {
            time_left: self.left(),
            endpoint: &placement.endpoint,
            workspace: received.owner.as_ref().map(|owner| &owner.workspace),
            priority: received.caller.tokens.map(|_| placement.priority),
            helpers,
            resume_after: self.last_event(),
        };
        let headers = self.parts.dialect.write_attempt(&received.head.headers, &facts);
        attempt::request(&received.head, headers, &received.body)
    }

    /// An attempt turned out not to have been sent.
    fn take_back(&self) {
        let mut progress = lock(&self.progress);
        progress.sent -= 1;
        progress.doubtful -= 1;
        progress.not_sent += 1;
    }

    /// How long an attempt is waited for before another one is made beside it.
    pub(super) fn patience(&self, placement: &Placement) -> Duration {
        let route = &self.received.route;
        if !route.repeat.is_idempotent() {
            return Duration::MAX;
        }
        if route.streams {
            let predicted = Duration::from_secs_f64(placement.predicted_ms.max(0.0) / 1000.0);
            return 3 * predicted + FIRST_EVENT_SLACK;
        }
        route.goal.mul_f64(HEDGE_AFTER)
    }

    /// Whether an answer may be the caller's.
    async fn judge(&self, live: Live<D>) -> Option<Live<D>> {
        let facts = self.parts.dialect.read_response(&live.upstream.head);
        let status = live.upstream.head.status;
        if !self.is_ours(&facts) {
            self.failed(live.into_run(), FailCause::BadAnswer);
            return None;
        }
        if facts.not_run {
            self.not_run(live.into_run(), &facts, status);
            return None;
        }
        if status.is_success() && !facts.is_sealed {
            self.failed(live.into_run(), FailCause::BadAnswer);
            return None;
        }
        if status.is_server_error() || is_promise(status) {
            self.server_error(live).await;
            return None;
        }
        Some(live)
    }

    fn is_ours(&self, facts: &ResponseMetadata) -> bool {
        match (&facts.request_id, &self.received.caller.request_id) {
            (Some(answered), Some(asked)) => answered == asked,
            _ => true,
        }
    }

    fn not_run(&self, run: Run<D>, facts: &ResponseMetadata, status: StatusCode) {
        log::info!(id = self.id(), endpoint = run.endpoint.as_str(), status = status.as_u16(),
            at_fault:? = facts.at_fault; "not_run");
        if status == StatusCode::MISDIRECTED_REQUEST {
            // Another server has the address: nobody was asked.
            self.take_back();
            return run.end(Some(FailCause::NotSent));
        }
        lock(&self.progress).doubtful -= 1;
        let fault = facts.at_fault.and_then(|address| self.group.endpoint_at(address));
        if let Some(fault) = fault.filter(|fault| *fault != run.endpoint) {
            lock(&self.group.scheduler).record_helper_refusal(&fault, self.parts.clock.now());
            self.parts.urgent.raise();
        }
        run.end(Some(FailCause::Rejected));
    }

    /// An endpoint's own failure. It ran; another endpoint may do better where that is allowed,
    /// and else this is the answer.
    async fn server_error(&self, mut live: Live<D>) {
        live.run.release_memory();
        let head = live.upstream.head.clone();
        log::info!(id = self.id(), endpoint = live.run.endpoint.as_str(),
            status = head.status.as_u16(); "endpoint_error");
        let body = live.upstream.collect(self.left()).await;
        live.run.end(Some(FailCause::EndpointError));
        if let Ok(body) = body
            && !is_promise(head.status)
        {
            lock(&self.progress).failure = Some(self.answer(&head, body));
        }
    }
}
