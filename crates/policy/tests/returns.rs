//! When the callers of refused requests are told to retry, and how retries are recognised.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use fastrand::Rng;
use policy::{
    Fingerprint, Time,
    placement::update_interval,
    returns::{
        DATAGRAM_BYTES, MAX_KNOWN, MAX_REPORTS, Promise, PromptClass, REFUSAL_TTL, REPORT_BYTES,
        RefusalReport, Refused, Return, Returns, SPAN,
    },
};

const EARLIEST: Duration = Duration::from_millis(250);
const TIME_LEFT: Duration = Duration::from_secs(9);
/// A third of it.
const LATEST: Duration = Duration::from_secs(3);

/// What one instance may receive a second of the news of refusals.
const MAX_BYTES_PER_S: f64 = 1_000.0;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn refused(class: PromptClass) -> Refused {
    Refused { class, earlier: None, earliest: EARLIEST, time_left: TIME_LEFT }
}

fn refused_again() -> Refused {
    let earlier = Return { first_refused_ago: Duration::from_secs(1), refusals: 1 };
    Refused { earlier: Some(earlier), ..refused(PromptClass::Short) }
}

/// An instance that has placed 20 short prompts a second until 20 s.
fn busy() -> Returns {
    let mut returns = Returns::new(7);
    (0..20_000).step_by(50).for_each(|ms| returns.record_placed(PromptClass::Short, at(ms)));
    returns
}

/// Promises by span. `now` has to be the beginning of one.
fn by_span<'a>(promises: impl IntoIterator<Item = &'a Promise>) -> Vec<usize> {
    let mut counts = vec![0; 33];
    for promise in promises {
        counts[promise.after.as_millis() as usize / SPAN.as_millis() as usize] += 1;
    }
    counts
}

/// Load: 100 requests are refused in the same moment, more than fit into the time of their callers.
#[test]
fn refused_together_they_return_one_after_another() {
    let mut returns = busy();
    let promises: Vec<_> =
        (0..100).map(|_| returns.promise(&refused(PromptClass::Short), 1, at(20_000))).collect();
    assert!(promises.iter().all(|promise| promise.after >= EARLIEST && promise.after <= LATEST));
    let (booked, rest): (Vec<_>, Vec<_>) = promises.iter().partition(|promise| promise.is_booked);
    // 20 a second are 5 in each span, and one more or less by the fractions that are carried over.
    let counts = by_span(booked.iter().copied());
    assert!(counts.iter().all(|count| *count <= 6), "{counts:?}");
    assert!(counts[1..12].iter().all(|count| *count >= 4), "{counts:?}");
    assert!(rest.iter().all(|promise| promise.after < EARLIEST + SPAN), "{rest:?}");
    let mut moments: Vec<_> = promises.iter().map(|promise| promise.after).collect();
    moments.sort();
    moments.dedup();
    assert!(moments.len() > 90, "{} different moments", moments.len());
}

/// Load: callers return as they were told, and some are refused again while others are refused for
/// the first time.
#[test]
fn refused_again_they_return_earlier() {
    let mut returns = busy();
    let first: Vec<_> =
        (0..30).map(|_| returns.promise(&refused(PromptClass::Short), 1, at(20_000))).collect();
    let again: Vec<_> = (0..10).map(|_| returns.promise(&refused_again(), 1, at(20_000))).collect();
    let later: Vec<_> =
        (0..30).map(|_| returns.promise(&refused(PromptClass::Short), 1, at(20_000))).collect();
    let latest_again = again.iter().map(|promise| promise.after).max().unwrap();
    let earliest_later = later.iter().filter(|promise| promise.is_booked).map(|p| p.after).min();
    assert!(latest_again < earliest_later.unwrap(), "{again:?} {later:?}");
    assert!(by_span(&first).iter().zip(by_span(&again)).all(|(first, again)| first + again <= 12));
    // They have taken the capacity of later spans, so that fewer requests fit in all.
    let booked_later = later.iter().filter(|promise| promise.is_booked).count();
    assert!((14..=26).contains(&booked_later), "{booked_later}");
}

