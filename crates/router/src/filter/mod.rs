//! The path of a request, one file a filter: [`start`] waits for what an instance learns first,
//! [`identify`] finds route and workspace, [`receive`] takes the body, [`dispatch`] takes it on,
//! [`call`] and [`send`] find endpoints for it, [`relay`] passes events on.
//!
//! Each filter takes what the one before it made, so that a request can't skip one; the chain is
//! composed by generics alone.

mod attempt;
mod body;
mod call;
mod dispatch;
mod hedge;
mod identify;
mod memory;
mod receive;
mod refusal;
mod relay;
mod run;
mod send;
mod start;

use std::future::Future;

use http::Response;

pub use body::ResponseBody;
pub use dispatch::{Dispatch, DispatchContext};
pub use identify::{Identified, Identify};
pub use memory::ReservationIds;
pub use receive::{Receive, Received};
pub use refusal::Refusal;
pub use start::StartupGate;

/// One stage of the path of a request.
pub trait Handler<In>: Send + Sync + 'static {
    /// Answers, usually by calling the next stage.
    fn handle(
        &self,
        input: In,
    ) -> impl Future<Output = Result<Response<ResponseBody>, Refusal>> + Send;
}
