//! Admission control: the deployment's scheduler admits or refuses each request immediately.

use std::sync::Arc;

use policy::{CallKind, Decision, Event, Outcome, Refusal, RequestSpec};
use smol::channel::Receiver;

use crate::{
    active::AnyDeployment,
    error::CallError,
    filter::{Answer, CallDetails, Handler, RequestWithDeadline, SharedClaim},
};

/// A request that the scheduler has admitted.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The request with its deadline.
    pub request: RequestWithDeadline,
    /// The description of the request that the scheduler was given.
    pub spec: Arc<RequestSpec>,
    /// Reports the end of the request to the scheduler.
    pub guard: AdmissionGuard,
    /// The ledger's claim, for calls that run at most once; set by the at-most-once filter.
    pub claim: Option<SharedClaim>,
}

/// Reports the end of an admitted request to the scheduler. Dropping it without
/// [`AdmissionGuard::end`] reports a cancellation, so that no request stays admitted forever.
#[derive(Debug)]
pub struct AdmissionGuard {
    /// The deployment that admitted the request.
    pub deployment: Arc<AnyDeployment>,
    /// The scheduler's decisions about the request, in order.
    pub decisions: Receiver<Decision>,
    spec: Arc<RequestSpec>,
    ended: bool,
}

impl AdmissionGuard {
    /// Reports the request's outcome.
    pub fn end(mut self, outcome: Outcome) {
        self.report_end(outcome);
    }

    fn report_end(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.ended, true) {
            self.deployment.observe(Event::Ended { request: self.spec.id, outcome });
        }
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.report_end(Outcome::Cancelled);
    }
}

/// The filter that offers requests to their deployments' schedulers.
pub struct Admission<N> {
    next: N,
}

impl<N> Admission<N> {
    /// Creates the filter in front of `next`.
    pub fn new(next: N) -> Self {
        Admission { next }
    }
}

impl<N: Handler<AdmittedRequest>> Handler<RequestWithDeadline> for Admission<N> {
    async fn handle(&self, request: RequestWithDeadline) -> Result<Answer, CallError> {
        let spec = Arc::new(request_spec(&request));
        let deployment = request.received.route.deployment.clone();
        let decisions =
            deployment.offer(spec.clone()).inspect_err(|refusal| log_refusal(&spec, refusal))?;
        let guard = AdmissionGuard { deployment, decisions, spec: spec.clone(), ended: false };
        self.next.handle(AdmittedRequest { request, spec, guard, claim: None }).await
    }
}

fn log_refusal(spec: &RequestSpec, refusal: &Refusal) {
    let (request, reason) = (spec.id.0, refusal.reason.as_str());
    let Some(forecast) = &refusal.forecast else {
        log::info!(request, reason, prompt = spec.prompt.0; "refused");
        return;
    };
    log::info!(
        request,
        reason,
        prompt = spec.prompt.0,
        allowed_s = forecast.budget_s,
        own_s = forecast.prefill_s,
        others_s = forecast.prefill_ahead_s,
        turn_s = forecast.fair_share_wait_s,
        margin = forecast.margin,
        rate = forecast.rate.0,
        is_measured = forecast.is_measured,
        in_flight = forecast.in_flight.0,
        queued = forecast.queued.0,
        under_way = forecast.in_flight_requests,
        heard_ms = forecast.max_peer_age.as_millis() as u64;
        "refused"
    );
}

fn request_spec(request: &RequestWithDeadline) -> RequestSpec {
    let received = &request.received;
    let common = RequestSpec {
        id: received.record.id,
        workspace: received.workspace.clone(),
        kind: CallKind::Service,
        prompt: RequestSpec::SERVICE_CALL_TOKENS,
        max_output: policy::Tokens::ZERO,
        arrived: received.record.arrived,
        deadline: request.deadline,
        first_token_by: None,
        prefix: Vec::new(),
        fingerprint: received.fingerprint,
        repeatable: true,
    };
    match &received.details {
        CallDetails::Service(details) => RequestSpec { repeatable: details.repeatable(), ..common },
        CallDetails::Model(details) => RequestSpec {
            kind: CallKind::Model(details.model.clone()),
            prompt: details.scan.prompt.tokens,
            max_output: details
                .scan
                .max_output
                .unwrap_or(received.route.rules.limits.default_output),
            prefix: details.scan.prompt.block_hashes.clone(),
            ..common
        },
    }
}
