//! The admin API of an instance, as the commands use it.

use std::{
    thread,
    time::{Duration, Instant},
};

use daemon::admin::{
    Status,
    publish::{ConfigurationPage, DrainRequest, PublishAnswer, PublishRequest},
};
use error_stack::{Report, ResultExt};
use policy::publication::AuditEntry;
use protocols::http::{HttpAnswer, HttpCall};
use serde::{Deserialize, de::DeserializeOwned};
use smol::block_on;

use crate::{
    error::{CliError, CliResult},
    options::Target,
};

/// Time between two tries where an instance isn't ready to answer.
const RETRY: Duration = Duration::from_millis(200);

/// One instance, asked until its time is over.
#[derive(Debug, Clone, Copy)]
pub struct Instance {
    target: Target,
    end: Instant,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorContent,
}

#[derive(Deserialize)]
struct ErrorContent {
    message: String,
}

impl Instance {
    /// The instance at `target`; its time begins now.
    pub fn new(target: Target) -> Self {
        Instance { target, end: Instant::now() + target.timeout }
    }

    /// How much time is left.
    pub fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }

    /// The status of all instances that the asked one can reach; its own comes first.
    pub fn fleet(&self) -> CliResult<Vec<Status>> {
        self.get("/admin/fleet")
    }

    /// The files in force by the log.
    pub fn configuration(&self) -> CliResult<ConfigurationPage> {
        self.get("/admin/configuration")
    }

    /// The last entries of the audit trail, oldest first.
    pub fn audit(&self, last: usize) -> CliResult<Vec<AuditEntry>> {
        self.get(&format!("/admin/audit?last={last}"))
    }

    /// Publishes a folder.
    pub fn publish(&self, req: &PublishRequest) -> CliResult<PublishAnswer> {
        let call = HttpCall::post_json(self.target.address, "/admin/publish", req, self.left());
        let answer = self.send(call.change_context(CliError::Instance)?)?;
        // Each verdict has its own status, so the body is looked at first.
        match answer.json() {
            Ok(answer) => Ok(answer),
            Err(_) => Err(refused(&answer)),
        }
    }

    /// Takes the instance out of service.
    pub fn drain(&self, req: &DrainRequest) -> CliResult<Status> {
        let call = HttpCall::post_json(self.target.address, "/admin/drain", req, self.left());
        read(&self.send(call.change_context(CliError::Instance)?)?)
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> CliResult<T> {
        loop {
            let answer = self.send(HttpCall::get(self.target.address, path, self.left()))?;
            // An instance that has just started may not have read the log yet.
            if answer.status != 503 || self.left() <= RETRY {
                return read(&answer);
            }
            thread::sleep(RETRY);
        }
    }

    fn send(&self, call: HttpCall<'_>) -> CliResult<HttpAnswer> {
        let answer = block_on(call.send());
        answer.change_context(CliError::Instance).attach(self.target.address.to_string())
    }
}

fn read<T: DeserializeOwned>(answer: &HttpAnswer) -> CliResult<T> {
    if !answer.is_success() {
        return Err(refused(answer));
    }
    answer.json().change_context(CliError::Instance)
}

fn refused(answer: &HttpAnswer) -> Report<CliError> {
    let message = match answer.json::<ErrorBody>() {
        Ok(body) => body.error.message,
        Err(_) => format!("the instance answered with status {}", answer.status),
    };
    CliError::Other(message).into()
}
