//! Distinguishes a silent connection from an engine that is still working.
//!
//! Guards against a middlebox that loses track of an open connection, which then stays silent for
//! good while new connections work, so that the caller's stream stalls. A long prefill looks the
//! same from this end, so the engine is queried over a new connection. If its listing no longer
//! shows the stream, or shows it ahead of what has arrived, the old connection is lost, and the
//! request is retried. The endpoint counts as failed only if new connections fail as well.

use std::{future::Future, pin::pin, time::Duration};

use futures_lite::{FutureExt, StreamExt};
use policy::{FailCause, Incarnation};
use protocols::engine::{Engine, EngineError};
use smol::Timer;

use crate::endpoint::Endpoint;

/// Interval of the checks for silence, after which the engine is queried. Tokens are some tens of
/// milliseconds apart. A prefill takes longer and costs one listing per second for all streams of
/// an engine together.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive failed checks after which the stream is abandoned. A single one may be a race: the
/// request's body or the latest events may still be in transit.
const MAX_FAILED_CHECKS: u32 = 2;

/// Maximum age of a listing that is shared between streams.
const MAX_LISTING_AGE: Duration = Duration::from_millis(250);

/// Timeout of the query whether an engine's process died, after a connection broke.
const DEATH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Watches one run's stream for silence. One timer serves the whole run, because each new timer
/// wakes the reactor thread, which would cost more than relaying a token.
pub(super) struct StreamWatchdog<'a> {
    /// The engine that runs it.
    pub(super) endpoint: &'a Endpoint,
    /// The run's id, under which the engine lists it.
    pub(super) attempt: &'a str,
    /// The engine's incarnation that the run was sent to, if known.
    pub(super) incarnation: Option<Incarnation>,
    ticks: Timer,
    /// Whether anything arrived since the last tick.
    made_progress: bool,
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
    /// Starts the timer. The first interval counts as progress.
    pub(super) fn new(
        endpoint: &'a Endpoint,
        attempt: &'a str,
        incarnation: Option<Incarnation>,
    ) -> Self {
        let ticks = Timer::interval(SILENCE_CHECK_INTERVAL);
        StreamWatchdog { endpoint, attempt, incarnation, ticks, made_progress: true }
    }

    /// Waits for `next` for as long as the engine's listing shows that it works on the run.
    /// `offset` is that of the next token expected.
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
                if std::mem::take(&mut self.made_progress) {
                    return WaitEvent::Checked(StreamState::Working);
                }
                WaitEvent::Checked(self.check(offset).await)
            };
            match done.or(check).await {
                WaitEvent::Done(result) => {
                    self.made_progress = true;
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

    /// Determines whether a broken connection means that the engine's process died.
    ///
    /// It does if the engine has another incarnation, or if a new connection fails as well. The new
    /// connection need not be refused: a middlebox may accept it, and break it when it can't reach
    /// the engine. When such failures counted as mere breaks, a prompt that crashed four engines in
    /// a row raised no suspicion.
    ///
    /// The query is for the short load report, because a link that breaks long answers also breaks
    /// listings, and a break mistaken for a death makes poison suspects of the prompts there.
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
        let timeout = async {
            Timer::after(DEATH_CHECK_TIMEOUT).await;
            FailCause::Broken
        };
        query.or(timeout).await
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
