//! Delays requests while a starting instance reads its first configuration and endpoints.
//!
//! **Load pattern.** All instances restart at once, and callers whose connections broke return
//! within milliseconds, before the configuration and the endpoints have been read. Where many
//! instances pass a long configuration on over slow links, that takes most of a second.
//!
//! **Without it.** These requests are refused, although they could have been served a few tenths of
//! a second later, and callers that retry only once are lost.
//!
//! **Rule.** Within [`STARTUP_WAIT`] of the start a request waits for the first configuration and
//! the first endpoints. After that, missing state isn't expected within moments, and a request is
//! refused at once. The start of the body is read meanwhile, so that the caller can send it, and its
//! disconnect is noticed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::{FutureExt, future};
use http::{Request, Response};
use policy::Time;
use smol::Timer;

use super::{Handler, ReadAhead, Refusal, ResponseBody};
use crate::{
    clock::Clock,
    request_body::RequestBody,
    resources::Holder,
    state::{Configuration, Groups, Lifecycle},
};

/// How long after its start an instance delays requests. Callers give up an attempt that isn't taken
/// within a second. After the restart of a whole site, 400 ms ended before a long configuration had
/// reached all instances, 0.7 to 1.1 s after their start.
const STARTUP_WAIT: Duration = Duration::from_millis(900);

/// Bytes of a body that are read while its request waits. Bodies of most requests fit in, and
/// hundreds that wait together take a few megabytes.
const MAX_READ_AHEAD_BYTES: usize = 32 << 10;

/// A request that doesn't wait for the first state any more.
#[derive(Debug)]
pub struct Admitted {
    /// The request.
    pub req: Request<ReadAhead<RequestBody>>,
    /// When the head had been received.
    pub arrived: Time,
}

/// Filter that passes requests on once the first configuration and endpoints are known.
pub struct StartupGate<N> {
    configuration: Arc<Configuration>,
    groups: Arc<Groups>,
    lifecycle: Arc<Lifecycle>,
    clock: Clock,
    wait_until: Instant,
    next: N,
}

impl<N> StartupGate<N> {
    /// Creates the filter in front of `next`. The wait is measured from this call.
    pub fn new(
        configuration: Arc<Configuration>,
        groups: Arc<Groups>,
        lifecycle: Arc<Lifecycle>,
        clock: Clock,
        next: N,
    ) -> Self {
        let wait_until = Instant::now() + STARTUP_WAIT;
        StartupGate { configuration, groups, lifecycle, clock, wait_until, next }
    }

    async fn wait_for_first_state(&self) {
        let known = async {
            self.configuration.wait_until_known().await;
            self.groups.wait_for_endpoints().await;
        };
        let timeout = async {
            Timer::at(self.wait_until).await;
        };
        known.or(timeout).or(self.lifecycle.wait_for_cutoff()).await;
    }
}

impl<N: Handler<Admitted>> Handler<Request<RequestBody>> for StartupGate<N> {
    async fn handle(&self, req: Request<RequestBody>) -> Result<Response<ResponseBody>, Refusal> {
        let arrived = self.clock.now();
        let (head, body) = req.into_parts();
        let mut body = ReadAhead::new(body);
        let holder = head.extensions.get::<Arc<Holder>>().cloned();
        let mut permit = holder.map(|holder| holder.permit());
        let read = async {
            // Without room the caller waits with the rest of its body.
            if permit.as_mut().is_some_and(|p| p.try_grow(MAX_READ_AHEAD_BYTES).is_ok()) {
                body.read_ahead(MAX_READ_AHEAD_BYTES).await;
            }
            future::pending().await
        };
        self.wait_for_first_state().or(read).await;
        drop(permit);
        self.next.handle(Admitted { req: Request::from_parts(head, body), arrived }).await
    }
}
