//! Passes an event stream to the caller while it arrives, from as many endpoints as it takes.
//!
//! Guards against streams that break in the middle: only whole events are passed on, the next
//! endpoint is asked to resume after the last one, and events that it repeats are dropped. If the
//! stream can't be resumed, the caller's connection is cut, so that a partial answer never looks
//! complete. A stream without a length may end with its connection, unless it has no event at all.
//!
//! An endpoint that merely falls silent isn't given up. Another one is asked to resume the stream
//! concurrently, and keeps it from its first event on. An engine that prefills a long prompt is
//! silent too, and cutting it off would lose an answer that was about to continue.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Response, response};
use http_body_util::BodyExt;
use policy::{FailCause, routes::RetrySafety};
use smol::{
    Timer,
    channel::{Sender, bounded},
    lock::Mutex,
};

use super::{
    Refusal, ResponseBody,
    attempt::STREAM_RECEIVE_BUFFER_BYTES,
    body::{EventBody, QueuedEvent, TruncatedResponse},
    call::{Call, OUTCOME_FINISHED, OtherAttempt},
    hedge::{self, Either, race},
    refusal::Reason,
    run::ActiveResponse,
};
use crate::{
    dialect::Dialect,
    events::{Event, EventParser, EventTooLong},
    panic::{self, Panic},
    payload::Payload,
    resources::{Holder, Permit},
};

/// Capacity of the queue of events for a slow caller. When it is full, the endpoint's stream isn't
/// read any further; the resulting delay is the caller's own.
const MAX_QUEUED_EVENTS: usize = 16;

/// Minimum silence after which another endpoint is asked to resume. Callers abandon a stream after
/// two seconds at the earliest, and resuming elsewhere takes a tenth of that.
const MIN_SILENCE: Duration = Duration::from_millis(900);

/// Silence after which another endpoint is asked to resume, as a multiple of the route's pause
/// goal.
const PAUSE_GOALS_UNTIL_SILENT: u32 = 4;

/// The next item of a stream.
enum StreamStep {
    Event(ReceivedEvent),
    /// The stream is complete.
    End,
    Failed(FailCause),
}

/// An open stream with its next item.
struct EventStream<D: Dialect> {
    active: ActiveResponse<D>,
    events: EventReader,
    next: StreamStep,
}

/// A response whose first part has arrived.
enum ResponseStart<D: Dialect> {
    Stream(Box<EventStream<D>>),
    /// A complete response that isn't a stream, such as an error.
    Whole(response::Parts, Payload),
}

/// An event with its room in the caller's buffers.
struct ReceivedEvent {
    event: Event,
    permit: Permit,
}

/// Splits a response into events, with room in the caller's buffers for what it has read.
struct EventReader {
    parser: EventParser,
    /// Received bytes for which there is no room in the parser yet.
    unparsed: Bytes,
    permit: Permit,
}

impl EventReader {
    fn new(holder: &Arc<Holder>) -> EventReader {
        EventReader {
            parser: EventParser::default(),
            unparsed: Bytes::new(),
            permit: holder.permit(),
        }
    }

    /// The next whole event that has been received. Nothing is lost if the future is dropped.
    async fn next_event(&mut self) -> Result<Option<ReceivedEvent>, EventTooLong> {
        if let Some(event) = self.parse() {
            return Ok(Some(event));
        }
        if self.unparsed.is_empty() {
            return Ok(None);
        }
        self.permit.wait_to_grow_to(self.parser.remaining() + self.unparsed.len()).await;
        self.parser.push(&std::mem::take(&mut self.unparsed))?;
        Ok(self.parse())
    }

    fn parse(&mut self) -> Option<ReceivedEvent> {
        let event = self.parser.next_event()?;
        let permit = self.permit.split(event.bytes.len());
        Some(ReceivedEvent { event, permit })
    }

    /// Whether there is no room for something that has been received.
    fn waits_for_room(&self) -> bool {
        !self.unparsed.is_empty()
    }

