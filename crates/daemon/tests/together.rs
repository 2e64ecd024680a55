//! Many faults together, on real processes: answers of the log and of the service get lost, appends
//! surface late, instances are stopped, woken and killed, and callers send their registrations
//! again to whichever instance they meet.
//!
//! What a user would see if it went wrong: one registration entered twice, or "not run" for one
//! that stands in the register. The faults are drawn from a fixed seed; how they meet the calls is
//! up to the machine, and what is asserted holds for every meeting.

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
const SPAN: Duration = Duration::from_secs(8);
const CALLERS: u64 = 6;
/// How often a caller sends one registration at most.
const SENDS: u32 = 4;

/// What callers heard of one key.
#[derive(Debug, Default)]
struct Heard {
    sent: u32,
    done: u32,
    not_run: u32,
}

type Journal = Arc<Mutex<HashMap<String, Heard>>>;

/// The addresses of the instances now; a caller uses whichever it draws.
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
    let journal: Journal = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    note(&addresses, &daemons);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (addresses, journal, stop) = (addresses.clone(), journal.clone(), stop.clone());
            thread::spawn(move || call(caller, &addresses, &journal, &stop))
        })
        .collect();
    disturb(&log, &service, &mut daemons, &addresses);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().unwrap();
    }
    // Whatever was paused or late has come through.
    thread::sleep(Duration::from_secs(2));
    judge(&journal, &service);
}

fn note(addresses: &Addresses, daemons: &[Daemon]) {
    *addresses.lock().unwrap() = daemons.iter().map(|daemon| daemon.address).collect();
}

fn disturb(log: &LogService, service: &Service, daemons: &mut Vec<Daemon>, all: &Addresses) {
    let mut rng = Rng::with_seed(SEED);
    let end = Instant::now() + SPAN;
    let mut lives = 3;
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
            _ if lives < 7 => {
                let gone = rng.usize(0..daemons.len());
                drop(daemons.remove(gone));
                let peers: Vec<_> = daemons.iter().map(|known| known.peer_address).collect();
                daemons.push(Daemon::follow(&format!("entry-{lives}"), log.address(), &peers));
                lives += 1;
                note(all, daemons);
            }
            _ => {}
        }
    }
}

/// Sends registrations until it is stopped, each until it is done or was sent often enough.
fn call(caller: u64, addresses: &Addresses, journal: &Journal, stop: &AtomicBool) {
    let mut rng = Rng::with_seed(SEED + 1 + caller);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let key = format!("{caller}-{number}");
        for _ in 0..SENDS {
            let address = {
                let addresses = addresses.lock().unwrap();
                addresses[rng.usize(0..addresses.len())]
            };
            let deadline = rng.u64(100..900);
            journal.lock().unwrap().entry(key.clone()).or_default().sent += 1;
            let ran = send(address, &key, deadline);
            let mut journal = journal.lock().unwrap();
            let heard = journal.entry(key.clone()).or_default();
            heard.done += u32::from(ran.as_deref() == Some("yes"));
            heard.not_run += u32::from(ran.as_deref() == Some("no"));
            if ran.as_deref() == Some("yes") {
                break;
            }
        }
    }
}

/// What the caller hears: `yes`, `no`, `unknown`, or nothing.
fn send(address: SocketAddr, key: &str, deadline: u64) -> Option<String> {
    let patience = Duration::from_millis(deadline + 1_500);
    let path = "/services/desk/registrations";
    let mut call = HttpCall::post(address, path, "{}".into(), patience);
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

fn judge(journal: &Journal, service: &Service) {
    let journal = journal.lock().unwrap();
    let (mut done, mut refused) = (0, 0);
    for (key, heard) in journal.iter() {
        let runs = service.runs(key);
        assert!(runs <= 1, "{key} ran {runs} times: {heard:?}");
        if heard.done > 0 {
            done += 1;
            assert_eq!(runs, 1, "{key} was answered and never ran");
        }
        if heard.not_run == heard.sent {
            refused += 1;
            assert_eq!(runs, 0, "{key} ran, and all its callers heard that it did not");
        }
    }
    eprintln!("{} registrations, {done} done, {refused} only refused", journal.len());
    assert!(done > 0, "no registration went through, which shows nothing");
}
