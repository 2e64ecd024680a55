//! Distinguishes lost connections from a dead endpoint.
//!
//! A device on the network path may lose track of open connections: they stay open and silent
//! forever, while new connections work. If silence alone counted as failure, healthy endpoints
//! would be ejected one after another; if requests waited for the silent connections to end, their
//! callers would hang.
//!
//! Silence on any connection triggers one probe over a fresh connection. If the probe is answered,
//! the endpoint is alive, and every connection that has been silent since before the probe is
//! dropped. If it fails too, the endpoint is dead. This works because the probe takes the same
//! network path: a device that lost the old connections tracks the new one.

use indexmap::IndexMap;

use crate::{EndpointId, Time, health::PROBE_TIMEOUT};

/// What to do after a connection was silent or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceAction {
    /// Probe the endpoint over a fresh connection now.
    Probe,
    /// Wait; a probe is in flight or has just been answered.
    Wait,
    /// The endpoint is alive. Drop all connections whose last activity is before this time.
    DropBefore(Time),
    /// The endpoint doesn't answer on fresh connections either.
    Dead,
}

/// Handles silent connections for all endpoints of one instance. Its size is bounded by the number
/// of endpoints, as [`SilenceDetector::forget`] drops removed ones.
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
    /// Creates a detector without probe results.
    pub fn new() -> SilenceDetector {
        SilenceDetector::default()
    }

    /// Reports that a connection to `endpoint` is silent past its deadline. `last_activity` is when
    /// it was last active, or opened.
    pub fn silent(
        &mut self,
        endpoint: &EndpointId,
        last_activity: Time,
        now: Time,
    ) -> SilenceAction {
        let probe_record = self.probe_records.entry(endpoint.clone()).or_default();
        // A successful probe that is newer than the connection's last activity makes another one
        // unnecessary.
        if let Some(alive_at) = probe_record.alive_at.filter(|alive_at| *alive_at > last_activity) {
            return SilenceAction::DropBefore(alive_at);
        }
        let lost = |started: Time| now.since(started) >= PROBE_TIMEOUT;
        if probe_record.probing_since.is_some_and(|started| !lost(started)) {
            return SilenceAction::Wait;
        }
        probe_record.probing_since = Some(now);
        SilenceAction::Probe
    }

    /// Reports the result of the probe.
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

    /// Drops the state of a removed endpoint.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.probe_records.swap_remove(endpoint);
    }
}
