//! Isolation of poison requests: those that crash the endpoints they run on.
//!
//! **Load pattern.** Occasionally a request crashes every endpoint that runs it, and its caller
//! sends it again, several times a second and to any instance. Dozens of other requests run on the
//! same endpoint at that moment.
//!
//! **Without it.** Retries carry the request from engine to engine. With four engines it takes the
//! whole site down in four attempts, and again each time the caller retries.
//!
//! **Rule.** When an endpoint dies, every fingerprint that ran there becomes a suspect. Suspects
//! are rerun isolated from each other (at most one per endpoint) and not on the last healthy
//! endpoint, so that one more death identifies the cause. A suspect is confirmed by two deaths that
//! can't have the same cause, and refused on every instance until its entry expires. After
//! [`DEATHS_TO_HOLD`] deaths that may have the same cause, a single instance may run it, once the
//! endpoints have had [`COMMON_CAUSE_WINDOW`] to finish dying. A complete run clears a suspect on
//! every instance.
//!
//! **Grounds.** Two deaths are the minimum that distinguishes a poison request from those that ran
//! next to it. Deaths less than [`COMMON_CAUSE_WINDOW`] apart may have one cause, because a rack
//! that fails takes all copies of a popular request with it. A suspect that ran isolated started
//! after the previous death, so the rack isn't the cause and the death counts however soon it
//! comes. Instances add up what they have seen as sets of deaths, so that neither the order nor the
//! repetition of their messages matters. An entry expires after [`FIRST_REFUSAL_PERIOD`], since a
//! fixed engine may be able to run the request; if the request crashes endpoints again, the period
//! doubles. Parts that several prompts share have rules of their own ([`parts`]).

mod entry;
mod parts;
mod table;

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    EndpointId, Fingerprint, Incarnation, Time, announcements::Announcements, instances::Instances,
};

pub use entry::{DeathReport, Entry, EntryStatus};
pub(crate) use parts::SOUND_AFTER;
pub(crate) use table::time_before;
use table::{Cleared, Confirmed, Death, Suspect, make_room};
pub use table::{DeathId, MAX_CONFIRMED, MAX_DEATHS_PER_SUSPECT, MAX_SUSPECTS};

/// Deaths closer together than this may have one cause: a rack or a data centre takes its endpoints
/// down within about a connection timeout.
pub const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(2);

/// Deaths that confirm a suspect, if they can't have the same cause.
pub const DEATHS_TO_CONFIRM: usize = 2;

/// Deaths after which a suspect that isn't confirmed may run at one instance only.
pub const DEATHS_TO_HOLD: usize = 3;

/// Retry delay of a held suspect that is running: most answers end within seconds.
const RUNNING_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long the other instances are told that a suspect has been cleared.
const CLEARED_TTL: Duration = Duration::from_secs(60);

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

/// Suspects and refused fingerprints, as tracked by one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, Suspect>,
    confirmed: IndexMap<Fingerprint, Confirmed>,
    cleared: IndexMap<Fingerprint, Cleared>,
    /// The suspect that this instance runs on each endpoint; keeps suspects isolated.
    running: IndexMap<EndpointId, Fingerprint>,
    /// Endpoints on which other instances reported a running suspect, with the time of the last
    /// report.
    peer_suspects: IndexMap<EndpointId, Time>,
    /// Instances don't report on which endpoints they run suspects, so that a suspect that ran
    /// isolated here may have shared its endpoint with another instance's.
    ignores_isolation: bool,
    news: Announcements<Fingerprint>,
}

impl Quarantine {
    /// Creates a quarantine without entries.
    pub fn new() -> Quarantine {
        Quarantine::default()
    }

    /// The same for instances that don't report on which endpoints they run suspects.
    pub fn without_isolation() -> Quarantine {
        Quarantine { ignores_isolation: true, ..Quarantine::default() }
    }

    /// Records that an incarnation of an endpoint died while these fingerprints ran there.
    pub fn record_death(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        present: &[Fingerprint],
        now: Time,
    ) {
        let isolated = self.running.swap_remove(endpoint).filter(|_| !self.ignores_isolation);
        self.peer_suspects.swap_remove(endpoint);
        let id = DeathId::new(endpoint, incarnation);
        for fingerprint in present {
            let ran_isolated = isolated == Some(*fingerprint);
            self.add_death(*fingerprint, Death { id, at: now, ran_isolated }, now);
        }
    }

    /// Records a death at `at` that was learned of later, by its id.
    pub fn record_death_of(&mut self, id: DeathId, present: &[Fingerprint], at: Time, now: Time) {
        for fingerprint in present {
            self.add_death(*fingerprint, Death { id, at, ran_isolated: false }, now);
        }
    }

