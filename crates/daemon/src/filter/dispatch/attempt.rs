//! One attempt to run a completion on an engine.
//!
//! Guards against events that are delayed, repeated, missing or from another run: each event names
//! its run and its offset. Repeated events are dropped. A gap or an event of another run fails the
//! attempt, and the next attempt resumes after the last token that the caller has. An answer is
//! complete only with the end mark and a finish reason.

use std::sync::Arc;

use bytes::Bytes;
use policy::{Event, FailCause, Incarnation, Shard, Start, Tokens};
use protocols::engine::{
    Engine,
    piece::Piece,
    run::{Run, RunError, Running},
    sse::{SseError, SseEvent},
    wire::{AttemptId, DONE, EventId, HeldKind, Resume},
};
use serde::Serialize;

use super::{
    driver::{AttemptEnd, Driver, RequestEnd},
    reserve::{Reservations, is_expected},
    silence::StreamWatchdog,
};
use crate::{
    controller::RESERVATION_LEASE,
    endpoint::{Endpoint, LifecycleState},
    filter::relay::RelayMessage,
};

/// Number of tokens between two progress reports to the scheduler.
const PROGRESS_INTERVAL_TOKENS: u64 = 32;

/// Maximum number of new connections to the same engine within one attempt. A link that loses more
/// connections than this within one answer is treated as failed.
const MAX_RECONNECTS: u32 = 2;

impl Driver {
    /// Runs the request on the engines that the scheduler chose. A connection that is lost while
    /// the engine's process lives is replaced without asking the scheduler: the engine has the
    /// prompt in its cache, so resuming there costs least.
    pub(super) async fn attempt(&mut self, start: &Start) -> AttemptEnd {
        let active = self.shared.active();
        let [primary, others @ ..] = &start.shards[..] else { return failed(FailCause::NotSent) };
        let Some(endpoint) = active.endpoints.get(&primary.endpoint) else {
            return failed(FailCause::NotSent);
        };
        let run_id = self.next_run_id(start);
        let reservations = match Box::pin(Reservations::reserve_all(&active, &run_id, others)).await
        {
            Ok(reservations) => reservations,
            Err(cause) => return failed(cause),
        };
        let target = AttemptTarget { start, primary, endpoint, kv_shards: reservations.header() };
        for _ in 0..MAX_RECONNECTS {
            let run_id = self.next_run_id(start).to_string();
            match self.run_once(&target).await {
                Ok(()) => return AttemptEnd::Request(RequestEnd::Finished),
                Err(AttemptEnd::Failed(FailCause::Silent | FailCause::Broken))
                    if target.has_released(&run_id).await => {}
                Err(end) => return end,
            }
        }
        match self.run_once(&target).await {
            Ok(()) => AttemptEnd::Request(RequestEnd::Finished),
            Err(end) => end,
        }
    }

    /// The id under which the next run is sent. It counts runs instead of the scheduler's attempts,
    /// so that a run over a new connection isn't mistaken for the previous one.
    fn next_run_id(&self, start: &Start) -> AttemptId {
        let owner = self.shared.owner.clone();
        AttemptId { owner, request: start.request, attempt: self.runs + 1 }
    }

    async fn run_once(&mut self, target: &AttemptTarget<'_>) -> Result<(), AttemptEnd> {
        let AttemptTarget { start, primary, endpoint, .. } = target;
        let attempt = self.next_run_id(start);
        self.runs += 1;
        self.request.received.record.update(|summary| {
            summary.attempts += 1;
            summary.endpoint = Some(primary.endpoint.clone());
        });
        let id = attempt.to_string();
        let holding = endpoint.hold(id.clone(), HeldKind::Stream);
        let run = self.run_call(target, attempt.clone());
        let known = (primary.incarnation != Incarnation(0)).then_some(primary.incarnation);
        let mut watchdog = StreamWatchdog::new(endpoint, &id, known);
        // Boxed, so that the future of a running stream doesn't include the state of sending.
        let sending = Box::pin(run.send());
        let running = match watchdog.wait(self.output.offset, sending).await {
            Ok(Ok(running)) => running,
            Ok(Err(e)) => {
                if !matches!(e, RunError::Broken | RunError::BadAnswer) {
                    holding.close();
                }
                return Err(self.classify_run_error(endpoint, &watchdog, e).await);
            }
            Err(cause) => return Err(failed(cause)),
        };
        let lifecycle =
            LifecycleState { incarnation: running.incarnation, leaving: running.leaving };
        self.shared.record_lifecycle(endpoint, lifecycle);
        if !is_expected(primary, running.incarnation) {
            return Err(failed(FailCause::NotSent));
        }
        watchdog.incarnation = Some(running.incarnation);
        self.relay(start, &attempt, running, &mut watchdog).await.map_err(failed)?;
        holding.close();
        Ok(())
    }

    fn run_call(&self, target: &AttemptTarget<'_>, attempt: AttemptId) -> Run {
        Run {
            address: target.endpoint.config.address,
            path: self.details.path,
            attempt,
            priority: target.start.priority,
            lease: RESERVATION_LEASE,
            kv_shards: target.kv_shards.clone(),
            traceparent: self.request.received.headers.traceparent.clone(),
            body: self.body(),
        }
    }

