//! Assembles the JSON answer for callers that didn't ask for a stream.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use protocols::engine::{
    piece::{Piece, Usage},
    wire::Resume,
};
use serde::Serialize;

use crate::filter::{CompleteAnswer, ModelCallDetails, parse::CHAT_PATH};

/// The output generated so far, over all attempts.
#[derive(Debug, Default)]
pub(super) struct GeneratedOutput {
    /// The concatenated text of all tokens.
    pub(super) text: String,
    /// Offset of the next token, which is the number of tokens received.
    pub(super) offset: u64,
    /// Byte offset in `text` at which the last token's text starts.
    pub(super) last_token_start: usize,
    /// The engine's reason for the end of generation, such as `length`, once received.
    pub(super) finish_reason: Option<String>,
    /// The engine's token counts, once received.
    pub(super) usage: Option<Usage>,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Counts,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Counts {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl GeneratedOutput {
    /// Appends one token.
    pub(super) fn push(&mut self, piece: Piece) {
        self.offset += 1;
        self.last_token_start = self.text.len();
        self.text.push_str(&piece.text);
        self.usage = piece.usage.or(self.usage);
        self.finish_reason = piece.finish_reason.or(self.finish_reason.take());
    }

    /// The position at which a further attempt resumes; `None` to start from the beginning. Where
    /// all tokens have been received and only the end mark is missing, the last token is requested
    /// again, because an engine that has nothing left to generate may refuse the request.
    pub(super) fn resume(&self) -> Option<Resume> {
        match (self.offset, &self.finish_reason) {
            (0, _) => None,
            (1, Some(_)) => None,
            (offset, Some(_)) => Some(Resume {
                from: offset - 1,
                text: self.text[..self.last_token_start].to_owned(),
            }),
            (offset, None) => Some(Resume { from: offset, text: self.text.clone() }),
        }
    }

    /// The answer as one JSON document, in the format of the API that was called.
    pub(super) fn assemble(&self, id: &str, details: &ModelCallDetails) -> CompleteAnswer {
        let chat = details.path == CHAT_PATH;
        let text = self.text.as_str();
        let message = chat.then_some(Message { role: "assistant", content: text });
        let choice = Choice {
            index: 0,
            text: (!chat).then_some(text),
            message,
            finish_reason: self.finish_reason.as_deref(),
        };
        let prompt_tokens =
            self.usage.map_or(details.scan.prompt.tokens.0, |usage| usage.prompt_tokens);
        let completion = Completion {
            id,
            object: if chat { "chat.completion" } else { "text_completion" },
            created: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs(),
            model: details.model.as_str(),
            choices: [choice],
            usage: Counts {
                prompt_tokens,
                completion_tokens: self.offset,
                total_tokens: prompt_tokens + self.offset,
            },
        };
        // Serializing plain strings and numbers can't fail.
        let body = serde_json::to_vec(&completion).unwrap_or_default();
        CompleteAnswer {
            status: 200,
            content_type: None,
            headers: Vec::new(),
            body: Bytes::from(body),
        }
    }
}
