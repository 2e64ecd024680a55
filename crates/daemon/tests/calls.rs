//! Answers to valid requests, complete and streamed.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::Read;

use common::{Daemon, Site, exchange, open_stream, post, prompt};
use policy::TokenRate;
use standin::{
    Engine, EngineConfig,
    client::{Prompt, PromptShape},
    expected_answer,
};

fn engine() -> Engine {
    Engine::start(EngineConfig::default()).unwrap()
}

#[test]
fn a_whole_answer_is_one_document() {
    let engine = engine();
    let daemon = Daemon::start("whole", &Site::of_engines(&[engine.address()]));
    let body = prompt("hello there", 20, false);
    let answer = exchange(daemon.address, &post("/v1/completions", &body));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("x-request-id: "), "{answer}");
    let document: serde_json::Value =
        serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap();
    assert_eq!(document["choices"][0]["text"], expected_answer(body.as_bytes()).unwrap());
    assert_eq!(document["usage"]["completion_tokens"], 20);
}

#[test]
fn tokens_come_as_they_are_generated() {
    let config = EngineConfig { prefill_rate: TokenRate(1e6), ..EngineConfig::default() };
    let engine = Engine::start(config).unwrap();
    let daemon = Daemon::start("stream", &Site::of_engines(&[engine.address()]));
    engine.set_speed(0.01);
    let mut stream = open_stream(daemon.address, &prompt("slow", 40, true));
    // The caller has the first token while the engine is still generating.
    assert!(engine.stats().generated.0 < 40);
    engine.set_speed(1.0);
    let mut rest = String::new();
    stream.read_to_string(&mut rest).unwrap();
    assert!(rest.contains("data: [DONE]"), "{rest}");
    let lines = rest.lines().filter(|line| line.starts_with("data: {")).count();
    assert_eq!(lines, 39);
}

/// A prompt that needs more memory than any engine has runs on one engine with memory reserved on
/// others, and all memory is free afterwards.
#[test]
fn a_prompt_larger_than_one_engine_runs_on_several() {
    let config = EngineConfig { kv_total: policy::Tokens(10_000), ..EngineConfig::default() };
    let engines = [0; 4].map(|_| Engine::start(config.clone()).unwrap());
    let addresses = engines.each_ref().map(Engine::address);
    let daemon = Daemon::start("shards", &Site::of_engines(&addresses));
    let body = prompt(&"word ".repeat(20_000), 5, false);
    let answer = exchange(daemon.address, &post("/v1/completions", &body));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let document: serde_json::Value =
        serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap();
    assert_eq!(document["choices"][0]["text"], expected_answer(body.as_bytes()).unwrap());
    common::wait_until("all memory is free", || engines.iter().all(|e| e.stats().held.0 == 0));
}

#[test]
fn a_chat_is_answered_with_a_message() {
    let engine = engine();
    let daemon = Daemon::start("chat", &Site::of_engines(&[engine.address()]));
    let body = r#"{"model":"m","max_tokens":6,"messages":[{"role":"system","content":"Be brief \u0219i clar."},{"role":"user","content":"Name change?\n"}]}"#;
    let answer = exchange(daemon.address, &post("/v1/chat/completions", body));
    let document: serde_json::Value =
        serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap();
    let message = &document["choices"][0]["message"];
    assert_eq!(message["content"], expected_answer(body.as_bytes()).unwrap());
    assert_eq!(message["role"], "assistant");
    assert_eq!(document["object"], "chat.completion");
}

#[test]
fn a_chat_is_streamed_as_deltas() {
    let engine = engine();
    let daemon = Daemon::start("chat-stream", &Site::of_engines(&[engine.address()]));
    let body = r#"{"model":"m","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"Lumber for a deck"}]}"#;
    let answer = exchange(daemon.address, &post("/v1/chat/completions", body));
    let events = answer.lines().filter_map(|line| line.strip_prefix("data: {"));
    let texts = events.map(|rest| {
        let event: serde_json::Value = serde_json::from_str(&format!("{{{rest}")).unwrap();
        event["choices"][0]["delta"]["content"].as_str().unwrap().to_owned()
    });
    assert_eq!(texts.collect::<String>(), expected_answer(body.as_bytes()).unwrap());
    assert!(answer.contains("data: [DONE]"), "{answer}");
}

#[test]
fn models_are_listed_to_those_with_a_key() {
    let engine = engine();
    let daemon = Daemon::start("models", &Site::of_engines(&[engine.address()]));
    assert!(daemon.get("/v1/models").starts_with("HTTP/1.1 401"));
    let call = format!(
        "GET /v1/models HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {}\r\nconnection: close\r\n\r\n",
        common::KEY
    );
    let answer = exchange(daemon.address, &call);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains(r#""id":"m""#), "{answer}");
    assert!(answer.contains("x-request-id: "), "{answer}");
}

/// Guards against a prompt of a million tokens, several megabytes, that starves short prompts: all
/// get complete answers.
#[test]
fn a_million_tokens_and_short_questions_are_served_together() {
    let config = EngineConfig {
        kv_total: policy::Tokens(3_000_000),
        prefill_rate: TokenRate(1e6),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).unwrap();
    let daemon = Daemon::start("million", &Site::of_engines(&[engine.address()]));
    let address = daemon.address;
    let send_prompt = move |tokens: u64, seed: u64| {
        let shape =
            PromptShape { patience: common::WAIT_TIMEOUT, ..PromptShape::unique(tokens, seed) };
        let prompt = Prompt::new(shape).key(common::KEY);
        smol::spawn(async move { prompt.send(address).await })
    };
    let long = send_prompt(1_000_000, 1);
    // The long prompt is sent first: whether it is admitted after short ones depends on the speeds
    // that the scheduler measured with them, which isn't tested here.
    common::wait_until("the engine has the long prompt", || engine.stats().held.0 > 1_000_000);
    let short: Vec<_> = (2..22).map(|seed| send_prompt(500, seed)).collect();
    for reply in short {
        let reply = smol::block_on(reply);
        assert!(reply.whole, "{reply:?}");
    }
    let reply = smol::block_on(long);
    assert!(reply.whole, "{:?} {:?} {:?}", reply.status, reply.code, reply.error);
}
