//! What one engine reads in which order, followed and foretold.
//!
//! **Load pattern.** Dossiers are read in parts by a dozen engines each, and several are under way at
//! once, so each engine has parts of more than one.
//!
//! **Without it.** An engine reads the part that came last first, whatever it has begun: taken for a
//! queue, it looks as if the earlier dossier came first, and each new one is sent on top of those that
//! wait. Their first events then come up to ten seconds later than foretold.
//!
//! **Rule.** An engine on which nobody writes reads the newest part of a split prompt first and whole
//! prompts after all parts. One on which somebody writes works in passes, each of which reads what has
//! come before it begins in the same order, up to its number of tokens.
//!
//! **Grounds.** `docs/decisions/arrangement.md` compares the orders.

use crate::routes::EngineRules;

/// Passes that are followed in one go. An engine that nothing was heard of for longer starts
/// afresh, which errs towards idle.
const MAX_PASSES: usize = 64;

/// Names a request's parts on all engines and instances.
pub type PartKey = u64;

/// A part of a prompt that waits to be read. Times are milliseconds of the instance's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Part {
    /// Whose part it is.
    pub(super) key: PartKey,
    /// When it reaches the engine; parts of requests that are held for a while come later.
    pub(super) arrives: f64,
    /// Milliseconds of reading.
    pub(super) ms: f64,
    /// Tokens to read.
    pub(super) tokens: f64,
    /// It is one of several, and read before whatever waits.
    pub(super) overtakes: bool,
    /// The request runs here, so that it writes here once it is read.
    pub(super) is_head: bool,
    /// When its request's first event is late.
    pub(super) due: f64,
    /// How long after its placement that is.
    pub(super) goal: f64,
    /// When all parts of its request were expected to have been read.
    pub(super) ready: f64,
    /// What its request's being late costs.
    pub(super) weight: f64,
    /// The longest pass beside writers that has read of it.
    pub(super) longest: Pass,
}

/// A pass beside writers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Pass {
    /// Milliseconds that it takes.
    pub(super) ms: f64,
    /// Milliseconds of it that read one part.
    pub(super) part_ms: f64,
}

/// What a part is and when it has been read.
#[derive(Debug, Clone, Copy)]
pub(super) struct Read {
    pub(super) part: Part,
    pub(super) at: f64,
}

/// The reading of one engine.
#[derive(Debug, Clone)]
pub(super) struct Reading {
    /// Up to when it has been followed; beyond now where a pass is under way.
    at: f64,
    /// Parts, or what the pass under way leaves of them.
    waiting: Vec<Part>,
    /// What the pass under way reads.
    in_pass: Vec<Part>,
}

/// How long passes take there.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tempo<'a> {
    pub(super) rules: &'a EngineRules,
    /// How many times slower than its figures it is.
    pub(super) pace: f64,
    /// Requests that run or wait there, those that are being read included.
    pub(super) running: u32,
}

impl Tempo<'_> {
    fn pass_ms(self, writers: u32) -> f64 {
        self.rules.pass_ms(writers, self.rules.usual_context) * self.pace
    }
}

impl Reading {
    pub(super) fn new(now: f64) -> Reading {
        Reading { at: now, waiting: Vec::new(), in_pass: Vec::new() }
    }

    pub(super) fn add(&mut self, part: Part) {
        self.waiting.push(part);
    }

