//! Which part of the daemon answers a path.

use std::sync::Arc;

use bytes::Bytes;
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::{
    admin,
    error::CallError,
    filter::{self, parse, workspace},
    server::{Audience, Service, connection::Connection, respond},
};

/// Answers one request.
pub(super) async fn route(
    service: &Service,
    conn: Arc<Connection>,
    mut req: Request,
) -> http_types::Result<Response> {
    // Where callers and operators share an address, anyone who can call could publish a
    // configuration or drain the instance; only this machine's own users may.
    if service.audience == Audience::Both && admin::is_privileged(&req) && !conn.is_local() {
        return Ok(respond::error(&not_for_callers()));
    }
    if service.audience != Audience::Callers
        && let Some(resp) = Box::pin(admin::answer(&service.shared, &mut req)).await
    {
        return Ok(resp);
    }
    if service.audience == Audience::Operators {
        return Ok(respond::error(&not_found(req.url().path())));
    }
    if req.method() == Method::Get && req.url().path() == "/v1/models" {
        let mut resp = models(service, &req);
        let record = service.shared.begin_request(parse::request_id(&req));
        record
            .update(|summary| (summary.status, summary.outcome) = (resp.status().into(), "listed"));
        resp.insert_header(respond::REQUEST_ID, record.request_id());
        return Ok(resp);
    }
    // On the heap, so that a connection that is idle or passes on a stream doesn't carry the room
    // that the filters take.
    Ok(Box::pin(filter::answer(&service.chain, &service.shared, conn, req)).await)
}

fn not_for_callers() -> CallError {
    let message = "this is served to other machines only where the settings name `admin_listen`";
    CallError::caller(StatusCode::Forbidden, "not_for_callers", message)
}

/// The error for a path that nothing serves.
pub fn not_found(path: &str) -> CallError {
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

fn models(service: &Service, req: &Request) -> Response {
    let active = service.shared.active();
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
