//! Endpoints that say in their answers that they are leaving.
//!
//! **Load pattern.** An endpoint begins to leave. It says so in all its answers, and its registration
//! follows once the store has taken it, and this instance, or a peer, has read the store.
//!
//! **Without it.** An instance that doesn't hear of the store, or hears late, goes on sending
//! requests to an endpoint that is about to exit.
//!
//! **Rule.** The endpoint's word is as good as its registration: it gets nothing new, and its end is
//! no death. All instances are told at once. Registrations call it off: a new incarnation, or one
//! that was leaving and is ready again. [`LEAVING_TTL`] bounds a word that no registration follows.
//!
//! **Grounds.** The word comes from the endpoint itself and names its incarnation, so that it is true
//! for whoever hears of it, in any order.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{EndpointId, EndpointTag, Incarnation, Time};

use super::{GroupScheduler, JobId, Server};

/// Time after which an endpoint that said it would leave, and is still registered as ready, gets
/// requests again. Endpoints exit within seconds.
pub const LEAVING_TTL: Duration = Duration::from_secs(300);

/// An endpoint that is leaving, as sent to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl GroupScheduler {
    /// Records that the answer to a request says its endpoint is leaving; true if that wasn't known.
    pub fn record_leaving(&mut self, job: JobId, now: Time) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        let (endpoint, incarnation) = (job.endpoint.clone(), job.incarnations.first().copied());
        let server = self.servers.get_mut(&endpoint);
        let server = server.filter(|server| Some(server.member.incarnation) == incarnation);
        let is_news = server.is_some_and(|server| server.record_leaving(now));
        if is_news {
            self.leaving_news.add(endpoint, now);
        }
        is_news
    }

    /// Takes the endpoints whose leaving the other instances have to be told of now.
    pub fn take_leaving_news(&mut self, now: Time) -> Vec<LeavingReport> {
        let due = self.leaving_news.take_due(now);
        due.iter().filter_map(|endpoint| self.servers.get(endpoint)?.leaving_report()).collect()
    }

    /// All endpoints that said they are leaving, for an instance that has just started.
    pub fn leaving_reports(&self) -> Vec<LeavingReport> {
        self.servers.values().filter_map(Server::leaving_report).collect()
    }

    /// Takes over what another instance was told.
    pub fn apply_leaving_reports(&mut self, reports: &[LeavingReport], now: Time) {
        for report in reports {
            let index = self.tags.get(&report.endpoint).copied();
            let server = index.and_then(|index| self.servers.get_index_mut(index));
            let server = server.map(|(_, server)| server);
            if let Some(server) =
                server.filter(|server| server.member.incarnation == report.incarnation)
            {
                server.record_leaving(now);
            }
        }
    }

    /// Whether this incarnation of an endpoint is leaving.
    pub(super) fn is_leaving(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        let server = self.servers.get(endpoint);
        server.is_some_and(|server| server.is_leaving() && server.member.incarnation == incarnation)
    }

    /// Forgets words that no registration has followed.
    pub(super) fn expire_leaving(&mut self, now: Time) {
        for server in self.servers.values_mut() {
            server.said_leaving_at =
                server.said_leaving_at.filter(|at| now.since(*at) < LEAVING_TTL);
        }
    }
}

impl Server {
    /// Whether it is leaving, by its registration or by its own word.
    pub(super) fn is_leaving(&self) -> bool {
        self.member.leaving || self.said_leaving_at.is_some()
    }

    fn record_leaving(&mut self, now: Time) -> bool {
        let is_news = self.said_leaving_at.is_none();
        self.said_leaving_at.get_or_insert(now);
        is_news
    }

    fn leaving_report(&self) -> Option<LeavingReport> {
        self.said_leaving_at?;
        let endpoint = (&self.member.endpoint).into();
        Some(LeavingReport { endpoint, incarnation: self.member.incarnation })
    }
}