    /// Records a complete run. It clears a suspect, and ends the refusal of a fingerprint that was
    /// running when it was confirmed.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Time) {
        self.record_stop(fingerprint);
        let suspect = self.suspects.get(&fingerprint);
        let is_refused = matches!(self.state(fingerprint, now), QuarantineState::Refused(_));
        if suspect.is_none() && !is_refused {
            return;
        }
        let deaths = suspect.map_or(&[][..], Suspect::deaths).iter().map(|death| death.id);
        let cleared = Cleared { at: now, deaths: deaths.collect() };
        self.clear(fingerprint, cleared);
        self.news.add(fingerprint, now);
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

    /// How long a fingerprint must not start at this instance; `None` if it may start now.
    ///
    /// A suspect that is held after several deaths may run at one instance of the site, which all
    /// of them choose alike. Others refuse it until that instance has cleared or confirmed it, or
    /// for as long as if it were confirmed.
    pub fn refusal(
        &self,
        fingerprint: Fingerprint,
        instances: Option<&Instances>,
        now: Time,
    ) -> Option<Duration> {
        if let Some(left) = self.refusal_period(fingerprint, instances, now) {
            return Some(left);
        }
        let is_held = self.suspects.get(&fingerprint).is_some_and(Suspect::is_held);
        let is_running = || self.running.values().any(|running| *running == fingerprint);
        (is_held && is_running()).then_some(RUNNING_RETRY_DELAY)
    }

