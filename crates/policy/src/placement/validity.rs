//! Whether a request that was placed may still be sent.

use std::time::Duration;

use crate::{Fingerprint, Time};

use super::{GroupScheduler, Job, JobId, Server, server::millis};

impl GroupScheduler {
    /// Whether a held request may still be sent as it was placed: none of its endpoints has begun
    /// to leave or to rest or has a new incarnation, and no other instance placed a long prompt on the same
    /// engines at the same moment.
    ///
    /// Guards against two instances that choose the same idle engines before either receives the
    /// other's update: one prompt would wait for the other's parts, which its prediction left out.
    /// Both instances compare the same two keys, so exactly one of them looks for another place.
    pub fn is_still_valid(&self, job: JobId, now: Time) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        job.endpoints().zip(&job.incarnations).all(|(endpoint, incarnation)| {
            let server = self.servers.get(endpoint);
            server.is_some_and(|server| {
                server.may_be_sent_to(now)
                    && server.member.incarnation == *incarnation
                    && !self.is_displaced(server, job, now)
            })
        })
    }

    /// Whether a placed request may still be sent: all its endpoints accept requests now, and neither it
    /// nor a part of its prompt has come under suspicion.
    pub fn accepts(&self, id: JobId, now: Time) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let of_parts = self.part_refusal(&job.parts, Some(id), now);
        let instances = self.instances.as_ref();
        let is_refused = of_parts.is_some()
            || self.quarantine.refusal_period(job.fingerprint, instances, now).is_some();
        !is_refused
            && job.endpoints().all(|endpoint| {
                self.servers.get(endpoint).is_some_and(|server| server.may_be_sent_to(now))
            })
    }

    /// Whether a split prompt with a smaller key delays the job's part on this engine.
    fn is_displaced(&self, server: &Server, job: &Job, now: Time) -> bool {
        let Some(rules) = &self.rules else { return false };
        let expected_at = millis(job.placed_at) + job.prefilled_in_ms;
        let completions = server.completions(rules, now);
        let mine = completions.iter().find(|completion| completion.part.key == job.key);
        mine.is_some_and(|mine| mine.done_at > expected_at + self.placement.collision_ms)
            && completions
                .iter()
                .any(|completion| completion.part.is_split && completion.part.key < job.key)
    }

    /// How long a request with these parts must not start; `own` is its job where it is placed
    /// already.
    pub(super) fn part_refusal(
        &self,
        parts: &[Fingerprint],
        own: Option<JobId>,
        now: Time,
    ) -> Option<Duration> {
        let is_running =
            |part| self.jobs.iter().any(|(id, job)| Some(*id) != own && job.parts.contains(&part));
        self.quarantine.part_refusal(parts, is_running, self.instances.as_ref(), now)
    }
}
