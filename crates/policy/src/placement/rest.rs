//! The rest that an endpoint asks of this instance.
//!
//! **Load pattern.** An endpoint turns part of its requests away, at once and without running them,
//! and asks the sender for some seconds without any.
//!
//! **Without it.** The endpoint looks idle, because refused requests end within a millisecond, and is
//! chosen for the next ones. Each of them loses an attempt and a round trip there.
//!
//! **Rule.** The endpoint gets nothing from this instance until the time is over: neither requests
//! nor parts of prompts, nor what was placed there before and hasn't been sent. Of two times the
//! later one holds, and an answer without one doesn't end it. A new incarnation starts without.
//!
//! **Grounds.** The endpoint asks one sender, and takes requests of the others, so they aren't told
//! and it isn't ejected.

use std::time::Duration;

use crate::Time;

use super::{GroupScheduler, JobId, PlacementRefusal, PlacementRequest, Server};

impl GroupScheduler {
    /// Records that the answer to a request asks for rest. Returns whether the endpoint rests for
    /// longer than was known.
    pub fn record_rest(&mut self, job: JobId, rest: Duration, now: Time) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        let Some(server) = self.servers.get_mut(&job.endpoint) else { return false };
        if job.incarnations.first() != Some(&server.member.incarnation) {
            return false;
        }
        let until = now + rest;
        let is_later = until > server.rests_until;
        server.rests_until = server.rests_until.max(until);
        is_later
    }

    /// The refusal of a request whose endpoints all rest; none if one of them doesn't.
    pub(super) fn all_rest(
        &self,
        request: &PlacementRequest,
        now: Time,
    ) -> Option<PlacementRefusal> {
        let may_run = |server: &&Server| {
            server.accepts_requests() && request.homes.allows(server.member.region.as_ref())
        };
        let rests = self.servers.values().filter(may_run).map(|server| server.rest_left(now));
        let shortest = rests.min().filter(|left| !left.is_zero())?;
        Some(PlacementRefusal::Resting(shortest))
    }
}

impl Server {
    /// How long this instance must not send anything there.
    pub(super) fn rest_left(&self, now: Time) -> Duration {
        self.rests_until.since(now)
    }

    /// Whether what was placed there may be sent now.
    pub(super) fn may_be_sent_to(&self, now: Time) -> bool {
        self.accepts_requests() && self.rest_left(now).is_zero()
    }
}
