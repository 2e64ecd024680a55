//! What happens to a request whose attempt failed.
//!
//! **Load pattern.** One of four engines dies with everything on it; or an endpoint fails each
//! call at once; or the answer to a call that must not be repeated is lost.
//!
//! **Without it.** Everything lost is sent again at the same moment and drowns the three engines
//! left; calls that fail fast are repeated without end; a registration runs twice.
//!
//! **Rule.** A request that may have begun to run is sent again only if it is repeatable, only to a
//! life of an endpoint that it didn't run on before, at most [`MAX_FAILURES`] times, after a random
//! backoff, and only if the retry budget pays; else its caller hears at once that it failed and
//! whether it ran. It goes back into its workspace's queue under its old bound, so the nearest
//! bound goes first, under the same budgets of prefill as all others: no rush. It resumes after
//! the tokens that the caller has. What was surely not run (nothing sent, or rejected) may always
//! be tried again until its bound.
//!
//! **Grounds.** A retry budget bounds the load that failures add to a share of what succeeds. The
//! first loss of an endpoint is outside it: a death takes a batch with it at once, which is no
//! storm as it can't recur without another death. Three failures mean that the request, not the
//! endpoints, is at fault.

use std::time::Duration;

use crate::{Decision, Event, FailCause, Failure, Outcome, RequestId, Time, Tokens};

use super::{
    Trefoilhall,
    request::{Due, Entry, State, Tried},
    seconds,
};

/// Failed attempts after which a request is given up.
const MAX_FAILURES: u32 = 3;
/// Rejections after which a request is given up: at backoffs that double up to a second, longer
/// than most deadlines.
const MAX_ATTEMPTS: u32 = 200;
/// How long an endpoint that refused for lack of room isn't asked again: a few decode steps.
const FULL_FOR: Duration = Duration::from_millis(50);
/// How long one that couldn't be reached or died isn't asked again, until something better is
/// known of it.
const GONE_FOR: Duration = Duration::from_millis(500);
/// The span from which the first backoff is drawn.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// The longest such span.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);

impl Trefoilhall {
    pub(super) fn attempt_failed(
        &mut self,
        request: RequestId,
        attempt: u32,
        cause: FailCause,
        passed_on: Tokens,
        now: Time,
    ) {
        if !self.is_running(request, attempt) {
            return;
        }
        let Some(ended) = self.release(request, now) else { return };
        let not_run = matches!(cause, FailCause::NotSent | FailCause::Rejected);
        self.mark_endpoints(&ended.shards, cause, now);
        let Some(entry) = self.requests.get_mut(&request) else { return };
        entry.passed_on = entry.passed_on.max(passed_on);
        entry.may_have_run |= !not_run;
        if cause != FailCause::Rejected {
            entry.failures += u32::from(!not_run);
            let tried = ended.shards.into_iter().take(1);
            for shard in tried {
                let tried = Tried { endpoint: shard.endpoint, incarnation: shard.incarnation };
                entry.note_tried(tried, cause);
            }
        }
        match self.give_up_cause(request, cause, now) {
            Some(cause) => self.fail(request, cause, now),
            None => self.back_off(request, cause, now),
        }
    }

    /// Fails an admitted request towards its caller and forgets it.
    pub(super) fn fail(&mut self, request: RequestId, cause: FailCause, now: Time) {
        let Some(entry) = self.requests.get(&request) else { return };
        let ran = Self::ran(entry);
        let predicted = self.predict(entry);
        if cause == FailCause::Deadline && entry.attempts == 0 && !entry.is_trial {
            let waited = now.since(entry.req.arrived).as_secs_f64();
            self.margins[entry.lane].observe(entry.predicted, waited);
        }
        let retry_after = self.retry_after(predicted);
        self.forget(request, now);
        let failure = Failure { cause, ran, retry_after };
        self.decisions.push(Decision::Fail { request, failure });
    }

    /// Drops all that is known of a request.
    pub(super) fn forget(&mut self, request: RequestId, now: Time) {
        self.leave_lane(request, false);
        self.release(request, now);
        let Some(entry) = self.requests.swap_remove(&request) else { return };
        self.due.remove(&Due { at: entry.due, request });
        if let State::BackingOff(at) = entry.state {
            self.later.remove(&Due { at, request });
        }
        let state = self.workspaces.get_mut(entry.workspace);
        state.under_way = state.under_way.saturating_sub(1);
    }

    /// Puts requests whose backoff is over back into their lanes.
    pub(super) fn end_backoffs(&mut self, now: Time) {
        while let Some(due) = self.later.first().copied().filter(|due| due.at <= now) {
            self.later.remove(&due);
            self.enqueue(due.request);
        }
    }

    pub(super) fn ended(&mut self, request: RequestId, outcome: &Outcome, now: Time) {
        self.first_token(request, None, None, now, matches!(outcome, Outcome::Finished { .. }));
        if let (Outcome::Finished { output, .. }, Some(entry)) =
            (outcome, self.requests.get(&request))
        {
            let allowed = entry.req.max_output.0 as f64;
            if let State::Running(attempt) = &entry.state
                && let Some(first) = attempt.first_token
            {
                let decoding = now.since(first).as_secs_f64();
                let output = (*output - entry.passed_on).0 as f64;
                self.decode.observe(output, allowed, decoding);
            }
            self.retry_units = (self.retry_units + self.rules.limits.retry_share).min(RETRY_UNITS);
        }
        self.forget(request, now);
    }

