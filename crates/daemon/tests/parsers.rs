//! Property tests of the parsers for callers' input.

use daemon::{
    filter::scan::{PromptMember, scan},
    server::stream::HeadValidator,
};
use policy::{Tokens, prompt::PromptHasher};
use quickcheck::quickcheck;

/// The digest of the decoded texts, hashed directly.
fn digest(texts: &[String]) -> policy::prompt::HashedPrompt {
    let mut hasher = PromptHasher::new();
    texts.iter().for_each(|text| hasher.update(text.as_bytes()));
    hasher.finish()
}

quickcheck! {
    fn any_bytes_are_scanned_or_refused(bytes: Vec<u8>) -> bool {
        let _ = scan(&bytes, PromptMember::Prompt);
        let _ = scan(&bytes, PromptMember::Messages);
        true
    }

    fn any_prompt_is_hashed_as_its_decoded_text(text: String, ascii: bool) -> bool {
        let mut json = serde_json::json!({ "model": "m", "prompt": text }).to_string();
        if ascii {
            json = json.chars().map(escaped).collect();
        }
        scan(json.as_bytes(), PromptMember::Prompt).is_ok_and(|s| s.prompt == digest(&[text]))
    }

    fn any_messages_are_hashed_as_their_decoded_text(texts: Vec<String>, parts: bool) -> bool {
        let messages: Vec<_> = texts
            .iter()
            .map(|text| match parts {
                true => serde_json::json!({ "role": "user", "content": [{ "text": text }] }),
                false => serde_json::json!({ "role": "user", "content": text }),
            })
            .collect();
        let json = serde_json::json!({ "messages": messages, "model": "m" }).to_string();
        scan(json.as_bytes(), PromptMember::Messages).is_ok_and(|s| s.prompt == digest(&texts))
    }

    fn any_cut_of_a_body_is_refused(text: String, at: usize) -> bool {
        let json = serde_json::json!({ "model": "m", "prompt": text }).to_string();
        scan(&json.as_bytes()[..at % json.len()], PromptMember::Prompt).is_err()
    }

    fn a_head_passes_if_it_is_ascii(head: Vec<u8>, step: u8) -> bool {
        let head: Vec<u8> = head.into_iter().filter(|byte| *byte != b'\r').collect();
        let mut validator = HeadValidator::default();
        validator.reset();
        let passed = head.chunks(usize::from(step).max(1)).all(|bytes| validator.check(bytes));
        passed == head.iter().all(|byte| byte.is_ascii() && *byte != 0)
    }

    fn a_body_behind_a_head_passes(body: Vec<u8>, step: u8) -> bool {
        let mut validator = HeadValidator::default();
        validator.reset();
        let all = [b"POST / HTTP/1.1\r\nhost: h\r\n\r\n", &body[..]].concat();
        all.chunks(usize::from(step).max(1)).all(|bytes| validator.check(bytes))
    }
}

/// The character as an ASCII-only JSON encoder writes it.
fn escaped(c: char) -> String {
    if c.is_ascii() {
        return c.to_string();
    }
    c.encode_utf16(&mut [0; 2]).iter().map(|unit| format!("\\u{unit:04x}")).collect()
}

#[test]
fn a_scan_finds_the_members() {
    let body = br#"{"n":1,"model":"m","max_completion_tokens":7,"stream":true,"x":{"model":3},"prompt":"abcd"}"#;
    let found = scan(body, PromptMember::Prompt).unwrap();
    assert_eq!((found.model.as_str(), found.stream), ("m", true));
    assert_eq!((found.max_output, found.prompt.tokens), (Some(Tokens(7)), Tokens(1)));
}

macro_rules! refused {
    ($($name:ident: $body:expr => $($part:expr),+;)*) => {$(
        #[test]
        fn $name() {
            let message = scan($body.as_bytes(), PromptMember::Prompt).unwrap_err();
            $(assert!(message.contains($part), "{message}");)+
        }
    )*};
}

refused! {
    no_object: "[1]" => "expected an object", "line 1 column";
    no_json: "{\"model\" 1}" => "line 1 column 10";
    no_model: r#"{"prompt":"a"}"# => "`model` is missing";
    no_prompt: r#"{"model":"m"}"# => "`prompt` is missing";
    prompt_of_wrong_kind: r#"{"model":"m","prompt":7}"# => "`prompt`", "found a number";
    stream_of_wrong_kind: "{\"model\":\"m\",\n\"stream\":\"yes\"}" => "`stream`", "line 2 column";
    negative_bound: r#"{"model":"m","max_tokens":-1}"# => "`max_tokens`", "-1";
    two_models: r#"{"model":"m","model":"n"}"# => "`model` stands twice";
    several_answers: r#"{"n":2}"# => "`n`";
    own_resume: r#"{"resume":{"from":1}}"# => "`resume` is reserved";
}