    /// Whether a part of an event has been received.
    fn has_partial_event(&self) -> bool {
        self.parser.remaining() + self.unparsed.len() > 0
    }
}

/// Why a stream ends before it is complete.
enum StreamError {
    Expired,
    Broken,
    CallerLeft,
    /// The instance stops.
    CutOff,
    /// The task that passes the events on has panicked.
    Fault,
}

/// The queue of events for a caller.
struct EventSender {
    queue: Sender<Result<QueuedEvent, TruncatedResponse>>,
    /// Room for what the kernel receives while the queue is full and the stream isn't read.
    unread: Mutex<Permit>,
}

impl EventSender {
    /// Queues an event as soon as its caller has taken enough of those before. Fails if the caller
    /// has left.
    async fn send(&self, event: QueuedEvent) -> Result<(), StreamError> {
        if self.queue.is_full() {
            self.unread.lock().await.wait_to_grow_to(STREAM_RECEIVE_BUFFER_BYTES).await;
        }
        self.queue.send(Ok(event)).await.map_err(|_| StreamError::CallerLeft)
    }

    /// Ends the stream so that it doesn't look complete.
    async fn truncate(&self) {
        // A caller that has left needs no error.
        self.queue.send(Err(TruncatedResponse)).await.ok();
    }
}

/// Responds with an event stream.
pub(super) async fn stream<D: Dialect>(call: Call<D>) -> Result<Response<ResponseBody>, Refusal> {
    let first = hedge::first_accepted(&call, OtherAttempt::None, open_stream);
    let stream = match call.until_cut_off(first).await {
        Ok(ResponseStart::Stream(stream)) => *stream,
        Ok(ResponseStart::Whole(head, body)) => {
            call.record_end("answered", head.status);
            return Ok(call.response(&head, body));
        }
        Err(refusal) => return call.take_endpoint_failure().ok_or(refusal),
    };
    call.record_first_byte();
    let (queue, rx) = bounded(MAX_QUEUED_EVENTS);
    let tx = EventSender { queue, unread: Mutex::new(call.received.holder.permit()) };
    let executor = call.context.executor.clone();
    let resp =
        call.response_with_body(&stream.active.response.head, ResponseBody::whole(Bytes::new()));
    let feeder = executor.spawn(feed_body(call, stream, tx));
    Ok(resp.map(|_| ResponseBody::Events(EventBody::new(rx, feeder))))
}

/// Waits for the first event of a response.
async fn open_stream<D: Dialect>(
    call: &Call<D>,
    mut active: ActiveResponse<D>,
) -> Result<ResponseStart<D>, FailCause> {
    let head = active.response.head.clone();
    if !head.status.is_success() {
        return match active.response.receive(call.time_left(), &call.received.holder).await {
            Ok(body) => {
                active.run.end(None);
                Ok(ResponseStart::Whole(head, body))
            }
            Err(cause) => {
                call.attempt_failed(active.run, cause);
                Err(cause)
            }
        };
    }
    active.response.limit_receive_buffer();
    let mut events = EventReader::new(&call.received.holder);
    let timed_out = async {
        Timer::after(call.time_left()).await;
        StreamStep::Failed(FailCause::Deadline)
    };
    let next = match race(next_event(&mut active, &mut events), timed_out).await {
        // Only a caller that resumes a stream may already have all of its events.
        Either::Left(StreamStep::End)
            if active.response.ends_with_connection
                && call.received.caller.last_event_id.is_none() =>
        {
            StreamStep::Failed(FailCause::Broken)
        }
        Either::Left(next) | Either::Right(next) => next,
    };
    if let StreamStep::Failed(cause) = next {
        call.attempt_failed(active.into_run(), cause);
        return Err(cause);
    }
    active.run.first_event_received();
    Ok(ResponseStart::Stream(Box::new(EventStream { active, events, next })))
}

