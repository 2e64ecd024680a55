//! Dispatches requests by path to the admin interface or the filters.

use std::sync::Arc;

use bytes::Bytes;
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::{
    admin,
    error::CallError,
    filter::{self, parse, workspace},
    server::{Audience, ListenerContext, connection::Connection, respond},
};

/// Handles one request.
pub(super) async fn route(
    context: &ListenerContext,
    conn: Arc<Connection>,
    mut req: Request,
) -> http_types::Result<Response> {
    // If callers and operators share an address, every caller could publish a configuration or
    // drain the instance. Privileged paths are then limited to connections from this machine.
    if context.audience == Audience::Both && admin::is_privileged(&req) && !conn.is_loopback() {
        return Ok(respond::error(&forbidden_error()));
    }
    if context.audience != Audience::Callers && !conn.holder().begin_service() {
        return Ok(respond::error(&filter::receive::busy()));
    }
    if context.audience != Audience::Callers
        && let Some(resp) = Box::pin(admin::answer(&context.shared, &mut req)).await
    {
        return Ok(resp);
    }
    if context.audience == Audience::Operators {
        return Ok(respond::error(&not_found_error(req.url().path())));
    }
    if req.method() == Method::Get && req.url().path() == "/v1/models" {
        let mut resp = list_models(context, &req);
        let record = context.shared.begin_request(parse::request_id(&req));
        record
            .update(|summary| (summary.status, summary.outcome) = (resp.status().into(), "listed"));
        resp.insert_header(respond::REQUEST_ID, record.request_id());
        return Ok(resp);
    }
    // Boxed, so that an idle or streaming connection doesn't include the size of the filters'
    // futures.
    Ok(Box::pin(filter::answer(&context.chain, &context.shared, conn, req)).await)
}

fn forbidden_error() -> CallError {
    let message = "this is served to other machines only where the settings name `admin_listen`";
    CallError::caller(StatusCode::Forbidden, "not_for_callers", message)
}

/// The error for a path that isn't served.
pub fn not_found_error(path: &str) -> CallError {
    let message = format!("nothing is served at `{path}`");
    CallError::caller(StatusCode::NotFound, "not_found", message)
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

fn list_models(context: &ListenerContext, req: &Request) -> Response {
    let active = context.shared.active();
    let key = workspace::bearer(req);
    if let Err(e) = workspace::identify(&active, key.as_deref()) {
        return respond::error(&e);
    }
    let data = active
        .models()
        .map(|model| ModelEntry { id: model.as_str(), object: "model", owned_by: "trefoilhall" })
        .collect();
    let body = serde_json::to_vec(&ModelList { object: "list", data }).unwrap_or_default();
    respond::bytes(StatusCode::Ok, respond::JSON, Bytes::from(body))
}
