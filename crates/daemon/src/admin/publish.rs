//! The admin requests that use the configuration stream: publishing, the audit trail and draining.

use std::{sync::Arc, time::Duration};

use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode};
use policy::{
    config::{SourceFile, Version},
    publication::{AuditEntry, Change, Note, PublicationEntry, Verdict, check_change},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use uuid::Uuid;

use super::json_response_with_status;
use crate::{
    controller::configuration::PublishOutcome, drain, error::CallError, server::respond,
    shared::Shared,
};

/// Maximum size of a request's body, and so of a published folder as JSON. It has to fit into a
/// record of the log.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// Timeout of a publication. The operator's tool waits longer than this.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout for appending a note to the audit trail. The noted action has been carried out even if
/// the append fails.
const NOTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of audit entries returned if the request has no `last` parameter.
const DEFAULT_AUDIT_ENTRIES: usize = 20;

/// The body of `POST /admin/publish`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Id chosen by the publisher, so that a change that is sent again is accepted only once.
    pub id: String,
    /// The version that the change is based on.
    pub base: Version,
    /// The operator who publishes, for the audit trail.
    pub by: String,
    /// All files of the configuration folder.
    pub files: Vec<SourceFile>,
}

/// The response to `POST /admin/publish`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishAnswer {
    /// Accepted as this version.
    Accepted(Version),
    /// The base version isn't the current one, because other changes were accepted meanwhile.
    Conflict {
        /// The current version.
        version: Version,
        /// The changes accepted since the base version.
        since: Vec<AuditEntry>,
    },
    /// The files failed these checks. Either nothing was appended, or no instance will activate
    /// them.
    Rejected(Vec<String>),
    /// The log didn't accept the append; nothing has changed.
    NotAppended,
    /// It is unknown whether the change was accepted; sending it again with the same id is safe.
    Unknown,
}

/// The response to `GET /admin/configuration`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationPage {
    /// The current version according to the log.
    pub version: Version,
    /// The files of that version.
    pub files: Vec<SourceFile>,
}

/// The body of `POST /admin/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// The operator who drains the instance, for the audit trail.
    #[serde(default)]
    pub by: Option<String>,
    /// The instance to drain. It must be the one that receives the request, which is the default.
    #[serde(default)]
    pub instance: Option<String>,
}

/// Handles the requests of this module; `None` if the path isn't one of them.
pub async fn answer(shared: &Arc<Shared>, req: &mut Request) -> Option<Response> {
    let result = match (req.method(), req.url().path()) {
        (Method::Post, "/admin/publish") => publish(shared, req).await,
        (Method::Post, "/admin/drain") => drain_instance(shared, req).await,
        (Method::Get, "/admin/audit") => audit(shared, req),
        (Method::Get, "/admin/configuration") => configuration(shared),
        _ => return None,
    };
    Some(result.unwrap_or_else(|e| respond::error(&e)))
}

async fn publish(shared: &Arc<Shared>, req: &mut Request) -> Result<Response, CallError> {
    let publications = shared.publications().ok_or_else(no_log_error)?;
    let request: PublishRequest = read_json(req).await?;
    // Checked before the append, so that an invalid change takes no record in the log. Applying the
    // record checks it again.
    let (version, current) = publications
        .with_state(|state| (state.version(), state.config().cloned()))
        .ok_or_else(log_unavailable_error)?;
    // A log that was emptied would number its versions from the start, below the active version, so
    // none of them would ever be activated. If this instance only lags behind its peers, it soon
    // catches up.
    if version < shared.active().version {
        return Err(log_unavailable_error());
    }
    if let Err(findings) = check_change(current.as_deref(), &request.files) {
        let messages = findings.iter().map(ToString::to_string).collect();
        return Ok(json_response_with_status(
            StatusCode::UnprocessableEntity,
            &PublishAnswer::Rejected(messages),
        ));
    }
    let base = request.base;
    let change = Change { id: request.id, base, by: request.by, files: request.files };
    let outcome = publications.publish(&PublicationEntry::Change(change), PUBLISH_TIMEOUT).await;
    let answer = match outcome {
        PublishOutcome::NotAppended => PublishAnswer::NotAppended,
        PublishOutcome::Unknown => PublishAnswer::Unknown,
        PublishOutcome::Entry(entry) => match entry.verdict {
            Verdict::Accepted(version) => PublishAnswer::Accepted(version),
            Verdict::Rejected(messages) => PublishAnswer::Rejected(messages),
            Verdict::Conflict(version) => {
                let since =
                    publications.with_state(|state| state.accepted_since(base).cloned().collect());
                PublishAnswer::Conflict { version, since: since.unwrap_or_default() }
            }
            Verdict::Noted => {
                return Err(CallError::malformed("the id was used for a note"));
            }
        },
    };
    Ok(json_response_with_status(status_code(&answer), &answer))
}

