//! Many concurrent faults on real processes: replies of the log and of the service are lost,
//! appends become visible late, instances are paused, resumed and killed, and callers resend their
//! registrations to any instance.
//!
//! Guards against a registration that runs twice, and against "not run" for one that did run. The
//! faults are drawn from a fixed seed. How they coincide with the calls depends on the machine, and
//! the assertions hold for every interleaving.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{Daemon, KEY, Site, wait_until};
use daemon::admin::publish::PublishAnswer;
use fastrand::Rng;
use policy::config::Version;
use protocols::http::HttpCall;
use smol::block_on;
use standin::{AppendFault, LogConfig, LogService, Service, ServiceConfig, ServiceFault};

const SEED: u64 = 20_261_203;
const FAULT_DURATION: Duration = Duration::from_secs(8);
const CALLER_COUNT: u64 = 6;
/// Attempts of a caller per registration.
const MAX_SENDS: u32 = 4;

/// Replies that callers got for one key.
#[derive(Debug, Default)]
struct CallerView {
    sent: u32,
    done: u32,
    not_run: u32,
}

type CallerViews = Arc<Mutex<HashMap<String, CallerView>>>;

/// Addresses of the running instances; a caller picks one at random.
type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

#[test]
fn registrations_run_at_most_once_and_refusals_are_true() {
    let log = LogService::start(LogConfig::default()).unwrap();
    let work = Duration::from_millis(5);
    let service = Service::start(ServiceConfig { work, ..ServiceConfig::default() }).unwrap();
    let site = Site {
        engines: vec!["127.0.0.1:9".parse().unwrap()],
        services: vec![service.address()],
        policy: "trefoilhall",
        more: "",
    };
    let mut daemons: Vec<Daemon> = Vec::new();
    for number in 0..3 {
        let peers: Vec<_> = daemons.iter().map(|known| known.peer_address).collect();
        daemons.push(Daemon::follow(&format!("entry-{number}"), log.address(), &peers));
    }
    wait_until("the stream is read", || daemons[0].admin_get("/admin/configuration").status == 200);
    let published = daemons[0].publish("first", 0, site.files());
    assert_eq!(published, PublishAnswer::Accepted(Version(1)));
    for daemon in &daemons {
        wait_until("the version is in force", || daemon.status().config_version == Version(1));
    }
    let addresses: Addresses = Arc::default();
    let views: CallerViews = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    set_addresses(&addresses, &daemons);
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let (addresses, views, stop) = (addresses.clone(), views.clone(), stop.clone());
            thread::spawn(move || run_caller(caller, &addresses, &views, &stop))
        })
        .collect();
    inject_faults(&log, &service, &mut daemons, &addresses);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().unwrap();
    }
    // Lets paused instances and late appends finish.
    thread::sleep(Duration::from_secs(2));
    check_runs(&views, &service);
}

fn set_addresses(addresses: &Addresses, daemons: &[Daemon]) {
    *addresses.lock().unwrap() = daemons.iter().map(|daemon| daemon.address).collect();
}

fn inject_faults(log: &LogService, service: &Service, daemons: &mut Vec<Daemon>, all: &Addresses) {
    let mut rng = Rng::with_seed(SEED);
    let end = Instant::now() + FAULT_DURATION;
    let mut started = 3;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(rng.u64(5..60)));
        let late = AppendFault::Late(Duration::from_millis(rng.u64(50..900)));
        match rng.u32(0..24) {
            0..=3 => log.plan_fault("ledger-0", AppendFault::LoseAnswer),
            4..=7 => log.plan_fault("ledger-0", late),
            8 | 9 => log.plan_fault("ledger-0", AppendFault::Refuse),
            10 => log.plan_fault("ledger-0", AppendFault::Hang),
            11..=14 => service.plan_fault(ServiceFault::LoseAnswer),
            15 | 16 => service.plan_fault(ServiceFault::Cut),
            17 => service.plan_fault(ServiceFault::LateAnswer(Duration::from_millis(700))),
            18..=21 => {
                let paused = &daemons[rng.usize(0..daemons.len())];
                paused.signal("-STOP");
                thread::sleep(Duration::from_millis(rng.u64(20..700)));
                paused.signal("-CONT");
            }
            _ if started < 7 => {
                let index = rng.usize(0..daemons.len());
                drop(daemons.remove(index));
                let peers: Vec<_> = daemons.iter().map(|known| known.peer_address).collect();
                daemons.push(Daemon::follow(&format!("entry-{started}"), log.address(), &peers));
                started += 1;
                set_addresses(all, daemons);
            }
            _ => {}
        }
    }
}

/// Sends registrations until it is stopped: each until it is done or [`MAX_SENDS`] is reached.
fn run_caller(caller: u64, addresses: &Addresses, views: &CallerViews, stop: &AtomicBool) {
    let mut rng = Rng::with_seed(SEED + 1 + caller);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let key = format!("{caller}-{number}");
        for _ in 0..MAX_SENDS {
            let address = {
                let addresses = addresses.lock().unwrap();
                addresses[rng.usize(0..addresses.len())]
            };
            let deadline = rng.u64(100..900);
            views.lock().unwrap().entry(key.clone()).or_default().sent += 1;
            let outcome = send(address, &key, deadline);
            let mut views = views.lock().unwrap();
            let view = views.entry(key.clone()).or_default();
            view.done += u32::from(outcome.as_deref() == Some("yes"));
            view.not_run += u32::from(outcome.as_deref() == Some("no"));
            if outcome.as_deref() == Some("yes") {
                break;
            }
        }
    }
}

/// Returns whether the call ran according to the reply: `yes`, `no` or `unknown`; `None` if there
/// is no reply.
fn send(address: SocketAddr, key: &str, deadline: u64) -> Option<String> {
    let timeout = Duration::from_millis(deadline + 1_500);
    let path = "/services/desk/registrations";
    let mut call = HttpCall::post(address, path, "{}".into(), timeout);
    call.headers = vec![
        ("authorization", format!("Bearer {KEY}")),
        ("idempotency-key", key.to_owned()),
        ("x-deadline-ms", deadline.to_string()),
    ];
    let answer = block_on(call.send()).ok()?;
    if answer.is_success() {
        return Some("yes".to_owned());
    }
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    Some(body["error"]["ran"].as_str()?.to_owned())
}

fn check_runs(views: &CallerViews, service: &Service) {
    let views = views.lock().unwrap();
    let (mut done, mut refused) = (0, 0);
    for (key, view) in views.iter() {
        let runs = service.runs(key);
        assert!(runs <= 1, "{key} ran {runs} times: {view:?}");
        if view.done > 0 {
            done += 1;
            assert_eq!(runs, 1, "{key} was reported as done but never ran");
        }
        if view.not_run == view.sent {
            refused += 1;
            assert_eq!(runs, 0, "{key} ran, but all replies said that it did not");
        }
    }
    eprintln!("{} registrations, {done} done, {refused} only refused", views.len());
    assert!(done > 0, "no registration succeeded, so the test shows nothing");
}
