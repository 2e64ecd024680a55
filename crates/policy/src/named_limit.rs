//! The limit that an endpoint names in its answers, as the instances know it.
//!
//! **Load pattern.** An endpoint in need names the requests a second that it takes from all instances
//! together, in each answer for as long as it holds. One instance gets that answer, and hundreds
//! send there.
//!
//! **Without it.** Each instance would have to get an answer of its own, and a late answer from
//! before the limit's end would bring it back.
//!
//! **Rule.** Each change has a version that only rises, and the higher one wins. An answer changes
//! the limit only if its request was placed after the last change was known here, so that it is
//! certainly later. Of two changes with one version the lower limit wins.
//!
//! **Grounds.** Answers overtake each other, and clocks of instances differ, so neither the arrival
//! of answers nor a time stamp orders them. Merging is commutative and idempotent.

use serde::{Deserialize, Serialize};

use crate::{EndpointTag, Incarnation, Time};

/// The limit of one incarnation of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct NamedLimit {
    version: u32,
    per_s: Option<f64>,
    changed_at: Time,
}

/// A limit, as sent to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Which endpoint names it.
    pub endpoint: EndpointTag,
    /// The endpoint's incarnation.
    pub incarnation: Incarnation,
    /// Version of the limit; only rises.
    pub version: u32,
    /// Requests a second from all instances together; none once the endpoint names no limit.
    pub per_s: Option<f64>,
}

impl NamedLimit {
    /// Requests a second that the endpoint takes; none without a limit.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Records what an answer names, if that is a later state than the known one; true if it has
    /// changed. The request was placed at `placed_at`.
    pub fn record_answer(&mut self, per_s: Option<f64>, placed_at: Time, now: Time) -> bool {
        if per_s == self.per_s || placed_at < self.changed_at {
            return false;
        }
        *self = NamedLimit { version: self.version + 1, per_s, changed_at: now };
        true
    }

    /// Takes over what another instance knows if that is later.
    pub fn merge(&mut self, report: &LimitReport, now: Time) {
        let rank = |version: u32, per_s: Option<f64>| (version, -per_s.unwrap_or(f64::INFINITY));
        if rank(report.version, report.per_s) > rank(self.version, self.per_s) {
            *self = NamedLimit { version: report.version, per_s: report.per_s, changed_at: now };
        }
    }

    /// What other instances have to know; none if the endpoint has never named a limit.
    pub fn report(&self, endpoint: EndpointTag, incarnation: Incarnation) -> Option<LimitReport> {
        let NamedLimit { version, per_s, .. } = *self;
        (version > 0).then_some(LimitReport { endpoint, incarnation, version, per_s })
    }
}