fn status_code(answer: &PublishAnswer) -> StatusCode {
    match answer {
        PublishAnswer::Accepted(_) => StatusCode::Ok,
        PublishAnswer::Conflict { .. } => StatusCode::Conflict,
        PublishAnswer::Rejected(_) => StatusCode::UnprocessableEntity,
        PublishAnswer::NotAppended => StatusCode::ServiceUnavailable,
        PublishAnswer::Unknown => StatusCode::GatewayTimeout,
    }
}

async fn drain_instance(shared: &Arc<Shared>, req: &mut Request) -> Result<Response, CallError> {
    let request: DrainRequest = read_json(req).await?;
    let instance = shared.owner.instance.as_str();
    if let Some(other) = request.instance.as_deref().filter(|name| *name != instance) {
        let message = format!("this is {instance} and not {other}; ask {other} itself");
        return Err(CallError::caller(StatusCode::NotFound, "other_instance", message));
    }
    drain::begin(shared);
    if let Some(publications) = shared.publications() {
        let by = request.by.unwrap_or_else(|| "unknown".to_owned());
        let action = format!("drain {instance}");
        let note = Note { id: Uuid::now_v7().to_string(), by, action };
        publications.publish(&PublicationEntry::Note(note), NOTE_TIMEOUT).await;
    }
    Ok(json_response_with_status(StatusCode::Ok, &super::status(shared)))
}

fn audit(shared: &Shared, req: &Request) -> Result<Response, CallError> {
    let publications = shared.publications().ok_or_else(no_log_error)?;
    let last = req.url().query_pairs().find(|(name, _)| name == "last");
    let last = match last {
        None => DEFAULT_AUDIT_ENTRIES,
        Some((_, text)) => {
            text.parse().map_err(|_| CallError::malformed("`last`: expected a number"))?
        }
    };
    let entries = publications.with_state(|state| {
        let mut entries: Vec<AuditEntry> = state.audit().rev().take(last).cloned().collect();
        entries.reverse();
        entries
    });
    Ok(json_response_with_status(StatusCode::Ok, &entries.ok_or_else(log_unavailable_error)?))
}

fn configuration(shared: &Shared) -> Result<Response, CallError> {
    let publications = shared.publications().ok_or_else(no_log_error)?;
    let page = publications.with_state(|state| ConfigurationPage {
        version: state.version(),
        files: state.files().to_vec(),
    });
    Ok(json_response_with_status(StatusCode::Ok, &page.ok_or_else(log_unavailable_error)?))
}

async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, CallError> {
    let mut body = Vec::new();
    let mut limited = req.take_body().take(MAX_BODY_BYTES + 1);
    let result = limited.read_to_end(&mut body).await;
    result.map_err(|_| CallError::malformed("the body can't be read"))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
        return Err(CallError::caller(StatusCode::PayloadTooLarge, "too_large", message));
    }
    // An empty body is allowed and means that all members have their defaults.
    let text = if body.is_empty() { b"{}" } else { body.as_slice() };
    serde_json::from_slice(text).map_err(|e| CallError::malformed(format!("the body: {e}")))
}

fn no_log_error() -> CallError {
    let message = "this instance has its configuration from a folder and follows no log";
    CallError::caller(StatusCode::NotFound, "no_log", message)
}

fn log_unavailable_error() -> CallError {
    CallError {
        status: StatusCode::ServiceUnavailable,
        code: "log_unavailable",
        message: "this instance has not read the configuration stream to its end".to_owned(),
        ran: policy::RunStatus::No,
        retry_after: Some(Duration::from_secs(1)),
    }
}
