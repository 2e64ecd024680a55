//! Retries after failed attempts.
//!
//! **Load pattern.** One of four engines dies with all its requests; or an endpoint fails each call
//! at once; or the answer to a call that must not be repeated is lost.
//!
//! **Without it.** All lost requests are sent again at the same moment and overload the remaining
//! three engines. Calls that fail fast are retried endlessly. A registration runs twice.
//!
//! **Rule.** A request that may have started to run is retried only if it is repeatable, only on an
//! incarnation of an endpoint that hasn't run it before, at most until it has failed
//! [`MAX_FAILURES`] times, after a random back-off, and only if the retry budget allows it.
//! Otherwise its caller learns at once that it failed and whether it ran. A retried request returns
//! to its workspace's queue with its old first-token deadline, so the earliest deadline still goes
//! first, and under the same prefill budgets as all other requests, so retries cause no burst. It
//! resumes after the tokens that the caller already has. A request that certainly hasn't run (it
//! wasn't sent, or was rejected) may always be retried until its deadline.
//!
//! **Grounds.** A retry budget limits the load added by failures to a share of the successful
//! requests. The first time a request is lost with its endpoint doesn't count against the budget: a
//! death loses a batch of requests at once, but that is no retry storm, since it can't recur
//! without another death. After three failures, the request is more likely to be the cause than the
//! endpoints.

use std::time::Duration;

use crate::{
    Decision, FailCause, Failure, Fingerprint, RequestId, Time, Tokens,
    quarantine::QuarantineState, retry::backoff,
};

use super::{
    AdaptiveScheduler,
    endpoint::Endpoint,
    request::{AdmissionBasis, EndpointIncarnation, RequestEntry, RequestState, RequestTimer},
};

