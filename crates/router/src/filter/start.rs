//! Delays requests while a starting instance reads its first configuration and endpoints.
//!
//! **Load pattern.** All instances restart at once, and callers whose connections broke return
//! within milliseconds, before the configuration and the endpoints have been read.
//!
//! **Without it.** These requests are refused, although they could have been served on time a tenth
//! of a second later, and callers that retry only once are lost.
//!
//! **Rule.** Within [`STARTUP_WAIT`] of the start a request waits for the first configuration and
//! the first endpoints. After that, missing state isn't expected within moments, and a request is
//! refused at once.

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

/// How long after its start an instance delays requests. Two round trips to the source and one to a
/// peer fit in, and most callers can still be served on time.
const STARTUP_WAIT: Duration = Duration::from_millis(400);

/// Filter that passes requests on once the first configuration and endpoints are known.
pub struct StartupGate<N> {
    configuration: Arc<Configuration>,
    groups: Arc<Groups>,
    wait_until: Instant,
    next: N,
}

impl<N> StartupGate<N> {
    /// Creates the filter in front of `next`. The wait is measured from this call.
    pub fn new(configuration: Arc<Configuration>, groups: Arc<Groups>, next: N) -> Self {
        StartupGate { configuration, groups, wait_until: Instant::now() + STARTUP_WAIT, next }
    }

    async fn wait_for_first_state(&self) {
        let known = async {
            self.configuration.wait_until_known().await;
            self.groups.wait_for_endpoints().await;
        };
        let timeout = async {
            Timer::at(self.wait_until).await;
        };
        known.or(timeout).await;
    }
}

impl<N: Handler<Request<Incoming>>> Handler<Request<Incoming>> for StartupGate<N> {
    async fn handle(&self, req: Request<Incoming>) -> Result<Response<ResponseBody>, Refusal> {
        self.wait_for_first_state().await;
        self.next.handle(req).await
    }
}
