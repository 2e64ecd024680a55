//! Runs calls that aren't idempotent at most once; `docs/decisions/ledger.md` describes how.

use std::{panic::AssertUnwindSafe, sync::Arc, time::Duration};

use futures_lite::FutureExt;
use http_types::StatusCode;
use policy::{
    Outcome, Refusal, RefusalReason, RunStatus,
    ledger::{Answer as StoredAnswer, CallKey, MAX_ANSWER_BODY_BYTES},
};
use protocols::log::http::HttpLog;
use smol::channel::bounded;

use crate::{
    error::CallError,
    filter::{AdmittedRequest, Answer, CallDetails, CompleteAnswer, Handler},
    ledger::{ClaimOutcome, ClaimRequest, RunClaim},
    shared::Shared,
};

/// `Retry-After` while the log is unavailable. Its outages last minutes, but people retry sooner.
const LOG_OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// `Retry-After` while the outcome of an earlier call with the same key is unknown.
const UNKNOWN_OUTCOME_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A claim that this filter shares with the dispatch filter, which sends the call.
pub type SharedClaim = Arc<RunClaim<HttpLog>>;

/// The filter that claims a call's key in the ledger before the call is dispatched.
pub struct AtMostOnce<N> {
    shared: Arc<Shared>,
    next: Arc<N>,
}

impl<N> AtMostOnce<N> {
    /// Creates the filter in front of `next`.
    pub fn new(shared: Arc<Shared>, next: N) -> Self {
        AtMostOnce { shared, next: Arc::new(next) }
    }
}

impl<N: Handler<AdmittedRequest> + 'static> Handler<AdmittedRequest> for AtMostOnce<N> {
    async fn handle(&self, admitted: AdmittedRequest) -> Result<Answer, CallError> {
        let CallDetails::Service(details) = &admitted.request.received.details else {
            return self.next.handle(admitted).await;
        };
        if details.repeatable() {
            return self.next.handle(admitted).await;
        }
        let key = call_key(&admitted)?;
        let Some(ledgers) = self.shared.ledgers() else {
            admitted.guard.end(Outcome::Cancelled);
            return Err(log_unavailable());
        };
        let req = ClaimRequest {
            key: key.clone(),
            fingerprint: admitted.request.received.fingerprint,
            deduplicates: details.rules.as_ref().is_some_and(|rules| rules.deduplicates),
            deadline: admitted.request.deadline,
        };
        let outcome = ledgers.ledger_for(&key).claim(req).await;
        let deployment = &admitted.guard.deployment.name;
        self.shared.metrics.record_at_most_once_call(deployment, outcome.name());
        match outcome {
            ClaimOutcome::Run(claim) => self.run_detached(admitted, claim).await,
            other => {
                admitted.guard.end(Outcome::Answered);
                outcome_without_run(other)
            }
        }
    }
}

impl<N: Handler<AdmittedRequest> + 'static> AtMostOnce<N> {
    /// Runs the call in a task that outlives the connection.
    ///
    /// Guards against a caller that hangs up while its call runs and then sends it again: the call
    /// completes, and the stored answer is returned to the repeated call.
    async fn run_detached(
        &self,
        mut admitted: AdmittedRequest,
        claim: RunClaim<HttpLog>,
    ) -> Result<Answer, CallError> {
        let claim = Arc::new(claim);
        admitted.claim = Some(claim.clone());
        let (tx, rx) = bounded(1);
        let next = self.next.clone();
        self.shared.spawn(async move {
            let result = AssertUnwindSafe(next.handle(admitted)).catch_unwind().await;
            // After a panic, dropping the claim records the outcome.
            let Ok(result) = result else { return };
            tx.send(settle_claim(claim, result)).await.ok();
        });
        rx.recv().await.unwrap_or_else(|_| Err(outcome_unknown()))
    }
}

