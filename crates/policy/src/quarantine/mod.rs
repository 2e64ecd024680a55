//! Isolation of poison requests: those that crash the endpoints they run on.
//!
//! **Load pattern.** Occasionally a request crashes every endpoint that runs it, and its caller
//! sends it again. Dozens of other requests run on the same endpoint at that moment.
//!
//! **Without it.** Retries carry the request from engine to engine. With four engines it takes the
//! whole site down in four attempts, and again each time the caller retries.
//!
//! **Rule.** When an endpoint dies, every fingerprint that ran there becomes a suspect. Suspects
//! are rerun isolated from each other (at most one per endpoint) and not on the last healthy
//! endpoint, so that one more death identifies the cause: a suspect that ran at two deaths is
//! confirmed and refused on every instance until its entry expires. A complete run clears a
//! suspect.
//!
//! **Grounds.** Two deaths are the minimum that distinguishes a poison request from those that ran
//! next to it. Deaths less than [`COMMON_CAUSE_WINDOW`] apart count once for a fingerprint, because
//! a rack that fails takes all copies of a popular request with it. A suspect that ran isolated
//! started after the previous death, so the rack isn't the cause and the death counts however soon
//! it comes. An entry expires after [`FIRST_REFUSAL_PERIOD`], since a fixed engine may be able to
//! run the request; if the request crashes endpoints again, the period doubles.

mod table;

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{EndpointId, Fingerprint, Time};

use table::{Confirmed, Suspect, make_room};
pub use table::{MAX_CONFIRMED, MAX_SUSPECTS};

/// Deaths closer together than this count as one for a fingerprint: a rack or a data centre takes
/// its endpoints down within about a connection timeout.
pub const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(2);

/// Deaths that confirm a suspect.
pub const DEATHS_TO_CONFIRM: u32 = 2;

/// Initial time for which a confirmed fingerprint is refused: longer than callers keep retrying by
/// hand, short enough that a false positive ends within the hour.
pub const FIRST_REFUSAL_PERIOD: Duration = Duration::from_secs(10 * 60);

/// Maximum time for which one confirmation refuses a fingerprint.
pub const MAX_REFUSAL_PERIOD: Duration = Duration::from_secs(24 * 3600);

/// How long a suspicion lasts without another death. A caller that retries later than this starts
/// without one.
pub const SUSPICION_TTL: Duration = Duration::from_secs(3600);

/// How long a suspect is kept off the last healthy endpoint: half of the default deadline, so that
/// the other endpoints may recover first and a harmless suspect still gets its answer in time.
pub const LAST_ENDPOINT_GRACE_PERIOD: Duration = Duration::from_secs(30);

/// How long another instance's report that it runs a suspect on an endpoint stays valid without
/// being repeated: three heartbeats. Two instances may still each start one at the same moment; a
/// death then confirms both, and the harmless one is refused for one period.
pub const PEER_SUSPECT_TTL: Duration = Duration::from_secs(3);

/// Quarantine state of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// Neither a suspect nor refused.
    Clear,
    /// It ran on an endpoint that died; it has to run isolated from other suspects.
    Suspect,
    /// It is refused for this much longer.
    Refused(Duration),
}

/// A suspect or a refused fingerprint, as sent to other instances. Times are relative, because the
/// instances' clocks aren't synchronised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Deaths of endpoints at which it was running.
    pub deaths: u32,
    /// Milliseconds since the last of these deaths.
    pub death_age_ms: u64,
    /// Remaining milliseconds for which it is refused; zero for a suspect.
    pub refused_ms: u64,
}

/// Suspects and refused fingerprints, as tracked by one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, Suspect>,
    confirmed: IndexMap<Fingerprint, Confirmed>,
    /// The suspect that this instance runs on each endpoint; keeps suspects isolated.
    running: IndexMap<EndpointId, Fingerprint>,
    /// Endpoints on which other instances reported a running suspect, with the time of the last
    /// report.
    peer_suspects: IndexMap<EndpointId, Time>,
}

impl Quarantine {
    /// Creates a quarantine without entries.
    pub fn new() -> Quarantine {
        Quarantine::default()
    }

    /// Records that an endpoint died while these fingerprints ran there. Returns the entries to
    /// send to the other instances.
    pub fn record_death(
        &mut self,
        endpoint: &EndpointId,
        present: &[Fingerprint],
        now: Time,
    ) -> Vec<Entry> {
        let isolated = self.running.swap_remove(endpoint);
        self.peer_suspects.swap_remove(endpoint);
        for fingerprint in present {
            self.add_suspect(*fingerprint, isolated == Some(*fingerprint), now);
        }
        present.iter().filter_map(|fingerprint| self.entry(fingerprint, now)).collect()
    }

    /// Records a complete run. It clears a suspect, but doesn't lift a refusal, which expires by
    /// itself.
    pub fn record_completion(&mut self, fingerprint: Fingerprint) {
        self.suspects.swap_remove(&fingerprint);
        self.record_stop(fingerprint);
    }

    /// Quarantine state of a fingerprint.
    pub fn state(&self, fingerprint: Fingerprint, now: Time) -> QuarantineState {
        let refused = self.confirmed.get(&fingerprint).map(|c| c.until.since(now));
        if let Some(remaining) = refused.filter(|remaining| !remaining.is_zero()) {
            return QuarantineState::Refused(remaining);
        }
        match self.suspects.get(&fingerprint) {
            Some(suspect) if suspect.is_current(now) => QuarantineState::Suspect,
            _ => QuarantineState::Clear,
        }
    }