    /// The request's body, with a `resume` member if the caller already has a part of the answer.
    fn body(&self) -> Vec<Bytes> {
        let body = &self.request.received.body;
        match self.output.resume() {
            Some(resume) => body_with_resume(body, &resume),
            None => vec![body.clone()],
        }
    }

    async fn classify_run_error(
        &self,
        endpoint: &Endpoint,
        watchdog: &StreamWatchdog<'_>,
        e: RunError,
    ) -> AttemptEnd {
        match e {
            RunError::NotSent => failed(FailCause::NotSent),
            RunError::Rejected(rejection) => {
                let leaving = rejection.leaving;
                if let Some(incarnation) = rejection.incarnation {
                    self.shared.record_lifecycle(endpoint, LifecycleState { incarnation, leaving });
                }
                failed(FailCause::Rejected)
            }
            // After the first token such an answer can't be relayed, and another engine may resume.
            RunError::Final(answer) if self.output.offset == 0 => {
                AttemptEnd::Request(RequestEnd::Answered(answer))
            }
            RunError::Final(_) | RunError::EndpointError => failed(FailCause::EndpointError),
            RunError::Broken => failed(watchdog.classify_break().await),
            RunError::BadAnswer => failed(FailCause::BadAnswer),
        }
    }

    async fn relay(
        &mut self,
        start: &Start,
        attempt: &AttemptId,
        mut running: Running,
        watchdog: &mut StreamWatchdog<'_>,
    ) -> Result<(), FailCause> {
        let mut reported = self.output.offset;
        let mut is_first_piece = true;
        loop {
            let event = match watchdog.wait(self.output.offset, running.next()).await? {
                Ok(Some(event)) => event,
                Ok(None) | Err(SseError::Broken) => return Err(watchdog.classify_break().await),
                Err(SseError::Malformed) => return Err(FailCause::BadAnswer),
            };
            if event.data == DONE {
                let is_complete = self.output.finish_reason.is_some();
                return if is_complete { Ok(()) } else { Err(FailCause::BadAnswer) };
            }
            let id: EventId = event.id.parse().map_err(|_| FailCause::BadAnswer)?;
            if id.attempt != *attempt || id.offset > self.output.offset {
                return Err(FailCause::BadAnswer);
            }
            let piece = Piece::read(&event.data).ok_or(FailCause::BadAnswer)?;
            if std::mem::take(&mut is_first_piece) {
                self.record_first_token(start, &piece);
            }
            if id.offset == self.output.offset {
                self.forward_piece(piece, event).await;
            }
            if self.output.offset >= reported + PROGRESS_INTERVAL_TOKENS {
                self.record_progress(start, self.output.offset - reported);
                reported = self.output.offset;
            }
        }
    }

    async fn forward_piece(&mut self, piece: Piece, event: SseEvent) {
        self.output.push(piece);
        self.request.received.record.update(|summary| summary.output = Tokens(self.output.offset));
        if self.details.scan.stream {
            // If the caller has hung up, `Driver::run` ends the request.
            self.messages.send(RelayMessage::Event(event.data)).await.ok();
        }
    }

    fn record_first_token(&self, start: &Start, piece: &Piece) {
        let now = self.shared.clock.now();
        self.request.received.record.update(|summary| {
            summary.first_token.get_or_insert(now);
        });
        let cached = piece.usage.and_then(|usage| usage.cached_tokens).map(Tokens);
        let (request, attempt) = (start.request, start.attempt);
        self.guard.deployment.observe(Event::FirstToken { request, attempt, cached });
    }

    fn record_progress(&self, start: &Start, tokens: u64) {
        let (request, attempt, tokens) = (start.request, start.attempt, Tokens(tokens));
        self.guard.deployment.observe(Event::Progress { request, attempt, tokens });
    }
}

/// The engines that run one attempt. Memory on further engines is already reserved.
struct AttemptTarget<'a> {
    start: &'a Start,
    primary: &'a Shard,
    endpoint: &'a Arc<Endpoint>,
    kv_shards: String,
}

impl AttemptTarget<'_> {
    /// Whether the engine is still the chosen incarnation and has released the run `run_id`, whose
    /// memory the next run needs.
    async fn has_released(&self, run_id: &str) -> bool {
        let engine = self.endpoint.engine();
        let Ok(load) = engine.load().await else { return false };
        is_expected(self.primary, load.incarnation)
            && engine.release(&[run_id.to_owned()]).await.is_ok()
    }
}

fn failed(cause: FailCause) -> AttemptEnd {
    AttemptEnd::Failed(cause)
}

#[derive(Serialize)]
struct ResumeMember<'a> {
    resume: &'a Resume,
}

/// Appends the `resume` member to the JSON object in `body`, without copying `body`.
fn body_with_resume(body: &Bytes, resume: &Resume) -> Vec<Bytes> {
    let end = body.iter().rposition(|byte| *byte == b'}').unwrap_or(body.len());
    // Serializing plain strings and numbers can't fail.
    let mut member = serde_json::to_vec(&ResumeMember { resume }).unwrap_or_default();
    // The opening brace of the serialized object becomes the comma after the body's last member;
    // its closing brace closes the body.
    if let Some(brace) = member.first_mut() {
        *brace = b',';
    }
    vec![body.slice(..end), Bytes::from(member)]
}
