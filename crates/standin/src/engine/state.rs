//! What an engine holds: streams, leases on memory, its prefix cache, its order.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use indexmap::IndexMap;
use policy::{Fingerprint, Incarnation, RequestSpec, Tokens};
use protocols::engine::wire::{AttemptId, Held, HeldKind, Load, Order, Owner, Renew};
use smol::channel::Sender;

use crate::engine::{EngineConfig, EngineStats, cache::PrefixCache};

/// A run as it comes in.
pub(crate) struct Stream {
    pub(crate) attempt: AttemptId,
    pub(crate) priority: u8,
    pub(crate) lease: Duration,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) prefix: Vec<u64>,
    pub(crate) prompt: Tokens,
    /// Memory it takes here, without what it has on other engines.
    pub(crate) share: Tokens,
    /// Offset of the next token, and one past the last.
    pub(crate) next: u64,
    pub(crate) end: u64,
    pub(crate) chat: bool,
    pub(crate) crashes: bool,
    /// Told once the stream has memory.
    pub(crate) admitted: Sender<()>,
    pub(crate) events: Sender<Bytes>,
    pub(crate) progress: Progress,
}

/// How far a stream is.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    pub(crate) running: bool,
    pub(crate) cached: Tokens,
    pub(crate) prefill_left: Tokens,
    pub(crate) prefilled: Tokens,
    /// Set once its connection broke: it generates no more, and its memory goes then.
    pub(crate) expires: Option<Instant>,
}

/// Memory held for an owner besides streams.
pub(crate) struct Lease {
    pub(crate) kind: HeldKind,
    pub(crate) owner: Owner,
    pub(crate) tokens: Tokens,
    pub(crate) expires: Instant,
    pub(crate) prefix: Vec<u64>,
}

pub(crate) struct State {
    pub(crate) incarnation: Incarnation,
    pub(crate) kv_total: Tokens,
    /// By attempt, in order of arrival.
    pub(crate) streams: IndexMap<String, Stream>,
    pub(crate) leases: IndexMap<String, Lease>,
    pub(crate) cache: PrefixCache,
    pub(crate) order: Option<Order>,
    pub(crate) ready: bool,
    pub(crate) runs: IndexMap<Fingerprint, u32>,
    pub(crate) crash_on: Vec<String>,
    pub(crate) counts: EngineStats,
    pub(crate) load_lag: Duration,
    pub(crate) speed: f64,
    pub(crate) frozen: bool,
    pub(crate) leaving: bool,
    pub(crate) checks_fencing: bool,
    pub(crate) dead: bool,
    pub(crate) closed: bool,
    reported: Load,
    reported_at: Instant,
}

impl State {
    pub(crate) fn new(cfg: &EngineConfig) -> State {
        let mut state = State {
            incarnation: new_incarnation(),
            kv_total: cfg.kv_total,
            streams: IndexMap::new(),
            leases: IndexMap::new(),
            cache: PrefixCache::default(),
            order: None,
            ready: true,
            runs: IndexMap::new(),
            crash_on: Vec::new(),
            counts: EngineStats::default(),
            load_lag: cfg.load_lag,
            speed: 1.0,
            frozen: false,
            leaving: false,
            checks_fencing: cfg.checks_fencing,
            dead: false,
            closed: false,
            reported: Load {
                incarnation: Incarnation(0),
                age_ms: 0,
                kv_total: cfg.kv_total,
                kv_used: Tokens::ZERO,
                waiting_prefill: Tokens::ZERO,
                running: 0,
                leaving: false,
            },
            reported_at: Instant::now(),
        };
        state.report(Instant::now());
        state
    }

    /// Memory held by streams and leases. Cached prefixes fill what is left and give way.
    pub(crate) fn used(&self) -> Tokens {
        let streams = self.streams.values().filter(|stream| stream.progress.running);
        let streams: Tokens = streams.map(|stream| stream.share).sum();
        streams + self.leases.values().map(|lease| lease.tokens).sum()
    }

    pub(crate) fn free(&self) -> Tokens {
        self.kv_total - self.used()
    }

    /// Blocks that the prefix cache may fill.
    pub(crate) fn cache_room(&self) -> usize {
        (self.free().0 / RequestSpec::PREFIX_BLOCK_TOKENS.0) as usize
    }

    /// Takes memory under `id`, if there is room. Repeating it only extends the lease.
    pub(crate) fn hold(&mut self, id: &str, lease: Lease, now: Instant) -> bool {
        if let Some(known) = self.leases.get_mut(id) {
            known.expires = known.expires.max(lease.expires);
            return true;
        }
        if lease.tokens > self.free() {
            return false;
        }
        self.leases.insert(id.to_owned(), lease);
        let room = self.cache_room();
        self.cache.shrink(room, now);
        true
    }

