//! What callers send and what they get.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_types::Method;
use policy::Fingerprint;
use protocols::http::{HttpAnswer, HttpCall, HttpError};
use serde::Deserialize;
use smol::Timer;

use crate::{
    client::{CallError, Prompt, PromptShape, Reply},
    scenario::ast::{Send, What},
};

/// How long past its deadline a caller still listens, so that a late answer shows as late.
const LISTEN_ON: Duration = Duration::from_secs(4);
/// How long a caller waits before asking again when no answer tells a time.
const ASK_AGAIN: Duration = Duration::from_millis(150);
/// The longest `Retry-After` that a caller of a scenario heeds.
const LONGEST_WAIT: Duration = Duration::from_millis(1500);
/// Deadline of calls that state none.
pub(super) const DEFAULT_DEADLINE: Duration = Duration::from_secs(20);
/// Text in a prompt that kills the stand-in engines.
pub(super) const POISON: &str = "poisonous-prompt";

/// How one call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// With a whole answer.
    Finished,
    /// With an answer that looked whole and wasn't the right one.
    Wrong,
    /// With `ran: no`.
    NotRun,
    /// With `ran: yes`.
    Ran,
    /// With `ran: unknown`.
    Unknown,
    /// With a broken stream after an answer began, or a status without an error body.
    Broken,
    /// The connection broke or was refused before any answer.
    Unreachable,
    /// The caller hung up.
    HungUp,
    /// Nothing came, long past the deadline.
    Silent,
}

/// One call as its caller saw it.
#[derive(Debug, Clone)]
pub(super) struct Call {
    /// The line of the scenario.
    pub(super) line: usize,
    /// The instance called.
    pub(super) instance: String,
    /// The registration's key.
    pub(super) key: Option<String>,
    /// The body's fingerprint, for prompts.
    pub(super) fingerprint: Option<Fingerprint>,
    /// When it was sent.
    pub(super) sent: Instant,
    /// When it ended.
    pub(super) ended: Instant,
    /// The deadline it stated.
    pub(super) deadline: Duration,
    /// How it ended.
    pub(super) ending: Ending,
    /// Further words of the answer, for reports.
    pub(super) detail: String,
    retry_after: Option<Duration>,
}

impl Call {
    /// Whether the caller has reason to send it again.
    pub(super) fn may_ask_again(&self) -> bool {
        matches!(self.ending, Ending::NotRun | Ending::Unreachable)
    }

    /// Waits as long as the answer says.
    pub(super) async fn wait_to_ask_again(&self) {
        Timer::after(self.retry_after.unwrap_or(ASK_AGAIN).min(LONGEST_WAIT)).await;
    }
}

/// One call to be made.
#[derive(Debug, Clone)]
pub(super) struct Planned {
    pub(super) line: usize,
    pub(super) send: Send,
    /// Which of the step's calls it is.
    pub(super) index: u32,
    pub(super) seed: u64,
    /// Bearer key of the workspace.
    pub(super) bearer: String,
}

impl Planned {
    /// Makes the call at one instance.
    pub(super) async fn make(&self, instance: &str, address: SocketAddr) -> Call {
        let deadline = self.send.deadline.unwrap_or(DEFAULT_DEADLINE);
        let sent = Instant::now();
        let mut call = Call {
            line: self.line,
            instance: instance.to_owned(),
            key: None,
            fingerprint: None,
            sent,
            ended: sent,
            deadline,
            ending: Ending::Silent,
            detail: String::new(),
            retry_after: None,
        };
        match &self.send.what {
            What::Prompt(tokens) => self.prompt(&mut call, *tokens, address).await,
            What::Poison => self.poison(&mut call, address).await,
            What::Register(key) => self.register(&mut call, key.clone(), address).await,
            What::RegisterEach(key) => {
                self.register(&mut call, format!("{key}-{}", self.index), address).await;
            }
            What::Lookup => self.lookup(&mut call, address).await,
        }
        call.ended = Instant::now();
        call
    }

