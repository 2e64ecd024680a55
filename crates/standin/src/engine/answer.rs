//! What a stand-in engine answers: token `i` of a prompt is a function of the prompt's text and
//! `i`, so that whoever knows the body can recompute the whole answer.

use policy::{
    Fingerprint, Tokens,
    prompt::{HashedPrompt, PromptHasher},
};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use protocols::engine::wire::Resume;

/// Tokens generated where the body states no bound.
pub(crate) const DEFAULT_OUTPUT: u64 = 16;

/// The body of a run, as far as the stand-in reads it.
#[derive(Debug, Deserialize)]
pub(crate) struct RunBody {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    pub(crate) resume: Option<Resume>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl RunBody {
    pub(crate) fn parse(body: &[u8]) -> Result<RunBody, serde_json::Error> {
        serde_json::from_slice(body)
    }

    /// How many tokens the whole answer has.
    pub(crate) fn output(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_OUTPUT).max(1)
    }

    pub(crate) fn digest(&self) -> HashedPrompt {
        let mut hasher = PromptHasher::new();
        hasher.update(self.prompt.as_bytes());
        for message in &self.messages {
            hasher.update(message.content.as_bytes());
        }
        hasher.finish()
    }

    pub(crate) fn holds(&self, marker: &str) -> bool {
        self.prompt.contains(marker) || self.messages.iter().any(|m| m.content.contains(marker))
    }
}

/// Token `i` of the answer to a prompt.
pub fn token(fingerprint: Fingerprint, i: u64) -> String {
    let hash = xxh3_64_with_seed(&fingerprint.0.to_le_bytes(), i);
    format!("{:05x} ", hash & 0xf_ffff)
}

/// Tokens `0..n` of the answer to a prompt.
pub fn text(fingerprint: Fingerprint, n: u64) -> String {
    (0..n).map(|i| token(fingerprint, i)).collect()
}

/// The whole answer to a body, or nothing where the body can't be read.
pub fn expected_answer(body: &[u8]) -> Option<String> {
    let body = RunBody::parse(body).ok()?;
    Some(text(body.digest().fingerprint, body.output()))
}

/// What can be told of a body before it is sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    /// The size of its prompt.
    pub tokens: Tokens,
    /// Hash of its prompt's text.
    pub fingerprint: Fingerprint,
}

/// Reads a body; all zero where it can't be read.
pub fn estimate(body: &[u8]) -> Estimate {
    let Ok(body) = RunBody::parse(body) else { return Estimate::default() };
    let digest = body.digest();
    Estimate { tokens: digest.tokens, fingerprint: digest.fingerprint }
}
