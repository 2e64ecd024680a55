//! Measures what relaying costs a daemon process: processor time for each request and token, and
//! memory for each open stream.
//!
//! Usage: `relay_cost PATH-OF-TREFOILHALLD`. Starts that daemon with one stand-in engine, sends
//! bounded rounds of requests and reads `/proc/PID`. `docs/CAPACITY.md` uses the slopes.

// An example prints what it measures.
#![allow(clippy::print_stdout)]

use std::{
    env, fs,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitCode, Stdio},
    thread,
    time::{Duration, Instant},
};

use policy::{TokenRate, Tokens};
use protocols::http::HttpCall;
use serde_json::json;
use sha2::{Digest, Sha256};
use standin::{
    Engine, EngineConfig,
    client::{Prompt, PromptShape},
    free_address,
};

/// Bearer key of the only workspace.
const KEY: &str = "relay-cost";
/// Requests of each round, and how many are under way at once.
const REQUESTS: u64 = 1_600;
const AT_ONCE: usize = 16;
/// Tokens of answer in the rounds.
const OUTPUTS: [u64; 3] = [1, 64, 256];
/// Tokens of prompt in the rounds.
const PROMPTS: [u64; 3] = [1_000, 10_000, 100_000];
/// Streams held open for the memory rounds.
const STREAMS: [u64; 3] = [100, 400, 1_600];
/// Clock ticks a second in `/proc`, on every Linux of today.
const TICKS: f64 = 100.0;
const PATIENCE: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    let Some(program) = env::args().nth(1) else {
        eprintln!("the first argument must be the path of trefoilhalld");
        return ExitCode::FAILURE;
    };
    match measure(Path::new(&program)) {
        Some(()) => ExitCode::SUCCESS,
        None => {
            eprintln!("the daemon at {program} can't be measured");
            ExitCode::FAILURE
        }
    }
}

fn measure(program: &Path) -> Option<()> {
    let engine = Engine::start(EngineConfig {
        prefill_rate: TokenRate(1e9),
        kv_total: Tokens(100_000_000),
        chunk: Tokens(1_000_000),
        step_cost: Duration::from_micros(100),
        decode_cost: Duration::from_micros(1),
        max_waiting: 10_000,
        ..EngineConfig::default()
    })
    .ok()?;
    let address = free_address().ok()?;
    let folder = env::temp_dir().join(format!("trefoilhall-relay-{}", std::process::id()));
    let mut child = start(program, &folder, address, engine.address())?;
    wait_ready(address)?;
    println!("prompt output  requests/s  cpu us/request");
    for (prompt, output) in rounds() {
        round(address, 200, prompt, output, AT_ONCE);
        let (began, before) = (Instant::now(), cpu_seconds(&child)?);
        let done = round(address, REQUESTS, prompt, output, AT_ONCE);
        let rate = done as f64 / began.elapsed().as_secs_f64();
        let each = (cpu_seconds(&child)? - before) / done as f64 * 1e6;
        println!("{prompt:6} {output:6} {rate:11.0} {each:15.0}");
    }
    println!("streams   RSS KB each");
    for count in STREAMS {
        let before = resident_kb(&child)?;
        let streams = thread::spawn(move || round(address, count, 1_000, 20_000, count as usize));
        thread::sleep(Duration::from_secs(2));
        let held = resident_kb(&child)?;
        println!("{count:7} {:13.1}", (held - before) / count as f64);
        streams.join().ok()?;
    }
    child.kill().ok()?;
    child.wait().ok()?;
    fs::remove_dir_all(folder).ok()
}

fn rounds() -> impl Iterator<Item = (u64, u64)> {
    let by_output = OUTPUTS.into_iter().map(|output| (PROMPTS[0], output));
    by_output.chain(PROMPTS.into_iter().skip(1).map(|prompt| (prompt, OUTPUTS[0])))
}

fn start(program: &Path, folder: &Path, listen: SocketAddr, engine: SocketAddr) -> Option<Child> {
    let key: String = Sha256::digest(KEY).iter().map(|byte| format!("{byte:02x}")).collect();
    let content = json!({
        "settings": {
            "instance": "entry-1", "data_centre": "a", "listen": listen,
            "peer_listen": free_address().ok()?, "threads": 4,
        },
        "data_centres": { "a": { "region": "r" } },
        "workspaces": { "w": { "key_sha256": [key] } },
        "endpoints": { "e1": { "group": "g", "address": engine, "data_centre": "a" } },
        "deployments": { "d": { "group": "g", "kind": "engine", "models": ["m"] } },
    });
    fs::create_dir_all(folder).ok()?;
    fs::write(folder.join("10.json"), content.to_string()).ok()?;
    let mut command = Command::new(program);
    command.arg("--config").arg(folder).stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().ok()
}

fn wait_ready(address: SocketAddr) -> Option<()> {
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        let call = HttpCall::get(address, "/readyz", PATIENCE).send();
        if smol::block_on(call).is_ok_and(|answer| answer.is_success()) {
            return Some(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

/// Sends `count` requests, `at_once` at a time; how many were answered whole.
fn round(address: SocketAddr, count: u64, prompt: u64, output: u64, at_once: usize) -> u64 {
    let callers = (0..at_once as u64).map(|caller| {
        thread::spawn(move || {
            let mine = (caller..count).step_by(at_once);
            mine.filter(|seed| {
                let shape = PromptShape {
                    output,
                    patience: PATIENCE,
                    ..PromptShape::unique(prompt, *seed)
                };
                smol::block_on(Prompt::new(shape).key(KEY).send(address)).whole
            })
            .count() as u64
        })
    });
    let callers: Vec<_> = callers.collect();
    callers.into_iter().map(|caller| caller.join().unwrap_or(0)).sum()
}

fn cpu_seconds(child: &Child) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / TICKS)
}

fn resident_kb(child: &Child) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
