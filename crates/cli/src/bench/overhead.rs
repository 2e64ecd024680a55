//! What the daemon adds to a direct call to the engine: delay to first token, requests a second,
//! and memory for each open stream. Callers, daemon and engines share this process and its cores.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use policy::{
    TokenRate, Tokens,
    config::{PolicyName, Weights},
};
use smol::{Executor, Task, channel::bounded};
use standin::{
    EngineConfig,
    client::{Prompt, PromptShape},
};

use crate::{
    bench::result::quantile,
    error::{CliError, CliResult},
    fleet::{Fleet, FleetPlan, MODEL, workspace_key},
    output,
};

/// Calls of each kind; with a thousand, ten lie above the 99th percentile.
const CALLS: u64 = 1_000;
/// Calls at once while requests a second are counted.
const LEVELS: [usize; 3] = [1, 100, 2_000];
/// How long requests are counted at each level.
const SPAN: Duration = Duration::from_secs(3);
/// Threads of callers.
const THREADS: usize = 3;
/// How long opening all streams of a level may take.
const OPEN: Duration = Duration::from_secs(90);
/// How long memory is left to settle before it is read.
const SETTLE: Duration = Duration::from_millis(300);
/// No call here takes this long.
const PATIENCE: Duration = Duration::from_secs(60);
/// Tokens of a stream that is held open, and the deadline that leaves it time for them.
const HELD_OUTPUT: u64 = 4_000;
const HELD_DEADLINE_MS: u64 = 600_000;
/// Speed of the engine while memory is read, so that events don't pile up meanwhile.
const READING_SPEED: f64 = 0.05;
/// Streams open when memory is read. One stream alone uses what the allocator and the instance's
/// tables had spare, so each level but the first is told by what it adds to the one before.
const MEMORY_LEVELS: [usize; 3] = [1, 100, 2_000];

/// Measures and prints.
pub(super) fn run() -> CliResult<()> {
    delay()?;
    throughput()?;
    memory()
}

/// An engine that takes next to no time itself.
fn quick() -> EngineConfig {
    EngineConfig {
        kv_total: Tokens(1_000_000_000),
        prefill_rate: TokenRate(50_000_000.0),
        chunk: Tokens(1_000_000),
        step_cost: Duration::from_micros(200),
        decode_cost: Duration::ZERO,
        max_waiting: 10_000,
        ..EngineConfig::default()
    }
}

/// An engine whose streams stay open long enough: a stream alone for a second, two thousand for
/// minutes.
fn slow() -> EngineConfig {
    EngineConfig { decode_cost: Duration::from_micros(20), ..quick() }
}

fn fleet(engine: EngineConfig, engines: usize) -> CliResult<Fleet> {
    Fleet::start(&FleetPlan {
        engines: vec![engine; engines],
        instances: 1,
        threads: 4,
        workspaces: 1,
        policy: PolicyName::Trefoilhall,
        weights: Weights::default(),
    })
}

fn prompt(seed: u64, output: u64) -> Prompt {
    let model = MODEL.to_owned();
    let shape =
        PromptShape { model, output, patience: PATIENCE, ..PromptShape::unique(1_000, seed) };
    Prompt::new(shape).key(&workspace_key(0))
}

/// Direct calls and calls through the daemon in turn, so that both meet the same noise.
fn delay() -> CliResult<()> {
    let fleet = fleet(quick(), 1)?;
    let (direct, daemon) = (fleet.engines[0].address(), fleet.entries()[0]);
    let (mut direct_ms, mut daemon_ms) = (Vec::new(), Vec::new());
    for seed in 0..CALLS {
        direct_ms.push(first_token(direct, 2 * seed)?);
        daemon_ms.push(first_token(daemon, 2 * seed + 1)?);
    }
    fleet.close();
    direct_ms.sort_by(f64::total_cmp);
    daemon_ms.sort_by(f64::total_cmp);
    let row = |name: &str, share| {
        let (direct, daemon) = (quantile(&direct_ms, share), quantile(&daemon_ms, share));
        let figures = [direct, daemon, daemon - direct].map(|ms| format!("{ms:.3}"));
        let [direct, daemon, added] = figures;
        [name.to_owned(), direct, daemon, added]
    };
    let head = ["first token, ms", "direct", "daemon", "added"];
    output::print_table(head, vec![row("median", 0.5), row("p99", 0.99)])
}

fn first_token(address: SocketAddr, seed: u64) -> CliResult<f64> {
    let reply = smol::block_on(prompt(seed, 4).send(address));
    let whole = reply.first_token.filter(|_| reply.whole);
    let span = whole.ok_or_else(|| failed("a call got no whole answer"))?;
    Ok(span.as_secs_f64() * 1e3)
}

/// As many calls at once as the level says, each followed by the next, direct and through the
/// daemon.
fn throughput() -> CliResult<()> {
    let mut rows = Vec::new();
    for level in LEVELS {
        let fleet = fleet(quick(), 4)?;
        let engines: Vec<_> = fleet.engines.iter().map(|engine| engine.address()).collect();
        let direct = rate(&engines, level);
        let daemon = rate(&fleet.entries(), level);
        fleet.close();
        let figure = |rate: Rate| {
            let (failed, unconnected) = (rate.failed, rate.unconnected);
            format!("{:.0} ({failed} failed, {unconnected} unanswered)", rate.per_second)
        };
        rows.push([level.to_string(), figure(direct), figure(daemon)]);
    }
    output::print_table(["streams", "requests/s direct", "requests/s daemon"], rows)
}

