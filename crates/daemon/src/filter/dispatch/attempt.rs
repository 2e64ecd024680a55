//! One attempt to run a completion on an engine.
//!
//! Guards against pieces of an answer that are late, crossed, repeated or missing: each names the
//! attempt and its offset. Repeated ones are dropped; a gap or a stranger's piece ends the attempt,
//! and the next one resumes behind what the caller has. Without the end mark and the reason why
//! generation ended, nothing counts as whole.

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
    driver::{AttemptEnd, Driver, End},
    reserve::{Reservations, is_expected},
    silence::Watch,
};
use crate::{
    controller::RESERVATION_LEASE,
    endpoint::{Endpoint, LifecycleState},
    filter::relay::RelayMessage,
};

/// Tokens between two reports of progress to the scheduler.
const PROGRESS_STEP: u64 = 32;

/// How often one attempt may go on over a new connection to the same engine. A link that loses
/// more connections than this within one answer is no better than none.
const RECONNECTS: u32 = 2;

impl Driver {
    /// Runs the request where the scheduler wants it. A connection that is lost while the engine
    /// lives is replaced here: the engine has the prompt in its cache, so going on there costs the
    /// least, and the scheduler has nothing to decide.
    pub(super) async fn attempt(&mut self, start: &Start) -> AttemptEnd {
        let active = self.shared.active();
        let [head, others @ ..] = &start.shards[..] else { return failed(FailCause::NotSent) };
        let Some(endpoint) = active.endpoints.get(&head.endpoint) else {
            return failed(FailCause::NotSent);
        };
        let name = self.name(start);
        let reservations = match Box::pin(Reservations::take(&active, &name, others)).await {
            Ok(reservations) => reservations,
            Err(cause) => return failed(cause),
        };
        let place = Place { start, head, endpoint, kv_shards: reservations.header() };
        for _ in 0..RECONNECTS {
            let name = self.name(start).to_string();
            match self.run_once(&place).await {
                Ok(()) => return AttemptEnd::Request(End::Finished),
                Err(AttemptEnd::Failed(FailCause::Silent | FailCause::Broken))
                    if place.has_let_go(&name).await => {}
                Err(end) => return end,
            }
        }
        match self.run_once(&place).await {
            Ok(()) => AttemptEnd::Request(End::Finished),
            Err(end) => end,
        }
    }

    /// The name under which the next run is sent. It counts runs and not the scheduler's attempts,
    /// because a run over a new connection must not be taken for the one before.
    fn name(&self, start: &Start) -> AttemptId {
        let owner = self.shared.owner.clone();
        AttemptId { owner, request: start.request, attempt: self.runs + 1 }
    }

    async fn run_once(&mut self, place: &Place<'_>) -> Result<(), AttemptEnd> {
        let Place { start, head, endpoint, .. } = place;
        let attempt = self.name(start);
        self.runs += 1;
        self.timed.received.record.update(|summary| {
            summary.attempts += 1;
            summary.endpoint = Some(head.endpoint.clone());
        });
        let id = attempt.to_string();
        let holding = endpoint.hold(id.clone(), HeldKind::Stream);
        let run = self.run_call(place, attempt.clone());
        let known = (head.incarnation != Incarnation(0)).then_some(head.incarnation);
        let mut watch = Watch::new(endpoint, &id, known);
        // On the heap, so that a stream under way doesn't carry the room that sending took.
        let sent = Box::pin(run.send());
        let running = match watch.wait(self.output.offset, sent).await {
            Ok(Ok(running)) => running,
            Ok(Err(e)) => {
                if !matches!(e, RunError::Broken | RunError::BadAnswer) {
                    holding.close();
                }
                return Err(self.not_running(endpoint, &watch, e).await);
            }
            Err(cause) => return Err(failed(cause)),
        };
        let lifecycle =
            LifecycleState { incarnation: running.incarnation, leaving: running.leaving };
        self.shared.record_lifecycle(endpoint, lifecycle);
        if !is_expected(head, running.incarnation) {
            return Err(failed(FailCause::NotSent));
        }
        watch.incarnation = Some(running.incarnation);
        self.relay(start, &attempt, running, &mut watch).await.map_err(failed)?;
        holding.close();
        Ok(())
    }

    fn run_call(&self, place: &Place<'_>, attempt: AttemptId) -> Run {
        Run {
            address: place.endpoint.config.address,
            path: self.work.path,
            attempt,
            priority: place.start.priority,
            lease: RESERVATION_LEASE,
            kv_shards: place.kv_shards.clone(),
            traceparent: self.timed.received.head.traceparent.clone(),
            body: self.body(),
        }
    }

    /// The body, with the place to resume at where the caller already has a part of the answer.
    fn body(&self) -> Vec<Bytes> {
        let body = &self.timed.received.body;
        match self.output.resume() {
            Some(resume) => resumed(body, &resume),
            None => vec![body.clone()],
        }
    }

