//! Passes a stream of events on as they come, over as many endpoints as it takes.
//!
//! Guards against a stream that breaks in the middle: only whole events are passed on, the next
//! endpoint is asked to go on behind the last one, and what it repeats is dropped. Where nothing
//! may go on, the caller's connection is cut, so that half an answer never looks whole.

use std::time::Duration;

use futures_lite::FutureExt;
use http::Response;
use http_body_util::BodyExt;
use policy::FailCause;
use smol::{
    Timer,
    channel::{Sender, bounded},
};

use super::{
    AnswerBody, Refusal,
    body::{BrokenOff, EventBody},
    dispatch::{Call, Live},
    refusal::Reason,
};
use crate::{
    dialect::Dialect,
    events::{Event, Events},
};

/// Events that wait for a slow caller. Beyond them its endpoint is held up as well, which is the
/// caller's own doing.
const WAITING_EVENTS: usize = 16;

/// The least pause after which an endpoint that writes counts as silent. Callers give a stream up
/// after two seconds at the earliest, and going on elsewhere takes a tenth of that.
const LEAST_SILENCE: Duration = Duration::from_millis(900);

/// Pauses within the route's goal after which an endpoint counts as silent.
const SILENT_PAUSES: u32 = 4;

/// What comes next on a stream.
enum Next {
    Event(Event),
    /// The answer is whole.
    End,
    Failed(FailCause),
}

/// Answers with a stream of events.
pub(super) async fn stream<D: Dialect>(mut call: Call<D>) -> Result<Response<AnswerBody>, Refusal> {
    loop {
        let live = match call.next().await {
            Ok(live) => live,
            Err(refusal) => return call.take_failure().ok_or(refusal),
        };
        let head = live.upstream.head.clone();
        if !head.status.is_success() {
            // A final answer that is no stream.
            match live.upstream.collect(call.left()).await {
                Ok(body) => {
                    live.run.end(None);
                    call.note_end("answered", head.status);
                    return Ok(call.answer(&head, body));
                }
                Err(cause) => {
                    call.failed(live.run, cause);
                    continue;
                }
            }
        }
        let mut events = Events::default();
        let mut live = live;
        let patience = call.patience(live.predicted);
        let first = next_event(&mut live, &mut events, patience).await;
        if let Next::Failed(cause) = first {
            call.failed(live.run, cause);
            continue;
        }
        live.run.began();
        let (tx, rx) = bounded(WAITING_EVENTS);
        let executor = call.parts.executor.clone();
        let resp = call.answer_with(&head, AnswerBody::whole(bytes::Bytes::new()));
        let feeder = executor.spawn(feed(call, live, events, first, tx));
        let body = EventBody { events: Box::pin(rx), _feeder: feeder, _open: None };
        return Ok(resp.map(|_| AnswerBody::Events(body)));
    }
}

async fn feed<D: Dialect>(
    mut call: Call<D>,
    mut live: Live,
    mut events: Events,
    mut next: Next,
    tx: Sender<Result<bytes::Bytes, BrokenOff>>,
) {
    let silence = LEAST_SILENCE.max(call.received.route.pause_goal * SILENT_PAUSES);
    loop {
        match next {
            Next::Event(event) => {
                if !pass_on(&mut call, event, &tx).await {
                    return;
                }
            }
            Next::End => {
                live.run.end(None);
                call.note_end("finished", live.upstream.head.status);
                return;
            }
            Next::Failed(cause) => {
                call.failed(live.run, cause);
                match resume(&mut call).await {
                    Ok((resumed, collected, first)) => {
                        (live, events, next) = (resumed, collected, first);
                        continue;
                    }
                    Err(refusal) => {
                        call.note_end("broken_off", refusal.status);
                        tx.send(Err(BrokenOff)).await.ok();
                        return;
                    }
                }
            }
        }
        let asked = call.parts.clock.now();
        let patience = silence.min(call.left());
        next = next_event(&mut live, &mut events, patience).await;
        live.run.paused(call.parts.clock.now().since(asked));
        if call.left().is_zero() && !matches!(next, Next::End) {
            live.run.end(Some(FailCause::Deadline));
            call.note_end("expired", http::StatusCode::GATEWAY_TIMEOUT);
            tx.send(Err(BrokenOff)).await.ok();
            return;
        }
    }
}

/// Passes an event on, unless the caller has it; false where the caller is gone.
async fn pass_on<D: Dialect>(
    call: &mut Call<D>,
    event: Event,
    tx: &Sender<Result<bytes::Bytes, BrokenOff>>,
) -> bool {
    if let Some(id) = event.id {
        if call.last_event.is_some_and(|last| id <= last) {
            return true;
        }
        call.last_event = Some(id);
    }
    tx.send(Ok(event.bytes)).await.is_ok()
}

/// Goes on at another endpoint.
async fn resume<D: Dialect>(call: &mut Call<D>) -> Result<(Live, Events, Next), Refusal> {
    if call.received.route.repeat != policy::routes::Repeat::Resumable {
        return Err(call.give_up(Reason::Unknown));
    }
    loop {
        let mut live = call.next().await?;
        if !live.upstream.head.status.is_success() {
            call.failed(live.run, FailCause::BadAnswer);
            continue;
        }
        let mut events = Events::default();
        let patience = call.patience(live.predicted);
        match next_event(&mut live, &mut events, patience).await {
            Next::Failed(cause) => call.failed(live.run, cause),
            next => {
                live.run.began();
                return Ok((live, events, next));
            }
        }
    }
}

/// The next whole event, or the end.
async fn next_event(live: &mut Live, events: &mut Events, patience: Duration) -> Next {
    let read = async {
        loop {
            if let Some(event) = events.next_event() {
                return Next::Event(event);
            }
            match live.upstream.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    if events.push(&bytes).is_err() {
                        return Next::Failed(FailCause::BadAnswer);
                    }
                }
                Some(Err(_)) => return Next::Failed(FailCause::Broken),
                None if events.remaining() > 0 => return Next::Failed(FailCause::Broken),
                None => return Next::End,
            }
        }
    };
    let late = async {
        Timer::after(patience).await;
        Next::Failed(FailCause::Silent)
    };
    read.or(late).await
}
