//! The log service: streams of records with offsets, a limit on appends, retention by count and
//! age, outages, answers lost after the append, and appends that take effect late.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use protocols::log::{Offset, Page, Record};
use serde::Serialize;
use smol::{
    Timer,
    channel::{Sender, bounded},
};

use crate::http::{Handler, Host, Refused, Reply, json, lock, query};

/// The longest wait that a read may ask for.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Records in a page where the reader asks for more or doesn't say.
const MAX_PAGE: u64 = 10_000;

/// How a log is made.
#[derive(Debug, Clone)]
pub struct LogConfig {
    /// The most appends a second; more are refused with 429.
    pub appends_per_second: usize,
    /// How many records each stream keeps.
    pub keep: usize,
    /// How long records are kept.
    pub keep_for: Duration,
}

impl Default for LogConfig {
    fn default() -> Self {
        LogConfig { appends_per_second: 500, keep: 100_000, keep_for: Duration::from_secs(3600) }
    }
}

/// What the log does with calls while it is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Outage {
    /// It is up.
    #[default]
    Up,
    /// It refuses with 503.
    Refuses,
    /// It takes calls and never answers; nothing takes effect.
    Silent,
}

/// What becomes of one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFault {
    /// It takes effect, and the connection closes without an answer.
    LoseAnswer,
    /// It takes effect, and the connection stays silent.
    Hang,
    /// The connection closes at once, and it takes effect only after this long.
    Late(Duration),
    /// It is refused with 503.
    Refuse,
}

/// A running stand-in log.
pub struct LogService {
    host: Host,
    shared: Arc<Shared>,
}

struct Shared {
    cfg: LogConfig,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    streams: IndexMap<String, Stream>,
    recent: VecDeque<Instant>,
    faults: VecDeque<Planned>,
    /// Readers that wait for the next append.
    waiters: Vec<Sender<()>>,
    outage: Outage,
    delay: Duration,
    appends: u64,
    refused: u64,
}

/// A fault for the next append to a stream of this prefix.
struct Planned {
    prefix: String,
    fault: AppendFault,
}

#[derive(Default)]
struct Stream {
    records: VecDeque<Record>,
    end: u64,
}

/// The answer to an append.
#[derive(Serialize)]
struct Appended {
    offset: Offset,
}

impl LogService {
    /// Starts a log on a free loopback port.
    pub fn start(cfg: LogConfig) -> io::Result<LogService> {
        let shared = Arc::new(Shared { cfg, state: Mutex::new(State::default()) });
        let host = Host::start("log")?;
        host.serve(Arc::new(Api(shared.clone())))?;
        Ok(LogService { host, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        lock(&self.shared.state).outage = outage;
    }

    /// Delays every answer.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.state).delay = delay;
    }

    /// Plans a fault for the next append to a stream whose name begins with `prefix`.
    pub fn plan_fault(&self, prefix: &str, fault: AppendFault) {
        let planned = Planned { prefix: prefix.to_owned(), fault };
        lock(&self.shared.state).faults.push_back(planned);
    }

    /// Appends a record from outside HTTP, as another process would.
    pub fn append(&self, stream: &str, data: Bytes) -> Offset {
        self.shared.append(stream, data)
    }

    /// All records that a stream still keeps.
    pub fn records(&self, stream: &str) -> Vec<Record> {
        let state = lock(&self.shared.state);
        state.streams.get(stream).map_or_else(Vec::new, |s| s.records.iter().cloned().collect())
    }

    /// Forgets all but the last `keep` records of a stream.
    pub fn trim(&self, stream: &str, keep: usize) {
        if let Some(stream) = lock(&self.shared.state).streams.get_mut(stream) {
            let surplus = stream.records.len().saturating_sub(keep);
            stream.records.drain(..surplus);
        }
    }

    /// Forgets every record kept so far.
    pub fn trim_all(&self) {
        for stream in lock(&self.shared.state).streams.values_mut() {
            stream.records.clear();
        }
    }

    /// How many appends took effect.
    pub fn appends(&self) -> u64 {
        lock(&self.shared.state).appends
    }

    /// How many appends went over its rate.
    pub fn refused(&self) -> u64 {
        lock(&self.shared.state).refused
    }

    /// Ends it.
    pub fn close(self) {
        self.host.close();
    }
}

struct Api(Arc<Shared>);

impl Handler for Api {
    async fn handle(&self, mut req: Request) -> Reply {
        let (outage, delay) = {
            let state = lock(&self.0.state);
            (state.outage, state.delay)
        };
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        match outage {
            Outage::Up => {}
            Outage::Refuses => return down(),
            Outage::Silent => return Reply::Silence,
        }
        let path = req.url().path().to_owned();
        let stream = path.strip_prefix("/streams/").and_then(|p| p.strip_suffix("/records"));
        match (req.method(), stream) {
            (Method::Post, Some(stream)) => {
                let data = req.body_bytes().await.unwrap_or_default();
                self.append(stream, data.into()).await
            }
            (Method::Get, Some(stream)) => self.read(stream, &req).await.into(),
            _ => Refused::new(StatusCode::NotFound, "no such call").into(),
        }
    }
}

impl Api {
    async fn append(&self, stream: &str, data: Bytes) -> Reply {
        if std::str::from_utf8(&data).is_err() {
            return Refused::new(StatusCode::BadRequest, "a record must be text").into();
        }
        let fault = match self.0.admit(stream) {
            Ok(fault) => fault,
            Err(refused) => return refused.into(),
        };
        match fault {
            None => json(&Appended { offset: self.0.append(stream, data) }).into(),
            Some(AppendFault::Refuse) => down(),
            Some(AppendFault::LoseAnswer) => {
                self.0.append(stream, data);
                Reply::Cut
            }
            Some(AppendFault::Hang) => {
                self.0.append(stream, data);
                Reply::Silence
            }
            Some(AppendFault::Late(after)) => {
                let (shared, stream) = (self.0.clone(), stream.to_owned());
                // Not a task of this connection: its caller's hang-up must not undo the append.
                smol::spawn(async move {
                    Timer::after(after).await;
                    shared.append(&stream, data);
                })
                .detach();
                Reply::Cut
            }
        }
    }

