//! Tells a silent connection from an engine that is still working.
//!
//! The failure: something between the two ends loses track of an open connection, which then stays
//! silent for good while new ones work. The caller sees a stream that stops. A long prefill looks
//! just the same from here, so the engine is asked over a new connection: where its listing
//! doesn't show the stream any more, or shows it ahead of what came, the old connection is lost
//! and the request goes on elsewhere. The endpoint is judged only when new connections fail too.

use std::{future::Future, pin::pin, time::Duration};

use futures_lite::{FutureExt, StreamExt};
use policy::{FailCause, Incarnation};
use protocols::engine::{Engine, EngineError};
use smol::Timer;

use crate::endpoint::Endpoint;

/// Silence after which the engine is asked. Between two tokens lie some tens of milliseconds; a
/// prefill is longer, and costs one listing a second for all streams of an engine together.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Bad signs in a row before the stream is given up. One may be chance: the body is still on its
/// way there, or the last events on their way here.
const MAX_FAILED_CHECKS: u32 = 2;

/// How old a listing may be.
const MAX_LISTING_AGE: Duration = Duration::from_millis(250);

/// How long a broken connection may wait for word whether the engine's process died.
const DEATH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Watches one run's stream. It has one timer for the whole run, because each new one wakes the
/// thread that waits for sockets, which for every token would cost more than the token.
pub(super) struct StreamWatchdog<'a> {
    /// Where it runs.
    pub(super) endpoint: &'a Endpoint,
    /// Its id there.
    pub(super) attempt: &'a str,
    /// The life it was sent to, where known.
    pub(super) incarnation: Option<Incarnation>,
    ticks: Timer,
    /// Whether something came since the last tick.
    progress: bool,
}

enum WaitEvent<T> {
    Done(T),
    Checked(StreamState),
}

enum StreamState {
    Working,
    Lost,
    EngineDied,
}

impl<'a> StreamWatchdog<'a> {
    /// Begins to watch.
    pub(super) fn new(
        endpoint: &'a Endpoint,
        attempt: &'a str,
        incarnation: Option<Incarnation>,
    ) -> Self {
        let ticks = Timer::interval(SILENCE_CHECK_INTERVAL);
        StreamWatchdog { endpoint, attempt, incarnation, ticks, progress: true }
    }

    /// Waits for `next`, as long as the engine can be seen to work on it. `offset` is that of the
    /// next token to come.
    pub(super) async fn wait<T>(
        &mut self,
        offset: u64,
        next: impl Future<Output = T>,
    ) -> Result<T, FailCause> {
        let mut next = pin!(next);
        let mut failed_checks = 0;
        loop {
            let done = async { WaitEvent::Done((&mut next).await) };
            let check = async {
                self.ticks.next().await;
                if std::mem::take(&mut self.progress) {
                    return WaitEvent::Checked(StreamState::Working);
                }
                WaitEvent::Checked(self.check(offset).await)
            };
            match done.or(check).await {
                WaitEvent::Done(result) => {
                    self.progress = true;
                    return Ok(result);
                }
                WaitEvent::Checked(StreamState::Working) => failed_checks = 0,
                WaitEvent::Checked(StreamState::Lost) => failed_checks += 1,
                WaitEvent::Checked(StreamState::EngineDied) => return Err(FailCause::EndpointDied),
            }
            if failed_checks >= MAX_FAILED_CHECKS {
                return Err(FailCause::Silent);
            }
        }
    }

    /// Whether a broken connection means that the engine's process died.
    ///
    /// It does where the engine has another life, and where a new connection fails at once like
    /// the old one. The second need not be refused: whatever stands between may take it, and break
    /// it when it finds nobody behind. Taken for a mere break, the death of four engines in a row
    /// raised no suspicion against the prompt that killed them.
    ///
    /// A link that breaks long answers breaks listings, so the short load report is asked for: a
    /// break taken for a death makes suspects of the prompts there.
    pub(super) async fn classify_break(&self) -> FailCause {
        let query = async {
            match self.endpoint.engine().load().await {
                Ok(load) if self.is_other_incarnation(load.incarnation) => FailCause::EndpointDied,
                Ok(_) | Err(EngineError::Refused | EngineError::BadAnswer) => FailCause::Broken,
                Err(EngineError::NotSent | EngineError::Unknown | EngineError::Broken) => {
                    FailCause::EndpointDied
                }
            }
        };
        let limit = async {
            Timer::after(DEATH_CHECK_TIMEOUT).await;
            FailCause::Broken
        };
        query.or(limit).await
    }

    async fn check(&self, offset: u64) -> StreamState {
        let Ok(page) = self.endpoint.listing(MAX_LISTING_AGE).await else {
            return StreamState::Lost;
        };
        if self.is_other_incarnation(page.incarnation) {
            return StreamState::EngineDied;
        }
        match page.held.iter().find(|held| held.id == self.attempt) {
            Some(held) if held.offset.is_none_or(|held_offset| held_offset <= offset) => {
                StreamState::Working
            }
            _ => StreamState::Lost,
        }
    }

    fn is_other_incarnation(&self, reported: Incarnation) -> bool {
        self.incarnation.is_some_and(|known| known != reported)
    }
}
