//! The calls of an engine.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http_types::{Method, Request, Response, StatusCode};
use policy::Tokens;
use protocols::{
    engine::wire::{
        CachePage, ENGINE_INCARNATION, ExportCall, HeldKind, HeldPage, ImportCall, KvExport,
        LEAVING, Order, OrderState, Release, Renew, Reserve, Reserved,
    },
    http::HttpCall,
};
use smol::Timer;

use crate::{
    engine::{
        Shared,
        run::{held_at, try_run},
        state::{Lease, State},
    },
    http::{Handler, Refused, Reply, json, lock, query, query_text, read_json},
    weights::WeightSize,
};

/// How long a call to the weight store may take.
const CALL: Duration = Duration::from_secs(2);
/// How often weights are asked for again while the store is busy.
const WEIGHT_TRIES: u32 = 100;
/// How often a paused engine looks whether it may go on.
const PAUSE: Duration = Duration::from_millis(2);
/// Tokens of KV cache moved between engines in a second.
const IMPORT_RATE: f64 = 4e6;

/// Answers the calls of one engine.
pub(crate) struct Api(pub(crate) Arc<Shared>);

impl Handler for Api {
    async fn handle(&self, mut req: Request) -> Reply {
        while lock(&self.0.state).frozen {
            Timer::after(PAUSE).await;
        }
        let path = req.url().path().to_owned();
        let resp = match (req.method(), path.as_str()) {
            (Method::Post, "/v1/completions" | "/v1/chat/completions") => self.run(&mut req).await,
            (Method::Get, "/engine/load") => Ok(json(&self.state(|s, now| s.load(now)))),
            (Method::Get, "/engine/held") => Ok(json(&self.held(&req))),
            (Method::Post, "/engine/release") => self.release(&mut req).await,
            (Method::Post, "/engine/renew") => self.renew(&mut req).await,
            (Method::Post, "/engine/reserve") => self.reserve(&mut req).await,
            (Method::Get, "/engine/cache") => Ok(json(&self.cache_page(query(&req, "from")))),
            (Method::Post, "/engine/kv/export") => self.export(&mut req).await,
            (Method::Post, "/engine/kv/import") => self.import(&mut req).await,
            (Method::Get, "/engine/orders") => Ok(json(&self.state(|s, _| s.order_state()))),
            (Method::Post, "/engine/orders") => self.order(&mut req).await,
            _ => Err(Refused::new(StatusCode::NotFound, "no such call")),
        };
        self.mark(resp.unwrap_or_else(Response::from)).into()
    }
}

impl Api {
    fn state<T>(&self, look: impl FnOnce(&mut State, Instant) -> T) -> T {
        let answer = look(&mut lock(&self.0.state), Instant::now());
        self.0.work.notify_all();
        answer
    }

    fn mark(&self, mut resp: Response) -> Response {
        let state = lock(&self.0.state);
        resp.insert_header(ENGINE_INCARNATION, state.incarnation.to_string());
        if state.leaving {
            resp.insert_header(LEAVING, "1");
        }
        resp
    }

    fn held(&self, req: &Request) -> HeldPage {
        let max = query(req, "max").map_or(usize::MAX, |max| max as usize);
        let after = query_text(req, "after").unwrap_or_default();
        self.state(|s, now| s.held_page(&after, max, now))
    }

    async fn run(&self, req: &mut Request) -> Result<Response, Refused> {
        let answer = try_run(&self.0, req).await;
        if answer.is_err() {
            lock(&self.0.state).counts.refused += 1;
        }
        answer
    }

    async fn release(&self, req: &mut Request) -> Result<Response, Refused> {
        let call: Release = read_json(req).await?;
        self.state(|state, _| call.ids.iter().for_each(|id| state.release(id)));
        Ok(json(&call))
    }

    async fn renew(&self, req: &mut Request) -> Result<Response, Refused> {
        let call: Renew = read_json(req).await?;
        let span = Duration::from_millis(call.lease_ms);
        self.state(|state, now| state.renew(&call, now + span));
        Ok(json(&call))
    }

    async fn reserve(&self, req: &mut Request) -> Result<Response, Refused> {
        let call: Reserve = read_json(req).await?;
        let incarnation = self.state(|state, now| {
            let lease = Lease {
                kind: HeldKind::Reservation,
                owner: call.owner.clone(),
                tokens: call.tokens,
                expires: now + Duration::from_millis(call.lease_ms),
                prefix: Vec::new(),
            };
            state.hold(&call.id, lease, now).then_some(state.incarnation)
        });
        incarnation.map(|incarnation| json(&Reserved { incarnation })).ok_or_else(no_room)
    }

    fn cache_page(&self, from: Option<u64>) -> CachePage {
        let from = from.unwrap_or(0);
        let lag = self.0.cfg.cache_lag;
        self.state(|state, now| {
            let events = state.cache.page(from, lag, now);
            let next = events.last().map_or(from, |event| event.sequence + 1);
            CachePage { incarnation: state.incarnation, next, events }
        })
    }

