//! Drives one call to a plain service from its admission to its end.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use policy::{
    Decision, Event, FailCause, Failure, Outcome, RefusalReason, RunStatus, Start, Tokens,
};
use protocols::{
    engine::wire::FENCING,
    service::{AnswerRoom, Header, ServiceAnswer, ServiceCall, ServiceError, http::HttpService},
};
use router::resources::{Holder, Permit};

use crate::{
    endpoint::LifecycleState,
    error::CallError,
    filter::{
        AdmissionGuard, AdmittedRequest, Answer, CompleteAnswer, ServiceCallDetails,
        deadline::deadline_error,
    },
    ledger::RunClaim,
    shared::Shared,
};

/// Divisors of the remaining time that give the timeouts of the first and second attempt of an
/// idempotent call. Each is a quarter of the whole time, so that two silent connections still leave
/// half of it for a third attempt. The scheduler gives up after three.
const TIMEOUT_DIVISORS: [u32; 2] = [4, 3];

/// Runs one call to its end. The caller's hang-up drops this future, and with it the admission
/// guard.
pub(super) async fn run(
    shared: &Arc<Shared>,
    admitted: AdmittedRequest,
    details: ServiceCallDetails,
) -> Result<Answer, CallError> {
    let (clock, deadline) = (shared.clock, admitted.request.deadline);
    let conn = admitted.request.received.conn.clone();
    let guard = &admitted.guard;
    let mut call =
        ServiceDriver { shared, admitted: &admitted, details: &details, sent: false, attempts: 0 };
    let deadline_passed = async {
        clock.sleep_until(deadline).await;
        ServiceCallEnd::Expired
    };
    let runs_at_most_once = admitted.claim.is_some();
    let hung_up = async {
        // A call that runs at most once continues without its caller, so that its answer can be
        // returned when the call is sent again.
        match runs_at_most_once {
            true => std::future::pending().await,
            false => conn.wait_for_hang_up().await,
        }
        ServiceCallEnd::HungUp
    };
    let end = call.follow_decisions(guard).or(hung_up).or(deadline_passed).await;
    let ran = if call.sent { RunStatus::Unknown } else { RunStatus::No };
    let record = admitted.request.received.record.clone();
    match end {
        ServiceCallEnd::Answered(answer) => {
            record.update(|summary| (summary.outcome, summary.ran) = ("finished", RunStatus::Yes));
            admitted.guard.end(Outcome::Finished { prompt: Tokens::ZERO, output: Tokens::ZERO });
            Ok(Answer::Complete(complete_answer(answer)))
        }
        ServiceCallEnd::Failed(failure) => Err(failure.into()),
        ServiceCallEnd::Expired => {
            admitted.guard.end(Outcome::Expired);
            Err(deadline_error(ran))
        }
        // The caller is gone, so this is only logged.
        ServiceCallEnd::HungUp => Err(CallError { ran, ..hung_up_error() }),
    }
}

enum ServiceCallEnd {
    Answered(ServiceAnswer),
    Failed(Failure),
    Expired,
    HungUp,
}

struct ServiceDriver<'a> {
    shared: &'a Arc<Shared>,
    admitted: &'a AdmittedRequest,
    details: &'a ServiceCallDetails,
    sent: bool,
    attempts: usize,
}