/// Load: one caller after another returns and is refused again, until the horizon is booked.
#[test]
fn refused_again_they_get_no_more_than_the_capacity() {
    let mut returns = busy();
    let refused = Refused { time_left: 10 * TIME_LEFT, ..refused_again() };
    let promises: Vec<_> = (0..400).map(|_| returns.promise(&refused, 1, at(20_000))).collect();
    let booked: Vec<_> = promises.iter().filter(|promise| promise.is_booked).collect();
    assert!(booked.len() <= 8 * 20 + 2, "{}", booked.len());
    assert!(by_span(booked).iter().all(|count| *count <= 12));
}

/// Load: an instance refuses requests before it has placed any.
#[test]
fn a_fresh_instance_promises_one_a_second() {
    let mut returns = Returns::new(7);
    let promises: Vec<_> =
        (0..20).map(|_| returns.promise(&refused(PromptClass::Long), 86, at(1_000))).collect();
    assert!(promises[0].is_booked);
    assert!(promises.iter().filter(|promise| promise.is_booked).count() <= 3);
    assert!(promises.iter().all(|promise| promise.after <= LATEST));
}

/// Load: a burst after a minute without any request.
#[test]
fn an_idle_period_saves_up_no_capacity() {
    let mut returns = busy();
    returns.promise(&refused(PromptClass::Short), 1, at(20_000));
    let promises: Vec<_> =
        (0..50).map(|_| returns.promise(&refused(PromptClass::Short), 1, at(80_000))).collect();
    let booked = promises.iter().filter(|promise| promise.is_booked).count();
    assert!((1..=4).contains(&booked), "{booked}");
}

/// Load: the rate of placed requests falls to a tenth while many returns are promised.
#[test]
fn a_fall_in_the_rate_blocks_promises_for_seconds_at_most() {
    let mut returns = busy();
    let refused = Refused { time_left: 10 * TIME_LEFT, ..refused(PromptClass::Short) };
    for _ in 0..200 {
        returns.promise(&refused, 1, at(20_000));
    }
    (20_000..40_000).step_by(500).for_each(|ms| returns.record_placed(PromptClass::Short, at(ms)));
    assert!(returns.promise(&refused, 1, at(40_000)).is_booked);
}

/// Load: `per_s` requests a second are placed by all instances together, and twice as many refused,
/// each at any instance. Returns the most that were promised within 8 s, for any 8 s of half a
/// minute.
fn most_promised_in_8_s(instances: usize, class: PromptClass, per_s: u64) -> usize {
    let mut rng = Rng::with_seed(11);
    let mut site: Vec<_> = (0..instances as u64).map(Returns::new).collect();
    site.iter_mut().for_each(|instance| drop(instance.take_news(instances - 1, at(0))));
    let mut returns_at = Vec::new();
    for request in 0..per_s * 50 {
        let now = at(request * 1_000 / per_s);
        site[rng.usize(..instances)].record_placed(class, now);
        // All instances have measured their rate by then.
        for _ in 0..if now >= at(20_000) { 2 } else { 0 } {
            let instance = rng.usize(..instances);
            let promise = site[instance].promise(&refused(class), instances, now);
            returns_at.extend(promise.is_booked.then_some(now + promise.after));
        }
    }
    returns_at.sort();
    let within = |begin: Time| {
        returns_at.partition_point(|at| *at < begin + Duration::from_secs(8))
            - returns_at.partition_point(|at| *at < begin)
    };
    returns_at.iter().map(|begin| within(*begin)).max().unwrap_or_default()
}

macro_rules! sites {
    ($($name:ident: $instances:expr;)*) => {$(
        #[test]
        fn $name() {
            for (class, per_s) in [(PromptClass::Short, 114), (PromptClass::Long, 12)] {
                let most = most_promised_in_8_s($instances, class, per_s);
                // One request a second is what all instances may promise at least.
                let capacity = 8 * (per_s as usize + 1);
                assert!(most <= capacity, "{class:?}: {most} of {capacity}");
                if $instances == 4 {
                    assert!(most >= capacity / 2, "{class:?}: {most} of {capacity}");
                }
            }
        }
    )*};
}

