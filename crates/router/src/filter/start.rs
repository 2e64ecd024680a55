//! Has requests wait for what an instance learns in its first moments.
//!
//! **Load pattern.** All instances restart at once, and callers whose connections broke come back
//! within milliseconds, before configuration and endpoints have been read.
//!
//! **Without it.** They are refused, although a tenth of a second later they could have been served on
//! time, and callers who come back only once are lost.
//!
//! **Rule.** Within [`PATIENCE`] of the start a request waits for the first configuration and the first
//! endpoints. Later, what isn't known won't be known in a moment, and a request is refused at once.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use http::{Request, Response};
use hyper::body::Incoming;
use smol::Timer;

use super::{Handler, Refusal, ResponseBody};
use crate::state::{Configuration, Groups};

/// How long after its start an instance has requests wait. Two round trips to the source and one to
/// a peer fit in, and most callers can still be served on time.
const PATIENCE: Duration = Duration::from_millis(400);

/// Passes requests on once the first configuration and endpoints are known.
pub struct StartupGate<N> {
    configuration: Arc<Configuration>,
    groups: Arc<Groups>,
    over_at: Instant,
    next: N,
}

impl<N> StartupGate<N> {
    /// Passes on to `next`; the start is now.
    pub fn new(configuration: Arc<Configuration>, groups: Arc<Groups>, next: N) -> Self {
        StartupGate { configuration, groups, over_at: Instant::now() + PATIENCE, next }
    }

    async fn has_learned(&self) {
        let known = async {
            self.configuration.wait_until_known().await;
            self.groups.wait_for_endpoints().await;
        };
        let over = async {
            Timer::at(self.over_at).await;
        };
        known.or(over).await;
    }
}

impl<N: Handler<Request<Incoming>>> Handler<Request<Incoming>> for StartupGate<N> {
    async fn handle(&self, req: Request<Incoming>) -> Result<Response<ResponseBody>, Refusal> {
        self.has_learned().await;
        self.next.handle(req).await
    }
}
