//! Entries of the quarantine, and the bounds of its tables.

use std::{hash::Hash, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    EndpointId, EndpointTag, Incarnation, Time,
    quarantine::{
        COMMON_CAUSE_WINDOW, DEATHS_TO_CONFIRM, DEATHS_TO_HOLD, FIRST_REFUSAL_PERIOD,
        MAX_REFUSAL_PERIOD, SUSPICION_TTL,
    },
};

/// Maximum number of suspects kept, at about 300 bytes each: a hundred running requests at each of
/// 40 deaths an hour.
pub const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of refused fingerprints kept. Each took two deaths of endpoints to confirm, so
/// this many can't come about by chance.
pub const MAX_CONFIRMED: usize = 1_024;

/// Maximum number of deaths kept for a suspect; the earliest ones and the latest. More deaths don't
/// change what is decided.
pub const MAX_DEATHS_PER_SUSPECT: usize = 8;

/// The end of one incarnation of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DeathId {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// The incarnation that ended.
    pub incarnation: Incarnation,
}

impl DeathId {
    /// The end of this incarnation of an endpoint.
    pub fn new(endpoint: &EndpointId, incarnation: Incarnation) -> DeathId {
        DeathId { endpoint: endpoint.into(), incarnation }
    }
}

/// A death at which a suspect was running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Death {
    pub(super) id: DeathId,
    pub(super) at: Time,
    /// No other suspect ran on the endpoint.
    pub(super) ran_isolated: bool,
}

/// The deaths at which a fingerprint was running, in the order of their times.
///
/// Adding deaths is commutative and idempotent, so that instances that have heard of the same
/// deaths agree, in whatever order and however often they did.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspect {
    deaths: Vec<Death>,
    /// When a run broke here while it was held.
    trial_broke_at: Option<Time>,
}

impl Suspect {
    pub(super) fn add_death(&mut self, death: Death) {
        match self.deaths.iter_mut().find(|known| known.id == death.id) {
            Some(known) => {
                known.at = known.at.min(death.at);
                known.ran_isolated |= death.ran_isolated;
            }
            None => self.deaths.push(death),
        }
        self.deaths.sort_by_key(|death| (death.at, death.id));
        if self.deaths.len() > MAX_DEATHS_PER_SUSPECT {
            self.deaths.remove(MAX_DEATHS_PER_SUSPECT - 1);
        }
    }

    pub(super) fn deaths(&self) -> &[Death] {
        &self.deaths
    }

    pub(super) fn last_death(&self) -> Time {
        self.deaths.last().map_or(Time::ZERO, |death| death.at)
    }

    /// Whether two deaths can't have the same cause: they are far enough apart, or the suspect ran
    /// isolated at the later one and therefore started after the earlier one.
    pub(super) fn is_confirmed(&self) -> bool {
        let [first, later @ ..] = &self.deaths[..] else { return false };
        later.len() + 1 >= DEATHS_TO_CONFIRM
            && (self.last_death().since(first.at) >= COMMON_CAUSE_WINDOW
                || later.iter().any(|death| death.ran_isolated))
    }

    /// Whether so many endpoints died under it that a single instance may run it.
    pub(super) fn is_held(&self) -> bool {
        self.deaths.len() >= DEATHS_TO_HOLD
    }

    /// Records that a run of it broke, which may turn out to be one more death.
    pub(super) fn record_break(&mut self, now: Time) {
        if self.is_held() {
            self.trial_broke_at = Some(now);
        }
    }

    /// From when on this instance may run it, if it is the one that may.
    pub(super) fn trial_from(&self) -> Time {
        self.last_death().max(self.trial_broke_at.unwrap_or_default()) + COMMON_CAUSE_WINDOW
    }

    pub(super) fn is_current(&self, now: Time) -> bool {
        now.since(self.last_death()) < SUSPICION_TTL
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.deaths.retain(|death| now.since(death.at) < SUSPICION_TTL);
    }
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Confirmed {
    pub(super) at: Time,
    pub(super) until: Time,
    next_period: Duration,
}

impl Confirmed {
    pub(super) const NEW: Confirmed =
        Confirmed { at: Time::ZERO, until: Time::ZERO, next_period: FIRST_REFUSAL_PERIOD };

    /// Starts the next refusal period, twice as long as the previous one.
    pub(super) fn renew(&mut self, now: Time) {
        self.at = now;
        self.until = self.until.max(now + self.next_period);
        self.next_period = (self.next_period * 2).min(MAX_REFUSAL_PERIOD);
    }

    pub(super) fn extend(&mut self, at: Time, until: Time) {
        self.at = self.at.max(at);
        self.until = self.until.max(until);
    }

    /// Whether the entry is still needed: in force, or recent enough to double the next period.
    pub(super) fn is_needed(&self, now: Time) -> bool {
        now < self.until + self.next_period
    }
}

/// A fingerprint that ran to its end after these deaths, which therefore don't count.
#[derive(Debug, Clone)]
pub(super) struct Cleared {
    pub(super) at: Time,
    pub(super) deaths: Vec<DeathId>,
}

impl Cleared {
    pub(super) fn covers(&self, death: &Death) -> bool {
        death.at <= self.at || self.deaths.contains(&death.id)
    }

    pub(super) fn merge(&mut self, other: Cleared) {
        self.at = self.at.max(other.at);
        let new = other.deaths.into_iter().filter(|id| !self.deaths.contains(id));
        let new: Vec<DeathId> = new.collect();
        self.deaths.extend(new);
        self.deaths.truncate(MAX_DEATHS_PER_SUSPECT);
    }
}

/// The time `age` before `now`.
pub(crate) fn time_before(now: Time, age: Duration) -> Time {
    Time(now.0.saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)))
}

/// Drops the least important entry of a full table, such as the oldest one, so that a flood of
/// entries can't grow it.
pub(super) fn make_room<K: Hash + Eq, V, I: Ord>(
    table: &mut IndexMap<K, V>,
    limit: usize,
    importance: impl Fn(&V) -> I,
) {
    if table.len() < limit {
        return;
    }
    let least = table.values().enumerate().min_by_key(|(_, value)| importance(value));
    if let Some(index) = least.map(|(index, _)| index) {
        table.swap_remove_index(index);
    }
}
