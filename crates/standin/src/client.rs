//! A caller: sends prompts, reads the answer as it comes, and knows what the whole answer must be.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::{AsyncBufReadExt, AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, Url};
use policy::{Fingerprint, Tokens, prompt::BYTES_PER_TOKEN};
use protocols::engine::wire::DONE;
use serde::Deserialize;
use smol::{Timer, net::TcpStream};

use crate::engine::{Estimate, estimate, expected_answer};

/// The longest error body that is read.
const MAX_ERROR: u64 = 64 << 10;

/// A prompt to send.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// The JSON body.
    pub body: Bytes,
    /// Its estimated size.
    pub tokens: Tokens,
    /// Hash of its text, by which engines count its runs.
    pub fingerprint: Fingerprint,
    /// The whole answer to it.
    pub expected: String,
    /// Bearer key of the workspace, if any.
    pub key: Option<String>,
    /// Further headers.
    pub headers: Vec<Header>,
    /// How long the caller waits for the end of the answer.
    pub patience: Duration,
}

/// A header of a call.
#[derive(Debug, Clone)]
pub struct Header {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub value: String,
}

impl Prompt {
    /// A prompt with this JSON body. The whole answer is computed here and not while others are
    /// being timed.
    pub fn with_body(body: Bytes, patience: Duration) -> Prompt {
        let expected = expected_answer(&body).unwrap_or_default();
        let Estimate { tokens, fingerprint } = estimate(&body);
        Prompt { body, tokens, fingerprint, expected, key: None, headers: Vec::new(), patience }
    }

    /// A prompt of the given shape.
    pub fn new(shape: PromptShape) -> Prompt {
        let mut text = String::with_capacity(shape.tokens.0 as usize * BYTES_PER_TOKEN);
        let shared = shape.shared.0 as usize * BYTES_PER_TOKEN;
        fill(&mut text, shared, shape.group);
        fill(&mut text, shape.tokens.0 as usize * BYTES_PER_TOKEN, !shape.seed);
        let model = shape.model;
        let output = shape.output;
        let body = format!(
            r#"{{"model":"{model}","stream":true,"max_tokens":{output},"prompt":"{text}"}}"#
        );
        Prompt::with_body(body.into(), shape.patience)
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Prompt {
        self.headers.push(Header { name, value: value.to_string() });
        self
    }

    /// Sends it as the workspace with this bearer key.
    pub fn key(mut self, key: &str) -> Prompt {
        self.key = Some(key.to_owned());
        self
    }

    /// Sends it and reads the answer to its end.
    pub async fn send(&self, address: SocketAddr) -> Reply {
        let started = Instant::now();
        let mut reply = Reply::default();
        let exchange = async { self.exchange(address, started, &mut reply).await };
        let limit = async {
            Timer::after(self.patience).await;
            Some(CallError::Silent)
        };
        let error = exchange.or(limit).await;
        reply.error = error;
        reply.total = started.elapsed();
        reply.whole = reply.ended && reply.status == Some(200) && self.expected == reply.text;
        reply
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        started: Instant,
        reply: &mut Reply,
    ) -> Option<CallError> {
        let Ok(stream) = TcpStream::connect(address).await else {
            return Some(CallError::NotConnected);
        };
        let _ = stream.set_nodelay(true);
        let Ok(url) = Url::parse(&format!("http://{address}/v1/completions")) else {
            return Some(CallError::NotConnected);
        };
        let mut req = Request::new(Method::Post, url);
        req.insert_header("connection", "close");
        req.insert_header("content-type", "application/json");
        if let Some(key) = &self.key {
            req.insert_header("authorization", format!("Bearer {key}"));
        }
        for header in &self.headers {
            req.insert_header(header.name, &header.value);
        }
        req.set_body(&self.body[..]);
        let Ok(resp) = async_h1::connect(stream, req).await else {
            return Some(CallError::Broken);
        };
        reply.status = Some(u16::from(resp.status()));
        match resp.status().is_success() {
            true => read_events(resp, started, reply).await,
            false => read_refusal(resp, reply).await,
        }
    }
}

/// What [`Prompt::new`] builds.
#[derive(Debug, Clone)]
pub struct PromptShape {
    /// The model to name.
    pub model: String,
    /// The prompt's size.
    pub tokens: Tokens,
    /// The tokens to generate.
    pub output: u64,
    /// Makes the text its own.
    pub seed: u64,
    /// How many leading tokens are shared within the group.
    pub shared: Tokens,
    /// The group.
    pub group: u64,
    /// How long the caller waits.
    pub patience: Duration,
}

impl PromptShape {
    /// A prompt that shares nothing, with 16 tokens of answer.
    pub fn unique(tokens: u64, seed: u64) -> PromptShape {
        PromptShape {
            model: "m".to_owned(),
            tokens: Tokens(tokens),
            output: 16,
            seed,
            shared: Tokens::ZERO,
            group: 0,
            patience: Duration::from_secs(60),
        }
    }
}

/// Why a call ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection: nothing was sent.
    NotConnected,
    /// The connection broke.
    Broken,
    /// The caller's patience ended.
    Silent,
}

