//! The content of one event of a streamed response.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// The content of one event, which is usually one token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// The text it adds.
    pub text: String,
    /// Why generation ended, on the last piece.
    pub finish_reason: Option<String>,
    /// The engine's token counts, on the last piece.
    pub usage: Option<Usage>,
}

/// The engine's token counts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens, over all attempts.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Number of prompt tokens that were in the prefix cache.
    #[serde(default)]
    pub cached_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    delta: Option<Delta<'a>>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

impl Piece {
    /// Parses an event's data; `None` if it doesn't match the protocol.
    pub fn read(data: &[u8]) -> Option<Piece> {
        let mut chunk: Chunk<'_> = serde_json::from_slice(data).ok()?;
        let choice = chunk.choices.pop()?;
        let content = choice.delta.and_then(|delta| delta.content);
        let text = choice.text.or(content).unwrap_or_default().into_owned();
        Some(Piece { text, finish_reason: choice.finish_reason, usage: chunk.usage })
    }
}
