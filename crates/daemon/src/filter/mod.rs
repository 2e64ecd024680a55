//! The path of a request, one file a filter. `docs/ARCHITECTURE.md` describes the order.
//!
//! Each filter takes what the one before it found out, adds to it and calls the next; the types
//! of the stages keep a request from skipping one. The chain is composed by generics alone.

mod admission;
mod at_most_once;
mod deadline;
mod dispatch;
pub mod parse;
mod receive;
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

/// One stage of the path of a request.
pub trait Handler<In>: Send + Sync {
    /// Answers, usually by calling the next stage.
    fn handle(&self, input: In) -> impl Future<Output = Result<Answer, CallError>> + Send;
}

/// A request as it came in.
#[derive(Debug)]
pub struct InboundRequest {
    /// Head and body.
    pub req: Request,
    /// Its connection.
    pub conn: Arc<Connection>,
    /// Its record.
    pub record: Arc<CallRecord>,
}

/// What the caller gets.
#[derive(Debug)]
pub enum Answer {
    /// An answer that is whole.
    Complete(CompleteAnswer),
    /// Server-sent events as they come.
    Stream(relay::EventBody),
}

/// An answer that is whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type; JSON where absent.
    pub content_type: Option<String>,
    /// Further headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
}

/// All filters in order.
pub type Chain = parse::Parse<
    workspace::Identify<
        receive::Receive<
            deadline::Deadline<admission::Admission<at_most_once::AtMostOnce<dispatch::Dispatch>>>,
        >,
    >,
>;

/// The filters of an instance.
pub fn chain(shared: &Arc<Shared>) -> Chain {
    let dispatch = dispatch::Dispatch::new(shared.clone());
    let admission =
        admission::Admission::new(at_most_once::AtMostOnce::new(shared.clone(), dispatch));
    let deadline = deadline::Deadline::new(shared.clone(), admission);
    let receive = receive::Receive::new(shared.clone(), deadline);
    parse::Parse::new(shared.clone(), workspace::Identify::new(shared.clone(), receive))
}

/// Sends a request through the filters and accounts for it.
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
        // Much of the body may be unread, and the library would read all of it.
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

/// Whether what follows on the connection may still belong to the refused request's body.
fn may_leave_unread_body(e: &CallError) -> bool {
    let status = e.status;
    [StatusCode::BadRequest, StatusCode::PayloadTooLarge, StatusCode::RequestTimeout]
        .contains(&status)
}
