//! The request path, one module per filter: [`start`] delays requests until the first configuration
//! and endpoints are known, [`identify`] resolves route and workspace, [`receive`] reads the body,
//! [`dispatch`] chooses an endpoint group, [`call`] and [`send`] place the request on endpoints,
//! [`forward`] passes it on through a peer instead, [`returning`] tells callers of refused requests when
//! to retry, [`relay`] passes event streams to the caller, and [`death`] checks endpoints that broke an
//! attempt.
//!
//! Each filter takes the output type of the one before it, so a request can't skip a filter. The
//! chain is composed with generics only.

mod attempt;
mod body;
mod call;
mod death;
mod dispatch;
mod forward;
mod hedge;
mod identify;
mod read_ahead;
mod receive;
mod refusal;
mod relay;
mod reservations;
mod returning;
mod run;
mod send;
mod start;
mod wait;

use std::future::Future;

use http::Response;

pub use body::ResponseBody;
pub use dispatch::{Dispatch, DispatchContext};
pub use forward::Forwarded;
pub(crate) use forward::PeerService;
pub use identify::{Identified, Identify};
pub use read_ahead::ReadAhead;
pub use receive::{Receive, Received};
pub use refusal::{Reason, Refusal};
pub use reservations::ReservationIds;
pub use start::{Admitted, StartupGate};

/// A filter of the request path.
pub trait Handler<In>: Send + Sync + 'static {
    /// Produces the response, usually by calling the next filter.
    fn handle(
        &self,
        input: In,
    ) -> impl Future<Output = Result<Response<ResponseBody>, Refusal>> + Send;
}
