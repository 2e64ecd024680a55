//! A simple model engine: prefill in chunks by priority, concurrent decoding, limited memory.

use policy::{Incarnation, LoadReport, Priority, RequestId, Time, Tokens};

/// Prefill tokens of one chunk; a chunk isn't interrupted.
const CHUNK_TOKENS: f64 = 512.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Key {
    pub instance: usize,
    pub request: RequestId,
    pub attempt: u32,
}

#[derive(Debug)]
pub struct Job {
    pub key: Key,
    pub priority: Priority,
    pub memory: u64,
    pub prefill: f64,
    pub cached: f64,
    pub output: f64,
    pub prefix: Vec<u64>,
    pub running: bool,
    pub first: bool,
}

#[derive(Debug)]
pub enum EngineEvent {
    First(Key, Tokens),
    Done(Key),
}

pub struct Engine {
    pub name: String,
    pub incarnation: Incarnation,
    pub rate: f64,
    pub decode: f64,
    pub memory: u64,
    pub reserved: Vec<(Key, u64)>,
    pub jobs: Vec<Job>,
    pub dead: bool,
    /// Whether every call fails at once.
    pub broken: bool,
    pub prefilled: f64,
    chunk: Option<(Key, f64)>,
    cache: Vec<u64>,
    reports: Vec<LoadReport>,
}

impl Engine {
    pub fn new(name: &str, rate: f64, memory: u64) -> Engine {
        Engine {
            name: name.to_owned(),
            incarnation: Incarnation(1),
            rate,
            decode: 50.0,
            memory,
            reserved: Vec::new(),
            jobs: Vec::new(),
            dead: false,
            broken: false,
            prefilled: 0.0,
            chunk: None,
            cache: Vec::new(),
            reports: Vec::new(),
        }
    }

    pub fn held(&self) -> u64 {
        let running = self.jobs.iter().filter(|job| job.running).map(|job| job.memory);
        running.sum::<u64>() + self.reserved.iter().map(|(_, tokens)| tokens).sum::<u64>()
    }

    pub fn add(&mut self, mut job: Job) {
        let known = job.prefix.iter().take_while(|block| self.cache.contains(block)).count();
        job.cached = (known as f64 * 256.0).min(job.prefill - 1.0);
        job.prefill -= job.cached;
        self.jobs.push(job);
    }

    pub fn remove(&mut self, key: Key) {
        self.jobs.retain(|job| job.key != key);
        self.reserved.retain(|(owner, _)| *owner != key);
    }

    pub fn step(&mut self, dt: f64) -> Vec<EngineEvent> {
        self.start_waiting_jobs();
        let mut events = Vec::new();
        self.decode(dt, &mut events);
        let mut capacity = self.rate * dt;
        while capacity > 0.0 {
            let Some((key, left)) = self.chunk.take().or_else(|| self.next_chunk()) else { break };
            let Some(job) = self.jobs.iter_mut().find(|job| job.key == key) else { continue };
            let done = left.min(capacity);
            capacity -= done;
            job.prefill -= done;
            self.prefilled += done;
            if job.prefill <= 0.0 {
                job.first = true;
                events.push(EngineEvent::First(key, Tokens(job.cached as u64)));
                self.cache.extend(job.prefix.iter().copied());
                let excess = self.cache.len().saturating_sub(2_000);
                self.cache.drain(..excess);
            } else if left > done {
                self.chunk = Some((key, left - done));
            }
        }
        events
    }

    /// Takes a report at `now`, and returns the one taken before it, as reports arrive late.
    pub fn report(&mut self, now: Time) -> Option<LoadReport> {
        self.reports.push(LoadReport {
            endpoint: self.name.parse().unwrap(),
            incarnation: self.incarnation,
            taken: now,
            kv_total: Tokens(self.memory),
            kv_used: Tokens(self.held()),
            waiting_prefill: Tokens(
                self.jobs.iter().map(|job| job.prefill.max(0.0)).sum::<f64>() as u64
            ),
            running: self.jobs.len() as u32,
            leaving: false,
        });
        (self.reports.len() > 1).then(|| self.reports.remove(0))
    }

    fn start_waiting_jobs(&mut self) {
        let mut free = self.memory.saturating_sub(self.held());
        let mut order: Vec<usize> =
            (0..self.jobs.len()).filter(|i| !self.jobs[*i].running).collect();
        order.sort_by_key(|index| std::cmp::Reverse(self.jobs[*index].priority));
        for index in order {
            let job = &mut self.jobs[index];
            if job.memory > free {
                break;
            }
            free -= job.memory;
            job.running = true;
        }
    }

    fn decode(&mut self, dt: f64, events: &mut Vec<EngineEvent>) {
        for job in self.jobs.iter_mut().filter(|job| job.first) {
            job.output -= self.decode * dt;
            if job.output <= 0.0 {
                events.push(EngineEvent::Done(job.key));
            }
        }
        self.jobs.retain(|job| job.output > 0.0);
    }

    fn next_chunk(&self) -> Option<(Key, f64)> {
        let waiting = self.jobs.iter().filter(|job| job.running && !job.first);
        let highest = waiting.clone().map(|job| job.priority).max()?;
        let mut first = waiting.filter(|job| job.priority == highest);
        first.next().map(|job| (job.key, CHUNK_TOKENS.min(job.prefill)))
    }
}
