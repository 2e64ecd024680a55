//! Measures claims per second and the delay that a claim adds, over a log that takes 300 appends a
//! second, with 1, 4 and 16 ledgers in this process.
//!
//! `cargo run --release -p daemon --example ledger_rate`

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use daemon::{
    clock::Clock,
    ledger::{ClaimOutcome, ClaimRequest, Ledger, LedgerConfig},
};
use policy::{
    EndpointGroup, Fingerprint, Incarnation, InstanceId, Workspace,
    ledger::{Answer, CallKey, Writer},
};
use protocols::log::http::HttpLog;
use smol::{LocalExecutor, Timer, block_on};
use standin::{LogConfig, LogService};

/// Rate limit of the log.
const APPENDS_PER_SECOND: usize = 300;
/// Duration of a measurement, including its warm-up.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);
/// Start of a measurement, which isn't counted: the append rates of the ledgers converge.
const WARM_UP_TIME: Duration = Duration::from_secs(2);

/// Results of a measurement, or one caller's part of them.
struct Measurement {
    claims: usize,
    refused: usize,
    delays: Vec<Duration>,
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "ledgers  callers  claims/s  median ms  p99 ms  worst ms  refused  appends/s")?;
    for (ledgers, callers) in [(1, 1), (1, 64), (4, 16), (16, 4), (1, 512), (4, 128), (16, 32)] {
        let log = LogService::start(LogConfig {
            appends_per_second: APPENDS_PER_SECOND,
            ..LogConfig::default()
        })?;
        let mut measurement = measure(&log, ledgers, callers);
        measurement.delays.sort();
        let at = |share: f64| {
            let index = (measurement.delays.len() as f64 * share) as usize;
            let delay =
                measurement.delays.get(index.min(measurement.delays.len().saturating_sub(1)));
            delay.copied().unwrap_or_default().as_secs_f64() * 1e3
        };
        let seconds = (MEASUREMENT_TIME - WARM_UP_TIME).as_secs_f64();
        writeln!(
            out,
            "{ledgers:>7}  {:>7}  {:>8.0}  {:>9.1}  {:>6.1}  {:>8.1}  {:>7}  {:>9.0}",
            ledgers * callers,
            measurement.claims as f64 / seconds,
            at(0.5),
            at(0.99),
            at(1.0),
            measurement.refused,
            log.appends() as f64 / MEASUREMENT_TIME.as_secs_f64(),
        )?;
        log.close();
    }
    Ok(())
}

fn measure(log: &LogService, ledgers: usize, callers: usize) -> Measurement {
    let stop = Arc::new(AtomicBool::new(false));
    let threads = (0..ledgers).map(|index| {
        let (address, stop) = (log.address(), stop.clone());
        thread::spawn(move || run_ledger(HttpLog::new(address), index, callers, &stop))
    });
    let threads: Vec<_> = threads.collect();
    thread::sleep(MEASUREMENT_TIME);
    stop.store(true, Ordering::Relaxed);
    let mut all = Measurement { claims: 0, refused: 0, delays: Vec::new() };
    for thread in threads {
        let Ok(part) = thread.join() else { continue };
        all.claims += part.claims;
        all.refused += part.refused;
        all.delays.extend(part.delays);
    }
    all
}

/// Runs one ledger with its callers. Each of them claims a call, completes it immediately, and
/// claims the next one.
fn run_ledger(log: HttpLog, index: usize, callers: usize, stop: &AtomicBool) -> Measurement {
    let clock = Clock::start();
    let Ok(instance) = InstanceId::new(&format!("entry-{index}")) else {
        return Measurement { claims: 0, refused: 0, delays: Vec::new() };
    };
    let cfg = LedgerConfig {
        stream: "ledger-0".to_owned(),
        window: Duration::from_secs(86_400),
        log_retention: Duration::from_secs(3_600),
    };
    let ledger = Ledger::new(log, cfg, Writer { instance, incarnation: Incarnation(1) }, clock);
    let executor = LocalExecutor::new();
    executor.spawn(ledger.clone().run()).detach();
    let start = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|caller| executor.spawn(run_caller(&ledger, clock, index, caller, start, stop)))
        .collect();
    let mut all = Measurement { claims: 0, refused: 0, delays: Vec::new() };
    block_on(executor.run(async {
        for task in tasks {
            let part = task.await;
            all.claims += part.claims;
            all.refused += part.refused;
            all.delays.extend(part.delays);
        }
    }));
    all
}

async fn run_caller(
    ledger: &Ledger<HttpLog>,
    clock: Clock,
    index: usize,
    caller: usize,
    start: Instant,
    stop: &AtomicBool,
) -> Measurement {
    let mut part = Measurement { claims: 0, refused: 0, delays: Vec::new() };
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let Some(req) = request(clock, &format!("{index}-{caller}-{number}")) else { return part };
        let began = Instant::now();
        let outcome = ledger.claim(req).await;
        let is_measured = start.elapsed() > WARM_UP_TIME;
        if let ClaimOutcome::Run(claim) = outcome {
            if is_measured {
                part.claims += 1;
                part.delays.push(began.elapsed());
            }
            claim.try_begin_sending();
            claim.complete(Answer { status: 200, content_type: None, body: Some("{}".to_owned()) });
        } else {
            part.refused += usize::from(is_measured);
            Timer::after(Duration::from_millis(10)).await;
        }
    }
    part
}

fn request(clock: Clock, text: &str) -> Option<ClaimRequest> {
    let workspace = Workspace::new("bench").ok()?;
    let group = EndpointGroup::new("register").ok()?;
    Some(ClaimRequest {
        key: CallKey::new(workspace, group, text).ok()?,
        fingerprint: Fingerprint(1),
        deduplicates: false,
        deadline: clock.now() + Duration::from_secs(10),
    })
}