async fn feed_body<D: Dialect>(call: Call<D>, stream: EventStream<D>, tx: EventSender) {
    let cut_off = async {
        call.context.lifecycle.wait_for_cutoff().await;
        Err(StreamError::CutOff)
    };
    let relayed = panic::catch(relay_events(&call, stream, &tx).or(cut_off)).await;
    let relayed = relayed.unwrap_or_else(|Panic(cause)| {
        log::error!(id = call.id(), cause = cause.as_str(); "request_panicked");
        Err(StreamError::Fault)
    });
    let (outcome, is_cut) = match relayed {
        Ok(()) => (OUTCOME_FINISHED, false),
        Err(StreamError::Expired) => (call.timeout_reason().as_str(), true),
        Err(StreamError::Broken) => ("broken_off", true),
        Err(StreamError::CallerLeft) => ("caller_left", false),
        Err(StreamError::CutOff) => (Reason::CutOff.as_str(), true),
        Err(StreamError::Fault) => (Reason::Fault.as_str(), true),
    };
    call.record_end(outcome, http::StatusCode::OK);
    if is_cut {
        tx.truncate().await;
    }
}

/// Passes events on until the stream is complete or can't be resumed.
async fn relay_events<D: Dialect>(
    call: &Call<D>,
    mut stream: EventStream<D>,
    tx: &EventSender,
) -> Result<(), StreamError> {
    let silence_limit = MIN_SILENCE.max(call.received.route.pause_goal * PAUSE_GOALS_UNTIL_SILENT);
    loop {
        let EventStream { active, events, next } = stream;
        match next {
            StreamStep::Event(event) => {
                forward_event(call, event, tx).await?;
            }
            StreamStep::End => {
                active.run.end(None);
                return Ok(());
            }
            StreamStep::Failed(cause) => {
                call.attempt_failed(active.into_run(), cause);
                stream = resume_after_failure(call).await?;
                continue;
            }
        }
        let waiting_since = call.context.clock.now();
        stream = next_before_deadline(call, active, events, silence_limit, tx).await?;
        if matches!(stream.next, StreamStep::Event(_)) {
            let pause = call.context.clock.now().since(waiting_since);
            call.record_pause(pause);
            stream.active.run.record_pause(pause);
        }
    }
}

/// Resumes a failed stream at another endpoint, or returns why the stream ends.
async fn resume_after_failure<D: Dialect>(call: &Call<D>) -> Result<EventStream<D>, StreamError> {
    match resume(call, OtherAttempt::None).await {
        Some(resumed) => Ok(resumed),
        None if call.time_left().is_zero() => Err(StreamError::Expired),
        None => Err(StreamError::Broken),
    }
}

/// Outcome of waiting for the next item of a stream.
enum WaitOutcome<D: Dialect> {
    /// The stream with its next item, or the stream of the endpoint that took over.
    Stream(Box<EventStream<D>>),
    /// The stream failed, and no other endpoint has resumed it.
    Failed,
    /// An event couldn't be passed on.
    NotForwarded(StreamError),
}

/// Waits for the next item until the caller's deadline, and resumes elsewhere if the endpoint is
/// silent or fails.
async fn next_before_deadline<D: Dialect>(
    call: &Call<D>,
    active: ActiveResponse<D>,
    events: EventReader,
    silence_limit: Duration,
    tx: &EventSender,
) -> Result<EventStream<D>, StreamError> {
    let timed_out = async {
        Timer::after(call.time_left()).await;
    };
    match race(next_or_takeover(call, active, events, silence_limit, tx), timed_out).await {
        Either::Left(WaitOutcome::Stream(stream)) => Ok(*stream),
        Either::Left(WaitOutcome::Failed) => resume_after_failure(call).await,
        Either::Left(WaitOutcome::NotForwarded(e)) => Err(e),
        Either::Right(()) => Err(StreamError::Expired),
    }
}

