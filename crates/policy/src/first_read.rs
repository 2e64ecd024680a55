//! When an instance that knows nothing yet reads a source itself.
//!
//! **Load pattern.** All instances of a fleet start within a third of a second.
//!
//! **Without it.** None of them knows a peer at first, so each reads the source itself: thousands
//! of calls in the same second, for content that one call a data centre could have brought.
//!
//! **Rule.** An instance with seeds waits a moment for its first peer. With peers, it queries them;
//! if none of them has read the source yet either, the first reader of its data centre reads once
//! the membership has settled, and the others wait for it. All waits have a bound, after which the
//! instance reads the source whatever it knows.
//!
//! **Grounds.** A new instance of a running fleet has an answer within two round trips, so it waits
//! for none of these times. Where all have just started, the reader has read before requests that
//! wait for the first state are refused (`router::filter::start`).

use std::time::Duration;

/// How long an instance waits for its first peer. The first requests wait for 900 ms in all, which
/// leaves time for a read of the source and for transfers from peer to peer.
const FIRST_PEER_TIMEOUT: Duration = Duration::from_millis(200);

/// How long the membership has to stay unchanged until the first reader reads.
const SETTLING_TIME: Duration = Duration::from_millis(150);

/// How long after its start the first reader waits for that. Where many start together, some read
/// that don't know of an earlier reader yet; waiting for all of them would cost callers more.
const SETTLING_TIMEOUT: Duration = Duration::from_millis(200);

/// How long the others wait for the first reader.
const READER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// What an instance that has nothing yet knows of its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartView {
    /// Time since its start.
    pub since_start: Duration,
    /// It has addresses at which peers may be found.
    pub has_seeds: bool,
    /// Time since its live peers last changed; none while it has known nobody.
    pub since_peers_changed: Option<Duration>,
    /// No peer reads the source before it.
    pub is_first_reader: bool,
}

impl StartView {
    /// How long to wait before reading the source; zero if now.
    pub fn time_until_read(&self) -> Duration {
        let left = |timeout: Duration| timeout.saturating_sub(self.since_start);
        match self.since_peers_changed {
            _ if !self.has_seeds => Duration::ZERO,
            None => left(FIRST_PEER_TIMEOUT),
            Some(since) if self.is_first_reader => {
                SETTLING_TIME.saturating_sub(since).min(left(SETTLING_TIMEOUT))
            }
            Some(_) => left(READER_TIMEOUT),
        }
    }
}
