//! Retries of refused requests: when their callers are told to retry, and which requests are
//! retries.
//!
//! **Load pattern.** Load flips within seconds, and an instance refuses dozens of requests at once.
//! Their callers retry as `Retry-After` tells them, once or twice, usually at another instance.
//!
//! **Without it.** Each caller is told when there may be room for one request. All of them retry
//! then, and all but one are refused again. New requests take the place of those that have waited.
//!
//! **Rule.** `Retry-After` reserves capacity in spans of a quarter of a second. A span's capacity is
//! what this instance has placed lately, by class. A caller gets the earliest span with capacity
//! that it can still use. A request that was refused before may be told an earlier span, up to twice
//! the span's capacity; it takes the capacity of a later one. If nothing is left, the caller is told
//! the earliest moment that may have room, and nothing is reserved. Instances tell each other which
//! requests they have refused, so that a retry is recognised where it arrives.
//!
//! **Grounds.** What an instance places is its part of the site's capacity: each instance reserves
//! only within its own part, so all of them together stay within the site's, without messages. Only
//! fractions of a request are carried over from an unused span, because new requests have used the
//! rest. News of refusals may be lost, since a retry that isn't recognised only counts as new. The
//! bytes received by an instance are bounded for any number of instances (`docs/CAPACITY.md`).

use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    Fingerprint, Time,
    placement::{DecayingSum, update_interval},
};

/// Length of the spans in which capacity is reserved.
pub const SPAN: Duration = Duration::from_millis(250);

/// Number of spans that can be reserved, the current one included: callers wait for a third of their
/// time, and few have more than 24 s.
pub const SPANS: usize = 32;

/// Half-life of the rate of placed requests: loads flip every ten seconds.
pub const RATE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Share of the measured rate that is reserved. The measured rate of 30 requests a second at random
/// times varies by 5%, and what was promised at a higher one stays promised.
pub const RESERVED_SHARE: f64 = 0.95;

/// Requests a second of each class that a fresh instance reserves before it has measured its rate,
/// and that all other instances together reserve at least.
pub const MIN_RATE_PER_S: f64 = 1.0;

/// Part of the time that a caller has left for which it waits at most.
const MAX_WAIT_DIVISOR: u32 = 3;

/// How long a refusal is remembered: the longest usual deadline.
pub const REFUSAL_TTL: Duration = Duration::from_secs(15);

/// Maximum number of requests that are remembered.
pub const MAX_KNOWN: usize = 4_096;

/// Maximum number of refusals in one datagram, and that wait to be sent.
pub const MAX_REPORTS: usize = 32;

/// How long a refusal may wait to be sent. Most callers have retried by then.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Bytes of refusals that an instance receives a second, on average, if all others send what they
/// may. Sending is drawn by chance, which took up to a fifth more within a minute; 1 KB is allowed.
pub const NEWS_BYTES_PER_S: f64 = 800.0;

/// Upper bound of the encoded length of a refusal.
pub const REPORT_BYTES: usize = 13;

/// Upper bound of what a datagram adds to its refusals.
pub const DATAGRAM_BYTES: usize = 18;

/// Upper bound of the refusals that a peer may state: one in each span while it is remembered.
const MAX_REFUSALS: u8 = 60;

/// Prompts compete with others of their class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PromptClass {
    /// May be prefilled whole on an engine that decodes.
    Short,
    /// All others.
    Long,
}

/// A request that was refused before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    /// Time since its first refusal.
    pub first_refused_ago: Duration,
    /// How often it was refused, as far as this instance knows.
    pub refusals: u8,
}

/// A request that is being refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Class of its prompt.
    pub class: PromptClass,
    /// Earlier refusals of the same request.
    pub earlier: Option<Return>,
    /// How long until there may be room for it, at the earliest.
    pub earliest: Duration,
    /// Time until its caller's deadline.
    pub time_left: Duration,
}

/// When a caller is told to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// Time until then.
    pub after: Duration,
    /// Capacity is reserved for the retry. False if all of it was reserved for others.
    pub is_booked: bool,
}

/// A refusal in a message to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalReport {
    /// Lower half of the request's fingerprint.
    pub fingerprint: u64,
    /// Milliseconds since its first refusal.
    pub age_ms: u16,
    /// How often it was refused.
    pub refusals: u8,
}

/// Reserved capacity and refused requests of one endpoint group.
#[derive(Debug)]
pub struct Returns {
    short: Spans,
    long: Spans,
    known: IndexMap<u64, Known>,
    /// When this group was first found to be contended.
    began: Option<Time>,
    /// Requests whose refusal isn't sent yet, with the time of their latest one.
    unsent: IndexMap<u64, Time>,
    news_taken_at: Time,
    rng: Rng,
}

/// What is known of a request.
#[derive(Debug, Clone, Copy)]
enum Known {
    Refused {
        first: Time,
        refusals: u8,
    },
    /// Refusals before this time no longer count.
    Served(Time),
}

