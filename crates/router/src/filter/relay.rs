//! Passes a stream of events on as they come, over as many endpoints as it takes.
//!
//! Guards against a stream that breaks in the middle: only whole events are passed on, the next
//! endpoint is asked to go on behind the last one, and what it repeats is dropped. Where nothing
//! may go on, the caller's connection is cut, so that half an answer never looks whole.
//!
//! An endpoint that merely falls silent isn't given up: another one is asked to go on beside it,
//! and the first event of either decides. An engine that reads a long prompt is silent too, and
//! cutting it would lose an answer that was about to go on.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use http::{Response, response};
use http_body_util::BodyExt;
use policy::{FailCause, routes::Repeat};
use smol::{
    Timer,
    channel::{Sender, bounded},
};

use super::{
    Refusal, ResponseBody,
    body::{BrokenOff, EventBody},
    call::{Beside, Call, FINISHED},
    hedge::{self, First, race},
    run::Live,
};
use crate::{
    dialect::Dialect,
    events::{Event, EventParser},
};

/// Events that wait for a slow caller. Beyond them its endpoint is held up as well, which is the
/// caller's own doing.
const WAITING_EVENTS: usize = 16;

/// The least pause after which another endpoint is asked to go on. Callers give a stream up after
/// two seconds at the earliest, and going on elsewhere takes a tenth of that.
const LEAST_SILENCE: Duration = Duration::from_millis(900);

/// Pauses within the route's goal after which another endpoint is asked to go on.
const SILENT_PAUSES: u32 = 4;

/// What comes next on a stream.
enum Next {
    Event(Event),
    /// The answer is whole.
    End,
    Failed(FailCause),
}

/// A stream whose first event has come.
struct Flow<D: Dialect> {
    live: Live<D>,
    events: EventParser,
    next: Next,
}

/// The beginning of an answer.
enum Opened<D: Dialect> {
    Flow(Box<Flow<D>>),
    /// A final answer that is no stream.
    Whole(response::Parts, Bytes),
}

/// Why a stream ends before its answer is whole.
enum Ended {
    Expired,
    Broken,
    CallerLeft,
}

type EventSender = Sender<Result<Bytes, BrokenOff>>;

/// Answers with a stream of events.
pub(super) async fn stream<D: Dialect>(call: Call<D>) -> Result<Response<ResponseBody>, Refusal> {
    let flow = match hedge::first(&call, Beside::Nothing, open).await {
        Ok(Opened::Flow(flow)) => *flow,
        Ok(Opened::Whole(head, body)) => {
            call.note_end("answered", head.status);
            return Ok(call.answer(&head, body));
        }
        Err(refusal) => return call.take_failure().ok_or(refusal),
    };
    call.note_began();
    let (tx, rx) = bounded(WAITING_EVENTS);
    let executor = call.parts.executor.clone();
    let resp = call.answer_with(&flow.live.upstream.head, ResponseBody::whole(Bytes::new()));
    let feeder = executor.spawn(feed(call, flow, tx));
    let body = EventBody { events: Box::pin(rx), _feeder: feeder, _open: None };
    Ok(resp.map(|_| ResponseBody::Events(body)))
}

/// Waits for the first event of an answer.
async fn open<D: Dialect>(call: &Call<D>, mut live: Live<D>) -> Result<Opened<D>, FailCause> {
    let head = live.upstream.head.clone();
    if !head.status.is_success() {
        return match live.upstream.collect(call.left()).await {
            Ok(body) => {
                live.run.end(None);
                Ok(Opened::Whole(head, body))
            }
            Err(cause) => {
                call.failed(live.run, cause);
                Err(cause)
            }
        };
    }
    let mut events = EventParser::default();
    let late = async {
        Timer::after(call.left()).await;
        Next::Failed(FailCause::Deadline)
    };
    let next = match race(next_event(&mut live, &mut events), late).await {
        First::Left(next) | First::Right(next) => next,
    };
    if let Next::Failed(cause) = next {
        call.failed(live.into_run(), cause);
        return Err(cause);
    }
    live.run.began();
    Ok(Opened::Flow(Box::new(Flow { live, events, next })))
}

async fn feed<D: Dialect>(call: Call<D>, flow: Flow<D>, tx: EventSender) {
    let (outcome, broken) = match follow(&call, flow, &tx).await {
        Ok(()) => (FINISHED, false),
        Err(Ended::Expired) => ("expired", true),
        Err(Ended::Broken) => ("broken_off", true),
        Err(Ended::CallerLeft) => ("caller_left", false),
    };
    call.note_end(outcome, http::StatusCode::OK);
    if broken {
        // Whoever doesn't read any more needs no word.
        tx.send(Err(BrokenOff)).await.ok();
    }
}

