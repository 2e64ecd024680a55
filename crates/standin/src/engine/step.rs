//! The step loop: who gets memory, what each step prefills and generates, and how long it takes.

use std::{
    cmp::Reverse,
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use policy::{RequestSpec, Tokens};
use protocols::engine::wire::{DONE, EventId};

use crate::{
    engine::{
        EngineConfig, Shared, answer,
        state::{State, Stream},
    },
    http::lock,
};

/// How long an idle loop sleeps before it looks at leases and reports again.
const IDLE: Duration = Duration::from_millis(5);
/// How much of a late wake-up a busy engine makes up for in its next steps.
const CATCH_UP: Duration = Duration::from_millis(5);

/// One step, between its start and its end.
struct Step {
    prefill: Vec<Chunk>,
    decode: Vec<String>,
    cost: Duration,
}

/// What a step prefills of one stream.
struct Chunk {
    id: String,
    tokens: Tokens,
}

/// Runs until the engine is closed.
pub(crate) fn run(shared: &Arc<Shared>) {
    // When the last step should have ended; none after a pause.
    let mut due: Option<Instant> = None;
    loop {
        let state = lock(&shared.state);
        if state.closed {
            return;
        }
        if state.dead || state.frozen {
            due = None;
            drop(state);
            std::thread::sleep(IDLE);
            continue;
        }
        let mut state = state;
        let now = Instant::now();
        state.expire(now);
        state.report_when_due(now);
        if admit(&mut state, now) {
            drop(state);
            crash(shared);
            continue;
        }
        let step = plan(&state, &shared.cfg);
        if step.prefill.is_empty() && step.decode.is_empty() {
            due = None;
            let waited = shared.work.wait_timeout(state, IDLE);
            drop(waited.unwrap_or_else(PoisonError::into_inner));
            continue;
        }
        drop(state);
        // A late wake-up must not slow the engine down, so steps follow one another by plan.
        let begin = due.map_or(now, |due| due.max(now.checked_sub(CATCH_UP).unwrap_or(now)));
        let end = begin + step.cost;
        due = Some(end);
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
        finish(&mut lock(&shared.state), &step, Instant::now());
    }
}

/// Gives memory in order of priority and arrival. The first that doesn't fit holds up all behind
/// it, as engines do. Says whether a stream that crashes the engine began.
fn admit(state: &mut State, now: Instant) -> bool {
    let waiting = state.streams.values().filter(|stream| !stream.progress.running);
    let mut ids: Vec<(Reverse<u8>, String)> =
        waiting.map(|stream| (Reverse(stream.priority), stream.attempt.to_string())).collect();
    ids.sort_by_key(|(priority, _)| *priority);
    for (_, id) in ids {
        let free = state.free();
        let Some(stream) = state.streams.get(&id) else { continue };
        if stream.share > free {
            return false;
        }
        if start(state, &id, now) {
            return true;
        }
    }
    false
}

fn start(state: &mut State, id: &str, now: Instant) -> bool {
    let Some(stream) = state.streams.get(id) else { return false };
    let imported = state
        .leases
        .iter()
        .find(|(_, lease)| !lease.prefix.is_empty() && stream.prefix.starts_with(&lease.prefix));
    let prefix = stream.prefix.clone();
    if let Some(import) = imported.map(|(import, _)| import.clone())
        && let Some(import) = state.leases.shift_remove(&import)
    {
        state.cache.store(&import.prefix, now);
    }
    let cached = Tokens(state.cache.covered(&prefix) as u64 * RequestSpec::PREFIX_BLOCK_TOKENS.0);
    let leaving = state.leaving;
    let Some(stream) = state.streams.get_mut(id) else { return false };
    // At least one token is computed, because the first output token comes from it.
    let work = (stream.prompt + Tokens(stream.next) - cached).max(Tokens(1));
    stream.progress.running = true;
    stream.progress.cached = cached;
    stream.progress.prefill_left = work;
    let _ = stream.admitted.try_send(());
    let (fingerprint, crashes) = (stream.fingerprint, stream.crashes);
    *state.runs.entry(fingerprint).or_default() += 1;
    state.counts.started += 1;
    state.counts.cached += cached;
    state.counts.started_leaving += u64::from(leaving);
    let room = state.cache_room();
    state.cache.shrink(room, now);
    crashes
}

fn plan(state: &State, cfg: &EngineConfig) -> Step {
    let active = |s: &&Stream| s.progress.running && s.progress.expires.is_none();
    let mut streams: Vec<&Stream> = state.streams.values().filter(active).collect();
    streams.sort_by_key(|stream| Reverse(stream.priority));
    let mut step = Step { prefill: Vec::new(), decode: Vec::new(), cost: cfg.step_cost };
    let mut budget = cfg.chunk;
    for stream in streams {
        let id = stream.attempt.to_string();
        if stream.progress.prefill_left == Tokens::ZERO {
            step.decode.push(id);
            continue;
        }
        let tokens = stream.progress.prefill_left.min(budget);
        budget -= tokens;
        if tokens > Tokens::ZERO {
            step.prefill.push(Chunk { id, tokens });
        }
    }
    step.cost += cfg.prefill_rate.duration_for(cfg.chunk - budget);
    step.cost += cfg.decode_cost * step.decode.len() as u32;
    step.cost = step.cost.div_f64(state.speed.max(1e-3));
    step
}

fn finish(state: &mut State, step: &Step, now: Instant) {
    for chunk in &step.prefill {
        state.counts.prefilled += chunk.tokens;
        let room = state.cache_room();
        let Some(stream) = state.streams.get_mut(&chunk.id) else { continue };
        stream.progress.prefilled += chunk.tokens;
        stream.progress.prefill_left -= chunk.tokens;
        if stream.progress.prefill_left == Tokens::ZERO {
            let kept = stream.prefix.len().min(room);
            let prefix = stream.prefix[..kept].to_vec();
            state.cache.store(&prefix, now);
            state.cache.shrink(room, now);
            generate(state, &chunk.id);
        }
    }
    step.decode.iter().for_each(|id| generate(state, id));
}

fn generate(state: &mut State, id: &str) {
    let Some(stream) = state.streams.get_mut(id) else { return };
    if stream.progress.expires.is_some() {
        return;
    }
    let event = event(stream);
    stream.next += 1;
    let finished = stream.next >= stream.end;
    // A closed channel means that the connection broke, which its guard tells the state as well.
    let _ = stream.events.try_send(event);
    state.counts.generated += Tokens(1);
    if finished {
        let _ = stream.events.try_send(Bytes::from(format!("data: {DONE}\n\n")));
        state.counts.finished += 1;
        state.streams.shift_remove(id);
    }
}

fn event(stream: &Stream) -> Bytes {
    let id = EventId { attempt: stream.attempt.clone(), offset: stream.next };
    let text = answer::token(stream.fingerprint, stream.next);
    let text = match stream.chat {
        true => format!(r#""delta":{{"content":"{text}"}}"#),
        false => format!(r#""text":"{text}""#),
    };
    let end = match stream.next + 1 == stream.end {
        false => "}]}".to_owned(),
        true => format!(
            r#","finish_reason":"length"}}],"usage":{{"prompt_tokens":{},"completion_tokens":{},"cached_tokens":{}}}}}"#,
            stream.prompt, stream.end, stream.progress.cached
        ),
    };
    Bytes::from(format!("id: {id}\ndata: {{\"choices\":[{{\"index\":0,{text}{end}\n\n"))
}

fn crash(shared: &Arc<Shared>) {
    shared.kill();
    let Some(pause) = shared.cfg.revive_after else { return };
    std::thread::sleep(pause);
    // A port that can't be opened again leaves the engine dead, which callers see.
    let _ = shared.revive();
}
