//! Emulation of one LLM engine, with the figures that its operators publish.
//!
//! An engine without decoding requests prefills in steps of one chunk: the newest part of a split
//! prompt first, and whole prompts after all parts. While requests decode, the engine works in
//! passes of a fixed number of steps, each of which prefills at most one chunk; at the end of a
//! pass every stream yields one event. Memory isn't emulated.
//!
//! `policy::placement` implements the order of prefill a second time, because it only predicts what
//! an engine does. Sharing the code would hide errors in these predictions from the experiments.

use std::collections::VecDeque;

use policy::routes::EngineRules;

/// Time from the end of prefill to the first event if no other request decodes, in passes.
const FIRST_EVENT_PASSES: f64 = 0.5;

/// Identifies a run of a request, as an index into the simulation's list of runs.
pub type RunId = usize;

/// The part of a prompt that one engine prefills.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptPart {
    /// The run that it belongs to.
    pub run: RunId,
    /// Prefill time in milliseconds.
    pub ms: f64,
    /// Size in tokens.
    pub tokens: f64,
    /// Whether the prompt is split into several parts.
    pub is_split: bool,
    /// Whether this engine also decodes the answer.
    pub is_head: bool,
}

#[derive(Debug, Clone, Copy)]
struct DecodingRun {
    run: RunId,
    remaining_events: u32,
    /// Length of its context, in thousands of tokens.
    context_k: f64,
}

/// A result of an engine's last pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// A part has been prefilled.
    Prefilled(RunId),
    /// An answer has yielded an event.
    StreamEvent(RunId),
    /// An answer has yielded its last event.
    LastStreamEvent(RunId),
}

#[derive(Debug)]
struct Pass {
    /// The parts that it prefills, with the milliseconds spent on each.
    prefills: Vec<(RunId, f64)>,
    decodes: bool,
}

/// An emulated engine.
#[derive(Debug)]
pub struct Engine {
    rules: EngineRules,
    /// Parts to prefill, in the order of their arrival.
    parts: Vec<PromptPart>,
    /// Runs that wait for a slot.
    queue: VecDeque<PromptPart>,
    /// Runs that hold a slot and don't decode yet.
    prefilling: Vec<RunId>,
    decoding: Vec<DecodingRun>,
    current_pass: Option<Pass>,
}

impl Engine {
    /// An idle engine.
    pub fn new(rules: EngineRules) -> Engine {
        Engine {
            rules,
            parts: Vec::new(),
            queue: VecDeque::new(),
            prefilling: Vec::new(),
            decoding: Vec::new(),
            current_pass: None,
        }
    }

    /// Whether no pass is running.
    pub fn is_idle(&self) -> bool {
        self.current_pass.is_none()
    }

    /// Whether it prefills as many parts for other engines as it has slots, and refuses further
    /// ones.
    pub fn is_helper_limit_reached(&self) -> bool {
        let helper_parts = self.parts.iter().filter(|part| !part.is_head).count();
        helper_parts >= self.rules.slots as usize
    }

    /// Queues a part for prefill.
    pub fn enqueue(&mut self, part: PromptPart) {
        if !part.is_head {
            self.parts.push(part);
            return;
        }
        self.queue.push_back(part);
        self.admit();
    }

    /// Starts decoding a run, once all its parts have been prefilled.
    pub fn start_decoding(&mut self, run: RunId, events: u32, prompt_tokens: u64) {
        self.prefilling.retain(|other| *other != run);
        let context_k = prompt_tokens as f64 / 1000.0;
        self.decoding.push(DecodingRun { run, remaining_events: events, context_k });
    }

    /// Removes a run; its slot is free at once.
    pub fn cancel(&mut self, run: RunId) {
        self.prefilling.retain(|other| *other != run);
        self.parts.retain(|part| part.run != run);
        self.queue.retain(|part| part.run != run);
        self.decoding.retain(|other| other.run != run);
        self.admit();
    }

    /// Starts the next pass and returns its duration in milliseconds, or `None` if there is no
    /// work.
    pub fn start_pass(&mut self) -> Option<f64> {
        let decodes = !self.decoding.is_empty();
        if !decodes && self.parts.is_empty() {
            return None;
        }
        let max_tokens = match decodes {
            true => self.rules.max_prefill_tokens_per_pass(),
            false => f64::from(self.rules.chunk_tokens),
        };
        let (prefills, prefill_ms) = self.plan_prefill(max_tokens);
        let decode_ms = if decodes { self.decode_ms() } else { 0.0 };
        self.current_pass = Some(Pass { prefills, decodes });
        Some(prefill_ms + decode_ms)
    }

    /// Ends the current pass and returns its results.
    pub fn finish_pass(&mut self) -> Vec<EngineEvent> {
        let Some(Pass { prefills, decodes }) = self.current_pass.take() else { return Vec::new() };
        let mut engine_events = Vec::new();
        for (run, ms) in prefills {
            let Some(index) = self.parts.iter().position(|part| part.run == run) else { continue };
            let part = &mut self.parts[index];
            let share = ms / part.ms.max(f64::MIN_POSITIVE);
            if share >= 1.0 - 1e-9 {
                self.parts.remove(index);
                engine_events.push(EngineEvent::Prefilled(run));
            } else {
                part.tokens *= 1.0 - share;
                part.ms -= ms;
            }
        }
        if decodes {
            self.decode(&mut engine_events);
        }
        engine_events
    }

    /// Milliseconds until the first event of a run whose prefill has just ended.
    pub fn first_event_ms(&self) -> f64 {
        if self.decoding.len() > 1 { 0.0 } else { FIRST_EVENT_PASSES * self.decode_ms() }
    }

    fn decode(&mut self, engine_events: &mut Vec<EngineEvent>) {
        for decoding in &mut self.decoding {
            decoding.remaining_events = decoding.remaining_events.saturating_sub(1);
            engine_events.push(match decoding.remaining_events {
                0 => EngineEvent::LastStreamEvent(decoding.run),
                _ => EngineEvent::StreamEvent(decoding.run),
            });
        }
        self.decoding.retain(|decoding| decoding.remaining_events > 0);
        self.admit();
    }

    fn admit(&mut self) {
        while self.prefilling.len() + self.decoding.len() < self.rules.slots as usize
            && let Some(part) = self.queue.pop_front()
        {
            self.prefilling.push(part.run);
            self.parts.push(part);
        }
    }

    /// Selects up to `free_tokens` tokens to prefill next, as milliseconds per run, with their total
    /// duration in milliseconds.
    fn plan_prefill(&self, mut free_tokens: f64) -> (Vec<(RunId, f64)>, f64) {
        let split = self.parts.iter().rev().filter(|part| part.is_split);
        let whole = self.parts.iter().filter(|part| !part.is_split);
        let (mut prefills, mut total_ms) = (Vec::new(), 0.0);
        for part in split.chain(whole) {
            if free_tokens <= 0.0 {
                break;
            }
            let share = (free_tokens / part.tokens.max(1.0)).min(1.0);
            free_tokens -= part.tokens.max(1.0) * share;
            total_ms += part.ms * share;
            prefills.push((part.run, part.ms * share));
        }
        (prefills, total_ms)
    }

    /// Duration of the decoding steps of a pass, in milliseconds.
    fn decode_ms(&self) -> f64 {
        let total_context_k = self.decoding.iter().map(|decoding| decoding.context_k).sum();
        self.rules.pass_ms_with_context(
            u32::try_from(self.decoding.len()).unwrap_or(u32::MAX),
            total_context_k,
        )
    }
}
