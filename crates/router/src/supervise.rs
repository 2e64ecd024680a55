//! Keeps an instance's long-running tasks running.

use std::time::{Duration, Instant};

use smol::Timer;

use crate::panic::{self, Panic};

/// Pause before the first new start.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Pause after many failures in a row.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// A task that has run for this long starts anew after the shortest pause.
const STABLE_AFTER: Duration = Duration::from_secs(30);

/// Runs a task that should never end, and starts it anew where it panics or returns.
///
/// Guards against an instance that looks alive but accepts no connections, or goes on with the
/// configuration, endpoints or peers that it knew when one of its tasks ended.
pub(crate) async fn supervise(name: &'static str, mut task: impl AsyncFnMut()) {
    let mut pause = MIN_PAUSE;
    loop {
        let started = Instant::now();
        let cause = match panic::catch(task()).await {
            Ok(()) => "returned".to_owned(),
            Err(Panic(message)) => message,
        };
        if started.elapsed() >= STABLE_AFTER {
            pause = MIN_PAUSE;
        }
        log::error!(task = name, cause = cause.as_str(),
            restart_ms = pause.as_millis() as u64; "task_ended");
        Timer::after(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}
