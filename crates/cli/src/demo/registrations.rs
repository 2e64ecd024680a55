//! Calls that may not be repeated, sent as hasty callers send them: some of them twice at once, to
//! two instances.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use protocols::http::{HttpAnswer, HttpCall};
use serde::Deserialize;
use smol::{Task, Timer};
use uuid::Uuid;

use crate::fleet::{DESK, REGISTRATIONS, workspace_key};

/// Time between two registrations.
const GAP: Duration = Duration::from_millis(120);
/// Every third is sent to both instances at once, as a caller does whose first answer is late.
const TWICE: u64 = 3;
/// How often a caller sends again what it was told wasn't run.
const TRIES: u32 = 5;
/// How long it waits before that.
const PAUSE: Duration = Duration::from_millis(300);
/// How long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// What the callers of one registration heard.
#[derive(Debug, Clone)]
pub(super) struct Registration {
    /// Its key.
    pub(super) key: String,
    /// One for each caller that sent it.
    pub(super) heard: Vec<Heard>,
}

/// What a caller heard in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Heard {
    /// It was done.
    Done,
    /// It wasn't run.
    NotRun,
    /// Nobody can tell, or no answer came.
    Unknown,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Ran,
}

#[derive(Deserialize)]
struct Ran {
    ran: String,
}

/// Sends registrations until `span` is over.
pub(super) async fn send_all(entries: Vec<SocketAddr>, span: Duration) -> Vec<Registration> {
    let entries: Arc<[SocketAddr]> = entries.into();
    let start = Instant::now();
    let mut tasks: Vec<Task<Registration>> = Vec::new();
    while start.elapsed() < span {
        let number = tasks.len() as u64;
        tasks.push(smol::spawn(register(entries.clone(), number)));
        Timer::at(start + GAP * (number as u32 + 1)).await;
    }
    let mut registrations = Vec::with_capacity(tasks.len());
    for task in tasks {
        registrations.push(task.await);
    }
    registrations
}

async fn register(entries: Arc<[SocketAddr]>, number: u64) -> Registration {
    let key = Uuid::now_v7().to_string();
    let first = entries[number as usize % entries.len()];
    let second = entries[(number as usize + 1) % entries.len()];
    let heard = if number.is_multiple_of(TWICE) {
        let both = futures_lite::future::zip(call(first, &key), call(second, &key)).await;
        vec![both.0, both.1]
    } else {
        vec![call(first, &key).await]
    };
    Registration { key, heard }
}

/// One caller: it sends again only what it was told wasn't run.
async fn call(address: SocketAddr, key: &str) -> Heard {
    let path = format!("/services/{DESK}{REGISTRATIONS}");
    for _ in 0..TRIES {
        let mut call = HttpCall::post(address, &path, r#"{"name":"new"}"#.into(), PATIENCE);
        call.headers = vec![
            ("authorization", format!("Bearer {}", workspace_key(0))),
            ("content-type", "application/json".to_owned()),
            ("idempotency-key", key.to_owned()),
        ];
        match call.send().await.map(|answer| outcome(&answer)) {
            Ok(Heard::NotRun) => Timer::after(PAUSE).await,
            Ok(heard) => return heard,
            Err(_) => return Heard::Unknown,
        };
    }
    Heard::NotRun
}

fn outcome(answer: &HttpAnswer) -> Heard {
    if answer.is_success() {
        return Heard::Done;
    }
    match answer.json::<ErrorBody>() {
        Ok(body) if body.error.ran == "no" => Heard::NotRun,
        _ => Heard::Unknown,
    }
}
