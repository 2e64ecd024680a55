//! Callers' everyday: answers whole and streamed, and errors that name what is wrong.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::Read;

use common::{Daemon, Site, exchange, open_stream, post, prompt};
use policy::TokenRate;
use standin::{Engine, EngineConfig, expected_answer};

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
    // The engine is far from done, and the caller has the first token.
    assert!(engine.stats().generated.0 < 40);
    engine.set_speed(1.0);
    let mut rest = String::new();
    stream.read_to_string(&mut rest).unwrap();
    assert!(rest.contains("data: [DONE]"), "{rest}");
    let lines = rest.lines().filter(|line| line.starts_with("data: {")).count();
    assert_eq!(lines, 39);
}

/// A spec binder needs more memory than any one engine has. It runs on one, with its cache spread
/// over others that lent the rest, and everything is free afterwards.
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