    /// Whether a fingerprint may start on an endpoint now. A suspect must not share an endpoint
    /// with another one. Nor may it use the last healthy endpoint for some time: if it is the
    /// poison request, no endpoint would be left. After [`LAST_ENDPOINT_GRACE_PERIOD`] it may,
    /// because most suspects are harmless, and a site with a single endpoint would otherwise never
    /// run them again.
    pub fn may_run(
        &self,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        healthy: usize,
        now: Time,
    ) -> bool {
        match self.state(fingerprint, now) {
            QuarantineState::Clear => true,
            QuarantineState::Refused(_) => false,
            QuarantineState::Suspect => {
                let shares_endpoint =
                    self.running.get(endpoint).is_some_and(|other| *other != fingerprint);
                let peer_runs_suspect = self
                    .peer_suspects
                    .get(endpoint)
                    .is_some_and(|at| now.since(*at) < PEER_SUSPECT_TTL);
                let is_endpoint_allowed =
                    healthy > 1 || self.grace_period_is_over(fingerprint, now);
                is_endpoint_allowed && !shares_endpoint && !peer_runs_suspect
            }
        }
    }

    /// Endpoints on which this instance runs a suspect, for its load digest.
    pub fn running(&self) -> impl Iterator<Item = &EndpointId> {
        self.running.keys()
    }

    /// Records another instance's report that it runs a suspect on `endpoint`.
    pub fn record_peer_suspect(&mut self, endpoint: &EndpointId, now: Time) {
        if self.peer_suspects.len() < MAX_SUSPECTS || self.peer_suspects.contains_key(endpoint) {
            self.peer_suspects.insert(endpoint.clone(), now);
        }
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_start(&mut self, fingerprint: Fingerprint, endpoint: &EndpointId, now: Time) {
        if self.state(fingerprint, now) == QuarantineState::Suspect {
            self.running.insert(endpoint.clone(), fingerprint);
        }
    }

    /// Records that a request no longer runs, without a complete answer.
    pub fn record_stop(&mut self, fingerprint: Fingerprint) {
        self.running.retain(|_, suspect| *suspect != fingerprint);
    }

    /// All entries, for an instance that has just started.
    pub fn export(&self, now: Time) -> Vec<Entry> {
        let fingerprints = self.suspects.keys().chain(self.confirmed.keys());
        let mut entries: Vec<Entry> = fingerprints.filter_map(|key| self.entry(key, now)).collect();
        entries.sort_by_key(|entry| entry.fingerprint);
        entries.dedup_by_key(|entry| entry.fingerprint);
        entries
    }

    /// Merges another instance's entries; of two states of a fingerprint the more severe one is
    /// kept.
    pub fn import(&mut self, entries: &[Entry], now: Time) {
        for entry in entries {
            self.import_one(entry, now);
        }
    }

    /// Drops expired entries to free their memory; results don't depend on how often it runs.
    pub fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, suspect| suspect.is_current(now));
        self.confirmed.retain(|_, confirmed| confirmed.is_needed(now));
        self.peer_suspects.retain(|_, at| now.since(*at) < PEER_SUSPECT_TTL);
    }

    fn grace_period_is_over(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_none_or(|suspect| now.since(suspect.last_death) >= LAST_ENDPOINT_GRACE_PERIOD)
    }

    fn add_suspect(&mut self, fingerprint: Fingerprint, ran_isolated: bool, now: Time) {
        make_room(&mut self.suspects, MAX_SUSPECTS, |suspect| suspect.last_death);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect::at(now));
        suspect.add_death(ran_isolated, now);
        if suspect.deaths >= DEATHS_TO_CONFIRM {
            self.suspects.swap_remove(&fingerprint);
            self.confirm(fingerprint, now);
        }
    }

    fn confirm(&mut self, fingerprint: Fingerprint, now: Time) {
        make_room(&mut self.confirmed, MAX_CONFIRMED, |confirmed| confirmed.until);
        let confirmed = self.confirmed.entry(fingerprint).or_insert(Confirmed::NEW);
        confirmed.renew(now);
    }

    fn entry(&self, fingerprint: &Fingerprint, now: Time) -> Option<Entry> {
        if let QuarantineState::Refused(remaining) = self.state(*fingerprint, now) {
            let refused_ms = millis(remaining);
            let fingerprint = *fingerprint;
            return Some(Entry {
                fingerprint,
                deaths: DEATHS_TO_CONFIRM,
                death_age_ms: 0,
                refused_ms,
            });
        }
        let suspect = self.suspects.get(fingerprint).filter(|suspect| suspect.is_current(now))?;
        Some(Entry {
            fingerprint: *fingerprint,
            deaths: suspect.deaths,
            death_age_ms: millis(now.since(suspect.last_death)),
            refused_ms: 0,
        })
    }

    fn import_one(&mut self, entry: &Entry, now: Time) {
        if entry.refused_ms > 0 {
            let remaining = Duration::from_millis(entry.refused_ms).min(MAX_REFUSAL_PERIOD);
            make_room(&mut self.confirmed, MAX_CONFIRMED, |confirmed| confirmed.until);
            let confirmed = self.confirmed.entry(entry.fingerprint).or_insert(Confirmed::NEW);
            confirmed.extend(now + remaining);
            self.suspects.swap_remove(&entry.fingerprint);
            return;
        }
        let age = Duration::from_millis(entry.death_age_ms);
        if self.state(entry.fingerprint, now) != QuarantineState::Clear || age >= SUSPICION_TTL {
            return;
        }
        make_room(&mut self.suspects, MAX_SUSPECTS, |suspect| suspect.last_death);
        let last_death = table::time_before(now, age);
        self.suspects
            .insert(entry.fingerprint, Suspect { deaths: entry.deaths.max(1), last_death });
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
