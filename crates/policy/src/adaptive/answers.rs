//! Learning from answers.
//!
//! **Load pattern.** Engines change under load, and no report says how.
//!
//! **Without it.** Predictions never become better than the initial assumptions.
//!
//! **Rule.** An attempt's first token gives a sample of the engine's speed, of the error of the
//! admission's prediction, and of the engine's health. A complete answer gives a sample of the
//! decode speed and adds to the retry budgets. Events of ended attempts are ignored.
//!
//! **Grounds.** A first token after a retry depends more on the failure than on the engine, so only
//! first attempts count for the margin. A prompt over several engines says nothing about the speed
//! of a single one.

use crate::{Outcome, RequestId, Time, Tokens};

use super::{
    AdaptiveScheduler,
    request::{AdmissionBasis, Attempt, RequestEntry, RequestState},
    seconds, span,
    workspaces::MULTI_ENGINE_QUEUE,
};

impl AdaptiveScheduler {
    /// Handles an attempt's first token; `cached` is the engine's own count.
    pub(super) fn first_token(
        &mut self,
        request: RequestId,
        attempt: u32,
        cached: Option<Tokens>,
        now: Time,
    ) {
        if !self.is_running(request, attempt) {
            return;
        }
        self.end_prefill(request, cached, now);
    }

    /// Handles generated tokens, which show that the endpoint is alive.
    pub(super) fn progressed(&mut self, request: RequestId, attempt: u32, now: Time) {
        if !self.is_running(request, attempt) {
            return;
        }
        let shard = self.requests.get(&request).and_then(RequestEntry::runs_on);
        if let Some(endpoint) = shard.and_then(|shard| self.fleet.for_shard(shard)) {
            endpoint.record_progress(now);
        }
    }

    /// Handles a request's end and removes the request.
    pub(super) fn ended(&mut self, request: RequestId, outcome: &Outcome, now: Time) {
        if let Outcome::Finished { output, .. } = outcome {
            // A plain service's answer arrives as a whole, without a first token of its own.
            self.end_prefill(request, None, now);
            self.finished(request, *output, now);
        }
        self.forget(request, now);
    }

    fn finished(&mut self, request: RequestId, output: Tokens, now: Time) {
        let Some(entry) = self.requests.get(&request) else { return };
        let RequestState::Running(attempt) = &entry.state else { return };
        self.quarantine.record_completion(entry.req.fingerprint, now);
        if let Some(shard) = attempt.shards.first() {
            self.budgets.record_success(&entry.req.workspace, &shard.endpoint, now);
        }
        if let Some(first) = attempt.first_token_at {
            let generated = (output - entry.passed_on).0 as f64;
            let allowed = entry.req.max_output.0 as f64;
            self.decode.observe(generated, allowed, now.since(first).as_secs_f64());
        }
    }

    fn end_prefill(&mut self, request: RequestId, cached: Option<Tokens>, now: Time) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        let RequestState::Running(attempt) = &mut entry.state else { return };
        if attempt.first_token_at.is_some() {
            return;
        }
        attempt.first_token_at = Some(now);
        self.long_prefills.swap_remove(&request);
        let is_long = entry.band.is_long();
        self.learn_from_first_token(request, cached, now);
        let Some(entry) = self.requests.get(&request) else { return };
        if entry.attempts == 1 && entry.basis == AdmissionBasis::Prediction {
            let actual = seconds(now) - seconds(entry.req.arrived);
            self.learn_margin(request, actual, now);
        }
        if is_long {
            self.refresh_fleet(now);
        }
    }

    /// Compares the admission's prediction with the actual time. If the prediction consisted mostly
    /// of the wait in the workspace's own queue, it only affects the margin of that queue.
    pub(super) fn learn_margin(&mut self, request: RequestId, actual: f64, now: Time) {
        let Some(entry) = self.requests.get(&request) else { return };
        let base = entry.predicted - entry.workspace_wait;
        if entry.workspace_wait > base {
            let workspace_queue =
                &mut self.workspaces.get_mut(entry.workspace).queues[entry.queue_index];
            workspace_queue.margin.observe((actual - base) / entry.workspace_wait);
        } else {
            self.margins[entry.queue_index].observe(entry.predicted, actual, seconds(now));
        }
    }

    fn learn_from_first_token(&mut self, request: RequestId, cached: Option<Tokens>, now: Time) {
        let Some(entry) = self.requests.get(&request) else { return };
        let RequestState::Running(attempt) = &entry.state else { return };
        let Some(shard) = attempt.shards.first() else { return };
        let typical = self.fleet.typical_rate;
        let Some(endpoint) = self.fleet.for_shard(shard) else { return };
        endpoint.finish_prefill(entry.band, attempt.prefill);
        endpoint.record_progress(now);
        endpoint.record_load(now);
        let done = prefilled(entry, attempt, cached);
        let overtaken = endpoint.short_prefilled - attempt.short_prefilled;
        let is_long = entry.band.is_long();
        let work = attempt.ahead + done + if is_long { overtaken } else { 0.0 };
        if !is_long {
            endpoint.short_prefilled += done;
        }
        endpoint.record_prefilled(done, seconds(now));
        let taken = now.since(attempt.sent_at);
        if entry.queue_index != MULTI_ENGINE_QUEUE {
            let mut elapsed = taken.as_secs_f64() - 2.0 * endpoint.distance;
            if attempt.shares_with_long_prefill {
                let rate = endpoint.speed.rate().unwrap_or(typical);
                self.long_prefill_delay.observe(work / rate, elapsed);
                elapsed -= self.long_prefill_delay.seconds().min(elapsed / 2.0);
            }
            endpoint.speed.observe(work, elapsed, seconds(now));
            self.health.record_answer(&shard.endpoint, taken, span(attempt.predicted));
        }
        if let Some(cached) = cached {
            self.cache.record_cached(&shard.endpoint, attempt.cached, cached);
        }
    }
}

/// The prompt tokens that the engine had to prefill.
fn prefilled(entry: &RequestEntry, attempt: &Attempt, cached: Option<Tokens>) -> f64 {
    let cached = cached.unwrap_or(attempt.cached);
    (entry.req.prompt + entry.passed_on - cached).0.max(1) as f64
}
