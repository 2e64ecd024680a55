//! Drives one completion from its admission to its end.

use std::sync::Arc;

use futures_lite::FutureExt;
use http_types::StatusCode;
use policy::{Decision, Event, FailCause, Failure, Outcome, RunStatus, Start, Tokens};
use protocols::engine::run::FinalAnswer;
use smol::channel::Sender;

use super::assemble::GeneratedOutput;
use crate::{
    error::CallError,
    filter::{
        AdmissionGuard, AdmittedRequest, ModelCallDetails, RequestWithDeadline,
        deadline::deadline_error, relay::RelayMessage,
    },
    shared::Shared,
};

/// Carries out the scheduler's decisions about one completion.
pub(super) struct Driver {
    pub(super) shared: Arc<Shared>,
    pub(super) request: RequestWithDeadline,
    pub(super) guard: AdmissionGuard,
    pub(super) details: ModelCallDetails,
    pub(super) messages: Sender<RelayMessage>,
    pub(super) output: GeneratedOutput,
    /// Number of runs sent to engines; an attempt has several if its connection is replaced.
    pub(super) runs: u32,
}

/// The result of a completion.
#[derive(Debug)]
pub(super) enum RequestEnd {
    /// The complete answer was generated.
    Finished,
    /// An engine refused the request in a way that other engines would repeat, such as a 400.
    Answered(FinalAnswer),
    /// The scheduler ended the request.
    Failed(Failure),
    /// The deadline has passed.
    Expired,
    /// The caller closed the connection.
    HungUp,
}

/// The result of one attempt.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// The attempt ended the request.
    Request(RequestEnd),
    /// The attempt failed, and the scheduler decides whether to retry.
    Failed(FailCause),
}

enum DriverEvent {
    Attempt(AttemptEnd),
    Decision(Decision),
}

impl Driver {
    /// A driver that relays the answer through `messages`.
    pub(super) fn new(
        shared: Arc<Shared>,
        admitted: AdmittedRequest,
        details: ModelCallDetails,
        messages: Sender<RelayMessage>,
    ) -> Self {
        let AdmittedRequest { request, guard, .. } = admitted;
        Driver {
            shared,
            request,
            guard,
            details,
            messages,
            output: GeneratedOutput::default(),
            runs: 0,
        }
    }

    /// Runs the request to its end. The deadline and the caller's hang-up end it independently of
    /// engine and scheduler, even if these hang.
    pub(super) async fn run(mut self) {
        let (clock, deadline) = (self.shared.clock, self.request.deadline);
        let (conn, messages) = (self.request.received.conn.clone(), self.messages.clone());
        let deadline_passed = async {
            clock.sleep_until(deadline).await;
            RequestEnd::Expired
        };
        let hung_up = async {
            conn.wait_for_hang_up().or(messages.closed()).await;
            RequestEnd::HungUp
        };
        let end = self.follow_decisions().or(hung_up).or(deadline_passed).await;
        self.finish(end).await;
    }

    async fn follow_decisions(&mut self) -> RequestEnd {
        let decisions = self.guard.decisions.clone();
        let mut next = None;
        loop {
            let decision = match next.take() {
                Some(decision) => decision,
                None => match decisions.recv().await {
                    Ok(decision) => decision,
                    // The scheduler dropped the request without a decision, which is a bug in it.
                    Err(_) => return RequestEnd::Failed(scheduler_lost_request()),
                },
            };
            let start = match decision {
                Decision::Start(start) => start,
                Decision::Fail { failure, .. } => return RequestEnd::Failed(failure),
                Decision::Cancel { .. } => continue,
            };
            let attempt = async { DriverEvent::Attempt(self.attempt(&start).await) };
            let decided = async {
                match decisions.recv().await {
                    Ok(decision) => DriverEvent::Decision(decision),
                    Err(_) => std::future::pending().await,
                }
            };
            match attempt.or(decided).await {
                DriverEvent::Attempt(AttemptEnd::Request(end)) => return end,
                DriverEvent::Attempt(AttemptEnd::Failed(cause)) => {
                    self.report_attempt_failure(&start, cause)
                }
                DriverEvent::Decision(decision) => next = Some(decision),
            }
        }
    }

