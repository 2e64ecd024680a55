//! What goes to the engines, and when.
//!
//! **Load pattern.** More waits than the engines do at once; what comes next may be more urgent
//! than what came before.
//!
//! **Without it.** A request that stands in an engine's queue can't be overtaken, moved or taken
//! back: the order is fixed when it is sent, by whoever sent most.
//!
//! **Rule.** An engine gets only so much prefill ahead that it doesn't run dry before it can get
//! more: a budget in predicted seconds for each band ([`BUDGET`]), not a number of requests. All
//! else waits here. Short prompts have the higher engine priority, so their budget counts
//! short ones only. The cost of an engine is the prompt's own predicted first token, weighted by
//! its class, and the delay of those that it would overtake there, weighted by theirs; so short
//! ones avoid engines with long prompts until that costs them as much as they spare.
//!
//! **Grounds.** A tenth of a second is several round trips within a region and several chunks of
//! prefill; what it adds to a short prompt's wait is below what a person notices. For longer bands
//! the budget is a few percent of their own prefill time.

use crate::{BANDS, Decision, EndpointId, FailCause, RequestId, Shard, Start, Time, Tokens};

use super::{
    Trefoilhall,
    class::Band,
    endpoint::Endpoint,
    request::{Attempt, Due, Entry, State},
    seconds,
};

/// Seconds of prefill that may stand before a newly sent prompt of each band.
pub(super) const BUDGET: [f64; BANDS] = [0.1, 0.2, 0.5, 2.0];
/// Workspaces whose first request is looked at before a lane counts as blocked. The first may be
/// barred from the only engine with room, because it failed there or needs more memory.
const LOOKAHEAD: usize = 4;
/// Relative difference of cost below which two endpoints count as equal and chance decides, so
/// that instances with the same view don't all pick the same one.
const EQUAL: f64 = 0.1;

/// Where a waiting request can go.
enum Place {
    /// Here, now.
    At(EndpointId),
    /// Nowhere yet.
    Later,
    /// Nowhere in time.
    TooLate,
}

/// An endpoint that has room for a request.
struct Choice<'a> {
    endpoint: &'a Endpoint,
    first_token: f64,
    cost: f64,
}

impl Trefoilhall {
    /// Starts what can be started, shortest band first.
    pub(super) fn dispatch(&mut self, now: Time) {
        if self.waiting == 0 {
            return;
        }
        self.fleet.advance(now);
        for band in Band::all() {
            while self.start_next(band.index(), now) {}
        }
    }

    /// Starts or gives up one request of a lane; false where the lane is empty or blocked.
    fn start_next(&mut self, lane: usize, now: Time) -> bool {
        let turns: Vec<_> = self.lanes[lane].turns().take(LOOKAHEAD).collect();
        for workspace in turns {
            let Some(first) = self.workspaces.get(workspace).lines[lane].first() else { continue };
            let Some(entry) = self.requests.get(&first.request) else { continue };
            match self.place(entry, now) {
                Place::At(endpoint) => {
                    self.start_on_one(first.request, &endpoint, now);
                    return true;
                }
                Place::TooLate => {
                    self.fail(first.request, FailCause::Deadline, now);
                    return true;
                }
                Place::Later => {}
            }
        }
        false
    }

    fn place(&self, entry: &Entry, now: Time) -> Place {
        let mut best: Option<Choice<'_>> = None;
        let mut least = f64::INFINITY;
        let mut equals = 1u64;
        for endpoint in self.fleet.endpoints.values() {
            let Some(choice) = self.choice(entry, endpoint, now) else { continue };
            least = least.min(choice.first_token);
            let limit = best.as_ref().map_or(f64::INFINITY, |best| best.cost);
            if choice.cost < limit * (1.0 - EQUAL) {
                equals = 1;
                best = Some(choice);
            } else if choice.cost < limit * (1.0 + EQUAL) {
                equals += 1;
                if self.draw(entry.req.id, equals) {
                    best = Some(choice);
                }
            }
        }
        let Some(best) = best else { return Place::Later };
        if !entry.is_trial && now + super::span(least) > entry.bound {
            return Place::TooLate;
        }
        Place::At(best.endpoint.id.clone())
    }

    /// One chance in `of`, drawn from the request and this instance's seed.
    fn draw(&self, request: RequestId, of: u64) -> bool {
        fastrand::Rng::with_seed(self.seed ^ request.0 ^ (of << 48)).u64(..of) == 0
    }