/// Calls answered.
#[derive(Debug, Clone, Copy)]
struct Rate {
    per_second: f64,
    /// Calls answered, but not with a whole answer.
    failed: u64,
    /// Calls without any answer.
    unconnected: u64,
}

fn rate(addresses: &[SocketAddr], level: usize) -> Rate {
    let answered = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let unconnected = Arc::new(AtomicU64::new(0));
    let addresses: Arc<[SocketAddr]> = addresses.into();
    let start = Instant::now();
    with_callers(|ex| {
        let tasks: Vec<Task<()>> = (0..level)
            .map(|worker| {
                let (answered, failed) = (answered.clone(), failed.clone());
                let unconnected = unconnected.clone();
                let address = addresses[worker % addresses.len()];
                ex.spawn(async move {
                    let prompt = prompt(worker as u64, 16);
                    while start.elapsed() < SPAN {
                        let reply = prompt.send(address).await;
                        let count = match reply.whole {
                            true => &answered,
                            false if reply.status.is_none() => &unconnected,
                            false => &failed,
                        };
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                })
            })
            .collect();
        smol::block_on(async {
            for task in tasks {
                task.await;
            }
        });
    });
    let answered = answered.load(Ordering::Relaxed);
    let per_second = answered as f64 / start.elapsed().as_secs_f64();
    let failed = failed.load(Ordering::Relaxed);
    Rate { per_second, failed, unconnected: unconnected.load(Ordering::Relaxed) }
}

/// Opens ever more streams through the daemon, then as many directly. What a stream through the
/// daemon takes above a direct one is the daemon's. Nothing is closed in between, because memory
/// that was freed and used again wouldn't show.
fn memory() -> CliResult<()> {
    let fleet = fleet(slow(), 1)?;
    let (direct, daemon) = (fleet.engines[0].address(), fleet.entries()[0]);
    let rows = with_callers(|ex| -> CliResult<_> {
        let mut open = Vec::new();
        let mut points = Vec::new();
        for level in MEMORY_LEVELS {
            points.push(grow(ex, &fleet, &mut open, daemon, level)?);
        }
        let most = MEMORY_LEVELS[MEMORY_LEVELS.len() - 1];
        let direct = grow(ex, &fleet, &mut open, direct, 2 * most)?;
        let last = points[points.len() - 1];
        let direct = direct.per_stream_above(last);
        let row = |pair: &[Point]| {
            let through = pair[1].per_stream_above(pair[0]);
            let figures = [through, direct, through - direct].map(|kib| format!("{kib:.1}"));
            let [through, direct, daemon] = figures;
            [pair[1].streams.to_string(), through, direct, daemon]
        };
        Ok(points.windows(2).map(row).collect::<Vec<_>>())
    })?;
    fleet.instances.into_iter().for_each(daemon::Instance::abort);
    fleet.engines.into_iter().for_each(standin::Engine::close);
    let head = ["streams", "KiB each through the daemon", "KiB each direct", "the daemon's"];
    output::print_table(head, rows)
}

/// Resident memory with so many streams open.
#[derive(Debug, Clone, Copy)]
struct Point {
    streams: usize,
    bytes: u64,
}

impl Point {
    /// KiB for each stream opened since `before`.
    fn per_stream_above(self, before: Point) -> f64 {
        let streams = (self.streams - before.streams).max(1);
        (self.bytes as f64 - before.bytes as f64) / 1024.0 / streams as f64
    }
}

/// Opens streams until `level` are open, and reads the memory.
fn grow(
    ex: &Executor<'static>,
    fleet: &Fleet,
    open: &mut Vec<Task<()>>,
    address: SocketAddr,
    level: usize,
) -> CliResult<Point> {
    let limit = Instant::now() + OPEN;
    while open.len() < level {
        let prompt = prompt(open.len() as u64, HELD_OUTPUT);
        let prompt = prompt.header("x-deadline-ms", HELD_DEADLINE_MS);
        open.push(ex.spawn(async move {
            prompt.send(address).await;
        }));
    }
    while (fleet.engines[0].stats().running as usize) < level {
        if Instant::now() > limit {
            let running = fleet.engines[0].stats().running;
            let message = format!("{running} of {level} streams were open in the end");
            return Err(failed(&message));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    fleet.engines[0].set_speed(READING_SPEED);
    std::thread::sleep(SETTLE);
    let bytes = resident()?;
    fleet.engines[0].set_speed(1.0);
    Ok(Point { streams: level, bytes })
}

/// Runs `work` with threads for callers; tasks that are left then are dropped.
fn with_callers<T>(work: impl FnOnce(&Executor<'static>) -> T) -> T {
    let ex = Executor::new();
    let (stop, stopped) = bounded::<()>(1);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| smol::block_on(ex.run(stopped.recv())).is_err());
        }
        let result = work(&ex);
        drop(stop);
        result
    })
}

/// Resident memory of this process.
fn resident() -> CliResult<u64> {
    let status = fs::read_to_string("/proc/self/status").change_context(CliError::Output)?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.map(|kib| kib * 1024).ok_or_else(|| failed("the resident memory can't be read"))
}

fn failed(message: &str) -> Report<CliError> {
    Report::new(CliError::Other(message.to_owned()))
}
