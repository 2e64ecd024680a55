//! Notifications between tasks.

use std::time::Duration;

use futures_lite::FutureExt;
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

/// A notification that can be raised any number of times. Raised several times before anyone waits,
/// it wakes one waiter once.
#[derive(Debug, Clone)]
pub struct Signal {
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Self {
        let (tx, rx) = bounded(1);
        Signal { tx, rx }
    }
}

impl Signal {
    /// Wakes a task that is waiting, or else the next one to wait.
    pub fn raise(&self) {
        // A full channel means that it has been raised already.
        self.tx.try_send(()).ok();
    }

    /// Waits until it is raised.
    pub async fn raised(&self) {
        // Both ends are kept here, so the channel is never closed.
        self.rx.recv().await.ok();
    }

    /// Waits until it is raised, for at most `timeout`; returns whether it was raised.
    pub async fn raised_within(&self, timeout: Duration) -> bool {
        let raised = async {
            self.raised().await;
            true
        };
        let timed_out = async {
            Timer::after(timeout).await;
            false
        };
        raised.or(timed_out).await
    }
}

/// A flag that is set once and wakes all tasks waiting for it.
#[derive(Debug)]
pub struct OneShot {
    // Nothing is ever sent; closing the channel wakes all waiting tasks.
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Default for OneShot {
    fn default() -> Self {
        let (tx, rx) = bounded(1);
        OneShot { tx, rx }
    }
}

impl OneShot {
    /// Sets the flag; has no effect if it is set already.
    pub fn set(&self) {
        self.tx.close();
    }

    /// Waits until the flag is set.
    pub async fn wait(&self) {
        self.rx.recv().await.ok();
    }
}
