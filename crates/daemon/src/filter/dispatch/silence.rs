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
const SILENCE: Duration = Duration::from_secs(1);

/// Bad signs in a row before the stream is given up. One may be chance: the body is still on its
/// way there, or the last events on their way here.
const STRIKES: u32 = 2;

/// How old a listing may be.
const LISTING_AGE: Duration = Duration::from_millis(250);

/// How long a broken connection may wait for word whether the engine's process died.
const DEATH_CHECK: Duration = Duration::from_millis(300);

/// Watches one run's stream. It has one timer for the whole run, because each new one wakes the
/// thread that waits for sockets, which for every token would cost more than the token.
pub(super) struct Watch<'a> {
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

enum Step<T> {
    Done(T),
    Looked(Sign),
}

enum Sign {
    Working,
    Lost,
    Died,
}

impl<'a> Watch<'a> {
    /// Begins to watch.
    pub(super) fn new(
        endpoint: &'a Endpoint,
        attempt: &'a str,
        incarnation: Option<Incarnation>,
    ) -> Self {
        let ticks = Timer::interval(SILENCE);
        Watch { endpoint, attempt, incarnation, ticks, progress: true }
    }

    /// Waits for `next`, as long as the engine can be seen to work on it. `offset` is that of the
    /// next token to come.
    pub(super) async fn wait<T>(
        &mut self,
        offset: u64,
        next: impl Future<Output = T>,
    ) -> Result<T, FailCause> {
        let mut next = pin!(next);
        let mut strikes = 0;
        loop {
            let done = async { Step::Done((&mut next).await) };
            let look = async {
                self.ticks.next().await;
                if std::mem::take(&mut self.progress) {
                    return Step::Looked(Sign::Working);
                }
                Step::Looked(self.look(offset).await)
            };
            match done.or(look).await {
                Step::Done(result) => {
                    self.progress = true;
                    return Ok(result);
                }
                Step::Looked(Sign::Working) => strikes = 0,
                Step::Looked(Sign::Lost) => strikes += 1,
                Step::Looked(Sign::Died) => return Err(FailCause::EndpointDied),
            }
            if strikes >= STRIKES {
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
    pub(super) async fn why_broken(&self) -> FailCause {
        let ask = async {
            match self.endpoint.engine().load().await {
                Ok(load) if self.is_other_life(load.incarnation) => FailCause::EndpointDied,
                Ok(_) | Err(EngineError::Refused | EngineError::BadAnswer) => FailCause::Broken,
                Err(EngineError::NotSent | EngineError::Unknown | EngineError::Broken) => {
                    FailCause::EndpointDied
                }
            }
        };
        let limit = async {
            Timer::after(DEATH_CHECK).await;
            FailCause::Broken
        };
        ask.or(limit).await
    }

    async fn look(&self, offset: u64) -> Sign {
        let Ok(page) = self.endpoint.listing(LISTING_AGE).await else { return Sign::Lost };
        if self.is_other_life(page.incarnation) {
            return Sign::Died;
        }
        match page.held.iter().find(|held| held.id == self.attempt) {
            Some(held) if held.offset.is_none_or(|there| there <= offset) => Sign::Working,
            _ => Sign::Lost,
        }
    }

    fn is_other_life(&self, reported: Incarnation) -> bool {
        self.incarnation.is_some_and(|lifecycle| lifecycle != reported)
    }
}
