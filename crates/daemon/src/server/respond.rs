//! Converts answers and errors to HTTP responses.

use bytes::Bytes;
use http_types::{Body, Response, StatusCode};
use protocols::body::BodyParts;

use crate::{
    error::CallError,
    filter::{Answer, relay::EventBody},
};

/// The header with the request's id, sent with every response.
pub const REQUEST_ID: &str = "x-request-id";

/// Builds the response to a call.
pub fn response(result: Result<Answer, CallError>) -> Response {
    match result {
        Ok(Answer::Complete(answer)) => {
            let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
            let mut resp =
                bytes(status, answer.content_type.as_deref().unwrap_or(JSON), answer.body);
            for header in answer.headers {
                resp.insert_header(header.name.as_str(), header.value);
            }
            resp
        }
        Ok(Answer::Stream(body)) => stream(body),
        Err(e) => error(&e),
    }
}

/// The media type of most responses.
pub const JSON: &str = "application/json";

/// Builds a response with the given body. A `content_type` that isn't ASCII is left out.
pub fn bytes(status: StatusCode, content_type: &str, content: Bytes) -> Response {
    let mut resp = Response::new(status);
    resp.set_body(BodyParts::body(&[content]));
    if content_type.is_ascii() {
        resp.insert_header("content-type", content_type);
    }
    resp
}

/// Builds a plain text response.
pub fn text(status: StatusCode, content: &str) -> Response {
    bytes(status, "text/plain; charset=utf-8", Bytes::copy_from_slice(content.as_bytes()))
}

/// Builds an error response.
pub fn error(e: &CallError) -> Response {
    let mut resp = bytes(e.status, JSON, e.to_json());
    if let Some(seconds) = e.retry_after_seconds() {
        resp.insert_header("retry-after", seconds.to_string());
    }
    resp
}

/// Encodes an error as a complete HTTP response, for connections without a parsed request.
pub fn raw_error(e: &CallError, request_id: Option<&str>) -> Vec<u8> {
    let body = e.to_json();
    let retry_after =
        e.retry_after_seconds().map_or(String::new(), |wait| format!("retry-after: {wait}\r\n"));
    let request_id = request_id.map_or(String::new(), |id| format!("{REQUEST_ID}: {id}\r\n"));
    let head = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: {JSON}\r\nconnection: close\r\n{request_id}{retry_after}content-length: {}\r\n\r\n",
        u16::from(e.status),
        e.status.canonical_reason(),
        body.len()
    );
    [head.as_bytes(), &body].concat()
}

fn stream(body: EventBody) -> Response {
    let mut resp = Response::new(StatusCode::Ok);
    resp.set_body(Body::from_reader(body, None));
    resp.insert_header("content-type", "text/event-stream");
    // Asks reverse proxies not to buffer events.
    resp.insert_header("cache-control", "no-cache");
    resp.insert_header("x-accel-buffering", "no");
    resp
}