impl ServiceDriver<'_> {
    async fn follow_decisions(&mut self, guard: &AdmissionGuard) -> ServiceCallEnd {
        loop {
            let start = match guard.decisions.recv().await {
                Ok(Decision::Start(start)) => start,
                Ok(Decision::Fail { failure, .. }) => return ServiceCallEnd::Failed(failure),
                Ok(Decision::Cancel { .. }) => continue,
                // The scheduler dropped the request without a decision, which is a bug in it.
                Err(_) => return ServiceCallEnd::Failed(scheduler_lost_request()),
            };
            match self.attempt(&start).await {
                Ok(answer) => return ServiceCallEnd::Answered(answer),
                Err(cause) => self.report_failure(guard, &start, cause),
            }
        }
    }

    fn report_failure(&self, guard: &AdmissionGuard, start: &Start, cause: FailCause) {
        self.shared.metrics.record_failed_attempt(&guard.deployment.name, cause);
        self.admitted.request.received.record.update(|summary| summary.last_failure = Some(cause));
        let (request, attempt, passed_on) = (start.request, start.attempt, Tokens::ZERO);
        let event = Event::AttemptFailed { request, attempt, cause, passed_on };
        guard.deployment.observe(event);
    }

    async fn attempt(&mut self, start: &Start) -> Result<ServiceAnswer, FailCause> {
        let active = self.shared.active();
        let shard = start.shards.first().ok_or(FailCause::NotSent)?;
        let endpoint = active.endpoints.get(&shard.endpoint).ok_or(FailCause::NotSent)?;
        self.admitted.request.received.record.update(|summary| {
            summary.attempts += 1;
            summary.endpoint = Some(shard.endpoint.clone());
        });
        let call = self.build_call();
        // From here on the call may have run, unless the attempt ends with `NotSent`.
        let sent_before = std::mem::replace(&mut self.sent, true);
        self.attempts += 1;
        let claim = self.admitted.claim.as_deref();
        let room = HolderRoom(self.admitted.request.received.conn.holder());
        let may_send = || claim.is_none_or(RunClaim::try_begin_sending);
        match HttpService::new(endpoint.config.address).call_if(call, may_send, &room).await {
            Ok(answer) => {
                let leaving = answer.leaving;
                self.shared
                    .record_lifecycle(endpoint, LifecycleState { leaving, ..endpoint.lifecycle() });
                classify_answer(answer, self.details.repeatable())
            }
            Err(ServiceError::NotSent) => {
                self.sent = sent_before;
                Err(FailCause::NotSent)
            }
            Err(ServiceError::Broken) => Err(FailCause::Broken),
            Err(ServiceError::Silent) => Err(FailCause::Silent),
            Err(ServiceError::BadAnswer) => Err(FailCause::BadAnswer),
            // It says nothing about the endpoint.
            Err(ServiceError::NoRoom) => Err(FailCause::Deadline),
        }
    }

    fn build_call(&self) -> ServiceCall {
        let target = &self.details.target;
        let time_left = self.shared.clock.until(self.admitted.request.deadline);
        let divisor = TIMEOUT_DIVISORS.get(self.attempts).filter(|_| self.details.repeatable());
        let timeout = time_left / divisor.copied().unwrap_or(1);
        let path = match &target.query {
            Some(query) => format!("{}?{query}", target.path),
            None => target.path.clone(),
        };
        let mut headers = target.headers.clone();
        if let Some(claim) = &self.admitted.claim {
            headers.push(Header {
                name: FENCING.to_owned(),
                value: claim.fencing_number().to_string(),
            });
        }
        ServiceCall {
            method: target.method,
            path,
            headers,
            body: self.admitted.request.received.body.clone(),
            timeout,
        }
    }
}

/// Room in the buffers for the connection of a caller.
struct HolderRoom<'a>(&'a Arc<Holder>);

impl AnswerRoom for HolderRoom<'_> {
    type Permit = Permit;

    async fn acquire(&self, len: usize) -> Permit {
        let mut permit = self.0.permit();
        permit.wait_to_grow_to(len).await;
        permit
    }
}

/// Decides whether an answer goes to the caller or fails the attempt, so that another server is
/// tried. Only idempotent calls are retried, because a busy server's refusal doesn't prove that the
/// call didn't run. An error of the service itself, such as 500, goes to the caller.
fn classify_answer(answer: ServiceAnswer, repeatable: bool) -> Result<ServiceAnswer, FailCause> {
    match answer.status {
        429 | 503 if repeatable => Err(FailCause::Rejected),
        502 | 504 if repeatable => Err(FailCause::EndpointError),
        _ => Ok(answer),
    }
}

fn complete_answer(answer: ServiceAnswer) -> CompleteAnswer {
    CompleteAnswer {
        status: answer.status,
        content_type: answer.content_type,
        headers: answer.headers,
        body: answer.body,
    }
}

fn scheduler_lost_request() -> Failure {
    let retry_after = Duration::from_secs(1);
    Failure { cause: FailCause::NoEndpoint, ran: RunStatus::Unknown, retry_after }
}

fn hung_up_error() -> CallError {
    let refusal = policy::Refusal::new(RefusalReason::NoEndpoint, Duration::from_secs(1));
    CallError { code: "hung_up", ..refusal.into() }
}
