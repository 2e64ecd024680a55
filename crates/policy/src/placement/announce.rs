//! What instances tell each other at once: which requests ran on endpoints that died, and limits that
//! endpoints name.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    DataCentre, EndpointId, Incarnation, Time,
    named_limit::LimitReport,
    quarantine::{self, DeathId},
};

use super::{GroupScheduler, JobId, Member, ended_runs::ProvenDeath, server::Server};

impl GroupScheduler {
    /// Whether it has to be checked if an endpoint lives, after a run was broken there; see
    /// [`record_death`](Self::record_death).
    pub fn begin_death_check(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now: Time,
    ) -> bool {
        self.ended_runs.begin_check(DeathId::new(endpoint, incarnation), now)
    }

    /// The registered incarnation of an endpoint.
    pub fn incarnation(&self, endpoint: &EndpointId) -> Option<Incarnation> {
        self.servers.get(endpoint).map(|server| server.member.incarnation)
    }

    /// The data centre of an endpoint.
    pub fn data_centre(&self, endpoint: &EndpointId) -> Option<&DataCentre> {
        self.servers.get(endpoint).map(|server| &server.member.data_centre)
    }

    /// The endpoints in a data centre.
    pub fn endpoints_in(&self, data_centre: &DataCentre) -> impl Iterator<Item = &EndpointId> {
        let is_there = move |server: &&Server| server.member.data_centre == *data_centre;
        self.servers.values().filter(is_there).map(|server| &server.member.endpoint)
    }

    /// Records that an endpoint's incarnation has died, which has to be proved: connections that are
    /// refused here may be refused because this instance is cut off. All requests that it ended are
    /// suspected of having caused it. Returns their number.
    pub fn record_death(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now: Time,
    ) -> usize {
        if self.is_leaving(endpoint, incarnation) {
            return 0;
        }
        let death = self.ended_runs.record_death(DeathId::new(endpoint, incarnation), now, now);
        self.suspect(&death, now);
        death.present.iter().filter(|present| !present.is_part()).count()
    }

    pub(super) fn suspect(&mut self, death: &ProvenDeath, now: Time) {
        self.quarantine.record_death_of(death.id, &death.present, death.at, now);
    }

    /// Counts runs that were broken on an incarnation that is no longer registered as part of its
    /// death. The registration alone is no proof: it also lapses where the endpoint can't reach the
    /// log.
    pub(super) fn record_lapse(&mut self, member: &Member, now: Time) {
        let id = DeathId::new(&member.endpoint, member.incarnation);
        let death = self.ended_runs.death(id, now, now);
        self.suspect(&death, now);
    }

    /// Records the limit that the answer to a request names, or that it names none; true if that
    /// has changed.
    pub fn record_named_limit(&mut self, job: JobId, per_s: Option<f64>, now: Time) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        let Some(server) = self.servers.get_mut(&job.endpoint) else { return false };
        if job.incarnations.first() != Some(&server.member.incarnation) {
            return false;
        }
        let is_changed = server.named_limit.record_answer(per_s, job.placed_at, now);
        if is_changed {
            self.limit_news.add(job.endpoint.clone(), now);
        }
        is_changed
    }

    /// Takes the limits that the other instances have to be told now.
    pub fn take_limit_news(&mut self, now: Time) -> Vec<LimitReport> {
        let due = self.limit_news.take_due(now);
        let servers = due.iter().filter_map(|endpoint| self.servers.get(endpoint));
        servers.filter_map(Server::limit_report).collect()
    }

    /// All limits that endpoints have named, for an instance that has just started.
    pub fn limit_reports(&self) -> Vec<LimitReport> {
        self.servers.values().filter_map(Server::limit_report).collect()
    }

    /// Takes over the limits that another instance knows.
    pub fn apply_limit_reports(&mut self, reports: &[LimitReport], now: Time) {
        for report in reports {
            let index = self.tags.get(&report.endpoint).copied();
            let server = index.and_then(|index| self.servers.get_index_mut(index));
            let server = server.map(|(_, server)| server);
            if let Some(server) =
                server.filter(|server| server.member.incarnation == report.incarnation)
            {
                server.named_limit.merge(report, now);
            }
        }
    }

    /// Takes what the other instances have to be told about suspects now.
    pub fn take_quarantine_news(&mut self, now: Time) -> Vec<quarantine::Entry> {
        self.quarantine.take_news(now)
    }

    /// All suspects and refused fingerprints, for an instance that has just started.
    pub fn quarantine_entries(&self, now: Time) -> Vec<quarantine::Entry> {
        self.quarantine.export(now)
    }

    /// Adds what another instance knows of suspects. A death that it reports counts for what this
    /// instance ran there too.
    pub fn apply_quarantine_news(&mut self, entries: &[quarantine::Entry], now: Time) {
        self.quarantine.import(entries, now);
        let suspects =
            entries.iter().filter(|entry| entry.status == quarantine::EntryStatus::Suspect);
        // A death counts for dozens of requests and parts.
        let reports = suspects.flat_map(|entry| &entry.deaths).map(|report| (report.id, report));
        for report in reports.collect::<IndexMap<_, _>>().into_values() {
            let at = quarantine::time_before(now, Duration::from_millis(report.age_ms));
            let death = self.ended_runs.record_death(report.id, at, now);
            self.suspect(&death, now);
        }
    }
}