/// Records the outcome of a call in the ledger and derives the caller's result from it.
fn settle_claim(
    claim: SharedClaim,
    result: Result<Answer, CallError>,
) -> Result<Answer, CallError> {
    // The dispatch filter has dropped its reference by now.
    let claim = Arc::into_inner(claim).ok_or_else(outcome_unknown)?;
    match result {
        // Such a status proves neither that the call ran nor that it didn't.
        Ok(Answer::Complete(answer)) if answer.status == 429 || answer.status >= 500 => {
            claim.mark_unknown();
            Ok(Answer::Complete(answer))
        }
        Ok(Answer::Complete(answer)) => {
            claim.complete(stored_answer(&answer));
            Ok(Answer::Complete(answer))
        }
        Ok(stream) => {
            claim.mark_unknown();
            Ok(stream)
        }
        Err(e) if e.ran == RunStatus::No => {
            let ran = claim.abandon();
            Err(CallError { ran, ..e })
        }
        Err(e) => {
            claim.mark_unknown();
            Err(CallError { ran: RunStatus::Unknown, ..e })
        }
    }
}

fn stored_answer(answer: &CompleteAnswer) -> StoredAnswer {
    let body = std::str::from_utf8(&answer.body).ok();
    StoredAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: body.filter(|body| body.len() <= MAX_ANSWER_BODY_BYTES).map(str::to_owned),
    }
}

fn call_key(admitted: &AdmittedRequest) -> Result<CallKey, CallError> {
    let received = &admitted.request.received;
    let Some(text) = &received.headers.idempotency_key else {
        return Err(CallError::malformed(
            "header `Idempotency-Key` is missing; this call may not be repeated and needs one",
        ));
    };
    let group = received.route.rules.group.clone();
    CallKey::new(received.workspace.clone(), group, text)
        .map_err(|e| CallError::malformed(e.to_string()))
}

fn outcome_without_run(outcome: ClaimOutcome<HttpLog>) -> Result<Answer, CallError> {
    Err(match outcome {
        ClaimOutcome::Answer(answer) => return replayed_answer(answer),
        ClaimOutcome::Run(_) | ClaimOutcome::Unknown => outcome_unknown(),
        ClaimOutcome::BodyDiffers => CallError::caller(
            StatusCode::UnprocessableEntity,
            "key_reused",
            "the Idempotency-Key was used for another call; this one was not run",
        ),
        ClaimOutcome::NotRun => CallError {
            code: "not_run",
            message: "the call was given up before it was sent, and was not run".to_owned(),
            retry_after: Some(Duration::from_secs(1)),
            ..log_unavailable()
        },
        ClaimOutcome::LogDown | ClaimOutcome::Full => log_unavailable(),
        ClaimOutcome::Behind => CallError {
            message: "the call was not run now, and whether one with its key ran before can't be \
                      looked up"
                .to_owned(),
            ran: RunStatus::Unknown,
            ..log_unavailable()
        },
        ClaimOutcome::KeyTooOld => CallError {
            status: StatusCode::UnprocessableEntity,
            code: "key_too_old",
            message: "the Idempotency-Key is older than what is remembered; the call was not run \
                      now, and may have run before"
                .to_owned(),
            ran: RunStatus::Unknown,
            retry_after: None,
        },
        ClaimOutcome::KeyFromTheFuture => CallError::malformed(
            "the Idempotency-Key says that it was made in the future; check the clock",
        ),
    })
}

fn replayed_answer(answer: StoredAnswer) -> Result<Answer, CallError> {
    let Some(body) = answer.body else {
        return Err(CallError {
            status: StatusCode::Conflict,
            code: "answer_not_kept",
            message: format!(
                "the call ran and was answered with status {}; the answer was too large to be kept",
                answer.status
            ),
            ran: RunStatus::Yes,
            retry_after: None,
        });
    };
    Ok(Answer::Complete(CompleteAnswer {
        status: answer.status,
        content_type: answer.content_type,
        headers: Vec::new(),
        body: body.into(),
    }))
}

fn outcome_unknown() -> CallError {
    CallError {
        status: StatusCode::GatewayTimeout,
        code: "outcome_unknown",
        message: "whether the call ran can't be told; it isn't run again".to_owned(),
        ran: RunStatus::Unknown,
        retry_after: Some(UNKNOWN_OUTCOME_RETRY_AFTER),
    }
}

fn log_unavailable() -> CallError {
    Refusal::new(RefusalReason::LogUnavailable, LOG_OUTAGE_RETRY_AFTER).into()
}