    /// Takes back a request's part, wherever it stands, and tells whether there was one. What the
    /// pass under way reads of it ends with it, as an engine drops a prompt whose caller is gone.
    pub(super) fn take_back(&mut self, key: PartKey, now: f64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|part| part.key != key);
        let under_way = self.in_pass.iter().position(|part| part.key == key);
        if let Some(index) = under_way.filter(|_| self.at > now) {
            let part = self.in_pass.swap_remove(index);
            self.at -= part.ms.min(self.at - now);
            return true;
        }
        self.waiting.len() < before
    }

    /// An event tells that a pass began at `began`, so the engine is busy for a pass at least. It never
    /// ends one sooner than foretold: first events come in the middle of passes as well, and a pass cut
    /// short here would lose what it reads.
    pub(super) fn pass_began(&mut self, began: f64, tempo: Tempo<'_>) {
        let ends = began + tempo.pass_ms(self.writers(tempo.running).max(1));
        self.at = self.at.max(ends);
    }

    /// Of the requests that run there, those that have been read.
    pub(super) fn writers(&self, running: u32) -> u32 {
        let unread = self.waiting.iter().filter(|part| part.is_head).count();
        running.saturating_sub(u32::try_from(unread).unwrap_or(u32::MAX))
    }

    /// When everything that waits will have been read, with `more` besides.
    pub(super) fn foretell(&self, tempo: Tempo<'_>, now: f64, more: Option<Part>) -> Vec<Read> {
        let mut ahead = self.clone();
        ahead.run(tempo, now, |_| {});
        ahead.waiting.extend(more);
        let unread = ahead.waiting.clone();
        let mut reads = Vec::with_capacity(unread.len());
        ahead.run(tempo, f64::INFINITY, |read| reads.push(read));
        for read in &mut reads {
            // What is left of a part when it is done says nothing.
            let whole = unread.iter().find(|part| part.key == read.part.key);
            read.part.ms = whole.map_or(read.part.ms, |part| part.ms);
        }
        reads
    }

    /// Follows the engine until `until`, or until nothing waits, and tells what it reads.
    pub(super) fn run(&mut self, tempo: Tempo<'_>, until: f64, mut done: impl FnMut(Read)) {
        let mut writers = self.writers(tempo.running);
        for _ in 0..MAX_PASSES {
            if self.at >= until || until.is_infinite() && self.waiting.is_empty() {
                return;
            }
            if writers == 0 {
                match self.read_one(until) {
                    Some(read) => {
                        writers += u32::from(read.part.is_head);
                        done(read);
                    }
                    None if self.at >= until => return,
                    None => continue,
                }
            } else {
                writers += self.read_pass(tempo, writers, &mut done);
            }
        }
        if until.is_finite() {
            self.at = until;
        }
    }

    /// Reads on one part until it is done, another arrives, or `until`. Tells the part that is done.
    fn read_one(&mut self, until: f64) -> Option<Read> {
        let now = self.at;
        let next_arrival = self.waiting.iter().map(|part| part.arrives).filter(|at| *at > now);
        let next = next_arrival.fold(until, f64::min);
        let Some(index) = self.first_to_read(now) else {
            self.at = next;
            return None;
        };
        let part = &mut self.waiting[index];
        if now + part.ms > next {
            part.read(next - now);
            self.at = next;
            return None;
        }
        self.at = now + part.ms;
        let part = self.waiting.remove(index);
        Some(Read { part, at: self.at })
    }

    /// The newest part of a split prompt, or else the oldest whole one.
    fn first_to_read(&self, now: f64) -> Option<usize> {
        let here = || self.waiting.iter().enumerate().filter(|(_, part)| part.arrives <= now);
        let by_arrival =
            |a: &(usize, &Part), b: &(usize, &Part)| a.1.arrives.total_cmp(&b.1.arrives);
        let newest = here().filter(|(_, part)| part.overtakes).max_by(by_arrival);
        let first = newest.or_else(|| here().min_by(by_arrival));
        first.map(|(index, _)| index)
    }

    /// Plays one pass with writers, and tells how many more there are after it.
    fn read_pass(&mut self, tempo: Tempo<'_>, writers: u32, done: &mut impl FnMut(Read)) -> u32 {
        let begins = self.at;
        let mut room = tempo.rules.pass_tokens().max(1.0);
        let mut reading_ms = 0.0;
        let mut whole = Vec::new();
        self.in_pass.clear();
        while room > 0.0
            && let Some(index) = self.first_to_read(begins)
        {
            let part = &mut self.waiting[index];
            let share = (room / part.tokens.max(1.0)).min(1.0);
            let ms = part.ms * share;
            room -= part.tokens.max(1.0) * share;
            reading_ms += ms;
            self.in_pass.push(Part { ms, ..*part });
            if share < 1.0 {
                part.read(ms);
                break;
            }
            whole.push(self.waiting.remove(index));
        }
        let pass_ms = reading_ms + tempo.pass_ms(writers);
        self.at = begins + pass_ms;
        for read in &self.in_pass {
            let left = self.waiting.iter_mut().chain(&mut whole).find(|part| part.key == read.key);
            if let Some(part) = left.filter(|part| pass_ms > part.longest.ms) {
                part.longest = Pass { ms: pass_ms, part_ms: read.ms };
            }
        }
        let heads = whole.iter().filter(|part| part.is_head).count();
        for part in whole {
            done(Read { part, at: self.at });
        }
        u32::try_from(heads).unwrap_or(u32::MAX)
    }
}

impl Part {
    /// Milliseconds of it have been read.
    fn read(&mut self, ms: f64) {
        let share = (ms / self.ms.max(f64::MIN_POSITIVE)).min(1.0);
        self.tokens *= 1.0 - share;
        self.ms -= ms;
    }
}