sites! {
    four_instances_promise_no_more_than_the_sites_capacity: 4;
    many_instances_promise_no_more_than_the_sites_capacity: 86;
    a_fleet_promises_no_more_than_the_sites_capacity: 985;
}

/// Bytes a second that an instance receives on average, if requests are refused from `begin` to
/// `end`, `per_s` a second by all instances together.
fn bytes_received_per_s(instances: usize, per_s: u64, begin: u64, end: u64) -> f64 {
    let mut rng = Rng::with_seed(11);
    let mut site: Vec<_> = (0..instances as u64).map(Returns::new).collect();
    let interval = update_interval(instances - 1).as_millis() as u64;
    let (mut bytes, mut refused_ms) = (0, begin);
    for now in (0..end).step_by(interval as usize) {
        while refused_ms < now {
            let fingerprint = Fingerprint(rng.u128(..));
            site[rng.usize(..instances)].record_refusal(fingerprint, at(refused_ms));
            refused_ms += 1_000 / per_s;
        }
        for instance in &mut site {
            let reports = instance.take_news(instances - 1, at(now));
            assert!(reports.len() <= MAX_REPORTS);
            if !reports.is_empty() {
                bytes += DATAGRAM_BYTES + REPORT_BYTES * reports.len();
            }
        }
    }
    let received = bytes as f64 * (instances - 1) as f64 / instances as f64;
    received * 1_000.0 / (end - begin) as f64
}

/// Load: 100 refusals a second in all, and ten times as many.
#[test]
fn news_keep_to_their_bytes_a_second() {
    for instances in [4, 86, 985] {
        for per_s in [100, 1_000] {
            let bytes = bytes_received_per_s(instances, per_s, 0, 62_000);
            assert!(bytes < MAX_BYTES_PER_S, "{instances} instances, {per_s}/s: {bytes}");
            assert!(bytes > 0.0, "{instances} instances, {per_s}/s");
        }
    }
}

/// Load: many refusals after a quiet minute. Their average over the first seconds is subject to
/// chance; the bound is a quarter of what one datagram from each instance would take.
#[test]
fn a_quiet_time_saves_up_no_news() {
    let bytes = bytes_received_per_s(985, 1_000, 62_000, 69_000);
    let one_each = 984.0 * (DATAGRAM_BYTES + REPORT_BYTES) as f64 / 7.0;
    assert!(bytes < one_each / 4.0, "{bytes} of {one_each}");
}

const REQUEST: Fingerprint = Fingerprint(0x5eed << 64 | 0x1234_5678_9abc_def0);

/// An instance that has refused `REQUEST` at 10 s, and its news of it.
fn refusing() -> (Returns, Vec<RefusalReport>) {
    let mut returns = Returns::new(1);
    returns.record_refusal(REQUEST, at(10_000));
    // With one other instance, all bytes may go there.
    let news = returns.take_news(1, at(10_100));
    assert_eq!(news.len(), 1);
    (returns, news)
}

fn refusals(returns: &Returns, now: Time) -> u8 {
    returns.returned(REQUEST, now).map_or(0, |earlier| earlier.refusals)
}

#[test]
fn a_refusal_is_recognised_until_the_request_is_served_or_15_s_are_over() {
    let (mut returns, _) = refusing();
    let first_refused_ago = Duration::from_secs(2);
    assert_eq!(
        returns.returned(REQUEST, at(12_000)),
        Some(Return { first_refused_ago, refusals: 1 })
    );
    assert_eq!(returns.returned(Fingerprint(1), at(12_000)), None);
    returns.record_refusal(REQUEST, at(12_000));
    assert_eq!(refusals(&returns, at(24_999)), 2);
    assert_eq!(refusals(&returns, at(10_000) + REFUSAL_TTL), 0);
    returns.record_served(REQUEST, at(13_000));
    assert_eq!(refusals(&returns, at(13_000)), 0);
}

