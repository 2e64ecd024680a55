//! Limits on the requests that all instances together send to one endpoint.
//!
//! **Load pattern.** An endpoint bears only a few requests a second for a while: it has just started,
//! or says so in its answers. Up to a thousand instances may send there.
//!
//! **Without it.** The endpoint gets few requests, so it looks idle to all instances, and all of them
//! send their next request there.
//!
//! **Rule.** Each instance sends at most its [quota](crate::instances::Instances::quota) in any
//! window. Where there are more instances than requests, rendezvous hashing chooses those that may
//! send one. Unused quota isn't saved up, because the savings of hundreds of instances could be
//! spent in the same second. An instance that doesn't know the others sends nothing.
//!
//! **Grounds.** Instances that are silent still count for minutes, so a cut between them doesn't
//! raise anyone's quota. Windows are a tenth longer than those in which endpoints count, because
//! requests are delayed by different times on their way.

use std::{collections::VecDeque, time::Duration};

use crate::Time;

/// Span in which a cold endpoint counts its requests.
const COLD_SPAN: Duration = Duration::from_secs(1);

/// Share of a cold endpoint's limit that is handed out. The rest covers instances whose views of
/// each other differ.
const COLD_SHARE: f64 = 0.8;

/// Span in which an endpoint that names a limit counts its requests.
const NAMED_SPAN: Duration = Duration::from_secs(4);

/// What such an endpoint bears: this multiple of the limit that it names, and some more requests in
/// each span.
const NAMED_FACTOR: f64 = 1.5;
const NAMED_SLACK: f64 = 5.0;

/// Share of that which is handed out. The rest also covers instances that haven't heard of the
/// limit.
const NAMED_SHARE: f64 = 0.7;

/// Ratio of a window to the span in which the endpoint counts.
const WINDOW_MARGIN: f64 = 1.1;

/// A number of requests that all instances together may send to an endpoint in any window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedLimit {
    /// Requests within the window.
    pub requests: usize,
    /// Length of the window.
    pub window: Duration,
}

impl SharedLimit {
    /// The limit of a cold endpoint that bears `per_s` requests a second.
    pub fn of_cold(per_s: f64) -> SharedLimit {
        SharedLimit {
            requests: (per_s * COLD_SHARE) as usize,
            window: COLD_SPAN.mul_f64(WINDOW_MARGIN),
        }
    }

    /// The limit of an endpoint that names `per_s` requests a second. One that names zero still gets
    /// a request now and then, whose answer shows when the limit has ended.
    pub fn of_named(per_s: f64) -> SharedLimit {
        let borne = NAMED_FACTOR * per_s * NAMED_SPAN.as_secs_f64() + NAMED_SLACK;
        let requests = if per_s > 0.0 { (NAMED_SHARE * borne).round() as usize } else { 1 };
        SharedLimit { requests, window: NAMED_SPAN.mul_f64(WINDOW_MARGIN) }
    }

    /// The longest window of any limit.
    fn longest_window() -> Duration {
        NAMED_SPAN.max(COLD_SPAN).mul_f64(WINDOW_MARGIN)
    }
}

/// When this instance sent its latest requests to an endpoint, in order of time. Some of them may
/// still have to be sent.
#[derive(Debug, Default)]
pub struct SentRequests(VecDeque<Time>);

impl SentRequests {
    /// Records a request that is sent at `at`.
    pub fn record(&mut self, at: Time, now: Time) {
        let longest = SharedLimit::longest_window();
        while self.0.front().is_some_and(|sent| now.since(*sent) >= longest) {
            self.0.pop_front();
        }
        let index = self.0.partition_point(|sent| *sent <= at);
        self.0.insert(index, at);
    }

    /// How long until one more request keeps to `quota` requests in any `window`; zero if it does
    /// now.
    pub fn time_until_allowed(&self, quota: usize, window: Duration, now: Time) -> Duration {
        let old = self.0.partition_point(|sent| now.since(*sent) >= window);
        let counted = self.0.len() - old;
        if counted < quota {
            return Duration::ZERO;
        }
        match quota {
            0 => window,
            _ => (self.0[old + counted - quota] + window).since(now),
        }
    }
}
