//! What one engine reads in which order, followed and foretold.
//!
//! **Load pattern.** Dossiers are read in parts by a dozen engines each, and several are under way at
//! once, so each engine has parts of more than one.
//!
//! **Without it.** An engine reads the part that came last first, whatever it has begun: taken for a
//! queue, it looks as if the earlier dossier came first, and each new one is sent on top of those that
//! wait. Their first events then come up to ten seconds later than foretold.
//!
//! **Rule.** An engine on which nobody writes reads the newest part of a split prompt first and whole
//! prompts after all parts. One on which somebody writes works in passes, each of which reads what has
//! come before it begins in the same order, up to its number of tokens.
//!
//! **Grounds.** `docs/decisions/arrangement.md` compares the orders.

use crate::routes::EngineRules;

/// Passes that are followed in one go. An engine that nothing was heard of for longer starts
/// afresh, which errs towards idle.
const MAX_SIMULATED_PASSES: usize = 64;

/// Names a request's parts on all engines and instances.
pub type PartKey = u64;

/// A part of a prompt that waits to be read. Times are milliseconds of the instance's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Part {
    /// Whose part it is.
    pub(super) key: PartKey,
    /// When it reaches the engine; parts of requests that are held for a while come later.
    pub(super) arrives_at: f64,
    /// Milliseconds of reading.
    pub(super) prefill_ms: f64,
    /// Tokens to read.
    pub(super) tokens: f64,
    /// It is one of several, and read before whatever waits.
    pub(super) is_split: bool,
    /// The request runs here, so that it writes here once it is read.
    pub(super) is_head: bool,
    /// When its request's first event is late.
    pub(super) due_at: f64,
    /// How long after its placement that is.
    pub(super) goal_ms: f64,
    /// When all parts of its request were expected to have been read.
    pub(super) ready_at: f64,
    /// What its request's being late costs.
    pub(super) weight: f64,
    /// The longest pass beside writers that has read of it.
    pub(super) longest_pass: Pass,
}

/// A pass beside writers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Pass {
    /// Milliseconds that it takes.
    pub(super) duration_ms: f64,
    /// Milliseconds of it that read one part.
    pub(super) part_ms: f64,
}

/// What a part is and when it has been read.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartCompletion {
    pub(super) part: Part,
    pub(super) done_at: f64,
}

/// The reading of one engine.
#[derive(Debug, Clone)]
pub(super) struct PrefillQueue {
    /// Up to when it has been followed; beyond now where a pass is under way.
    simulated_until: f64,
    /// Parts, or what the pass under way leaves of them.
    waiting: Vec<Part>,
    /// What the pass under way reads.
    in_pass: Vec<Part>,
}

/// How long passes take there.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineSpeed<'a> {
    pub(super) rules: &'a EngineRules,
    /// How many times slower than its figures it is.
    pub(super) slowdown: f64,
    /// Requests that run or wait there, those that are being read included.
    pub(super) running: u32,
}

impl EngineSpeed<'_> {
    fn pass_ms(self, decoding: u32) -> f64 {
        self.rules.pass_ms(decoding, self.rules.usual_context) * self.slowdown
    }
}

impl PrefillQueue {
    pub(super) fn new(now: f64) -> PrefillQueue {
        PrefillQueue { simulated_until: now, waiting: Vec::new(), in_pass: Vec::new() }
    }

    pub(super) fn add(&mut self, part: Part) {
        self.waiting.push(part);
    }

    /// Takes back a request's part, wherever it stands, and tells whether there was one. What the
    /// pass under way reads of it ends with it, as an engine drops a prompt whose caller is gone.
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

    /// An event tells that a pass began at `began`, so the engine is busy for a pass at least. It never
    /// ends one sooner than foretold: first events come in the middle of passes as well, and a pass cut
    /// short here would lose what it reads.
    pub(super) fn record_pass_start(&mut self, pass_start: f64, speed: EngineSpeed<'_>) {
        let ends = pass_start + speed.pass_ms(self.decoding_count(speed.running).max(1));
        self.simulated_until = self.simulated_until.max(ends);
    }

    /// Of the requests that run there, those that have been read.
    pub(super) fn decoding_count(&self, running: u32) -> u32 {
        let pending = self.waiting.iter().filter(|part| part.is_head).count();
        running.saturating_sub(u32::try_from(pending).unwrap_or(u32::MAX))
    }

    /// When everything that waits will have been read, with `more` besides.
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
            // What is left of a part when it is done says nothing.
            let whole = pending.iter().find(|part| part.key == completion.part.key);
            completion.part.prefill_ms =
                whole.map_or(completion.part.prefill_ms, |part| part.prefill_ms);
        }
        completions
    }

    /// Follows the engine until `until`, or until nothing waits, and tells what it reads.
    pub(super) fn simulate(
        &mut self,
        speed: EngineSpeed<'_>,
        end: f64,
        mut on_completion: impl FnMut(PartCompletion),
    ) {
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

    /// Reads on one part until it is done, another arrives, or `until`. Tells the part that is done.
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

    /// Plays one pass with writers, and tells how many more there are after it.
    fn prefill_pass(
        &mut self,
        speed: EngineSpeed<'_>,
        decoding: u32,
        on_completion: &mut impl FnMut(PartCompletion),
    ) -> u32 {
        let pass_start = self.simulated_until;
        let mut free_tokens = speed.rules.pass_tokens().max(1.0);
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
    /// Milliseconds of it have been read.
    fn consume(&mut self, prefill_ms: f64) {
        let share = (prefill_ms / self.prefill_ms.max(f64::MIN_POSITIVE)).min(1.0);
        self.tokens *= 1.0 - share;
        self.prefill_ms -= prefill_ms;
    }
}
