//! Measures the cost of relaying in a daemon process: CPU time per request and token, and memory
//! per open stream.
//!
//! Usage: `relay_cost PATH-OF-TREFOILHALLD`. Starts that daemon with one stand-in engine, sends
//! bounded rounds of requests and reads `/proc/PID`. `docs/CAPACITY.md` uses the slopes.

// The results are printed to standard output.
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

/// API key of the only workspace.
const KEY: &str = "relay-cost";
/// Number of requests in each round, and how many of them are in flight at the same time.
const REQUESTS_PER_ROUND: u64 = 1_600;
const MAX_CONCURRENT_REQUESTS: usize = 16;
/// Output lengths of the rounds.
const OUTPUT_TOKENS: [u64; 3] = [1, 64, 256];
/// Prompt lengths of the rounds.
const PROMPT_TOKENS: [u64; 3] = [1_000, 10_000, 100_000];
/// Numbers of concurrent streams in the memory rounds.
const OPEN_STREAMS: [u64; 3] = [100, 400, 1_600];
/// Unit of CPU times in `/proc`: 100 ticks per second on all current Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;
const TIMEOUT: Duration = Duration::from_secs(20);

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
    let mut child = start_daemon(program, &folder, address, engine.address())?;
    wait_ready(address)?;
    println!("prompt output  requests/s  cpu us/request");
    for (prompt, output) in rounds() {
        run_round(address, 200, prompt, output, MAX_CONCURRENT_REQUESTS);
        let (started_at, cpu_before) = (Instant::now(), cpu_seconds(&child)?);
        let answered =
            run_round(address, REQUESTS_PER_ROUND, prompt, output, MAX_CONCURRENT_REQUESTS);
        let rate = answered as f64 / started_at.elapsed().as_secs_f64();
        let cpu_us_per_request = (cpu_seconds(&child)? - cpu_before) / answered as f64 * 1e6;
        println!("{prompt:6} {output:6} {rate:11.0} {cpu_us_per_request:15.0}");
    }
    println!("streams   RSS KB each");
    for count in OPEN_STREAMS {
        let rss_before = resident_kb(&child)?;
        let streams =
            thread::spawn(move || run_round(address, count, 1_000, 20_000, count as usize));
        thread::sleep(Duration::from_secs(2));
        let rss_during = resident_kb(&child)?;
        println!("{count:7} {:13.1}", (rss_during - rss_before) / count as f64);
        streams.join().ok()?;
    }
    child.kill().ok()?;
    child.wait().ok()?;
    fs::remove_dir_all(folder).ok()
}

fn rounds() -> impl Iterator<Item = (u64, u64)> {
    let by_output = OUTPUT_TOKENS.into_iter().map(|output| (PROMPT_TOKENS[0], output));
    by_output.chain(PROMPT_TOKENS.into_iter().skip(1).map(|prompt| (prompt, OUTPUT_TOKENS[0])))
}

fn start_daemon(
    program: &Path,
    folder: &Path,
    listen: SocketAddr,
    engine: SocketAddr,
) -> Option<Child> {
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
    let started_at = Instant::now();
    while started_at.elapsed() < TIMEOUT {
        let call = HttpCall::get(address, "/readyz", TIMEOUT).send();
        if smol::block_on(call).is_ok_and(|answer| answer.is_success()) {
            return Some(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

/// Sends `count` requests, `max_concurrent` at a time. Returns how many got a complete response.
fn run_round(
    address: SocketAddr,
    count: u64,
    prompt: u64,
    output: u64,
    max_concurrent: usize,
) -> u64 {
    let callers = (0..max_concurrent as u64).map(|caller| {
        thread::spawn(move || {
            let seeds = (caller..count).step_by(max_concurrent);
            seeds
                .filter(|seed| {
                    let shape = PromptShape {
                        output,
                        patience: TIMEOUT,
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
    Some((user + system) / TICKS_PER_SECOND)
}

fn resident_kb(child: &Child) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
