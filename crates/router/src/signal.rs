//! Wakes tasks that wait.

use std::time::Duration;

use futures_lite::FutureExt;
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

/// Wakes whoever waits for it. Raised several times before anybody looks, it wakes once.
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
    /// Wakes whoever waits now, or next.
    pub fn raise(&self) {
        // A full channel already says so.
        self.tx.try_send(()).ok();
    }

    /// Waits until it is raised.
    pub async fn raised(&self) {
        // It holds both ends, so the channel is never closed.
        self.rx.recv().await.ok();
    }

    /// The same, for `patience` at most; whether it was raised.
    pub async fn raised_within(&self, patience: Duration) -> bool {
        let raised = async {
            self.raised().await;
            true
        };
        let late = async {
            Timer::after(patience).await;
            false
        };
        raised.or(late).await
    }
}

/// Something that happens once, for which any number of tasks wait.
#[derive(Debug)]
pub struct OneShot {
    // Nothing is ever sent; closing the channel wakes all.
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
    /// It has happened.
    pub fn set(&self) {
        self.tx.close();
    }

    /// Waits until it has happened.
    pub async fn wait(&self) {
        self.rx.recv().await.ok();
    }
}
