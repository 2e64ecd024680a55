//! A run on an engine: reading it, waiting for memory, and the body of its answer.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::{Buf, Bytes};
use futures_lite::{AsyncRead, FutureExt, Stream as _, io::BufReader};
use http_types::{Body, Request, Response, StatusCode};
use policy::{Tokens, prompt::HashedPrompt};
use protocols::{
    engine::wire::{ATTEMPT, AttemptId, Held, HeldPage, KV_SHARDS, LEASE_MS, PRIORITY},
    http::HttpCall,
};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded, unbounded},
};

use crate::{
    engine::{
        Shared,
        answer::{self, RunBody},
        state::{Progress, Stream},
    },
    http::{Refused, header, lock},
};

/// How long a call to another engine may take.
const CALL: Duration = Duration::from_secs(2);
/// How often an engine looks whether the other engines still hold its shards.
const SHARD_CHECK: Duration = Duration::from_millis(200);
/// Lease of streams whose caller states none.
const DEFAULT_LEASE_MS: u64 = 1_000;
/// The longest answer.
const MAX_OUTPUT: u64 = 100_000;

/// Answers a run once it has memory, or refuses it.
pub(crate) async fn try_run(shared: &Arc<Shared>, req: &mut Request) -> Result<Response, Refused> {
    let run = Run::read(req).await?;
    let (admitted, admission) = bounded(1);
    // A slow caller must slow only itself. MAX_OUTPUT bounds what waits for it.
    let (events, pieces) = unbounded();
    let (id, shards) = (run.attempt.to_string(), run.shards.clone());
    let share = run.footprint() - reserved_elsewhere(&shards).await?;
    let crashes = lock(&shared.state).crash_on.iter().any(|marker| run.body.holds(marker));
    let stream = run.into_stream(share, crashes, admitted, events);
    queue(shared, &id, stream)?;
    let guard = StreamGuard { shared: shared.clone(), id: id.clone() };
    let max_wait = shared.cfg.max_wait;
    let limit = async {
        Timer::after(max_wait).await;
        Err(smol::channel::RecvError)
    };
    if admission.recv().or(limit).await.is_err() {
        return Err(Refused::new(StatusCode::ServiceUnavailable, "no memory came free in time"));
    }
    if !shards.is_empty() {
        shared.host.spawn(watch_shards(shared.clone(), id.clone(), shards));
    }
    let mut resp = Response::new(StatusCode::Ok);
    resp.insert_header("content-type", "text/event-stream");
    resp.insert_header(ATTEMPT, id);
    let body = EventBody { pieces: Box::pin(pieces), rest: Bytes::new(), _guard: guard };
    resp.set_body(Body::from_reader(BufReader::new(body), None));
    Ok(resp)
}

fn queue(shared: &Shared, id: &str, stream: Stream) -> Result<(), Refused> {
    let busy = |message| Err(Refused::new(StatusCode::ServiceUnavailable, message));
    let mut state = lock(&shared.state);
    let waiting = state.streams.values().filter(|s| !s.progress.running).count();
    if state.dead || !state.ready {
        return busy("the model isn't loaded");
    }
    if stream.share > state.kv_total {
        return busy("the prompt needs more memory than there is");
    }
    if waiting >= shared.cfg.max_waiting {
        return busy("too many requests wait");
    }
    if state.streams.contains_key(id) {
        return Err(Refused::new(StatusCode::Conflict, "the attempt is under way"));
    }
    state.streams.insert(id.to_owned(), stream);
    shared.work.notify_all();
    Ok(())
}

/// A run as its caller sent it.
struct Run {
    attempt: AttemptId,
    priority: u8,
    lease: Duration,
    shards: Vec<ShardRef>,
    chat: bool,
    digest: HashedPrompt,
    body: RunBody,
}

/// A reservation on another engine.
#[derive(Clone)]
struct ShardRef {
    id: String,
    address: SocketAddr,
}