    async fn not_running(&self, endpoint: &Endpoint, watch: &Watch<'_>, e: RunError) -> AttemptEnd {
        match e {
            RunError::NotSent => failed(FailCause::NotSent),
            RunError::Rejected(rejection) => {
                let leaving = rejection.leaving;
                if let Some(incarnation) = rejection.incarnation {
                    self.shared.record_lifecycle(endpoint, LifecycleState { incarnation, leaving });
                }
                failed(FailCause::Rejected)
            }
            // In mid-stream such an answer can't be passed on, and another engine may resume.
            RunError::Final(answer) if self.output.offset == 0 => {
                AttemptEnd::Request(End::Answered(answer))
            }
            RunError::Final(_) | RunError::EndpointError => failed(FailCause::EndpointError),
            RunError::Broken => failed(watch.why_broken().await),
            RunError::BadAnswer => failed(FailCause::BadAnswer),
        }
    }

    async fn relay(
        &mut self,
        start: &Start,
        attempt: &AttemptId,
        mut running: Running,
        watch: &mut Watch<'_>,
    ) -> Result<(), FailCause> {
        let mut reported = self.output.offset;
        let mut first = true;
        loop {
            let event = match watch.wait(self.output.offset, running.next()).await? {
                Ok(Some(event)) => event,
                Ok(None) | Err(SseError::Broken) => return Err(watch.why_broken().await),
                Err(SseError::Malformed) => return Err(FailCause::BadAnswer),
            };
            if event.data == DONE {
                let whole = self.output.finish_reason.is_some();
                return if whole { Ok(()) } else { Err(FailCause::BadAnswer) };
            }
            let id: EventId = event.id.parse().map_err(|_| FailCause::BadAnswer)?;
            if id.attempt != *attempt || id.offset > self.output.offset {
                return Err(FailCause::BadAnswer);
            }
            let piece = Piece::read(&event.data).ok_or(FailCause::BadAnswer)?;
            if std::mem::take(&mut first) {
                self.first_token(start, &piece);
            }
            if id.offset == self.output.offset {
                self.pass_on(piece, event).await;
            }
            if self.output.offset >= reported + PROGRESS_STEP {
                self.progress(start, self.output.offset - reported);
                reported = self.output.offset;
            }
        }
    }

    async fn pass_on(&mut self, piece: Piece, event: SseEvent) {
        self.output.push(piece);
        self.timed.received.record.update(|summary| summary.output = Tokens(self.output.offset));
        if self.work.scan.stream {
            // A caller that is gone ends the request elsewhere.
            self.messages.send(RelayMessage::Event(event.data)).await.ok();
        }
    }

    fn first_token(&self, start: &Start, piece: &Piece) {
        let now = self.shared.clock.now();
        self.timed.received.record.update(|summary| {
            summary.first_token.get_or_insert(now);
        });
        let cached = piece.usage.and_then(|usage| usage.cached_tokens).map(Tokens);
        let (request, attempt) = (start.request, start.attempt);
        self.guard.deployment.observe(Event::FirstToken { request, attempt, cached });
    }

    fn progress(&self, start: &Start, tokens: u64) {
        let (request, attempt, tokens) = (start.request, start.attempt, Tokens(tokens));
        self.guard.deployment.observe(Event::Progress { request, attempt, tokens });
    }
}

/// Where one attempt runs.
struct Place<'a> {
    start: &'a Start,
    head: &'a Shard,
    endpoint: &'a Arc<Endpoint>,
    kv_shards: String,
}

impl Place<'_> {
    /// Whether the engine still lives the life that was chosen, and has let go of the run `name`,
    /// whose memory the next run needs.
    async fn has_let_go(&self, name: &str) -> bool {
        let engine = self.endpoint.engine();
        let Ok(load) = engine.load().await else { return false };
        is_expected(self.head, load.incarnation) && engine.release(&[name.to_owned()]).await.is_ok()
    }
}

fn failed(cause: FailCause) -> AttemptEnd {
    AttemptEnd::Failed(cause)
}

#[derive(Serialize)]
struct Member<'a> {
    resume: &'a Resume,
}

/// `body` with the `resume` member added at its end, without a copy of `body`.
fn resumed(body: &Bytes, resume: &Resume) -> Vec<Bytes> {
    let end = body.iter().rposition(|byte| *byte == b'}').unwrap_or(body.len());
    // Plain strings and numbers can always be written.
    let mut member = serde_json::to_vec(&Member { resume }).unwrap_or_default();
    // The brace that opens the member's own object becomes the comma behind the body's last one;
    // the brace that closes it closes the body.
    if let Some(first) = member.first_mut() {
        *first = b',';
    }
    vec![body.slice(..end), Bytes::from(member)]
}
