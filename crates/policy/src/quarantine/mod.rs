//! Requests that crash the endpoints they run on.
//!
//! **Load pattern.** Now and then one request crashes each endpoint that runs it, and its caller
//! sends it again. It runs beside dozens of others when that happens.
//!
//! **Without it.** Retries carry the request from engine to engine. With four engines it takes the
//! whole site down in four attempts, and again each time the caller asks.
//!
//! **Rule.** A death makes every fingerprint that ran there a suspect. Suspects are run again
//! apart from each other (at most one to an endpoint) and not on the last healthy endpoint, so
//! that one more death tells which one it was: a suspect that ran at two deaths is confirmed and
//! refused on every instance until its entry expires. A whole run clears a suspect.
//!
//! **Grounds.** Two deaths are the fewest that tell a culprit from its bystanders. Deaths less than
//! [`SAME_CAUSE`] apart count once for a fingerprint, because a rack that fails takes all copies of
//! a popular request with it; but a suspect that was run apart began there after the death before,
//! so the rack isn't the cause and the death counts however soon it comes. The entry expires after [`REFUSED_FOR`], since a mended engine may
//! run the request; a request that kills again doubles its time.

mod table;

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{EndpointId, Fingerprint, Time};

use table::{Confirmed, Suspect, make_room};
pub use table::{MAX_CONFIRMED, MAX_SUSPECTS};

/// Deaths that are closer together than this count as one for a fingerprint: a rack or a data
/// centre takes its endpoints within about a connection timeout.
pub const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(2);

/// How many deaths confirm a suspect.
pub const DEATHS_TO_CONFIRM: u32 = 2;

/// How long a confirmed fingerprint is refused at first: longer than callers keep re-sending by
/// hand, short enough that a wrong verdict heals within the hour.
pub const FIRST_REFUSAL_PERIOD: Duration = Duration::from_secs(10 * 60);

/// No verdict lasts longer.
pub const MAX_REFUSAL_PERIOD: Duration = Duration::from_secs(24 * 3600);

/// How long a suspicion lasts without a further death. A caller that re-sends later than this
/// starts anew.
pub const SUSPICION_TTL: Duration = Duration::from_secs(3600);

/// How long the last healthy endpoint is spared from a suspect: half of the default deadline, so
/// that the others may come back first and a bystander still gets its answer in time.
pub const LAST_ENDPOINT_GRACE_PERIOD: Duration = Duration::from_secs(30);

/// How long another instance's word that it runs a suspect on an endpoint counts without being
/// repeated: three heartbeats. Two instances may still start one each in the same moment; a death
/// then confirms both, and the bystander is refused for one term.
pub const PEER_SUSPECT_TTL: Duration = Duration::from_secs(3);

/// What is known against a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// Nothing.
    Clear,
    /// It ran where an endpoint died; it has to run apart from other suspects.
    Suspect,
    /// It isn't run until this long from now.
    Refused(Duration),
}

/// A suspicion or a verdict as told to other instances. Times are spans, because instances don't
/// share a clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Deaths it was present at.
    pub deaths: u32,
    /// Milliseconds since the last of these deaths.
    pub death_age_ms: u64,
    /// Milliseconds for which it is refused; zero for a suspect.
    pub refused_ms: u64,
}

/// Suspicions and verdicts on one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, Suspect>,
    confirmed: IndexMap<Fingerprint, Confirmed>,
    /// Which suspect runs where; what keeps suspects apart.
    running: IndexMap<EndpointId, Fingerprint>,
    /// Where other instances said that they run one, and when they said so.
    peer_suspects: IndexMap<EndpointId, Time>,
}

impl Quarantine {
    /// A quarantine without entries.
    pub fn new() -> Quarantine {
        Quarantine::default()
    }

    /// Takes note that an endpoint died while these fingerprints ran there. Returns the entries
    /// that the other instances have to hear of.
    pub fn died(
        &mut self,
        endpoint: &EndpointId,
        present: &[Fingerprint],
        now: Time,
    ) -> Vec<Entry> {
        let apart = self.running.swap_remove(endpoint);
        self.peer_suspects.swap_remove(endpoint);
        for fingerprint in present {
            self.suspect(*fingerprint, apart == Some(*fingerprint), now);
        }
        present.iter().filter_map(|fingerprint| self.entry(fingerprint, now)).collect()
    }

