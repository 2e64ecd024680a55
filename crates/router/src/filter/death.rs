//! Checks whether an endpoint that broke an attempt has died.
//!
//! **Load pattern.** A request crashes its endpoint, and its caller sends it again at once.
//!
//! **Without it.** Nobody learns of the crash before another request is sent to the endpoint, or
//! its registration lapses seconds later.
//!
//! **Rule.** After a broken attempt the instance opens a connection to the endpoint and closes it.
//! A refused connection proves that the incarnation ended.
//!
//! **Grounds.** A connection breaks without any death where a link fails. A process that has ended
//! refuses connections for as long as it isn't started again, which takes seconds.

use std::{io, sync::Arc};

use policy::{EndpointId, Incarnation};

use super::{attempt::CONNECT_TIMEOUT, dispatch::DispatchContext};
use crate::{clock::Clock, dialect::Dialect, lock, net, signal::Signal, state::Group};

/// Checks in the background whether an endpoint has died, unless a check was made just now.
pub(super) fn check<D: Dialect>(
    context: &DispatchContext<D>,
    group: &Arc<Group>,
    endpoint: EndpointId,
    incarnation: Incarnation,
) {
    let clock = context.clock;
    let is_new = lock(&group.scheduler).begin_death_check(&endpoint, incarnation, clock.now());
    let Some(address) = group.address(&endpoint).filter(|_| is_new) else { return };
    let address = context.dialect.endpoint_address(address);
    let (group, urgent) = (group.clone(), context.urgent.clone());
    let check = async move {
        match net::connect(address, CONNECT_TIMEOUT).await {
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                record(&group, &endpoint, incarnation, clock, &urgent);
            }
            Err(e) => log::debug!(endpoint = endpoint.as_str(), cause:% = e; "death_not_checked"),
            Ok(_) => {}
        }
    };
    context.executor.spawn(check).detach();
}

/// Records that an endpoint refuses connections, and has the other instances told.
pub(super) fn record(
    group: &Group,
    endpoint: &EndpointId,
    incarnation: Incarnation,
    clock: Clock,
    urgent: &Signal,
) {
    let suspects = lock(&group.scheduler).record_death(endpoint, incarnation, clock.now());
    log::info!(endpoint = endpoint.as_str(), suspects; "endpoint_died");
    urgent.raise();
}