/// Failed attempts after which a request is given up.
const MAX_FAILURES: u32 = 3;
/// Attempts, including rejected ones, after which a request is given up. With back-offs that double
/// up to a second, they last longer than most deadlines.
const MAX_ATTEMPTS: u32 = 200;
/// How long no requests are sent to an endpoint after it rejected one for lack of room: a few
/// decode steps.
const FULL_BLOCK_TIME: Duration = Duration::from_millis(50);
/// How long no requests are sent to an endpoint after it couldn't be reached, fell silent or died;
/// a new incarnation ends the block.
const UNREACHABLE_BLOCK_TIME: Duration = Duration::from_millis(500);
impl AdaptiveScheduler {
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
        if cause == FailCause::EndpointDied {
            self.record_death(request, now);
        }
        let Some(ended) = self.end_attempt(request, now) else { return };
        let not_run = matches!(cause, FailCause::NotSent | FailCause::Rejected);
        self.block_endpoints(&ended.shards, cause, now);
        if let Some(shard) = ended.shards.first() {
            self.health.record_failure(&shard.endpoint, cause);
        }
        let Some(entry) = self.requests.get_mut(&request) else { return };
        entry.passed_on = entry.passed_on.max(passed_on);
        entry.may_have_run |= !not_run;
        if cause != FailCause::Rejected {
            entry.failures += u32::from(!not_run);
            let first_shard = ended.shards.into_iter().take(1);
            for shard in first_shard {
                let incarnation = EndpointIncarnation {
                    endpoint: shard.endpoint,
                    incarnation: shard.incarnation,
                };
                entry.exclude(incarnation, cause);
            }
        }
        let fingerprint = entry.req.fingerprint;
        if cause != FailCause::EndpointDied {
            self.quarantine.record_stop(fingerprint);
        }
        match self.give_up_cause(request, cause, now) {
            Some(cause) => self.fail(request, cause, now),
            None => self.back_off(request, now),
        }
    }

    /// Reports the failure of an admitted request and removes the request.
    pub(super) fn fail(&mut self, request: RequestId, cause: FailCause, now: Time) {
        let Some(entry) = self.requests.get(&request) else { return };
        let ran = Self::run_status(entry);
        let predicted = self.predict(entry, now).seconds();
        if cause == FailCause::Deadline
            && entry.attempts == 0
            && entry.basis == AdmissionBasis::Prediction
        {
            let waited = now.since(entry.req.arrived).as_secs_f64();
            self.learn_margin(request, waited, now);
        }
        let retry_after = self.retry_after(predicted);
        self.forget(request, now);
        let failure = Failure { cause, ran, retry_after };
        self.decisions.push(Decision::Fail { request, failure });
    }

    /// Removes a request and all its state.
    pub(super) fn forget(&mut self, request: RequestId, now: Time) {
        self.dequeue(request, false);
        if self.end_attempt(request, now).is_some()
            && let Some(entry) = self.requests.get(&request)
        {
            self.quarantine.record_stop(entry.req.fingerprint);
        }
        let Some(entry) = self.requests.swap_remove(&request) else { return };
        self.unmeasured_requests.shift_remove(&request);
        self.expiries.remove(&RequestTimer { at: entry.expires_at, request });
        if let RequestState::BackingOff(at) = entry.state {
            self.backoffs.remove(&RequestTimer { at, request });
        }
        let state = self.workspaces.get_mut(entry.workspace);
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Puts requests whose back-off has ended back into their queues.
    pub(super) fn end_backoffs(&mut self, now: Time) {
        while let Some(timer) = self.backoffs.first().copied().filter(|timer| timer.at <= now) {
            self.backoffs.remove(&timer);
            self.enqueue(timer.request);
        }
    }

    pub(super) fn is_running(&self, request: RequestId, attempt: u32) -> bool {
        self.requests.get(&request).is_some_and(|entry| {
            entry.attempts == attempt && matches!(entry.state, RequestState::Running(_))
        })
    }

    /// The reason why a request isn't retried; none if it is.
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
        if matches!(self.quarantine.state(entry.req.fingerprint, now), QuarantineState::Refused(_))
        {
            return Some(FailCause::Quarantined);
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
        let endpoint = &entry.excluded.last()?.endpoint;
        let paid = self.budgets.try_spend(&entry.req.workspace, endpoint, now);
        (!paid).then_some(FailCause::RetryBudget)
    }

    fn back_off(&mut self, request: RequestId, now: Time) {
        let decode = self.decode.clone();
        let Some(entry) = self.requests.get_mut(&request) else { return };
        if entry.passed_on > Tokens::ZERO {
            let left = (entry.req.max_output - entry.passed_on).0 as f64;
            let needed = super::span(decode.seconds(left)).as_micros() as u64;
            entry.first_token_by =
                Time(entry.req.deadline.0.saturating_sub(needed)).max(entry.first_token_by);
        }
        let at = now + backoff(entry.attempts + 1, &mut self.rng);
        entry.state = RequestState::BackingOff(at);
        self.backoffs.insert(RequestTimer { at, request });
    }

    /// Reports the requests of this instance that ran on a dead incarnation to the quarantine, as
    /// suspects. This happens once per death, before the first of them is released.
    fn record_death(&mut self, request: RequestId, now: Time) {
        let Some(shard) = self.requests.get(&request).and_then(RequestEntry::runs_on).cloned()
        else {
            return;
        };
        let Some(endpoint) = self.fleet.for_shard(&shard) else { return };
        if std::mem::replace(&mut endpoint.death_recorded, true) {
            return;
        }
        let ran_there = |entry: &&RequestEntry| {
            entry.runs_on().is_some_and(|other| {
                other.endpoint == shard.endpoint && other.incarnation == shard.incarnation
            })
        };
        let entries = self.requests.values().filter(ran_there);
        let present: Vec<Fingerprint> = entries.map(|entry| entry.req.fingerprint).collect();
        self.quarantine.record_death(&shard.endpoint, shard.incarnation, &present, now);
    }

    fn block_endpoints(&mut self, shards: &[crate::Shard], cause: FailCause, now: Time) {
        let block_time = match cause {
            FailCause::Rejected => FULL_BLOCK_TIME,
            FailCause::NotSent | FailCause::EndpointDied | FailCause::Silent => {
                UNREACHABLE_BLOCK_TIME
            }
            _ => return,
        };
        // With several shards it isn't known which endpoint rejected the request; the back-off
        // covers that case.
        let [shard] = shards else { return };
        if let Some(endpoint) = self.fleet.for_shard(shard) {
            endpoint.blocked_until = endpoint.blocked_until.max(now + block_time);
        }
    }
}

fn may_serve(entry: &RequestEntry, endpoint: &Endpoint) -> bool {
    endpoint.usable() && entry.may_run_on(&endpoint.id, endpoint.incarnation)
}