    async fn prompt(&self, call: &mut Call, tokens: u64, address: SocketAddr) {
        let shape = PromptShape {
            output: self.send.output.unwrap_or(16),
            patience: self.patience(call.deadline),
            ..PromptShape::unique(tokens, self.seed)
        };
        self.run_prompt(call, Prompt::new(shape), address).await;
    }

    async fn poison(&self, call: &mut Call, address: SocketAddr) {
        let body = format!(
            r#"{{"model":"m","stream":true,"max_tokens":4,"prompt":"{POISON} and nothing else"}}"#
        );
        let prompt = Prompt::with_body(body.into(), self.patience(call.deadline));
        self.run_prompt(call, prompt, address).await;
    }

    async fn run_prompt(&self, call: &mut Call, prompt: Prompt, address: SocketAddr) {
        let prompt = prompt.key(&self.bearer).header("x-deadline-ms", call.deadline.as_millis());
        call.fingerprint = Some(prompt.fingerprint);
        // Building a million tokens takes its time, which isn't the daemon's.
        call.sent = Instant::now();
        let reply = prompt.send(address).await;
        call.ending = self.ending_of(&reply);
        call.retry_after = reply.retry_after;
        call.detail = format!(
            "status {:?} code {:?} error {:?} tokens {}",
            reply.status,
            reply.code,
            reply.error,
            reply.tokens.len()
        );
    }

    fn ending_of(&self, reply: &Reply) -> Ending {
        if reply.ended {
            return if reply.whole { Ending::Finished } else { Ending::Wrong };
        }
        if let Some(ran) = &reply.ran {
            return ending_of_ran(ran);
        }
        match reply.error {
            Some(CallError::Silent) if self.send.hang_up.is_some() => Ending::HungUp,
            Some(CallError::Silent) => Ending::Silent,
            Some(_) if reply.status.is_none() => Ending::Unreachable,
            _ => Ending::Broken,
        }
    }

    async fn register(&self, call: &mut Call, key: String, address: SocketAddr) {
        call.key = Some(key.clone());
        let headers = vec![("idempotency-key", key.clone())];
        let body = Bytes::from(format!(r#"{{"name":"{key}"}}"#));
        let path = "/services/registru/registrations";
        self.service_call(call, Method::Post, path, headers, body, address).await;
    }

    async fn lookup(&self, call: &mut Call, address: SocketAddr) {
        let path = "/services/registru/status";
        self.service_call(call, Method::Get, path, Vec::new(), Bytes::new(), address).await;
    }

    async fn service_call(
        &self,
        call: &mut Call,
        method: Method,
        path: &str,
        mut headers: Vec<(&str, String)>,
        body: Bytes,
        address: SocketAddr,
    ) {
        headers.push(("authorization", format!("Bearer {}", self.bearer)));
        headers.push(("x-deadline-ms", call.deadline.as_millis().to_string()));
        let timeout = self.patience(call.deadline);
        let answer = HttpCall { address, method, path, headers, body, timeout }.send().await;
        call.retry_after = answer.as_ref().ok().and_then(|answer| answer.retry_after);
        call.ending = ending_of_answer(&answer);
        call.detail = match &answer {
            Ok(answer) => format!("status {}", answer.status),
            Err(err) => err.to_string(),
        };
    }

    fn patience(&self, deadline: Duration) -> Duration {
        self.send.hang_up.unwrap_or(deadline + LISTEN_ON)
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    ran: String,
}

fn ending_of_answer(answer: &Result<HttpAnswer, HttpError>) -> Ending {
    match answer {
        Ok(answer) if answer.is_success() => Ending::Finished,
        Ok(answer) => {
            answer.json::<ErrorBody>().map_or(Ending::Broken, |body| ending_of_ran(&body.error.ran))
        }
        Err(HttpError::NotSent | HttpError::Broken) => Ending::Unreachable,
        Err(HttpError::Silent) => Ending::Silent,
        Err(HttpError::TooLong | HttpError::Unreadable) => Ending::Broken,
    }
}

fn ending_of_ran(ran: &str) -> Ending {
    match ran {
        "no" => Ending::NotRun,
        "yes" => Ending::Ran,
        _ => Ending::Unknown,
    }
}