    pub(super) fn is_running(&self, request: RequestId, attempt: u32) -> bool {
        self.requests.get(&request).is_some_and(|entry| {
            entry.attempts == attempt && matches!(entry.state, State::Running(_))
        })
    }

    /// Why a request isn't tried again; none where it is.
    fn give_up_cause(
        &mut self,
        request: RequestId,
        cause: FailCause,
        now: Time,
    ) -> Option<FailCause> {
        let entry = self.requests.get(&request)?;
        if entry.may_have_run && !entry.req.repeatable {
            return Some(cause);
        }
        if entry.failures >= MAX_FAILURES || entry.attempts >= MAX_ATTEMPTS {
            return Some(cause);
        }
        if now >= entry.req.deadline {
            return Some(FailCause::Deadline);
        }
        if !self.fleet.endpoints.values().any(|e| may_serve(entry, e)) {
            return Some(FailCause::NoEndpoint);
        }
        let free = cause == FailCause::Rejected
            || (cause == FailCause::EndpointDied && entry.failures == 1);
        if free {
            return None;
        }
        if self.retry_units < 1.0 {
            return Some(FailCause::RetryBudget);
        }
        self.retry_units -= 1.0;
        None
    }

    fn back_off(&mut self, request: RequestId, cause: FailCause, now: Time) {
        let decode = self.decode.clone();
        let Some(entry) = self.requests.get_mut(&request) else { return };
        if entry.passed_on > Tokens::ZERO {
            let left = (entry.req.max_output - entry.passed_on).0 as f64;
            let needed = super::span(decode.seconds(left)).as_micros() as u64;
            entry.bound = Time(entry.req.deadline.0.saturating_sub(needed)).max(entry.bound);
        }
        let doublings = if cause == FailCause::Rejected { entry.attempts - 1 } else { 0 };
        let longest = FIRST_BACKOFF.saturating_mul(1 << doublings.min(10)).min(LONGEST_BACKOFF);
        let at = now + longest.mul_f64(self.rng.f64());
        entry.state = State::BackingOff(at);
        self.later.insert(Due { at, request });
    }

    fn mark_endpoints(&mut self, shards: &[crate::Shard], cause: FailCause, now: Time) {
        let pause = match cause {
            FailCause::Rejected => FULL_FOR,
            FailCause::NotSent | FailCause::EndpointDied | FailCause::Silent => GONE_FOR,
            _ => return,
        };
        // Which of several refused isn't known; the backoff covers that case.
        let [shard] = shards else { return };
        if let Some(endpoint) = self.fleet.of(shard) {
            endpoint.full_until = endpoint.full_until.max(now + pause);
        }
    }

    /// Takes note of an attempt's first token. A finished answer without one counts as such.
    pub(super) fn first_token(
        &mut self,
        request: RequestId,
        attempt: Option<u32>,
        cached: Option<Tokens>,
        now: Time,
        counts: bool,
    ) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        let is_current = attempt.is_none_or(|attempt| attempt == entry.attempts);
        let State::Running(running) = &mut entry.state else { return };
        if !is_current || running.first_token.is_some() {
            return;
        }
        running.first_token = Some(now);
        let typical = self.fleet.typical_rate;
        let Some(endpoint) = running.shards.first().and_then(|shard| self.fleet.of(shard)) else {
            return;
        };
        endpoint.prefilled(entry.band, running.prefill);
        endpoint.progressed(now);
        endpoint.note_moment(now);
        if !counts {
            return;
        }
        let done = (running.prefill - cached.unwrap_or(Tokens::ZERO).0 as f64).max(1.0);
        let overtaken = if entry.band.is_long() {
            endpoint.short_done - running.short_done
        } else {
            endpoint.short_done += done;
            0.0
        };
        if entry.lane != super::workspaces::SPREAD {
            let mut elapsed = now.since(running.sent).as_secs_f64() - 2.0 * endpoint.distance;
            let work = running.ahead + overtaken + done;
            if running.beside_longs {
                let rate = endpoint.speed.rate().unwrap_or(typical);
                self.beside_longs.observe(work / rate, elapsed);
                elapsed -= self.beside_longs.seconds().min(elapsed / 2.0);
            }
            endpoint.speed.observe(work, elapsed);
        }
        if entry.attempts == 1 && !entry.is_trial {
            let actual = seconds(now) - seconds(entry.req.arrived);
            self.margins[entry.lane].observe(entry.predicted, actual);
        }
        if entry.band.is_long() {
            self.look_at_fleet(now);
        }
    }
}

/// Successes' shares that are saved up for retries at most.
pub(super) const RETRY_UNITS: f64 = 20.0;

fn may_serve(entry: &Entry, endpoint: &super::endpoint::Endpoint) -> bool {
    endpoint.usable() && entry.may_go_to(&endpoint.id, endpoint.incarnation)
}

impl Trefoilhall {
    /// Whether an event may be about an attempt that is long over; such events change nothing.
    pub(super) fn progressed(&mut self, event: &Event, now: Time) {
        let Event::Progress { request, attempt, .. } = event else { return };
        let Some(entry) = self.requests.get(request) else { return };
        let State::Running(running) = &entry.state else { return };
        if entry.attempts != *attempt {
            return;
        }
        if let Some(endpoint) = running.shards.first().and_then(|shard| self.fleet.of(shard)) {
            endpoint.progressed(now);
        }
    }
}
