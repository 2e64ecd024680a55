//! The order in which one engine prefills its waiting parts, simulated and predicted.
//!
//! **Load pattern.** Each long prompt is prefilled in parts by a dozen engines, and several prompts
//! are in flight at once, so each engine has parts of more than one.
//!
//! **Without it.** An engine prefills the newest part first, whatever it has started. Modelled as a
//! first-in-first-out queue, it looks as if earlier prompts were prefilled first, and new ones are
//! sent on top of those that wait. Their first events then come up to ten seconds later than
//! predicted.
//!
//! **Rule.** An engine that decodes nothing prefills the newest part of a split prompt first, and
//! whole prompts after all parts. An engine that decodes works in passes; each one prefills what
//! arrived before it began, in the same order, up to its number of tokens.
//!
//! **Grounds.** `docs/decisions/arrangement.md` compares the orders.

use crate::routes::EngineRules;

/// Passes that are simulated in one call. If an engine wasn't simulated for longer, the rest of the
/// time is skipped, which errs towards idle.
const MAX_SIMULATED_PASSES: usize = 64;

/// Identifies a request's parts on all engines and instances.
pub type PartKey = u64;

/// A part of a prompt that waits for prefill. Times are milliseconds of the instance's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Part {
    /// Identifies its request.
    pub(super) key: PartKey,
    /// When it reaches the engine; later if the request is held.
    pub(super) arrives_at: f64,
    /// Remaining prefill time in milliseconds.
    pub(super) prefill_ms: f64,
    /// Remaining tokens to prefill.
    pub(super) tokens: f64,
    /// It is one of several parts, which engines prefill before everything that waits.
    pub(super) is_split: bool,
    /// The request runs here and decodes here once the part is prefilled.
    pub(super) is_head: bool,
    /// The deadline of its request's first event.
    pub(super) due_at: f64,
    /// Goal of the first event, in milliseconds from placement.
    pub(super) goal_ms: f64,
    /// When all parts of its request were expected to be prefilled.
    pub(super) ready_at: f64,
    /// Cost of its request's being late.
    pub(super) weight: f64,
    /// The longest pass during decoding that has prefilled some of it.
    pub(super) longest_pass: Pass,
}

/// A pass that decodes and prefills.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Pass {
    /// Total duration in milliseconds.
    pub(super) duration_ms: f64,
    /// Milliseconds of it that were spent on one part.
    pub(super) part_ms: f64,
}

/// A part and the time at which it is prefilled.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartCompletion {
    pub(super) part: Part,
    pub(super) done_at: f64,
}

/// The prefill queue of one engine.
#[derive(Debug, Clone)]
pub(super) struct PrefillQueue {
    /// Time up to which the engine is simulated; after now if a pass is in progress.
    simulated_until: f64,
    /// The end of the pass in progress was predicted by other rules.
    is_pass_outdated: bool,
    /// Waiting parts, and what the pass in progress will leave of its parts.
    waiting: Vec<Part>,
    /// What the pass in progress prefills.
    in_pass: Vec<Part>,
}

/// What the duration of an engine's passes depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineSpeed<'a> {
    pub(super) rules: &'a EngineRules,
    /// How many times slower it is than its rules predict.
    pub(super) slowdown: f64,
    /// Requests that run or wait there, including those that are being prefilled.
    pub(super) running: u32,
}

impl EngineSpeed<'_> {
    fn pass_ms(self, decoding: u32) -> f64 {
        self.rules.pass_ms(decoding, self.rules.usual_context) * self.slowdown
    }
}

impl PrefillQueue {
    pub(super) fn new(now: f64) -> PrefillQueue {
        PrefillQueue {
            simulated_until: now,
            is_pass_outdated: false,
            waiting: Vec::new(),
            in_pass: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, part: Part) {
        self.waiting.push(part);
    }

    /// Removes a request's part, and returns whether there was one. What the pass in progress
    /// prefills of it ends with it, because an engine drops a prompt whose caller has left.
    pub(super) fn remove(&mut self, key: PartKey, now: f64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|part| part.key != key);
        let in_pass_index = self.in_pass.iter().position(|part| part.key == key);
        if let Some(index) = in_pass_index.filter(|_| self.simulated_until > now) {
            let part = self.in_pass.swap_remove(index);
            self.simulated_until -= part.prefill_ms.min(self.simulated_until - now);
            return true;
        }
        self.waiting.len() < before
    }

    /// Records that a pass began at `pass_start`, so that the engine is busy for at least one pass.
    /// Never shortens a predicted pass: first events also arrive in the middle of passes, and a
    /// shortened pass would lose its prefill.
    pub(super) fn record_pass_start(&mut self, pass_start: f64, speed: EngineSpeed<'_>) {
        let ends = pass_start + speed.pass_ms(self.decoding_count(speed.running).max(1));
        self.simulated_until = self.simulated_until.max(ends);
    }

    /// Forgets the predicted end of the pass in progress, because the engine has other rules now.
    pub(super) fn forget_pass_end(&mut self) {
        self.is_pass_outdated = true;
    }

    /// How many of the `running` requests are prefilled and decode.
    pub(super) fn decoding_count(&self, running: u32) -> u32 {
        let pending = self.waiting.iter().filter(|part| part.is_head).count();
        running.saturating_sub(u32::try_from(pending).unwrap_or(u32::MAX))
    }