impl Known {
    fn since(self) -> Time {
        match self {
            Known::Refused { first, .. } => first,
            Known::Served(at) => at,
        }
    }

    fn is_expired(self, now: Time) -> bool {
        now.since(self.since()) >= REFUSAL_TTL
    }
}

impl Returns {
    /// Nothing reserved, and no request known. `seed` initialises the random generator.
    pub fn new(seed: u64) -> Returns {
        Returns {
            short: Spans::new(),
            long: Spans::new(),
            known: IndexMap::new(),
            began: None,
            unsent: IndexMap::new(),
            news_taken_at: Time::ZERO,
            rng: Rng::with_seed(seed),
        }
    }

    /// Records that this instance has placed a request.
    pub fn record_placed(&mut self, class: PromptClass, now: Time) {
        self.began.get_or_insert(now);
        self.spans(class).placed.add(1.0, now);
    }

    /// Reserves capacity for the retry of a refused request. `instances` is the number of instances
    /// that may do so, this one included.
    pub fn promise(&mut self, refused: &Refused, instances: usize, now: Time) -> Promise {
        let latest = now + refused.time_left / MAX_WAIT_DIVISOR;
        let earliest = (now + refused.earliest).min(latest);
        let min_rate = self.min_rate(instances, now);
        let spans = self.spans(refused.class);
        let per_span = (RESERVED_SHARE * spans.placed.rate(now)).max(min_rate) * SPAN.as_secs_f64();
        spans.advance(per_span, now);
        let span = spans.find(per_span, earliest, latest, refused.earlier.is_some());
        let (begin, end) = match span {
            Some(index) => {
                spans.booked[index] += 1;
                let begin = spans.start(index);
                (begin.max(earliest), begin + SPAN)
            }
            None => (earliest, earliest + SPAN),
        };
        // Callers that are refused together don't return together.
        let end = end.0.saturating_sub(1).min(latest.0).max(begin.0);
        let at = Time(self.rng.u64(begin.0..=end));
        Promise { after: at.since(now), is_booked: span.is_some() }
    }

    /// Records that this instance has refused a request.
    pub fn record_refusal(&mut self, fingerprint: Fingerprint, now: Time) {
        let key = key(fingerprint);
        let (first, refusals) = match self.refused(key, now) {
            Some((first, refusals)) => (first, refusals.saturating_add(1).min(MAX_REFUSALS)),
            None => (now, 1),
        };
        self.insert(key, Known::Refused { first, refusals }, now);
        self.unsent.shift_remove(&key);
        if self.unsent.len() >= MAX_REPORTS {
            self.unsent.shift_remove_index(0);
        }
        self.unsent.insert(key, now);
    }

    /// Earlier refusals of a request, here or at other instances.
    pub fn returned(&self, fingerprint: Fingerprint, now: Time) -> Option<Return> {
        let (first, refusals) = self.refused(key(fingerprint), now)?;
        Some(Return { first_refused_ago: now.since(first), refusals })
    }

    /// Records that a request has been served, so that its refusals no longer count.
    pub fn record_served(&mut self, fingerprint: Fingerprint, now: Time) {
        let key = key(fingerprint);
        self.unsent.shift_remove(&key);
        if let Some(known) = self.known.get_mut(&key) {
            // News of the refusals may still arrive.
            *known = Known::Served(now);
        }
    }

    /// Takes the refusals to send to all other instances now. `senders` is the number of queues of
    /// refusals, at all other instances, from which each instance receives.
    ///
    /// Each refusal is sent once. A datagram is sent with the probability that keeps the average
    /// within [`NEWS_BYTES_PER_S`]. Unused bytes aren't saved up, because after a quiet time all
    /// instances would spend their savings in the same second.
    pub fn take_news(&mut self, senders: usize, now: Time) -> Vec<RefusalReport> {
        let interval = now.since(self.news_taken_at).min(update_interval(senders));
        self.news_taken_at = now;
        self.began.get_or_insert(now);
        self.known.retain(|_, known| !known.is_expired(now));
        self.unsent.retain(|_, refused_at| now.since(*refused_at) < REPORT_TTL);
        if self.unsent.is_empty() || senders == 0 {
            return Vec::new();
        }
        let allowed = NEWS_BYTES_PER_S / senders as f64 * interval.as_secs_f64();
        let needed = DATAGRAM_BYTES + REPORT_BYTES * self.unsent.len();
        if self.rng.f64() * needed as f64 >= allowed {
            return Vec::new();
        }
        let unsent = std::mem::take(&mut self.unsent);
        unsent.keys().filter_map(|key| self.report(*key, now)).collect()
    }