/// Passes events on until the answer is whole or can't go on.
async fn follow<D: Dialect>(
    call: &Call<D>,
    mut flow: Flow<D>,
    tx: &EventSender,
) -> Result<(), Ended> {
    let silence = LEAST_SILENCE.max(call.received.route.pause_goal * SILENT_PAUSES);
    loop {
        let Flow { live, events, next } = flow;
        match next {
            Next::Event(event) => {
                if !pass_on(call, event, tx).await {
                    return Err(Ended::CallerLeft);
                }
            }
            Next::End => {
                live.run.end(None);
                return Ok(());
            }
            Next::Failed(cause) => {
                call.failed(live.into_run(), cause);
                flow = go_on(call).await?;
                continue;
            }
        }
        let asked = call.parts.clock.now();
        flow = wait(call, live, events, silence, tx).await?;
        if matches!(flow.next, Next::Event(_)) {
            let pause = call.parts.clock.now().since(asked);
            call.note_pause(pause);
            flow.live.run.paused(pause);
        }
    }
}

/// Goes on elsewhere after a stream has failed, or tells how the answer ends.
async fn go_on<D: Dialect>(call: &Call<D>) -> Result<Flow<D>, Ended> {
    match resume(call, Beside::Nothing).await {
        Some(resumed) => Ok(resumed),
        None if call.left().is_zero() => Err(Ended::Expired),
        None => Err(Ended::Broken),
    }
}

/// What waiting for the next part of a stream came to.
enum Waited<D: Dialect> {
    /// The stream, or the one that took over from it.
    Flow(Box<Flow<D>>),
    /// The stream failed, and nobody who was asked beside it goes on.
    Failed,
    CallerLeft,
}

/// Waits for what comes next within the caller's time, from another endpoint too where this one is silent
/// or fails.
async fn wait<D: Dialect>(
    call: &Call<D>,
    live: Live<D>,
    events: EventParser,
    silence: Duration,
    tx: &EventSender,
) -> Result<Flow<D>, Ended> {
    let late = async {
        Timer::after(call.left()).await;
    };
    match race(wait_or_change(call, live, events, silence, tx), late).await {
        First::Left(Waited::Flow(flow)) => Ok(*flow),
        First::Left(Waited::Failed) => go_on(call).await,
        First::Left(Waited::CallerLeft) => Err(Ended::CallerLeft),
        First::Right(()) => Err(Ended::Expired),
    }
}

/// Waits for the next event. Where none comes for a while, another endpoint is asked to go on, and
/// takes over with its first event; what the silent one sends until then is passed on.
///
/// Guards against an endpoint that has become so slow that each event comes after a silence:
/// whoever stayed with it at its first sign of life would miss the caller's time.
async fn wait_or_change<D: Dialect>(
    call: &Call<D>,
    mut live: Live<D>,
    mut events: EventParser,
    silence: Duration,
    tx: &EventSender,
) -> Waited<D> {
    match race(next_event(&mut live, &mut events), Timer::after(silence)).await {
        First::Left(next) => return Waited::Flow(Box::new(Flow { live, events, next })),
        First::Right(_) => {}
    }
    let mut resumed = pin!(resume(call, Beside::Another));
    let next = loop {
        match race(next_event(&mut live, &mut events), resumed.as_mut()).await {
            First::Left(Next::Event(event)) => {
                if !pass_on(call, event, tx).await {
                    return Waited::CallerLeft;
                }
            }
            First::Left(Next::Failed(cause)) => {
                // The other one may take seconds, for which nothing is kept here.
                call.failed(live.into_run(), cause);
                return resumed.await.map_or(Waited::Failed, |flow| Waited::Flow(Box::new(flow)));
            }
            First::Left(Next::End) => break Next::End,
            First::Right(Some(flow)) => {
                call.failed(live.into_run(), FailCause::Silent);
                return Waited::Flow(Box::new(flow));
            }
            // Nobody else goes on, so this one gets all the time there is.
            First::Right(None) => break next_event(&mut live, &mut events).await,
        }
    };
    Waited::Flow(Box::new(Flow { live, events, next }))
}

/// Passes an event on, unless the caller has it; false where the caller is gone.
async fn pass_on<D: Dialect>(call: &Call<D>, event: Event, tx: &EventSender) -> bool {
    if let Some(id) = event.id {
        if call.last_event().is_some_and(|last| id <= last) {
            return true;
        }
        call.set_last_event(id);
    }
    tx.send(Ok(event.bytes)).await.is_ok()
}

/// Goes on at another endpoint; none where that isn't allowed or nobody does.
async fn resume<D: Dialect>(call: &Call<D>, beside: Beside) -> Option<Flow<D>> {
    if call.received.route.repeat != Repeat::Resumable {
        return None;
    }
    let opened = hedge::first(call, beside, async |call, live| match open(call, live).await? {
        Opened::Flow(flow) => Ok(*flow),
        Opened::Whole(..) => Err(FailCause::BadAnswer),
    });
    opened.await.ok()
}

/// The next whole event, or the end.
async fn next_event<D: Dialect>(live: &mut Live<D>, events: &mut EventParser) -> Next {
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
}