/// Guards against retries that lose their place because they arrive at another instance.
#[test]
fn news_tell_when_a_request_was_first_refused_and_how_often() {
    let (_, news) = refusing();
    let mut peer = Returns::new(2);
    // Lost news: the request counts as new.
    assert_eq!(refusals(&peer, at(10_200)), 0);
    peer.apply_news(&news, at(10_200));
    let told = peer.returned(REQUEST, at(10_200)).unwrap();
    assert_eq!(told, Return { first_refused_ago: Duration::from_millis(100), refusals: 1 });
    // Repeated and late news change nothing.
    for now in [10_200, 10_250, 14_000] {
        peer.apply_news(&news, at(now));
        assert_eq!(refusals(&peer, at(now)), 1);
    }
    assert!(peer.returned(REQUEST, at(14_000)).unwrap().first_refused_ago.as_millis() == 3_900);
    peer.record_refusal(REQUEST, at(14_000));
    assert_eq!(refusals(&peer, at(14_000)), 2);
    peer.apply_news(&news, at(14_100));
    assert_eq!(refusals(&peer, at(14_100)), 2);
}

/// Guards against a served request that counts as refused by news that were under way.
#[test]
fn news_from_before_a_request_was_served_change_nothing() {
    let (mut returns, news) = refusing();
    returns.record_served(REQUEST, at(10_150));
    returns.apply_news(&news, at(10_200));
    assert_eq!(refusals(&returns, at(10_200)), 0);
    returns.record_refusal(REQUEST, at(10_300));
    assert_eq!(refusals(&returns, at(10_300)), 1);
}

/// Guards against values from other instances that keep a request first for ever, or fill memory.
#[test]
fn absurd_values_have_bounded_effects() {
    let mut returns = Returns::new(1);
    let report = RefusalReport { fingerprint: REQUEST.0 as u64, age_ms: 1, refusals: 0 };
    returns.apply_news(&[report], at(0));
    assert_eq!(refusals(&returns, at(0)), 0);
    returns.apply_news(&[RefusalReport { refusals: 9, age_ms: u16::MAX, ..report }], at(20_000));
    assert_eq!(refusals(&returns, at(20_000)), 0);
    returns.apply_news(&[RefusalReport { refusals: u8::MAX, ..report }], at(0));
    assert_eq!(refusals(&returns, at(0)), 60);
    let flood: Vec<_> =
        (0..40).map(|fingerprint| RefusalReport { fingerprint, refusals: 1, ..report }).collect();
    returns.apply_news(&flood, at(0));
    assert_eq!(returns.returned(Fingerprint(39), at(0)), None);
    for (earliest, time_left) in [
        (Duration::MAX, Duration::MAX),
        (Duration::MAX, Duration::ZERO),
        (EARLIEST, Duration::ZERO),
    ] {
        let refused = Refused { earliest, time_left, ..refused(PromptClass::Short) };
        assert!(returns.promise(&refused, 0, at(1_000)).after <= time_left / 3);
    }
    // The clock doesn't go back, but a lock may be taken in another order.
    assert!(returns.promise(&refused(PromptClass::Short), 1, at(900)).after <= LATEST);
}

/// Load: more refusals than an instance remembers.
#[test]
fn the_oldest_refusals_are_forgotten_first() {
    let mut returns = Returns::new(1);
    let count = MAX_KNOWN as u128 + 100;
    (0..count).for_each(|i| returns.record_refusal(Fingerprint(i), at(1_000 + i as u64)));
    let now = at(1_000 + count as u64);
    let known = (0..count).filter(|i| returns.returned(Fingerprint(*i), now).is_some());
    assert_eq!(known.collect::<Vec<_>>(), (100..count).collect::<Vec<_>>());
}
