//! Publishing a configuration, and the audit trail.

use std::{sync::Arc, time::Duration};

use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode};
use policy::{
    config::{SourceFile, Version},
    publication::{AuditEntry, Change, Note, PublicationEntry, Verdict, check_change},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use uuid::Uuid;

use super::json_with;
use crate::{
    controller::configuration::PublishOutcome, drain, error::CallError, server::respond,
    shared::Shared,
};

/// The largest folder that is taken, in bytes, as JSON. The log's records have to hold it.
const MAX_CONTENT: u64 = 8 << 20;
/// How long publishing may take here. The operator's tool waits longer.
const PATIENCE: Duration = Duration::from_secs(8);
/// How long a note for the audit trail may take. What it notes is done in any case.
const NOTE_PATIENCE: Duration = Duration::from_secs(2);
/// How many entries of the audit trail are given where the question names no number.
const DEFAULT_ENTRIES: usize = 20;

/// `POST /admin/publish`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Chosen by the publisher, so that the same change sent again is taken once.
    pub id: String,
    /// The version that the files were made from.
    pub base: Version,
    /// Who publishes.
    pub by: String,
    /// The whole folder.
    pub files: Vec<SourceFile>,
}

/// The answer to `POST /admin/publish`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishAnswer {
    /// Accepted as this version.
    Accepted(Version),
    /// Others came first.
    Conflict {
        /// The version in force.
        version: Version,
        /// What others changed since the base version.
        since: Vec<AuditEntry>,
    },
    /// The files fail these checks; nothing was appended, or no instance will put it in force.
    Rejected(Vec<String>),
    /// The log took nothing; nothing has changed.
    NotAppended,
    /// It can't be told in time whether the change was accepted; sending it again is safe.
    Unknown,
}

/// `GET /admin/configuration`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationPage {
    /// The version in force by the log.
    pub version: Version,
    /// Its files.
    pub files: Vec<SourceFile>,
}

/// `POST /admin/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Who drains.
    #[serde(default)]
    pub by: Option<String>,
    /// The instance; the one that is asked where absent.
    #[serde(default)]
    pub instance: Option<String>,
}

/// Answers what needs the log; none where the path isn't one of these.
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
    let publications = shared.publications().ok_or_else(no_log)?;
    let asked: PublishRequest = read(req).await?;
    // Checked before it goes to the log, so that findings cost no record. The fold checks again.
    let (version, current) = publications
        .with_state(|fold| (fold.version(), fold.config().cloned()))
        .ok_or_else(behind)?;
    // A log that was emptied would number its versions anew, below the one in force, and none of
    // them would ever be put in force. A reader that lags behind its peers has caught up soon.
    if version < shared.active().version {
        return Err(behind());
    }
    if let Err(findings) = check_change(current.as_deref(), &asked.files) {
        let lines = findings.iter().map(ToString::to_string).collect();
        return Ok(json_with(StatusCode::UnprocessableEntity, &PublishAnswer::Rejected(lines)));
    }
    let base = asked.base;
    let change = Change { id: asked.id, base, by: asked.by, files: asked.files };
    let published = publications.publish(&PublicationEntry::Change(change), PATIENCE).await;
    let answer = match published {
        PublishOutcome::NotAppended => PublishAnswer::NotAppended,
        PublishOutcome::Unknown => PublishAnswer::Unknown,
        PublishOutcome::Entry(entry) => match entry.verdict {
            Verdict::Accepted(version) => PublishAnswer::Accepted(version),
            Verdict::Rejected(lines) => PublishAnswer::Rejected(lines),
            Verdict::Conflict(version) => {
                let since =
                    publications.with_state(|fold| fold.accepted_since(base).cloned().collect());
                PublishAnswer::Conflict { version, since: since.unwrap_or_default() }
            }
            Verdict::Noted => {
                return Err(CallError::malformed("the id was used for a note"));
            }
        },
    };
    Ok(json_with(status(&answer), &answer))
}

fn status(answer: &PublishAnswer) -> StatusCode {
    match answer {
        PublishAnswer::Accepted(_) => StatusCode::Ok,
        PublishAnswer::Conflict { .. } => StatusCode::Conflict,
        PublishAnswer::Rejected(_) => StatusCode::UnprocessableEntity,
        PublishAnswer::NotAppended => StatusCode::ServiceUnavailable,
        PublishAnswer::Unknown => StatusCode::GatewayTimeout,
    }
}

async fn drain_instance(shared: &Arc<Shared>, req: &mut Request) -> Result<Response, CallError> {
    let asked: DrainRequest = read(req).await?;
    let instance = shared.owner.instance.as_str();
    if let Some(other) = asked.instance.as_deref().filter(|name| *name != instance) {
        let message = format!("this is {instance} and not {other}; ask {other} itself");
        return Err(CallError::caller(StatusCode::NotFound, "other_instance", message));
    }
    drain::begin(shared);
    if let Some(publications) = shared.publications() {
        let by = asked.by.unwrap_or_else(|| "unknown".to_owned());
        let action = format!("drain {instance}");
        let note = Note { id: Uuid::now_v7().to_string(), by, action };
        publications.publish(&PublicationEntry::Note(note), NOTE_PATIENCE).await;
    }
    Ok(json_with(StatusCode::Ok, &super::status(shared)))
}

fn audit(shared: &Shared, req: &Request) -> Result<Response, CallError> {
    let publications = shared.publications().ok_or_else(no_log)?;
    let last = req.url().query_pairs().find(|(name, _)| name == "last");
    let last = match last {
        None => DEFAULT_ENTRIES,
        Some((_, text)) => {
            text.parse().map_err(|_| CallError::malformed("`last`: expected a number"))?
        }
    };
    let entries = publications.with_state(|fold| {
        let mut entries: Vec<AuditEntry> = fold.audit().rev().take(last).cloned().collect();
        entries.reverse();
        entries
    });
    Ok(json_with(StatusCode::Ok, &entries.ok_or_else(behind)?))
}

fn configuration(shared: &Shared) -> Result<Response, CallError> {
    let publications = shared.publications().ok_or_else(no_log)?;
    let page = publications.with_state(|fold| ConfigurationPage {
        version: fold.version(),
        files: fold.files().to_vec(),
    });
    Ok(json_with(StatusCode::Ok, &page.ok_or_else(behind)?))
}

async fn read<T: DeserializeOwned>(req: &mut Request) -> Result<T, CallError> {
    let mut body = Vec::new();
    let mut limited = req.take_body().take(MAX_CONTENT + 1);
    let read = limited.read_to_end(&mut body).await;
    read.map_err(|_| CallError::malformed("the body can't be read"))?;
    if body.len() as u64 > MAX_CONTENT {
        let message = format!("the body is larger than {MAX_CONTENT} bytes");
        return Err(CallError::caller(StatusCode::PayloadTooLarge, "too_large", message));
    }
    // No body means that nothing is said beyond the path.
    let text = if body.is_empty() { b"{}" } else { body.as_slice() };
    serde_json::from_slice(text).map_err(|e| CallError::malformed(format!("the body: {e}")))
}

fn no_log() -> CallError {
    let message = "this instance has its configuration from a folder and follows no log";
    CallError::caller(StatusCode::NotFound, "no_log", message)
}

fn behind() -> CallError {
    CallError {
        status: StatusCode::ServiceUnavailable,
        code: "log_unavailable",
        message: "this instance has not read the configuration stream to its end".to_owned(),
        ran: policy::RunStatus::No,
        retry_after: Some(Duration::from_secs(1)),
    }
}