    /// The endpoint as a choice for `entry`, where it may get it now.
    fn choice<'a>(&self, entry: &Entry, endpoint: &'a Endpoint, now: Time) -> Option<Choice<'a>> {
        if !endpoint.usable() || endpoint.full_until > now {
            return None;
        }
        let band = entry.band;
        if band.is_long() && !endpoint.open_to_longs {
            return None;
        }
        let rate = self.fleet.rate(endpoint);
        if !has_budget(endpoint, band, rate) || endpoint.free() < entry.footprint() {
            return None;
        }
        if !entry.may_go_to(&endpoint.id, endpoint.incarnation) {
            return None;
        }
        let prefill = entry.prompt() / rate;
        let delayed = endpoint.delayed_by(band);
        let mut first_token = endpoint.lateness(seconds(now), rate) + 2.0 * endpoint.distance;
        if band.is_long() {
            let left = 1.0 - self.short_load();
            first_token += (endpoint.ahead(band) / rate + prefill) / left;
        } else {
            let step = if delayed > 0.0 { self.beside_longs.seconds() } else { 0.0 };
            first_token += endpoint.ahead(band) / rate + prefill + step;
        }
        let weights = &self.rules.weights;
        let own = if band.is_long() { weights.long_first_token } else { weights.short_slowdown };
        let cost = own * first_token + weights.long_first_token * prefill * delayed;
        Some(Choice { endpoint, first_token, cost })
    }

    fn start_on_one(&mut self, request: RequestId, endpoint: &EndpointId, now: Time) {
        let Some(entry) = self.requests.get(&request) else { return };
        let Some(endpoint) = self.fleet.get(endpoint) else { return };
        let shard = Shard {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            tokens: entry.req.footprint(),
        };
        self.start(request, vec![shard], now);
    }

    /// Starts a waiting request on `shards`, the first of which runs it.
    pub(super) fn start(&mut self, request: RequestId, shards: Vec<Shard>, now: Time) {
        self.leave_lane(request, true);
        let Some(entry) = self.requests.get_mut(&request) else { return };
        self.due.remove(&Due { at: entry.due, request });
        entry.due = entry.req.deadline;
        self.due.insert(Due { at: entry.due, request });
        entry.attempts += 1;
        let band = entry.band;
        let prefill = (entry.req.prompt + entry.passed_on).0 as f64;
        for shard in &shards {
            if let Some(endpoint) = self.fleet.get_mut(&shard.endpoint) {
                endpoint.hold(shard.tokens.0 as f64);
            }
        }
        let first = shards.first().and_then(|shard| self.fleet.get_mut(&shard.endpoint));
        let Some(endpoint) = first else { return };
        let attempt = Attempt {
            sent: now,
            ahead: endpoint.ahead(band),
            short_done: endpoint.short_done,
            beside_longs: !band.is_long() && endpoint.delayed_by(band) > 0.0,
            prefill,
            first_token: None,
            shards: shards.clone(),
        };
        endpoint.sent(band, prefill, now);
        endpoint.note_moment(now);
        entry.state = State::Running(attempt);
        self.decisions.push(Decision::Start(Start {
            request,
            attempt: entry.attempts,
            shards,
            priority: band.priority(),
        }));
        if band.is_long() {
            self.look_at_fleet(now);
        }
    }

    /// Takes a request out of its lane; `served` where that is because it starts.
    pub(super) fn leave_lane(&mut self, request: RequestId, served: bool) {
        let Some(entry) = self.requests.get(&request) else { return };
        let share = self.workspaces.share(entry.workspace);
        let line = &mut self.workspaces.get_mut(entry.workspace).lines[entry.lane];
        let lane = &mut self.lanes[entry.lane];
        if !lane.remove(share, line, entry.waiting(), entry.prompt()) {
            return;
        }
        self.waiting -= 1;
        // A further attempt of a request was paid for with the first.
        if served && entry.attempts == 0 {
            lane.charge(share, line, entry.cost);
        }
    }

    /// Ends the attempt under way, if any: its memory and prefill are free again.
    pub(super) fn release(&mut self, request: RequestId, now: Time) -> Option<Attempt> {
        let entry = self.requests.get_mut(&request)?;
        if !matches!(entry.state, State::Running(_)) {
            return None;
        }
        let State::Running(attempt) = std::mem::replace(&mut entry.state, State::Waiting) else {
            return None;
        };
        let band = entry.band;
        for (index, shard) in attempt.shards.iter().enumerate() {
            let Some(endpoint) = self.fleet.of(shard) else { continue };
            endpoint.release(shard.tokens.0 as f64);
            if index == 0 && attempt.first_token.is_none() {
                endpoint.prefilled(band, attempt.prefill);
            }
            endpoint.note_moment(now);
        }
        Some(attempt)
    }
}

/// Whether an engine may get one more prompt of `band`.
fn has_budget(endpoint: &Endpoint, band: Band, rate: f64) -> bool {
    let ahead = if band.is_long() { endpoint.longs_ahead(band) } else { endpoint.ahead(band) };
    ahead <= BUDGET[band.index()] * rate
}

/// Tokens as a whole number, rounded up.
pub(super) fn whole(tokens: f64) -> Tokens {
    Tokens(tokens.ceil().max(0.0) as u64)
}
