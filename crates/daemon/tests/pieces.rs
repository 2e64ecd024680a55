//! Answers whose events are repeated, missing or from another run. The engines are scripted: they
//! send exactly the events that a test lists.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    collections::VecDeque,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use common::{Daemon, Site, exchange, post, prompt};

/// One event of a script.
#[derive(Clone, Copy)]
enum Step {
    /// The token at this offset, under the run's own id.
    Piece(u64),
    /// The token at this offset with the finish reason.
    Last(u64),
    /// The token at this offset, under the id of another run.
    Crossed(u64),
    /// The end mark `[DONE]`.
    Done,
    /// Valid JSON that isn't a token.
    Rubbish,
}

use Step::{Crossed, Done, Last, Piece, Rubbish};

/// The script of two engines: whichever gets the next run answers with the next list of steps. The
/// bodies of all runs are recorded.
#[derive(Clone)]
struct Script {
    runs: Arc<Mutex<VecDeque<Vec<Step>>>>,
    bodies: Arc<Mutex<Vec<String>>>,
}

impl Script {
    fn new(runs: &[&[Step]]) -> Script {
        let runs = runs.iter().map(|run| run.to_vec()).collect();
        Script { runs: Arc::new(Mutex::new(runs)), bodies: Arc::default() }
    }

    /// Starts an engine that runs until the test's process exits.
    fn engine(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let script = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let script = script.clone();
                thread::spawn(move || serve(stream, &script));
            }
        });
        address
    }
}

fn serve(mut stream: TcpStream, script: &Script) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let (mut head, mut length, mut attempt) = (String::new(), 0, String::new());
    loop {
        let start = head.len();
        reader.read_line(&mut head).ok().filter(|len| *len > 0)?;
        let line = &head[start..];
        if let Some((name, value)) = line.split_once(':') {
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().ok()?,
                "x-attempt" => attempt = value.trim().to_owned(),
                _ => {}
            }
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    if head.starts_with("POST /v1/") {
        script.bodies.lock().unwrap().push(String::from_utf8(body).ok()?);
        let steps = script.runs.lock().unwrap().pop_front()?;
        return run(&mut stream, &attempt, &steps);
    }
    let listing = match head.contains("/engine/load") {
        true => {
            r#"{"incarnation":5,"age_ms":0,"kv_total":1000000,"kv_used":0,"waiting_prefill":0,"running":0,"leaving":false}"#
        }
        false => r#"{"incarnation":5,"held":[],"next":0,"events":[]}"#,
    };
    let length = listing.len();
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{listing}").ok()
}

fn run(stream: &mut TcpStream, attempt: &str, steps: &[Step]) -> Option<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\nx-engine-incarnation: 5\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    .ok()?;
    for step in steps {
        let event = event(attempt, *step);
        write!(stream, "{:x}\r\n{event}\r\n", event.len()).ok()?;
    }
    write!(stream, "0\r\n\r\n").ok()
}

fn event(attempt: &str, step: Step) -> String {
    let piece = |attempt: &str, offset: u64, more: &str| {
        format!(
            "id: {attempt}:{offset}\ndata: {{\"choices\":[{{\"text\":\"t{offset} \"{more}}}]}}\n\n"
        )
    };
    match step {
        Piece(offset) => piece(attempt, offset, ""),
        Last(offset) => piece(attempt, offset, ",\"finish_reason\":\"length\""),
        Crossed(offset) => piece("other/1/1/1", offset, ""),
        Done => "data: [DONE]\n\n".to_owned(),
        Rubbish => format!("id: {attempt}:0\ndata: {{}}\n\n"),
    }
}

/// The answer that the caller gets from two such engines, and the bodies of all runs.
fn answer_of(name: &str, runs: &[&[Step]], stream: bool) -> (String, Vec<String>) {
    let script = Script::new(runs);
    let site = Site::of_engines(&[script.engine(), script.engine()]);
    let daemon = Daemon::start(name, &site);
    let answer = exchange(daemon.address, &post("/v1/completions", &prompt("x", 4, stream)));
    let bodies = script.bodies.lock().unwrap().clone();
    (answer, bodies)
}

/// The offset at which a run's body asks to resume.
fn resume_of(body: &str) -> Option<u64> {
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    body["resume"]["from"].as_u64()
}

/// The caller gets the complete answer, and each run after the first resumes at the given offset
/// (0: from the beginning).
macro_rules! whole {
    ($($name:ident: $first:expr $(, $resumed:literal $then:expr)*;)*) => {$(
        #[test]
        fn $name() {
            let runs: &[&[Step]] = &[&$first $(, &$then)*];
            let (answer, bodies) = answer_of(stringify!($name), runs, false);
            assert!(answer.contains(r#""text":"t0 t1 t2 t3 ""#), "{answer} {bodies:?}");
            let resumed: Vec<_> = bodies.iter().skip(1).map(|body| resume_of(body)).collect();
            let expected: &[Option<u64>] = &[$(Some($resumed).filter(|from| *from > 0)),*];
            assert_eq!(resumed, expected);
        }
    )*};
}

whole! {
    repeated_pieces: [Piece(0), Piece(0), Piece(1), Piece(0), Piece(2), Last(3), Done];
    missing_piece: [Piece(0), Piece(2)], 1 [Piece(1), Piece(2), Last(3), Done];
    crossed_piece: [Piece(0), Crossed(1)], 1 [Piece(1), Piece(2), Last(3), Done];
    crossed_from_the_start: [Crossed(0)], 0 [Piece(0), Piece(1), Piece(2), Last(3), Done];
    rubbish: [Piece(0), Piece(1), Rubbish], 2 [Piece(2), Last(3), Done];
    broken_off: [Piece(0), Piece(1)], 2 [Piece(2), Last(3), Done];
    no_end_mark: [Piece(0), Piece(1), Piece(2), Last(3)], 3 [Last(3), Done];
    end_mark_too_early: [Piece(0), Piece(1), Done], 2 [Piece(2), Last(3), Done];
    broken_twice: [Piece(0)], 1 [Piece(1)], 2 [Piece(2), Last(3), Done];
}

/// Guards against a partial answer that looks complete: all runs fail in the same way, and a caller
/// that didn't ask for a stream gets only an error.
#[test]
fn an_answer_that_never_gets_whole_is_an_error() {
    let bad: &[Step] = &[Crossed(0)];
    let (answer, _) = answer_of("never", &[bad; 8], false);
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(answer.contains(r#""error":"#) && !answer.contains(r#""choices""#), "{answer}");
}

/// The same for a streaming caller: the tokens are followed by an error event, and there is no end
/// mark.
#[test]
fn a_stream_that_never_gets_whole_ends_with_an_error() {
    let runs: &[&[Step]] = &[&[Piece(0), Crossed(1)], &[Crossed(1)], &[Crossed(1)], &[Crossed(1)]];
    let (answer, _) = answer_of("never-stream", runs, true);
    assert!(answer.contains(r#""text":"t0 ""#), "{answer}");
    assert!(answer.contains("event: error\n"), "{answer}");
    assert!(!answer.contains("[DONE]"), "{answer}");
}
