//! Hashes the decoded text of raw JSON strings incrementally, so that a prompt of several megabytes
//! is never copied, even where it contains escapes.

use policy::prompt::PromptHasher;
use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, Visitor},
};
use serde_json::value::RawValue;

/// Hashes the decoded text of a raw JSON string.
///
/// # Errors
///
/// A message that names the type found instead of a string, or the malformed escape.
pub(super) fn hash_string(raw: &str, hasher: &mut PromptHasher) -> Result<(), String> {
    let inner = raw.strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
    let mut rest = inner.ok_or_else(|| format!("expected a string, found {}", json_type(raw)))?;
    while let Some(at) = rest.find('\\') {
        hasher.update(&rest.as_bytes()[..at]);
        rest = hash_escape(&rest[at + 1..], hasher)?;
    }
    hasher.update(rest.as_bytes());
    Ok(())
}

/// Hashes the character that an escape stands for and returns the text after the escape. `rest`
/// starts behind the backslash.
fn hash_escape<'a>(rest: &'a str, hasher: &mut PromptHasher) -> Result<&'a str, String> {
    let truncated = || "an escape breaks off".to_owned();
    let unescaped = match rest.as_bytes().first().ok_or_else(truncated)? {
        b'u' => return hash_unicode_escape(rest, hasher),
        b'b' => 8,
        b'f' => 12,
        b'n' => b'\n',
        b'r' => b'\r',
        b't' => b'\t',
        other => *other,
    };
    hasher.update(&[unescaped]);
    rest.get(1..).ok_or_else(truncated)
}

/// Hashes `uXXXX`, or a surrogate pair written as two such escapes. Unpaired surrogates are hashed
/// as the replacement character.
fn hash_unicode_escape<'a>(rest: &'a str, hasher: &mut PromptHasher) -> Result<&'a str, String> {
    let unit = |text: &str| text.get(1..5).and_then(|hex| u16::from_str_radix(hex, 16).ok());
    let first = unit(rest).ok_or("an escape isn't four hexadecimal digits")?;
    let mut remaining = &rest[5..];
    let second = remaining.strip_prefix('\\').filter(|text| text.starts_with('u')).and_then(unit);
    let mut c = char::decode_utf16([first]).next().and_then(Result::ok);
    if c.is_none()
        && let Some(second) = second
    {
        c = char::decode_utf16([first, second]).next().and_then(Result::ok);
        if c.is_some() {
            remaining = &remaining[6..];
        }
    }
    let c = c.unwrap_or(char::REPLACEMENT_CHARACTER);
    hasher.update(c.encode_utf8(&mut [0; 4]).as_bytes());
    Ok(remaining)
}

fn json_type(raw: &str) -> &'static str {
    match raw.as_bytes().first() {
        Some(b'"') => "a string",
        Some(b'[') => "an array",
        Some(b'{') => "an object",
        Some(b't' | b'f') => "a boolean",
        Some(b'n') => "null",
        _ => "a number",
    }
}

/// Hashes the text of every message of a raw JSON array.
///
/// # Errors
///
/// A message that gives the index of the malformed message and the reason.
pub(super) fn hash_messages(raw: &str, hasher: &mut PromptHasher) -> Result<(), String> {
    let messages: Vec<MessageContent<'_>> = serde_json::from_str(raw).map_err(|e| e.to_string())?;
    for (index, message) in messages.iter().enumerate() {
        hash_content(message, hasher).map_err(|e| format!("content of message {index}: {e}"))?;
    }
    Ok(())
}

fn hash_content(message: &MessageContent<'_>, hasher: &mut PromptHasher) -> Result<(), String> {
    let Some(content) = message.content else { return Ok(()) };
    if !content.get().starts_with('[') {
        return hash_string(content.get(), hasher);
    }
    let parts: Vec<MessageContent<'_>> =
        serde_json::from_str(content.get()).map_err(|e| e.to_string())?;
    // Only text parts are counted; the engine counts others, such as images.
    parts.iter().filter_map(|part| part.text).try_for_each(|text| hash_string(text.get(), hasher))
}

/// The raw text of a message (`content`) or of a content part (`text`).
#[derive(Default)]
struct MessageContent<'a> {
    content: Option<&'a RawValue>,
    text: Option<&'a RawValue>,
}

struct MessageContentVisitor;

impl<'de> Visitor<'de> for MessageContentVisitor {
    type Value = MessageContent<'de>;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<MessageContent<'de>, A::Error> {
        let mut content = MessageContent::default();
        while let Some(name) = map.next_key::<std::borrow::Cow<'_, str>>()? {
            match &*name {
                "content" => content.content = map.next_value()?,
                "text" => content.text = map.next_value()?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(content)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for MessageContent<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(MessageContentVisitor)
    }
}