/// Waits for the next event. After a silence another endpoint is asked to resume, and takes over
/// with its first event; until then events of the silent endpoint are still passed on.
///
/// Guards against an endpoint that has become so slow that every event follows a silence: dropping
/// the other endpoint at the slow one's next event would exceed the caller's timeout.
async fn next_or_takeover<D: Dialect>(
    call: &Call<D>,
    mut active: ActiveResponse<D>,
    mut events: EventReader,
    silence_limit: Duration,
    tx: &EventSender,
) -> WaitOutcome<D> {
    loop {
        match race(next_event(&mut active, &mut events), Timer::after(silence_limit)).await {
            Either::Left(next) => {
                return WaitOutcome::Stream(Box::new(EventStream { active, events, next }));
            }
            // The endpoint has sent something, and this instance hasn't the memory for it.
            Either::Right(_) if events.waits_for_room() => {}
            Either::Right(_) => break,
        }
    }
    let mut resumed = pin!(resume(call, OtherAttempt::InFlight));
    let next = loop {
        match race(next_event(&mut active, &mut events), resumed.as_mut()).await {
            Either::Left(StreamStep::Event(event)) => {
                if let Err(e) = forward_event(call, event, tx).await {
                    return WaitOutcome::NotForwarded(e);
                }
            }
            Either::Left(StreamStep::Failed(cause)) => {
                // The other endpoint may take seconds, and this run's reservations aren't needed
                // any more.
                call.attempt_failed(active.into_run(), cause);
                return resumed
                    .await
                    .map_or(WaitOutcome::Failed, |stream| WaitOutcome::Stream(Box::new(stream)));
            }
            Either::Left(StreamStep::End) => break StreamStep::End,
            Either::Right(Some(stream)) => {
                call.attempt_failed(active.into_run(), FailCause::Silent);
                return WaitOutcome::Stream(Box::new(stream));
            }
            // No other endpoint resumes the stream, so this one gets all the remaining time.
            Either::Right(None) => break next_event(&mut active, &mut events).await,
        }
    };
    WaitOutcome::Stream(Box::new(EventStream { active, events, next }))
}

/// Passes an event on, unless the caller already has it.
async fn forward_event<D: Dialect>(
    call: &Call<D>,
    received: ReceivedEvent,
    tx: &EventSender,
) -> Result<(), StreamError> {
    let ReceivedEvent { event, permit } = received;
    if let Some(id) = event.id {
        if call.last_event_id().is_some_and(|last| id <= last) {
            return Ok(());
        }
        call.set_last_event_id(id);
    }
    let event = QueuedEvent { bytes: event.bytes, _permit: permit };
    tx.send(event).await
}

/// Resumes the stream at another endpoint. Returns `None` if the route doesn't allow that or no
/// endpoint does.
async fn resume<D: Dialect>(call: &Call<D>, other: OtherAttempt) -> Option<EventStream<D>> {
    if call.received.route.retry_safety != RetrySafety::Resumable {
        return None;
    }
    let resumed = hedge::first_accepted(call, other, async |call, active| {
        match open_stream(call, active).await? {
            ResponseStart::Stream(stream) => Ok(*stream),
            ResponseStart::Whole(..) => Err(FailCause::BadAnswer),
        }
    });
    resumed.await.ok()
}

/// Reads the next whole event, or the end of the stream.
async fn next_event<D: Dialect>(
    active: &mut ActiveResponse<D>,
    events: &mut EventReader,
) -> StreamStep {
    loop {
        match events.next_event().await {
            Ok(Some(event)) => return StreamStep::Event(event),
            Ok(None) => {}
            Err(EventTooLong) => return StreamStep::Failed(FailCause::BadAnswer),
        }
        match active.response.body.frame().await {
            Some(Ok(frame)) => {
                let Ok(bytes) = frame.into_data() else { continue };
                events.unparsed = bytes;
            }
            Some(Err(_)) => return StreamStep::Failed(FailCause::Broken),
            None if events.has_partial_event() => return StreamStep::Failed(FailCause::Broken),
            None => return StreamStep::End,
        }
    }
}