    fn report_attempt_failure(&self, start: &Start, cause: FailCause) {
        self.shared.metrics.record_failed_attempt(&self.guard.deployment.name, cause);
        self.request.received.record.update(|summary| summary.last_failure = Some(cause));
        log::info!(
            request = start.request.0,
            attempt = start.attempt,
            endpoint = start.shards.first().map_or("-", |shard| shard.endpoint.as_str()),
            cause:? = cause,
            passed_on = self.output.offset;
            "attempt_failed"
        );
        self.guard.deployment.observe(Event::AttemptFailed {
            request: start.request,
            attempt: start.attempt,
            cause,
            passed_on: Tokens(self.output.offset),
        });
    }

    /// Reports the end to the scheduler, the record and the caller, in this order, so that the
    /// scheduler can reuse the capacity while a slow caller still receives the last bytes.
    async fn finish(self, end: RequestEnd) {
        let Driver { shared, request, guard, details, messages, output, runs } = self;
        let record = &request.received.record;
        let ran = match (runs, output.offset) {
            (0, _) => RunStatus::No,
            (_, 0) => RunStatus::Unknown,
            _ => RunStatus::Yes,
        };
        let (outcome, message) = match end {
            RequestEnd::Finished => {
                let mut id = String::new();
                record.update(|summary| {
                    (summary.outcome, summary.ran) = ("finished", RunStatus::Yes);
                    id.clone_from(&summary.request_id);
                });
                let prompt =
                    output.usage.map_or(details.scan.prompt.tokens.0, |usage| usage.prompt_tokens);
                let outcome =
                    Outcome::Finished { prompt: Tokens(prompt), output: Tokens(output.offset) };
                let message = match details.scan.stream {
                    true => RelayMessage::Done,
                    false => RelayMessage::Complete(output.assemble(&id, &details)),
                };
                (outcome, message)
            }
            RequestEnd::Answered(answer) => {
                (Outcome::Answered, RelayMessage::Failed(refused_by_engine(&answer)))
            }
            RequestEnd::Failed(failure) => {
                (Outcome::Cancelled, RelayMessage::Failed(failure.into()))
            }
            RequestEnd::Expired => (Outcome::Expired, RelayMessage::Failed(deadline_error(ran))),
            RequestEnd::HungUp => {
                record.update(|summary| (summary.outcome, summary.ran) = ("hung_up", ran));
                return guard.end(Outcome::Cancelled);
            }
        };
        guard.end(outcome);
        if let RelayMessage::Failed(e) = &message {
            record.update(|summary| (summary.outcome, summary.ran) = (e.code, e.ran));
        }
        send_last_message(&shared, &request, &messages, message).await;
    }
}

/// Sends the last message, waiting until the deadline while the queue is full. A caller that hasn't
/// read enough by then is disconnected, which it can't mistake for the end of a complete answer.
async fn send_last_message(
    shared: &Shared,
    request: &RequestWithDeadline,
    messages: &Sender<RelayMessage>,
    message: RelayMessage,
) {
    let Err(smol::channel::TrySendError::Full(message)) = messages.try_send(message) else {
        return;
    };
    let send = async {
        // Sending fails only if the caller has hung up.
        messages.send(message).await.ok();
    };
    send.or(shared.clock.sleep_until(request.deadline)).await;
}

fn scheduler_lost_request() -> Failure {
    let retry_after = std::time::Duration::from_secs(1);
    Failure { cause: FailCause::NoEndpoint, ran: RunStatus::Unknown, retry_after }
}

/// Maximum number of characters of an engine's error message that are quoted to the caller.
const MAX_ENGINE_MESSAGE_CHARS: usize = 1_000;

fn refused_by_engine(answer: &FinalAnswer) -> CallError {
    let engine_message: String =
        String::from_utf8_lossy(&answer.body).chars().take(MAX_ENGINE_MESSAGE_CHARS).collect();
    CallError {
        status: StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway),
        code: "refused_by_engine",
        message: format!("the engine refused the request: {engine_message}"),
        ran: RunStatus::Unknown,
        retry_after: None,
    }
}