    /// Applies the refusals that another instance has sent. Repetition and order don't matter.
    pub fn apply_news(&mut self, reports: &[RefusalReport], now: Time) {
        for report in reports.iter().take(MAX_REPORTS) {
            let age = Duration::from_millis(report.age_ms.into());
            if report.refusals == 0 || age >= REFUSAL_TTL {
                continue;
            }
            let told = Time(now.0.saturating_sub(age.as_micros() as u64));
            let told_refusals = report.refusals.min(MAX_REFUSALS);
            let known = self.known.get(&report.fingerprint).filter(|known| !known.is_expired(now));
            let (first, refusals) = match known {
                Some(Known::Served(at)) if told <= *at => continue,
                Some(Known::Refused { first, refusals }) => {
                    (told.min(*first), told_refusals.max(*refusals))
                }
                _ => (told, told_refusals),
            };
            self.insert(report.fingerprint, Known::Refused { first, refusals }, now);
        }
    }

    /// Requests a second of each class for which capacity is reserved at least.
    fn min_rate(&mut self, instances: usize, now: Time) -> f64 {
        let is_fresh = now.since(*self.began.get_or_insert(now)) < RATE_HALF_LIFE;
        let sharing = if is_fresh { 1 } else { instances.max(1) };
        MIN_RATE_PER_S / sharing as f64
    }

    fn spans(&mut self, class: PromptClass) -> &mut Spans {
        match class {
            PromptClass::Short => &mut self.short,
            PromptClass::Long => &mut self.long,
        }
    }

    /// When a request was first refused, and how often.
    fn refused(&self, key: u64, now: Time) -> Option<(Time, u8)> {
        match *self.known.get(&key)? {
            known if known.is_expired(now) => None,
            Known::Refused { first, refusals } => Some((first, refusals)),
            Known::Served(_) => None,
        }
    }

    fn report(&self, key: u64, now: Time) -> Option<RefusalReport> {
        let (first, refusals) = self.refused(key, now)?;
        let age_ms = u16::try_from(now.since(first).as_millis()).ok()?;
        Some(RefusalReport { fingerprint: key, age_ms, refusals })
    }

    /// Inserts what is known of a request; forgets the oldest one if there are too many.
    fn insert(&mut self, key: u64, known: Known, now: Time) {
        if self.known.len() >= MAX_KNOWN && !self.known.contains_key(&key) {
            self.known.retain(|_, known| !known.is_expired(now));
        }
        if self.known.len() >= MAX_KNOWN && !self.known.contains_key(&key) {
            let oldest = self.known.values().enumerate().min_by_key(|(_, known)| known.since());
            if let Some((index, _)) = oldest {
                self.known.swap_remove_index(index);
            }
        }
        self.known.insert(key, known);
    }
}

/// The half of a fingerprint by which requests are told apart.
fn key(fingerprint: Fingerprint) -> u64 {
    fingerprint.0 as u64
}

/// Reserved capacity of one class.
#[derive(Debug)]
struct Spans {
    placed: DecayingSum,
    /// Number of the current span, counted from the origin of the time scale.
    current: u64,
    /// Requests that were promised each span from the current one on.
    booked: [u32; SPANS],
    /// Requests carried over to the current span: a fraction of one, or less than zero if earlier
    /// spans were booked beyond their capacity.
    carried: f64,
}

impl Spans {
    fn new() -> Spans {
        Spans {
            placed: DecayingSum::new(RATE_HALF_LIFE),
            current: 0,
            booked: [0; SPANS],
            carried: 0.0,
        }
    }

    fn start(&self, index: usize) -> Time {
        Time((self.current + index as u64).saturating_mul(SPAN.as_micros() as u64))
    }

    /// Drops the spans that are over.
    fn advance(&mut self, per_span: f64, now: Time) {
        let current = now.0 / SPAN.as_micros() as u64;
        let passed = current.saturating_sub(self.current).min(SPANS as u64) as usize;
        // Promises made at a higher rate must not block new ones for longer than spans that are
        // booked twice over would.
        let max_excess = (per_span * SPANS as f64 / 2.0).max(1.0);
        for booked in &self.booked[..passed] {
            self.carried = carry_over(self.carried, per_span, *booked).max(-max_excess);
        }
        self.booked.rotate_left(passed);
        self.booked[SPANS - passed..].fill(0);
        self.current = self.current.max(current);
    }

    /// The earliest span between two points in time that has capacity.
    fn find(
        &self,
        per_span: f64,
        earliest: Time,
        latest: Time,
        has_returned: bool,
    ) -> Option<usize> {
        let total = self.carried + per_span * SPANS as f64;
        let takes_later_capacity =
            has_returned && f64::from(self.booked.iter().sum::<u32>()) + 1.0 <= total;
        let mut carried = self.carried;
        for (index, booked) in self.booked.iter().enumerate() {
            let start = self.start(index);
            if start > latest {
                return None;
            }
            let own = (carried.max(0.0) + per_span).floor();
            let limit = if takes_later_capacity { 2.0 * own } else { (carried + per_span).floor() };
            if start + SPAN > earliest && f64::from(*booked) + 1.0 <= limit {
                return Some(index);
            }
            carried = carry_over(carried, per_span, *booked);
        }
        None
    }
}

/// Requests carried over from a span to the next one.
fn carry_over(carried: f64, per_span: f64, booked: u32) -> f64 {
    let available = carried + per_span;
    (available - f64::from(booked)).min(available.rem_euclid(1.0))
}
