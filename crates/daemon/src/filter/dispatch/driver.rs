//! Follows one completion from its admission to its end.

use std::sync::Arc;

use futures_lite::FutureExt;
use http_types::StatusCode;
use policy::{Decision, Event, FailCause, Failure, Outcome, RunStatus, Start, Tokens};
use protocols::engine::run::FinalAnswer;
use smol::channel::Sender;

use super::assemble::Output;
use crate::{
    error::CallError,
    filter::{
        AdmissionGuard, AdmittedRequest, ModelCallDetails, RequestWithDeadline, deadline::expired,
        relay::RelayMessage,
    },
    shared::Shared,
};

/// Follows one completion.
pub(super) struct Driver {
    pub(super) shared: Arc<Shared>,
    pub(super) timed: RequestWithDeadline,
    pub(super) guard: AdmissionGuard,
    pub(super) work: ModelCallDetails,
    pub(super) messages: Sender<RelayMessage>,
    pub(super) output: Output,
    /// Runs sent to engines.
    pub(super) runs: u32,
}

/// How a completion ended.
#[derive(Debug)]
pub(super) enum End {
    /// The answer is whole.
    Finished,
    /// The engine gave an answer that another would give too.
    Answered(FinalAnswer),
    /// The scheduler gave it up.
    Failed(Failure),
    /// The deadline has passed.
    Expired,
    /// The caller is gone.
    HungUp,
}

/// What became of one attempt.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// It ended the request.
    Request(End),
    /// It failed.
    Failed(FailCause),
}

enum Step {
    Attempt(AttemptEnd),
    Decision(Decision),
}

impl Driver {
    /// A driver that passes the answer on by `replies`.
    pub(super) fn new(
        shared: Arc<Shared>,
        admitted: AdmittedRequest,
        work: ModelCallDetails,
        messages: Sender<RelayMessage>,
    ) -> Self {
        let AdmittedRequest { timed, guard, .. } = admitted;
        Driver { shared, timed, guard, work, messages, output: Output::default(), runs: 0 }
    }

    /// Follows the request to its end. The deadline and the caller's hang-up end it from outside,
    /// whatever engine and scheduler do or fail to do.
    pub(super) async fn run(mut self) {
        let (clock, deadline) = (self.shared.clock, self.timed.deadline);
        let (conn, messages) = (self.timed.received.conn.clone(), self.messages.clone());
        let late = async {
            clock.sleep_until(deadline).await;
            End::Expired
        };
        let hung_up = async {
            conn.hung_up().or(messages.closed()).await;
            End::HungUp
        };
        let end = self.follow().or(hung_up).or(late).await;
        self.finish(end).await;
    }

    async fn follow(&mut self) -> End {
        let decisions = self.guard.decisions.clone();
        let mut next = None;
        loop {
            let decision = match next.take() {
                Some(decision) => decision,
                None => match decisions.recv().await {
                    Ok(decision) => decision,
                    // The scheduler has forgotten the request, which only its own fault explains.
                    Err(_) => return End::Failed(forgotten()),
                },
            };
            let start = match decision {
                Decision::Start(start) => start,
                Decision::Fail { failure, .. } => return End::Failed(failure),
                Decision::Cancel { .. } => continue,
            };
            let attempt = async { Step::Attempt(self.attempt(&start).await) };
            let decided = async {
                match decisions.recv().await {
                    Ok(decision) => Step::Decision(decision),
                    Err(_) => std::future::pending().await,
                }
            };
            match attempt.or(decided).await {
                Step::Attempt(AttemptEnd::Request(end)) => return end,
                Step::Attempt(AttemptEnd::Failed(cause)) => self.attempt_failed(&start, cause),
                Step::Decision(decision) => next = Some(decision),
            }
        }
    }

    fn attempt_failed(&self, start: &Start, cause: FailCause) {
        self.shared.metrics.attempt_failed(&self.guard.deployment.name, cause);
        self.timed.received.record.update(|summary| summary.last_failure = Some(cause));
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

    /// Tells the scheduler, the record and the caller, in this order: the scheduler may give the
    /// place away while a slow caller still takes the last bytes.
    async fn finish(self, end: End) {
        let Driver { shared, timed, guard, work, messages, output, runs } = self;
        let record = &timed.received.record;
        let ran = match (runs, output.offset) {
            (0, _) => RunStatus::No,
            (_, 0) => RunStatus::Unknown,
            _ => RunStatus::Yes,
        };
        let (outcome, reply) = match end {
            End::Finished => {
                let mut id = String::new();
                record.update(|summary| {
                    (summary.outcome, summary.ran) = ("finished", RunStatus::Yes);
                    id.clone_from(&summary.request_id);
                });
                let prompt =
                    output.usage.map_or(work.scan.prompt.tokens.0, |usage| usage.prompt_tokens);
                let outcome =
                    Outcome::Finished { prompt: Tokens(prompt), output: Tokens(output.offset) };
                let reply = match work.scan.stream {
                    true => RelayMessage::Done,
                    false => RelayMessage::Complete(output.assemble(&id, &work)),
                };
                (outcome, reply)
            }
            End::Answered(answer) => (Outcome::Answered, RelayMessage::Failed(refused(&answer))),
            End::Failed(failure) => (Outcome::Cancelled, RelayMessage::Failed(failure.into())),
            End::Expired => (Outcome::Expired, RelayMessage::Failed(expired(ran))),
            End::HungUp => {
                record.update(|summary| (summary.outcome, summary.ran) = ("hung_up", ran));
                return guard.end(Outcome::Cancelled);
            }
        };
        guard.end(outcome);
        if let RelayMessage::Failed(e) = &reply {
            record.update(|summary| (summary.outcome, summary.ran) = (e.code, e.ran));
        }
        pass_on(&shared, &timed, &messages, reply).await;
    }
}

/// Passes the last reply on: at once where there is room, else before the deadline. A caller that
/// still hasn't made room then is cut, which it can't take for the end of a whole answer.
async fn pass_on(
    shared: &Shared,
    timed: &RequestWithDeadline,
    messages: &Sender<RelayMessage>,
    reply: RelayMessage,
) {
    let Err(smol::channel::TrySendError::Full(reply)) = messages.try_send(reply) else { return };
    let send = async {
        // A caller that is gone needs no reply.
        messages.send(reply).await.ok();
    };
    send.or(shared.clock.sleep_until(timed.deadline)).await;
}

fn forgotten() -> Failure {
    let retry_after = std::time::Duration::from_secs(1);
    Failure { cause: FailCause::NoEndpoint, ran: RunStatus::Unknown, retry_after }
}

/// The most of an engine's own words that an error repeats.
const WORDS: usize = 1_000;

fn refused(answer: &FinalAnswer) -> CallError {
    let words: String = String::from_utf8_lossy(&answer.body).chars().take(WORDS).collect();
    CallError {
        status: StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway),
        code: "refused_by_engine",
        message: format!("the engine refused the request: {words}"),
        ran: RunStatus::Unknown,
        retry_after: None,
    }
}