    async fn export(&self, req: &mut Request) -> Result<Response, Refused> {
        let call: ExportCall = read_json(req).await?;
        let source = self.0.host.address();
        let export = self.state(|state, now| state.export(&call, source, now));
        export.map(|export| json(&export)).ok_or_else(no_room)
    }

    async fn import(&self, req: &mut Request) -> Result<Response, Refused> {
        let call: ImportCall = read_json(req).await?;
        if held_at(call.export.source, &call.export.id).await.is_none() {
            return Err(Refused::new(StatusCode::Conflict, "the export is gone"));
        }
        Timer::after(Duration::from_secs_f64(call.export.tokens.0 as f64 / IMPORT_RATE)).await;
        let held = self.state(|state, now| {
            let lease = Lease {
                kind: HeldKind::Import,
                owner: call.owner.clone(),
                tokens: call.export.tokens,
                expires: now + Duration::from_millis(call.lease_ms),
                prefix: call.export.prefix.clone(),
            };
            state.hold(&format!("import/{}", call.export.id), lease, now)
        });
        held.then(|| json(&call.export)).ok_or_else(no_room)
    }

    async fn order(&self, req: &mut Request) -> Result<Response, Refused> {
        let order: Order = read_json(req).await?;
        let at_once = self.0.cfg.weights.is_none();
        let taken = self.state(|state, _| state.take_order(&order, at_once));
        let taken =
            taken.ok_or_else(|| Refused::new(StatusCode::Conflict, "the fencing number is old"))?;
        if let Some(weights) = self.0.cfg.weights
            && !taken.ready
        {
            self.0.host.spawn(load_weights(self.0.clone(), weights, order));
        }
        Ok(json(&taken))
    }
}

impl State {
    fn held_page(&self, after: &str, max: usize, now: Instant) -> HeldPage {
        let mut held = self.listing(now);
        held.sort_by(|one, other| one.id.cmp(&other.id));
        held.retain(|entry| entry.id.as_str() > after);
        let has_more = held.len() > max;
        held.truncate(max);
        let next = held.last().filter(|_| has_more).map(|entry| entry.id.clone());
        HeldPage { incarnation: self.incarnation, held, next }
    }

    fn export(&mut self, call: &ExportCall, source: SocketAddr, now: Instant) -> Option<KvExport> {
        let stream = self.streams.get(&call.stream)?;
        if !stream.progress.running || stream.progress.prefill_left > Tokens::ZERO {
            return None;
        }
        let id = format!("export/{}", call.stream);
        let tokens = stream.prompt + Tokens(stream.next);
        let prefix = stream.prefix.clone();
        let expires = now + Duration::from_millis(call.lease_ms);
        let (kind, owner) = (HeldKind::Export, call.owner.clone());
        let lease = Lease { kind, owner, tokens, expires, prefix: Vec::new() };
        let held = self.hold(&id, lease, now);
        held.then_some(KvExport { id, source, tokens, prefix })
    }

    fn order_state(&self) -> OrderState {
        OrderState { incarnation: self.incarnation, order: self.order.clone(), ready: self.ready }
    }

    /// Takes an order, or refuses it for its old fencing number.
    fn take_order(&mut self, order: &Order, at_once: bool) -> Option<OrderState> {
        let old = self.order.as_ref().is_some_and(|known| known.fencing > order.fencing);
        if old && self.checks_fencing {
            return None;
        }
        self.counts.stale_orders += u64::from(old);
        self.counts.orders += 1;
        let same = |known: &Order| (&known.model, &known.version) == (&order.model, &order.version);
        let loaded = self.order.as_ref().is_some_and(same) && self.ready;
        self.ready = loaded || at_once;
        self.order = Some(order.clone());
        Some(self.order_state())
    }
}

fn no_room() -> Refused {
    Refused::new(StatusCode::Conflict, "there is no room, or no such stream")
}

/// Fetches weights from the store, as often as its rate limit asks for, and makes the engine ready.
async fn load_weights(shared: Arc<Shared>, store: SocketAddr, order: Order) {
    let path = format!("/weights/{}/{}", order.model, order.version);
    for _ in 0..WEIGHT_TRIES {
        let answer = HttpCall::get(store, &path, CALL).send().await;
        let Ok(answer) = answer else {
            Timer::after(CALL).await;
            continue;
        };
        if answer.status == 429 {
            Timer::after(answer.retry_after.unwrap_or(CALL)).await;
            continue;
        }
        let Ok(weights) = answer.json::<WeightSize>() else { return };
        let span = weights.bytes as f64 / shared.cfg.weight_rate;
        Timer::after(Duration::from_secs_f64(span.clamp(0.0, 600.0))).await;
        let mut state = lock(&shared.state);
        let wanted = state.order.as_ref() == Some(&order);
        state.ready |= wanted;
        return;
    }
}
