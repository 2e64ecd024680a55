//! Generates the calls of callers and evaluates their results.

use std::{collections::BTreeSet, time::Duration};

use fastrand::Rng;
use policy::{CallKind, Fingerprint, RequestId, RequestSpec, Time, Tokens};

use super::{Call, CallResult, World, workspace};

/// A stream of calls of one kind.
#[derive(Clone)]
pub struct Stream {
    pub tag: &'static str,
    pub workspace: &'static str,
    /// Calls per second.
    pub rate: f64,
    pub from: f64,
    pub to: f64,
    pub prompt: u64,
    pub output: f64,
    /// Seconds from arrival.
    pub first_token_within: f64,
    pub deadline: f64,
    pub prefix: Vec<u64>,
}

impl Stream {
    pub fn short_prompts(rate: f64, to: f64) -> Stream {
        Stream {
            tag: "short",
            workspace: "clerks",
            rate,
            from: 0.0,
            to,
            prompt: 1_000,
            output: 20.0,
            first_token_within: 2.0,
            deadline: 10.0,
            prefix: Vec::new(),
        }
    }

    pub fn long_prompts(rate: f64, to: f64) -> Stream {
        Stream {
            tag: "long",
            workspace: "dossiers",
            rate,
            prompt: 100_000,
            output: 100.0,
            first_token_within: 120.0,
            deadline: 150.0,
            ..Stream::short_prompts(rate, to)
        }
    }

    /// The calls at random times, with prompts between 0.5 and 1.5 times the given size.
    pub fn calls(&self, seed: u64) -> Vec<Call> {
        let mut rng = Rng::with_seed(seed);
        let mut calls = Vec::new();
        let mut at = self.from;
        loop {
            at += -(1.0 - rng.f64()).ln() / self.rate;
            if at >= self.to {
                return calls;
            }
            let id = RequestId((seed << 32) + calls.len() as u64);
            calls.push(self.call(id, at, rng.f64() + 0.5));
        }
    }

    pub fn call(&self, id: RequestId, at: f64, size: f64) -> Call {
        let arrived = Time((at * 1e6) as u64);
        let spec = RequestSpec {
            id,
            workspace: workspace(self.workspace),
            kind: CallKind::Model("m".parse().unwrap()),
            prompt: Tokens((self.prompt as f64 * size) as u64),
            max_output: Tokens((self.output * 2.0) as u64),
            arrived,
            deadline: arrived + Duration::from_secs_f64(self.deadline),
            first_token_by: Some(arrived + Duration::from_secs_f64(self.first_token_within)),
            prefix: self.prefix.clone(),
            fingerprint: Fingerprint(u128::from(id.0)),
            repeatable: true,
        };
        Call { spec, output: self.output, tag: self.tag }
    }
}

/// The calls of several streams.
pub fn mix(streams: &[Stream]) -> Vec<Call> {
    streams.iter().enumerate().flat_map(|(seed, s)| s.calls(seed as u64 + 1)).collect()
}

impl World {
    pub fn of<'a>(&'a self, tag: &'a str) -> impl Iterator<Item = &'a CallResult> + Clone {
        self.received.values().filter(move |received| received.tag == tag)
    }

    /// A quantile of the time to first token in seconds. A caller that never got a first token
    /// counts as having waited until its deadline.
    pub fn ttft(&self, tag: &str, quantile: f64) -> f64 {
        let wait =
            |r: &CallResult| r.ttft().unwrap_or_else(|| r.deadline.since(r.arrived).as_secs_f64());
        let served = self.of(tag).filter(|r| r.refused.is_none());
        let mut waits: Vec<f64> = served.map(wait).collect();
        waits.sort_by(f64::total_cmp);
        let last = waits.len().saturating_sub(1);
        waits.get((quantile * last as f64).round() as usize).copied().unwrap_or(f64::INFINITY)
    }

    /// Number of calls that finished and whose first token met its deadline.
    pub fn in_time(&self, tag: &str) -> usize {
        self.of(tag).filter(|received| received.in_time()).count()
    }

    /// One line per kind of call, for the messages of failed checks.
    pub fn summary(&self) -> String {
        let line = |tag: &str| {
            let (n, refused, failed) = (self.count(tag), self.refused(tag), self.failed(tag));
            let (p50, p99) = (self.ttft(tag, 0.5), self.ttft(tag, 0.99));
            let in_time = self.in_time(tag);
            format!(
                "{tag}: {in_time} of {n} in time, {refused} refused, {failed} failed, {p50} {p99}"
            )
        };
        let tags: BTreeSet<&str> = self.received.values().map(|received| received.tag).collect();
        tags.into_iter().map(line).collect::<Vec<_>>().join("\n")
    }

    pub fn count(&self, tag: &str) -> usize {
        self.of(tag).count()
    }

    pub fn refused(&self, tag: &str) -> usize {
        self.of(tag).filter(|received| received.refused.is_some()).count()
    }

    pub fn failed(&self, tag: &str) -> usize {
        self.of(tag).filter(|received| received.failed.is_some()).count()
    }

    /// Number of admitted calls that neither finished nor failed by their deadline.
    pub fn past_deadline(&self) -> usize {
        let ended = |r: &&CallResult| {
            let end = r.finished.or(r.failed.map(|(at, _)| at));
            r.refused.is_none() && end.is_none_or(|end| end > r.deadline + Duration::from_millis(5))
        };
        self.received.values().filter(ended).count()
    }
}