    /// When everything that waits will be prefilled, with one `extra` part if given.
    pub(super) fn predict(
        &self,
        speed: EngineSpeed<'_>,
        now: f64,
        extra: Option<Part>,
    ) -> Vec<PartCompletion> {
        let mut simulated = self.clone();
        simulated.simulate(speed, now, |_| {});
        simulated.waiting.extend(extra);
        let pending = simulated.waiting.clone();
        let mut completions = Vec::with_capacity(pending.len());
        simulated.simulate(speed, f64::INFINITY, |completion| completions.push(completion));
        for completion in &mut completions {
            // A completed part has nothing left; restores its prefill time at the start.
            let whole = pending.iter().find(|part| part.key == completion.part.key);
            completion.part.prefill_ms =
                whole.map_or(completion.part.prefill_ms, |part| part.prefill_ms);
        }
        completions
    }

    /// Simulates the engine until `end`, or until the queue is empty, and reports each part that is
    /// completed.
    pub(super) fn simulate(
        &mut self,
        speed: EngineSpeed<'_>,
        end: f64,
        mut on_completion: impl FnMut(PartCompletion),
    ) {
        if std::mem::take(&mut self.is_pass_outdated) {
            self.simulated_until = self.simulated_until.min(end);
        }
        let mut decoding = self.decoding_count(speed.running);
        for _ in 0..MAX_SIMULATED_PASSES {
            if self.simulated_until >= end || end.is_infinite() && self.waiting.is_empty() {
                return;
            }
            if decoding == 0 {
                match self.prefill_alone(end) {
                    Some(completion) => {
                        decoding += u32::from(completion.part.is_head);
                        on_completion(completion);
                    }
                    None if self.simulated_until >= end => return,
                    None => continue,
                }
            } else {
                decoding += self.prefill_pass(speed, decoding, &mut on_completion);
            }
        }
        if end.is_finite() {
            self.simulated_until = end;
        }
    }

    /// Prefills one part until it is completed, another one arrives, or `end`. Returns the
    /// completed part.
    fn prefill_alone(&mut self, end: f64) -> Option<PartCompletion> {
        let now = self.simulated_until;
        let next_arrival = self.waiting.iter().map(|part| part.arrives_at).filter(|at| *at > now);
        let next = next_arrival.fold(end, f64::min);
        let Some(index) = self.next_part(now) else {
            self.simulated_until = next;
            return None;
        };
        let part = &mut self.waiting[index];
        if now + part.prefill_ms > next {
            part.consume(next - now);
            self.simulated_until = next;
            return None;
        }
        self.simulated_until = now + part.prefill_ms;
        let part = self.waiting.remove(index);
        Some(PartCompletion { part, done_at: self.simulated_until })
    }

    /// The newest part of a split prompt, or else the oldest whole one.
    fn next_part(&self, now: f64) -> Option<usize> {
        let arrived = || self.waiting.iter().enumerate().filter(|(_, part)| part.arrives_at <= now);
        let by_arrival =
            |a: &(usize, &Part), b: &(usize, &Part)| a.1.arrives_at.total_cmp(&b.1.arrives_at);
        let newest = arrived().filter(|(_, part)| part.is_split).max_by(by_arrival);
        let first = newest.or_else(|| arrived().min_by(by_arrival));
        first.map(|(index, _)| index)
    }

    /// Simulates one pass during decoding, and returns how many more requests decode after it.
    fn prefill_pass(
        &mut self,
        speed: EngineSpeed<'_>,
        decoding: u32,
        on_completion: &mut impl FnMut(PartCompletion),
    ) -> u32 {
        let pass_start = self.simulated_until;
        let mut free_tokens = speed.rules.max_prefill_tokens_per_pass().max(1.0);
        let mut prefill_ms = 0.0;
        let mut completed = Vec::new();
        self.in_pass.clear();
        while free_tokens > 0.0
            && let Some(index) = self.next_part(pass_start)
        {
            let part = &mut self.waiting[index];
            let share = (free_tokens / part.tokens.max(1.0)).min(1.0);
            let ms = part.prefill_ms * share;
            free_tokens -= part.tokens.max(1.0) * share;
            prefill_ms += ms;
            self.in_pass.push(Part { prefill_ms: ms, ..*part });
            if share < 1.0 {
                part.consume(ms);
                break;
            }
            completed.push(self.waiting.remove(index));
        }
        let pass_ms = prefill_ms + speed.pass_ms(decoding);
        self.simulated_until = pass_start + pass_ms;
        for prefilled in &self.in_pass {
            let left = self
                .waiting
                .iter_mut()
                .chain(&mut completed)
                .find(|part| part.key == prefilled.key);
            if let Some(part) = left.filter(|part| pass_ms > part.longest_pass.duration_ms) {
                part.longest_pass = Pass { duration_ms: pass_ms, part_ms: prefilled.prefill_ms };
            }
        }
        let heads = completed.iter().filter(|part| part.is_head).count();
        for part in completed {
            on_completion(PartCompletion { part, done_at: self.simulated_until });
        }
        u32::try_from(heads).unwrap_or(u32::MAX)
    }
}

impl Part {
    /// Subtracts prefill that has been done.
    fn consume(&mut self, prefill_ms: f64) {
        let share = (prefill_ms / self.prefill_ms.max(f64::MIN_POSITIVE)).min(1.0);
        self.tokens *= 1.0 - share;
        self.prefill_ms -= prefill_ms;
    }
}