    async fn read(&self, stream: &str, req: &Request) -> Response {
        let from = query(req, "from").unwrap_or(0);
        let max = query(req, "max").unwrap_or(MAX_PAGE).clamp(1, MAX_PAGE) as usize;
        let wait = Duration::from_millis(query(req, "wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let end = Instant::now() + wait;
        loop {
            let (tx, changed) = bounded(1);
            lock(&self.0.state).waiters.push(tx);
            let page = self.0.page(stream, from, max);
            if !page.records.is_empty() || Instant::now() >= end {
                return json(&page);
            }
            let limit = async {
                Timer::at(end).await;
                Ok(())
            };
            let _ = changed.recv().or(limit).await;
        }
    }
}

impl Shared {
    /// Counts an append against the rate, and says which fault it meets.
    fn admit(&self, stream: &str) -> Result<Option<AppendFault>, Refused> {
        let mut state = lock(&self.state);
        let now = Instant::now();
        while state.recent.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
            state.recent.pop_front();
        }
        if state.recent.len() >= self.cfg.appends_per_second {
            state.refused += 1;
            return Err(Refused::new(StatusCode::TooManyRequests, "too many appends a second"));
        }
        state.recent.push_back(now);
        let planned = state.faults.iter().position(|p| stream.starts_with(&p.prefix));
        Ok(planned.and_then(|at| state.faults.remove(at)).map(|planned| planned.fault))
    }

    fn append(&self, stream: &str, data: Bytes) -> Offset {
        let mut state = lock(&self.state);
        state.appends += 1;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let offset = Offset(stream.end);
        stream.end += 1;
        stream.records.push_back(Record { offset, time_ms: now_ms(), data });
        stream.expire(&self.cfg);
        for waiter in state.waiters.drain(..) {
            let _ = waiter.try_send(());
        }
        offset
    }

    fn page(&self, stream: &str, from: u64, max: usize) -> Page {
        let mut state = lock(&self.state);
        let stream = state.streams.entry(stream.to_owned()).or_default();
        stream.expire(&self.cfg);
        let first = stream.records.front().map_or(stream.end, |record| record.offset.0);
        let skip = from.saturating_sub(first) as usize;
        let records: Vec<Record> = stream.records.iter().skip(skip).take(max).cloned().collect();
        let next = records.last().map_or(from.max(first), |record| record.offset.0 + 1);
        Page { first: Offset(first), next: Offset(next), end: Offset(stream.end), records }
    }
}

impl Stream {
    fn expire(&mut self, cfg: &LogConfig) {
        let oldest = now_ms().saturating_sub(cfg.keep_for.as_millis() as u64);
        let surplus = self.records.len().saturating_sub(cfg.keep);
        self.records.drain(..surplus);
        while self.records.front().is_some_and(|record| record.time_ms < oldest) {
            self.records.pop_front();
        }
    }
}

fn down() -> Reply {
    Refused::new(StatusCode::ServiceUnavailable, "the log is down").into()
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}
