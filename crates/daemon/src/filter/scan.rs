//! Extracts the few members of a completion's body that the daemon needs, without building a JSON
//! tree and without copying the prompt: a million tokens are several megabytes.

use std::fmt;

use policy::{
    Tokens,
    prompt::{HashedPrompt, PromptHasher},
};
use serde::{
    Deserialize, Deserializer,
    de::{Error as _, IgnoredAny, MapAccess, Visitor},
};
use serde_json::value::RawValue;

use crate::filter::text;

/// The members of a completion's body that the daemon evaluates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScannedBody {
    /// The `model` member, not yet validated.
    pub model: String,
    /// The `stream` member; false where absent.
    pub stream: bool,
    /// The `max_tokens` or `max_completion_tokens` member.
    pub max_output: Option<Tokens>,
    /// Estimated size and hashes of the prompt.
    pub prompt: HashedPrompt,
}

/// Scans a JSON body whose prompt is in `prompt_member`.
///
/// # Errors
///
/// A message that names the member, or line and column of the syntax error.
pub fn scan(body: &[u8], prompt_member: PromptMember) -> Result<ScannedBody, String> {
    let members: Members<'_> =
        serde_json::from_slice(body).map_err(|e| format!("the body can't be read: {e}"))?;
    let missing = |name| format!("the body can't be read: member `{name}` is missing");
    let mut hasher = PromptHasher::new();
    match prompt_member {
        PromptMember::Prompt => {
            let prompt = members.prompt.ok_or_else(|| missing("prompt"))?;
            text::hash_string(prompt.get(), &mut hasher)
                .map_err(|e| format!("the body can't be read: member `prompt`: {e}"))?;
        }
        PromptMember::Messages => {
            let messages = members.messages.ok_or_else(|| missing("messages"))?;
            text::hash_messages(messages.get(), &mut hasher)
                .map_err(|e| format!("the body can't be read: member `messages`: {e}"))?;
        }
    }
    Ok(ScannedBody {
        model: members.model.ok_or_else(|| missing("model"))?,
        stream: members.stream.unwrap_or(false),
        max_output: members.max_output.map(Tokens),
        prompt: hasher.finish(),
    })
}

/// The member that holds the prompt, which depends on the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptMember {
    /// `prompt`, a string.
    Prompt,
    /// `messages`, an array of messages.
    Messages,
}

#[derive(Debug, Default)]
struct Members<'a> {
    model: Option<String>,
    stream: Option<bool>,
    max_output: Option<u64>,
    prompt: Option<&'a RawValue>,
    messages: Option<&'a RawValue>,
}

enum MemberName {
    Model,
    Stream,
    MaxOutput,
    Prompt,
    Messages,
    AnswerCount,
    Resume,
    Other,
}

struct MemberNameVisitor;

impl Visitor<'_> for MemberNameVisitor {
    type Value = MemberName;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the name of a member")
    }

    fn visit_str<E>(self, name: &str) -> Result<MemberName, E> {
        Ok(match name {
            "model" => MemberName::Model,
            "stream" => MemberName::Stream,
            "max_tokens" | "max_completion_tokens" => MemberName::MaxOutput,
            "prompt" => MemberName::Prompt,
            "messages" => MemberName::Messages,
            "n" => MemberName::AnswerCount,
            "resume" => MemberName::Resume,
            _ => MemberName::Other,
        })
    }
}

impl<'de> Deserialize<'de> for MemberName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<MemberName, D::Error> {
        deserializer.deserialize_identifier(MemberNameVisitor)
    }
}

struct MembersVisitor;

impl<'de> Visitor<'de> for MembersVisitor {
    type Value = Members<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Members<'de>, A::Error> {
        let mut members = Members::default();
        while let Some(name) = map.next_key()? {
            match name {
                MemberName::Model => read_once(&mut members.model, "model", &mut map)?,
                MemberName::Stream => read_once(&mut members.stream, "stream", &mut map)?,
                MemberName::MaxOutput => {
                    read_once(&mut members.max_output, "max_tokens", &mut map)?
                }
                MemberName::Prompt => read_once(&mut members.prompt, "prompt", &mut map)?,
                MemberName::Messages => read_once(&mut members.messages, "messages", &mut map)?,
                MemberName::AnswerCount => check_answer_count(&mut map)?,
                // The daemon adds this member itself when it resumes a request.
                MemberName::Resume => return Err(A::Error::custom("member `resume` is reserved")),
                MemberName::Other => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(members)
    }
}

/// Reads a member that may be null. Duplicate members are refused, because the engine might use the
/// other one.
fn read_once<'de, T: Deserialize<'de>, A: MapAccess<'de>>(
    slot: &mut Option<T>,
    name: &str,
    map: &mut A,
) -> Result<(), A::Error> {
    if slot.is_some() {
        return Err(A::Error::custom(format!("member `{name}` stands twice")));
    }
    let value = map.next_value::<Option<T>>();
    *slot = value.map_err(|e| A::Error::custom(format!("member `{name}`: {e}")))?;
    Ok(())
}

fn check_answer_count<'de, A: MapAccess<'de>>(map: &mut A) -> Result<(), A::Error> {
    let mut count = None;
    read_once(&mut count, "n", map)?;
    match count {
        None | Some(1u64) => Ok(()),
        Some(_) => Err(A::Error::custom("member `n`: only 1 answer a request is served")),
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(MembersVisitor)
    }
}