    /// The same for a request that is about to be sent: another run of it at this instance isn't a
    /// reason to wait.
    pub fn refusal_period(
        &self,
        fingerprint: Fingerprint,
        instances: Option<&Instances>,
        now: Time,
    ) -> Option<Duration> {
        if let QuarantineState::Refused(left) = self.state(fingerprint, now) {
            return Some(left);
        }
        let suspect = self.suspects.get(&fingerprint).filter(|suspect| suspect.is_held())?;
        let is_chosen = instances.is_none_or(|instances| instances.is_first_for(fingerprint));
        let until = match is_chosen {
            true => suspect.trial_from(),
            false => suspect.last_death() + FIRST_REFUSAL_PERIOD,
        };
        let left = until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether a fingerprint is a suspect by one death. It may run on any endpoint where
    /// [`may_run`](Self::may_run) allows none: one death leaves dozens of suspects, most of them
    /// harmless.
    pub fn has_one_death(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| suspect.deaths().len() == 1)
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

    /// Records that a run of a request broke. A held one isn't tried again before it is known
    /// whether its endpoint died.
    pub fn record_break(&mut self, fingerprint: Fingerprint, now: Time) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.record_break(now);
        }
    }

    /// All entries, for an instance that has just started.
    pub fn export(&self, now: Time) -> Vec<Entry> {
        let all = self.suspects.keys().chain(self.confirmed.keys()).chain(self.cleared.keys());
        let mut entries: Vec<Entry> = all.filter_map(|key| self.entry(*key, now)).collect();
        entries.sort_by_key(|entry| entry.fingerprint);
        entries.dedup_by_key(|entry| entry.fingerprint);
        entries
    }

    /// Takes the entries that the other instances have to be told now.
    pub fn take_news(&mut self, now: Time) -> Vec<Entry> {
        let due = self.news.take_due(now);
        due.into_iter().filter_map(|fingerprint| self.entry(fingerprint, now)).collect()
    }

    /// Adds what another instance knows.
    pub fn import(&mut self, entries: &[Entry], now: Time) {
        for entry in entries {
            self.import_one(entry, now);
        }
    }

    /// Drops expired entries to free their memory; results don't depend on how often it runs.
    pub fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, suspect| suspect.is_current(now));
        self.confirmed.retain(|_, confirmed| confirmed.is_needed(now));
        self.cleared.retain(|_, cleared| now.since(cleared.at) < CLEARED_TTL);
        self.peer_suspects.retain(|_, at| now.since(*at) < PEER_SUSPECT_TTL);
        self.news.expire(now);
    }

    fn grace_period_is_over(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_none_or(|suspect| now.since(suspect.last_death()) >= LAST_ENDPOINT_GRACE_PERIOD)
    }

    fn add_death(&mut self, fingerprint: Fingerprint, death: Death, now: Time) {
        if self.merge_death(fingerprint, death, now) {
            self.news.add(fingerprint, now);
        }
    }

    /// Adds a death to a suspect; true if that changed anything.
    fn merge_death(&mut self, fingerprint: Fingerprint, death: Death, now: Time) -> bool {
        let is_refused = matches!(self.state(fingerprint, now), QuarantineState::Refused(_));
        let cleared = self.cleared.get(&fingerprint);
        if is_refused || cleared.is_some_and(|cleared| cleared.covers(&death)) {
            return false;
        }
        if !self.suspects.contains_key(&fingerprint) {
            let evidence = |suspect: &Suspect| (suspect.deaths().len(), suspect.last_death());
            make_room(&mut self.suspects, MAX_SUSPECTS, evidence);
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.expire(now);
        let before = suspect.deaths().to_vec();
        suspect.add_death(death);
        let is_changed = before != suspect.deaths();
        if suspect.is_confirmed() && !fingerprint.is_part() {
            self.suspects.swap_remove(&fingerprint);
            make_room(&mut self.confirmed, MAX_CONFIRMED, |confirmed| confirmed.until);
            self.confirmed.entry(fingerprint).or_insert(Confirmed::NEW).renew(now);
        }
        is_changed
    }

    /// Ends a suspicion, and a refusal that is older.
    fn clear(&mut self, fingerprint: Fingerprint, cleared: Cleared) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            let later = suspect.deaths().iter().filter(|death| !cleared.covers(death));
            let later: Vec<Death> = later.copied().collect();
            self.suspects.swap_remove(&fingerprint);
            if !later.is_empty() {
                let suspect = self.suspects.entry(fingerprint).or_default();
                later.into_iter().for_each(|death| suspect.add_death(death));
            }
        }
        if self.confirmed.get(&fingerprint).is_some_and(|confirmed| confirmed.at <= cleared.at) {
            self.confirmed.swap_remove(&fingerprint);
        }
        if !self.cleared.contains_key(&fingerprint) {
            make_room(&mut self.cleared, MAX_SUSPECTS, |cleared| cleared.at);
        }
        let known = self.cleared.entry(fingerprint).or_insert_with(|| cleared.clone());
        known.merge(cleared);
    }

    fn entry(&self, fingerprint: Fingerprint, now: Time) -> Option<Entry> {
        let age_ms = |at: Time| millis(now.since(at));
        let report = |death: &Death| DeathReport {
            id: death.id,
            age_ms: age_ms(death.at),
            ran_isolated: death.ran_isolated,
        };
        if let Some(confirmed) = self.confirmed.get(&fingerprint)
            && let QuarantineState::Refused(left) = self.state(fingerprint, now)
        {
            let status =
                EntryStatus::Refused { left_ms: millis(left), age_ms: age_ms(confirmed.at) };
            return Some(Entry { fingerprint, deaths: Vec::new(), status });
        }
        if let Some(suspect) = self.suspects.get(&fingerprint).filter(|s| s.is_current(now)) {
            let deaths = suspect.deaths().iter().map(report).collect();
            return Some(Entry { fingerprint, deaths, status: EntryStatus::Suspect });
        }
        let cleared = self.cleared.get(&fingerprint)?;
        if now.since(cleared.at) >= CLEARED_TTL {
            return None;
        }
        let age_ms = age_ms(cleared.at);
        let report = |id: &DeathId| DeathReport { id: *id, age_ms, ran_isolated: false };
        let deaths = cleared.deaths.iter().map(report).collect();
        Some(Entry { fingerprint, deaths, status: EntryStatus::Cleared { age_ms } })
    }

    fn import_one(&mut self, entry: &Entry, now: Time) {
        let before = |age_ms| time_before(now, Duration::from_millis(age_ms));
        let fingerprint = entry.fingerprint;
        let reports = entry.deaths.iter().take(MAX_DEATHS_PER_SUSPECT);
        match entry.status {
            EntryStatus::Suspect => {
                for report in reports {
                    if Duration::from_millis(report.age_ms) >= SUSPICION_TTL {
                        continue;
                    }
                    let ran_isolated = report.ran_isolated && !self.ignores_isolation;
                    let death = Death { id: report.id, at: before(report.age_ms), ran_isolated };
                    self.merge_death(fingerprint, death, now);
                }
            }
            EntryStatus::Refused { .. } if fingerprint.is_part() => {}
            EntryStatus::Refused { left_ms, age_ms } => {
                let at = before(age_ms);
                if self.cleared.get(&fingerprint).is_some_and(|cleared| at <= cleared.at) {
                    return;
                }
                let left = Duration::from_millis(left_ms).min(MAX_REFUSAL_PERIOD);
                make_room(&mut self.confirmed, MAX_CONFIRMED, |confirmed| confirmed.until);
                let confirmed = self.confirmed.entry(fingerprint).or_insert(Confirmed::NEW);
                confirmed.extend(at, now + left);
                self.suspects.swap_remove(&fingerprint);
            }
            EntryStatus::Cleared { age_ms } => {
                if Duration::from_millis(age_ms) < CLEARED_TTL {
                    let deaths = reports.map(|report| report.id).collect();
                    self.clear(fingerprint, Cleared { at: before(age_ms), deaths });
                }
            }
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
