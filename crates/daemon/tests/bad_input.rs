//! Malformed requests get a 4xx that names the fault and states that nothing ran, and the daemon
//! continues to serve.

#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, KEY, Site, exchange, post, prompt};
use standin::{Engine, EngineConfig};

/// Sends `text` and returns the answer, after checking that the daemon still serves.
fn refusal(name: &str, text: &str) -> String {
    let engine = Engine::start(EngineConfig::default()).unwrap();
    let site = Site::of_engines(&[engine.address()]);
    let daemon = Daemon::start_with(name, &site, r#""max_body":1000"#);
    let answer = exchange(daemon.address, text);
    let good = exchange(daemon.address, &post("/v1/completions", &prompt("x", 2, false)));
    assert!(good.starts_with("HTTP/1.1 200"), "{good}");
    assert_eq!(engine.stats().started, 1);
    answer
}

macro_rules! refused {
    ($($name:ident: $text:expr => $status:literal $($part:literal)+;)*) => {$(
        #[test]
        fn $name() {
            let answer = refusal(stringify!($name), &$text);
            let expected = concat!("HTTP/1.1 ", $status);
            assert!(answer.starts_with(expected), "{answer}");
            assert!(answer.contains(r#""ran":"no""#), "{answer}");
            assert!(answer.contains("\r\nx-request-id: "), "{answer}");
            $(assert!(answer.contains($part), "{answer}");)+
        }
    )*};
}

fn with_header(header: &str) -> String {
    post("/v1/completions", &prompt("x", 2, false)).replacen("host: h", header, 1)
}

refused! {
    no_http: "rubbish\r\n\r\n" => 400 "head of the request";
    no_host: "GET / HTTP/1.1\r\n\r\n" => 400 "`Host` header";
    old_http: "GET / HTTP/1.0\r\nhost: h\r\n\r\n" => 400 "HTTP/1.1";
    letter_beyond_ascii: with_header("host: h\r\nx-name: Brașov") => 400 "line 3" "`x-name`";
    long_head: with_header(&format!("host: h\r\nx-long: {}", "a".repeat(9_000))) => 400 "8 KB";
    bad_length: post("/v1/completions", "{}").replacen("h: 2", "h: many", 1) => 400 "head of the request";
    two_lengths: with_header("host: h\r\ncontent-length: 1") => 400 "`content-length` stands twice";
    strange_encoding: post("/v1/completions", "{}")
        .replacen("content-length: 2", "transfer-encoding: gzip, chunked", 1)
        => 400 "`transfer-encoding`";
    two_framings: with_header("host: h\r\ntransfer-encoding: chunked") => 400 "head of the request";
    bad_deadline: with_header("host: h\r\nx-deadline-ms: soon") => 400 "`x-deadline-ms`" "soon";
    zero_deadline: with_header("host: h\r\nx-deadline-ms: 0") => 400 "`x-deadline-ms`";
    long_key: with_header(&format!("host: h\r\nidempotency-key: {}", "k".repeat(300)))
        => 400 "`idempotency-key`" "300";
    no_key: post("/v1/completions", "{}").replace(KEY, "") => 401 "`authorization`";
    wrong_key: post("/v1/completions", "{}").replace(KEY, "other") => 401 "key is unknown";
    unknown_path: post("/v2/nothing", "{}") => 404 "/v2/nothing";
    wrong_method: post("/v1/completions", "{}").replacen("POST", "PUT", 1) => 405 "PUT";
    no_json: post("/v1/completions", "{\"model\":") => 400 "line 1 column 9";
    wrong_member: post("/v1/completions", r#"{"model":"m","stream":1}"#) => 400 "`stream`";
    unknown_model: post("/v1/completions", r#"{"model":"other","prompt":"x"}"#) => 404 "`other`";
    bad_model: post("/v1/completions", r#"{"model":"a b","prompt":"x"}"#) => 400 "`model`";
    unknown_service: post("/services/none/x", "") => 404 "`none`";
    bad_service: post("/services/a%20b/x", "") => 400 "path";
    large_body: post("/v1/completions", &prompt(&"x".repeat(2_000), 1, false))
        => 413 "more than 1000 bytes";
    broken_framing: with_header("host: h\r\ntransfer-encoding: chunked")
        .replacen("content-length: ", "x-was: ", 1) => 400 "body broke off";
}
