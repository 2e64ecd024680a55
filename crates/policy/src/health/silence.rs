//! Tells silent open connections from a dead endpoint.
//!
//! Something between two ends may lose track of open connections: they stay open and silent for
//! good, while new connections work. Judged by the silence alone, healthy endpoints would be
//! ejected one after another; waiting for the silent connections to end would hang their callers.
//!
//! The rule: silence on any connection asks for one probe over a fresh connection, at once. If it
//! answers, the endpoint is alive and every connection opened before the probe and not heard of
//! since is dropped. If it fails too, the endpoint has stopped. The rule holds because the probe
//! passes the same path anew: whatever lost track of old connections knows the new one.

use indexmap::IndexMap;

use crate::{EndpointId, Time, health::PROBE_TIMEOUT};

/// What to do about an endpoint after news of silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceAction {
    /// Probe it over a fresh connection now.
    Probe,
    /// A probe is under way or has just answered; wait for it.
    Wait,
    /// Drop all connections whose last sign of life is before this point; the endpoint is alive.
    DropBefore(Time),
    /// It doesn't answer on fresh connections either.
    Dead,
}

/// Judges silence for all endpoints of one instance. Bounded by the number of endpoints, as
/// [`SilenceDetector::forget`] drops those that are gone.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    probe_records: IndexMap<EndpointId, ProbeRecord>,
}

#[derive(Debug, Default, Clone, Copy)]
struct ProbeRecord {
    probing_since: Option<Time>,
    alive_at: Option<Time>,
}

impl SilenceDetector {
    /// Nothing is known yet.
    pub fn new() -> SilenceDetector {
        SilenceDetector::default()
    }

    /// A connection to `endpoint` is silent past its deadline; `last_sign` is when it last gave a
    /// sign of life, or was opened.
    pub fn silent(&mut self, endpoint: &EndpointId, last_sign: Time, now: Time) -> SilenceAction {
        let probe_record = self.probe_records.entry(endpoint.clone()).or_default();
        // A proof of life newer than the connection's last sign settles it without a probe.
        if let Some(alive_at) = probe_record.alive_at.filter(|alive_at| *alive_at > last_sign) {
            return SilenceAction::DropBefore(alive_at);
        }
        let lost = |started: Time| now.since(started) >= PROBE_TIMEOUT;
        if probe_record.probing_since.is_some_and(|started| !lost(started)) {
            return SilenceAction::Wait;
        }
        probe_record.probing_since = Some(now);
        SilenceAction::Probe
    }

    /// The probe over a fresh connection ended.
    pub fn probed(&mut self, endpoint: &EndpointId, healthy: bool) -> SilenceAction {
        let probe_record = self.probe_records.entry(endpoint.clone()).or_default();
        let Some(started) = probe_record.probing_since.take() else {
            return SilenceAction::Wait;
        };
        if !healthy {
            return SilenceAction::Dead;
        }
        probe_record.alive_at = Some(started);
        SilenceAction::DropBefore(started)
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.probe_records.swap_remove(endpoint);
    }
}
