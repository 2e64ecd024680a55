//! Measures the time from publishing a change until it is active on four instances: once with the
//! log reachable by all, and once with one instance that can reach only its peers.
//!
//! `cargo run --release -p daemon --example publish_time`

use std::{
    io::{self, Write},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use daemon::{
    Instance,
    admin::publish::{PublishAnswer, PublishRequest},
    settings::Settings,
};
use policy::config::{SourceFile, Version};
use protocols::http::HttpCall;
use smol::block_on;
use standin::{LogConfig, LogService};

/// Number of changes published in each measurement.
const CHANGES_PER_MEASUREMENT: u64 = 30;
/// Time after which a change counts as lost and the measurement fails.
const TIMEOUT: Duration = Duration::from_secs(20);

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "log reaches   changes  median ms  worst ms")?;
    let log = LogService::start(LogConfig::default())?;
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 9));
    for (name, log_of_last) in [("all four", log.address()), ("three", unreachable)] {
        let Some(mut times) = measure(log.address(), log_of_last) else {
            writeln!(out, "{name}: failed")?;
            continue;
        };
        times.sort();
        let millis = |index: usize| times.get(index).map_or(0.0, |t| t.as_secs_f64() * 1e3);
        let (median, worst) = (millis(times.len() / 2), millis(times.len().saturating_sub(1)));
        writeln!(out, "{name:<12} {:>8}  {median:>9.1}  {worst:>8.1}", times.len())?;
    }
    log.close();
    Ok(())
}

fn measure(log: SocketAddr, log_of_last: SocketAddr) -> Option<Vec<Duration>> {
    let mut instances: Vec<Instance> = Vec::new();
    for number in 0..4 {
        let log = if number == 3 { log_of_last } else { log };
        let peers: Vec<_> = instances.iter().map(|instance| instance.addresses().peers).collect();
        instances.push(start_instance(number, log, &peers)?);
    }
    // The second measurement continues from the versions that the first one published.
    let admin = instances.first()?.addresses().admin;
    thread::sleep(Duration::from_secs(2));
    let mut base = instances.first()?.status().config_version;
    let mut times = Vec::new();
    for round in 0..CHANGES_PER_MEASUREMENT {
        let started_at = Instant::now();
        base = publish(admin, base, base.0 + 1)?;
        while instances.iter().any(|instance| instance.status().config_version < base) {
            if started_at.elapsed() > TIMEOUT {
                return None;
            }
            thread::sleep(Duration::from_millis(1));
        }
        if round > 0 {
            // The first change isn't counted, because it builds the whole configuration.
            times.push(started_at.elapsed());
        }
    }
    instances.into_iter().for_each(Instance::abort);
    Some(times)
}

fn start_instance(number: usize, log: SocketAddr, peers: &[SocketAddr]) -> Option<Instance> {
    let settings = serde_json::json!({
        "instance": format!("entry-{number}"), "data_centre": "a", "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0", "threads": 2, "log": log, "peers": peers,
    });
    let settings: Settings = serde_json::from_value(settings).ok()?;
    Instance::start(settings, None).ok()
}

fn publish(admin: SocketAddr, base: Version, mark: u64) -> Option<Version> {
    let key = format!("{mark:064x}");
    let text = format!(
        r#"{{"data_centres":{{"a":{{"region":"r"}}}},"workspaces":{{"w":{{"key_sha256":["{key}"]}}}}}}"#
    );
    let files = vec![SourceFile { name: "a.json".to_owned(), text }];
    let (id, by) = (format!("change-{mark}"), "bench".to_owned());
    let req = PublishRequest { id, base, by, files };
    let call = HttpCall::post_json(admin, "/admin/publish", &req, TIMEOUT).ok()?;
    match block_on(call.send()).ok()?.json().ok()? {
        PublishAnswer::Accepted(version) => Some(version),
        _ => None,
    }
}