    pub(crate) fn release(&mut self, id: &str) {
        self.leases.shift_remove(id);
        self.end_stream(id);
    }

    /// Removes a stream that didn't finish.
    pub(crate) fn end_stream(&mut self, id: &str) {
        if let Some(stream) = self.streams.shift_remove(id) {
            self.counts.wasted += stream.progress.prefilled;
        }
    }

    /// The connection of a stream broke: its memory stays until its lease ends.
    pub(crate) fn disconnected(&mut self, id: &str, now: Instant) {
        let Some(stream) = self.streams.get_mut(id) else { return };
        if stream.progress.running {
            stream.progress.expires = Some(now + stream.lease);
        } else {
            self.streams.shift_remove(id);
        }
    }

    pub(crate) fn renew(&mut self, call: &Renew, until: Instant) {
        let is_named = |id: &String| call.ids.is_empty() || call.ids.contains(id);
        for (id, lease) in &mut self.leases {
            if lease.owner == call.owner && is_named(id) {
                lease.expires = lease.expires.max(until);
            }
        }
        for (id, stream) in &mut self.streams {
            if stream.attempt.owner == call.owner
                && is_named(id)
                && let Some(expires) = &mut stream.progress.expires
            {
                *expires = until.max(*expires);
            }
        }
    }

    /// Releases what has expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.expires > now);
        let gone = |s: &Stream| s.progress.expires.is_some_and(|expires| expires <= now);
        let ids = self.streams.iter().filter(|(_, s)| gone(s)).map(|(id, _)| id.clone());
        for id in ids.collect::<Vec<_>>() {
            self.end_stream(&id);
        }
    }

    pub(crate) fn listing(&self, now: Instant) -> Vec<Held> {
        let left = |at: Instant| at.saturating_duration_since(now).as_millis() as u64;
        let streams = self.streams.iter().map(|(id, stream)| Held {
            id: id.clone(),
            kind: HeldKind::Stream,
            owner: stream.attempt.owner.clone(),
            tokens: if stream.progress.running { stream.share } else { Tokens::ZERO },
            expires_ms: stream.progress.expires.map(left),
            offset: Some(stream.next),
        });
        let leases = self.leases.iter().map(|(id, lease)| Held {
            id: id.clone(),
            kind: lease.kind,
            owner: lease.owner.clone(),
            tokens: lease.tokens,
            expires_ms: Some(left(lease.expires)),
            offset: None,
        });
        streams.chain(leases).collect()
    }

    /// The load as of the last report.
    pub(crate) fn load(&self, now: Instant) -> Load {
        let age_ms = now.saturating_duration_since(self.reported_at).as_millis() as u64;
        Load { age_ms, ..self.reported.clone() }
    }

    /// Renews the load report once it is old enough.
    pub(crate) fn report_when_due(&mut self, now: Instant) {
        if now.saturating_duration_since(self.reported_at) >= self.load_lag {
            self.report(now);
        }
    }

    pub(crate) fn stats(&self) -> EngineStats {
        let running = self.streams.len() as u32;
        EngineStats { held: self.used(), running, ..self.counts }
    }

    pub(crate) fn die(&mut self) {
        if self.dead {
            return;
        }
        self.dead = true;
        self.counts.deaths += 1;
        let lost: Tokens = self.streams.values().map(|stream| stream.progress.prefilled).sum();
        self.counts.wasted += lost;
        self.streams.clear();
        self.leases.clear();
        self.cache = PrefixCache::default();
        self.order = None;
        self.ready = true;
    }

    pub(crate) fn revive(&mut self) {
        self.dead = false;
        self.frozen = false;
        self.leaving = false;
        self.incarnation = new_incarnation();
        self.report(Instant::now());
    }

    fn report(&mut self, now: Instant) {
        let waiting = self.streams.values().filter(|s| s.progress.expires.is_none());
        let waiting_prefill = waiting.map(|stream| match stream.progress.running {
            true => stream.progress.prefill_left,
            false => stream.prompt + Tokens(stream.next),
        });
        self.reported = Load {
            incarnation: self.incarnation,
            age_ms: 0,
            kv_total: self.kv_total,
            kv_used: self.used(),
            waiting_prefill: waiting_prefill.sum(),
            running: self.streams.len() as u32,
            leaving: self.leaving,
        };
        self.reported_at = now;
    }
}

/// Microseconds since the epoch: rises from life to life.
fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(now.as_micros() as u64)
}
