//! Failed requests, and which of them the other instances are told of.

use crate::{EndpointId, FailCause, Time};

use super::{GroupScheduler, Job};

impl GroupScheduler {
    /// Records that a request has ended without a complete answer.
    pub(super) fn record_failure(&mut self, job: &Job, cause: FailCause, now: Time) {
        self.quarantine.record_stop(job.fingerprint);
        if job.is_sent {
            if matches!(cause, FailCause::Broken | FailCause::EndpointDied | FailCause::Silent) {
                self.quarantine.record_break(job.fingerprint, now);
            }
            for death in self.ended_runs.record_end(job, cause, now) {
                self.suspect(&death, now);
            }
        }
        let cause = counted_cause(cause);
        self.health.record_failure(&job.endpoint, cause);
        if let Some(server) = self.servers.get_mut(&job.endpoint) {
            match failure_scope(cause) {
                FailureScope::Endpoint => server.unsent_failure = true,
                FailureScope::Connection => {
                    server.unconfirmed_failure = true;
                    self.has_unconfirmed_failures = true;
                }
                FailureScope::Request => {}
            }
        }
    }

    /// Forgets failures that the path to the endpoints explains, because a path that was cut works
    /// again.
    ///
    /// Guards against requests that all go to the few endpoints which happened to fail less often
    /// during the cut, and against other instances that are told of its failures afterwards.
    pub fn forget_unconfirmed_failures(&mut self) {
        if !std::mem::take(&mut self.has_unconfirmed_failures) {
            return;
        }
        for (endpoint, server) in &mut self.servers {
            if std::mem::take(&mut server.unconfirmed_failure) {
                self.health.forget_failures(endpoint);
            }
        }
    }

    /// Has the other instances told of failures at endpoints other than `reached`.
    ///
    /// Guards against an instance that is cut off, fails everywhere, and has endpoints that serve
    /// all others ejected by them.
    pub(super) fn confirm_failures(&mut self, reached: &EndpointId) {
        if !std::mem::take(&mut self.has_unconfirmed_failures) {
            return;
        }
        for (endpoint, server) in &mut self.servers {
            if endpoint == reached {
                self.has_unconfirmed_failures |= server.unconfirmed_failure;
            } else {
                server.unsent_failure |= std::mem::take(&mut server.unconfirmed_failure);
            }
        }
    }
}

/// Counts a silence that ended a run as a failure: it was longer than another endpoint took to
/// answer. Health alone ignores silence, because a connection may go silent while its endpoint is
/// alive; here each run has a fresh connection.
fn counted_cause(cause: FailCause) -> FailCause {
    match cause {
        FailCause::Silent => FailCause::Broken,
        other => other,
    }
}

/// What a failure says something about.
enum FailureScope {
    /// The endpoint.
    Endpoint,
    /// The endpoint, or this instance's path to it.
    Connection,
    /// The request.
    Request,
}

fn failure_scope(cause: FailCause) -> FailureScope {
    match cause {
        FailCause::EndpointError | FailCause::BadAnswer => FailureScope::Endpoint,
        FailCause::NotSent | FailCause::Broken | FailCause::EndpointDied => {
            FailureScope::Connection
        }
        _ => FailureScope::Request,
    }
}