impl Run {
    async fn read(req: &mut Request) -> Result<Run, Refused> {
        let wrong = |what: &str| Refused::new(StatusCode::BadRequest, what);
        let attempt = header(req, ATTEMPT).map_or_else(direct_attempt, ToOwned::to_owned);
        let attempt: AttemptId = attempt.parse().map_err(|_| wrong("x-attempt is wrong"))?;
        let priority = header(req, PRIORITY).and_then(|text| text.parse().ok()).unwrap_or(0);
        let lease = header(req, LEASE_MS).and_then(|text| text.parse().ok());
        let shards = parse_shards(header(req, KV_SHARDS).unwrap_or_default())
            .ok_or_else(|| wrong("x-kv-shards is wrong"))?;
        let chat = req.url().path().ends_with("/chat/completions");
        let bytes = req.body_bytes().await.unwrap_or_default();
        let body = RunBody::parse(&bytes)
            .map_err(|error| wrong(&format!("the body is wrong: {error}")))?;
        if body.output() > MAX_OUTPUT {
            return Err(wrong("max_tokens is too large"));
        }
        let digest = body.digest();
        if let Some(resume) = &body.resume
            && (resume.from >= body.output()
                || resume.text != answer::text(digest.fingerprint, resume.from))
        {
            return Err(wrong("the text to resume after isn't what was generated"));
        }
        let lease = Duration::from_millis(lease.unwrap_or(DEFAULT_LEASE_MS));
        Ok(Run { attempt, priority, lease, shards, chat, digest, body })
    }

    fn footprint(&self) -> Tokens {
        self.digest.tokens + Tokens(self.body.output())
    }

    fn into_stream(
        self,
        share: Tokens,
        crashes: bool,
        admitted: Sender<()>,
        events: Sender<Bytes>,
    ) -> Stream {
        Stream {
            attempt: self.attempt,
            priority: self.priority,
            lease: self.lease,
            fingerprint: self.digest.fingerprint,
            prefix: self.digest.block_hashes,
            prompt: self.digest.tokens,
            share,
            next: self.body.resume.as_ref().map_or(0, |resume| resume.from),
            end: self.body.output(),
            chat: self.chat,
            crashes,
            admitted,
            events,
            progress: Progress::default(),
        }
    }
}

/// Callers that aren't an instance of this system name no attempt.
fn direct_attempt() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("direct/1/{}/1", NEXT.fetch_add(1, Ordering::Relaxed))
}

fn parse_shards(text: &str) -> Option<Vec<ShardRef>> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let parse = |part: &str| {
        let (id, address) = part.rsplit_once('@')?;
        Some(ShardRef { id: id.to_owned(), address: address.parse().ok()? })
    };
    parts.map(parse).collect()
}

/// The memory that a prompt has on other engines. One that doesn't hold its part refuses the run.
async fn reserved_elsewhere(shards: &[ShardRef]) -> Result<Tokens, Refused> {
    let mut sum = Tokens::ZERO;
    for shard in shards {
        let Some(held) = held_at(shard.address, &shard.id).await else {
            return Err(Refused::new(StatusCode::ServiceUnavailable, "a shard isn't reserved"));
        };
        sum += held.tokens;
    }
    Ok(sum)
}

/// What an engine lists under `id`.
pub(crate) async fn held_at(address: SocketAddr, id: &str) -> Option<Held> {
    let answer = HttpCall::get(address, "/engine/held", CALL).send().await.ok()?;
    let page: HeldPage = answer.json().ok()?;
    page.held.into_iter().find(|held| held.id == id)
}

/// Ends a stream once a part of its cache is lost with the engine that lent the memory.
async fn watch_shards(shared: Arc<Shared>, id: String, shards: Vec<ShardRef>) {
    while lock(&shared.state).streams.contains_key(&id) {
        for shard in &shards {
            if held_at(shard.address, &shard.id).await.is_none() {
                lock(&shared.state).end_stream(&id);
                return;
            }
        }
        Timer::after(SHARD_CHECK).await;
    }
}

/// Tells the engine that a stream's connection is gone, whichever way it went.
struct StreamGuard {
    shared: Arc<Shared>,
    id: String,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        lock(&self.shared.state).disconnected(&self.id, Instant::now());
    }
}

/// The events of one answer as a body.
struct EventBody {
    pieces: Pin<Box<Receiver<Bytes>>>,
    rest: Bytes,
    _guard: StreamGuard,
}

impl AsyncRead for EventBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.rest.is_empty() {
            match ready!(self.pieces.as_mut().poll_next(cx)) {
                Some(piece) => self.rest = piece,
                None => return Poll::Ready(Ok(0)),
            }
        }
        let len = self.rest.len().min(buf.len());
        buf[..len].copy_from_slice(&self.rest[..len]);
        self.rest.advance(len);
        Poll::Ready(Ok(len))
    }
}
