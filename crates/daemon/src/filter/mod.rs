//! The filter chain that every request passes. `docs/ARCHITECTURE.md` describes the order.
//!
//! Each filter takes the output type of the one before it, adds its own results and calls the
//! next, so that the compiler rejects a chain that skips a stage. Dispatch is static: the chain is
//! composed of generic types.

mod admission;
mod at_most_once;
mod deadline;
mod dispatch;
pub mod parse;
pub mod receive;
pub mod relay;
pub mod scan;
mod text;
pub mod workspace;

use std::{future::Future, sync::Arc};

use bytes::Bytes;
use http_types::{Request, Response, StatusCode};
use protocols::service::Header;

pub use admission::{AdmissionGuard, AdmittedRequest};
pub use at_most_once::SharedClaim;
pub use deadline::RequestWithDeadline;
pub use parse::{ParsedRequest, RequestHeaders, RequestTarget};
pub use receive::{CallDetails, ModelCallDetails, ReceivedRequest, ServiceCallDetails};

use crate::{
    error::CallError,
    record::CallRecord,
    server::{connection::Connection, respond},
    shared::Shared,
};

/// One filter of the chain.
pub trait Handler<In>: Send + Sync {
    /// Answers the request, usually by calling the next filter.
    fn handle(&self, input: In) -> impl Future<Output = Result<Answer, CallError>> + Send;
}

/// A request whose head has been received and not yet parsed.
#[derive(Debug)]
pub struct InboundRequest {
    /// The head, and the body as an unread stream.
    pub req: Request,
    /// The caller's connection.
    pub conn: Arc<Connection>,
    /// Collects the data for the request's log entry and metrics.
    pub record: Arc<CallRecord>,
}

/// A successful result of the chain.
#[derive(Debug)]
pub enum Answer {
    /// An answer whose body is complete in memory.
    Complete(CompleteAnswer),
    /// Server-sent events, forwarded as they arrive.
    Stream(relay::EventBody),
}

/// An answer whose body is complete in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type; `None` stands for JSON.
    pub content_type: Option<String>,
    /// Headers besides `content-type`.
    pub headers: Vec<Header>,
    /// The body, sent as it is.
    pub body: Bytes,
}

/// All filters, the outermost first.
pub type Chain = parse::Parse<
    workspace::Identify<
        receive::Receive<
            deadline::Deadline<admission::Admission<at_most_once::AtMostOnce<dispatch::Dispatch>>>,
        >,
    >,
>;

/// Builds the filter chain of an instance.
pub fn chain(shared: &Arc<Shared>) -> Chain {
    let dispatch = dispatch::Dispatch::new(shared.clone());
    let admission =
        admission::Admission::new(at_most_once::AtMostOnce::new(shared.clone(), dispatch));
    let deadline = deadline::Deadline::new(shared.clone(), admission);
    let receive = receive::Receive::new(shared.clone(), deadline);
    parse::Parse::new(shared.clone(), workspace::Identify::new(shared.clone(), receive))
}

/// Passes a request through the filter chain and records its outcome.
pub async fn answer(
    chain: &Chain,
    shared: &Arc<Shared>,
    conn: Arc<Connection>,
    req: Request,
) -> Response {
    let record = shared.begin_request(parse::request_id(&req));
    conn.begin_request(record.clone());
    conn.set_cut_time(
        shared.clock.now() + receive::BODY_TIMEOUT + crate::server::connection::WRITE_GRACE_PERIOD,
    );
    let inbound = InboundRequest { req, conn: conn.clone(), record: record.clone() };
    let result = chain.handle(inbound).await;
    if let Err(e) = &result {
        record.update(|summary| (summary.outcome, summary.ran) = (e.code, e.ran));
        // Much of the body may be unread, and the HTTP library would read all of it.
        conn.set_cut_time(shared.clock.now() + crate::server::connection::WRITE_GRACE_PERIOD);
    }
    let must_close = result.as_ref().is_err_and(may_leave_unread_body);
    let mut resp = respond::response(result);
    if must_close {
        resp.insert_header("connection", "close");
    }
    record.update(|summary| {
        summary.status = resp.status().into();
        resp.insert_header(respond::REQUEST_ID, summary.request_id.as_str());
    });
    resp
}

/// Whether the next bytes on the connection may still belong to the refused request's body.
fn may_leave_unread_body(e: &CallError) -> bool {
    let status = e.status;
    [StatusCode::BadRequest, StatusCode::PayloadTooLarge, StatusCode::RequestTimeout]
        .contains(&status)
        || e.code == receive::BUSY
}