    /// Takes note of a whole run, which clears the fingerprint of suspicion, though not of a
    /// verdict: that expires by itself.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        self.suspects.swap_remove(&fingerprint);
        self.stopped(fingerprint);
    }

    /// What is known against a fingerprint.
    pub fn state(&self, fingerprint: Fingerprint, now: Time) -> QuarantineState {
        let refused = self.confirmed.get(&fingerprint).map(|c| c.until.since(now));
        if let Some(left) = refused.filter(|left| !left.is_zero()) {
            return QuarantineState::Refused(left);
        }
        match self.suspects.get(&fingerprint) {
            Some(suspect) if suspect.is_current(now) => QuarantineState::Suspect,
            _ => QuarantineState::Clear,
        }
    }

    /// Whether a fingerprint may start on an endpoint now. A suspect must not run beside another
    /// one, nor for some time on the last healthy endpoint: if it is the culprit, nothing would be
    /// left. After [`SPARED_FOR`] it may, because most suspects are bystanders, and a site with a
    /// single endpoint would else never run them again.
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
                let beside = self.running.get(endpoint).is_some_and(|other| *other != fingerprint);
                let peer_suspects = self
                    .peer_suspects
                    .get(endpoint)
                    .is_some_and(|at| now.since(*at) < PEER_SUSPECT_TTL);
                let spared = healthy > 1 || self.has_waited(fingerprint, now);
                spared && !beside && !peer_suspects
            }
        }
    }

    /// Where this instance runs suspects, for the others.
    pub fn running(&self) -> impl Iterator<Item = &EndpointId> {
        self.running.keys()
    }

    /// Takes note that another instance runs a suspect on `endpoint`.
    pub fn record_peer_suspect(&mut self, endpoint: &EndpointId, now: Time) {
        if self.peer_suspects.len() < MAX_SUSPECTS || self.peer_suspects.contains_key(endpoint) {
            self.peer_suspects.insert(endpoint.clone(), now);
        }
    }

    /// Takes note that a fingerprint was sent to an endpoint.
    pub fn started(&mut self, fingerprint: Fingerprint, endpoint: &EndpointId, now: Time) {
        if self.state(fingerprint, now) == QuarantineState::Suspect {
            self.running.insert(endpoint.clone(), fingerprint);
        }
    }

    /// Takes note that a fingerprint no longer runs, without a whole answer.
    pub fn stopped(&mut self, fingerprint: Fingerprint) {
        self.running.retain(|_, suspect| *suspect != fingerprint);
    }

    /// All entries, for an instance that has just started.
    pub fn export(&self, now: Time) -> Vec<Entry> {
        let known = self.suspects.keys().chain(self.confirmed.keys());
        let mut entries: Vec<Entry> = known.filter_map(|key| self.entry(key, now)).collect();
        entries.sort_by_key(|entry| entry.fingerprint);
        entries.dedup_by_key(|entry| entry.fingerprint);
        entries
    }

    /// Takes over another instance's entries; the graver view of each fingerprint counts.
    pub fn import(&mut self, entries: &[Entry], now: Time) {
        for entry in entries {
            self.import_one(entry, now);
        }
    }

    /// Drops what has expired. To be called now and then, as a matter of memory only.
    pub fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, suspect| suspect.is_current(now));
        self.confirmed.retain(|_, confirmed| confirmed.is_remembered(now));
        self.peer_suspects.retain(|_, at| now.since(*at) < PEER_SUSPECT_TTL);
    }

    fn has_waited(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_none_or(|suspect| now.since(suspect.last_death) >= LAST_ENDPOINT_GRACE_PERIOD)
    }

    fn suspect(&mut self, fingerprint: Fingerprint, ran_apart: bool, now: Time) {
        make_room(&mut self.suspects, MAX_SUSPECTS, |suspect| suspect.last_death);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect::at(now));
        suspect.add_death(ran_apart, now);
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
        if let QuarantineState::Refused(left) = self.state(*fingerprint, now) {
            let refused_ms = millis(left);
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
            let left = Duration::from_millis(entry.refused_ms).min(MAX_REFUSAL_PERIOD);
            make_room(&mut self.confirmed, MAX_CONFIRMED, |confirmed| confirmed.until);
            let confirmed = self.confirmed.entry(entry.fingerprint).or_insert(Confirmed::NEW);
            confirmed.extend(now + left);
            self.suspects.swap_remove(&entry.fingerprint);
            return;
        }
        let age = Duration::from_millis(entry.death_age_ms);
        if self.state(entry.fingerprint, now) != QuarantineState::Clear || age >= SUSPICION_TTL {
            return;
        }
        make_room(&mut self.suspects, MAX_SUSPECTS, |suspect| suspect.last_death);
        let last_death = table::before(now, age);
        self.suspects
            .insert(entry.fingerprint, Suspect { deaths: entry.deaths.max(1), last_death });
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