/// What a caller got.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// The status, if any answer began.
    pub status: Option<u16>,
    /// From the call to the first token.
    pub first_token: Option<Duration>,
    /// From the call to each token.
    pub tokens: Vec<Duration>,
    /// From the call to its end.
    pub total: Duration,
    /// The generated text.
    pub text: String,
    /// Whether the end mark came.
    pub ended: bool,
    /// Whether the end mark came and the text is exactly that of the body that was sent.
    pub whole: bool,
    /// Whether a refusal or failure says that the request was run: `no`, `yes` or `unknown`.
    pub ran: Option<String>,
    /// The error's code.
    pub code: Option<String>,
    /// When to try again: the body's figure, else the header's whole seconds.
    pub retry_after: Option<Duration>,
    /// What broke, if anything.
    pub error: Option<CallError>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    #[serde(default)]
    code: Option<String>,
    #[serde(default)]
    ran: Option<String>,
    #[serde(default)]
    retry_after: Option<f64>,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    delta: Delta,
}

#[derive(Deserialize, Default)]
struct Delta {
    #[serde(default)]
    content: String,
}

async fn read_events(mut resp: Response, started: Instant, reply: &mut Reply) -> Option<CallError> {
    let mut lines = resp.take_body().lines();
    while let Some(line) = futures_lite::StreamExt::next(&mut lines).await {
        let Ok(line) = line else { return Some(CallError::Broken) };
        let Some(data) = line.strip_prefix("data:").map(str::trim) else { continue };
        if data == DONE {
            reply.ended = true;
            return None;
        }
        if let Ok(chunk) = serde_json::from_str::<Chunk>(data) {
            take_chunk(chunk, started, reply);
        } else {
            take_error(data.as_bytes(), reply);
        }
    }
    Some(CallError::Broken)
}

fn take_chunk(chunk: Chunk, started: Instant, reply: &mut Reply) {
    let Some(choice) = chunk.choices.first() else { return };
    if choice.text.is_empty() && choice.delta.content.is_empty() {
        return;
    }
    let at = started.elapsed();
    reply.first_token.get_or_insert(at);
    reply.tokens.push(at);
    reply.text.push_str(&choice.text);
    reply.text.push_str(&choice.delta.content);
}

fn take_error(body: &[u8], reply: &mut Reply) {
    if let Ok(body) = serde_json::from_slice::<ErrorBody>(body) {
        reply.ran = body.error.ran;
        reply.code = body.error.code;
        let wait = body.error.retry_after.and_then(|wait| Duration::try_from_secs_f64(wait).ok());
        reply.retry_after = wait.or(reply.retry_after);
    }
}

async fn read_refusal(mut resp: Response, reply: &mut Reply) -> Option<CallError> {
    let seconds = resp.header("retry-after").and_then(|v| v.last().as_str().parse().ok());
    reply.retry_after = seconds.map(Duration::from_secs);
    let mut body = Vec::new();
    let read = resp.take_body().take(MAX_ERROR).read_to_end(&mut body).await;
    take_error(&body, reply);
    read.err().map(|_| CallError::Broken)
}

/// Extends `text` to `len` bytes of words that depend on `seed` and the place.
fn fill(text: &mut String, len: usize, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    while text.len() < len {
        let word = format!("{:07x} ", random.u32(..) >> 4);
        let room = len - text.len();
        text.push_str(&word[..room.min(word.len())]);
    }
}
