//! One model engine, by the figures that its operators publish.
//!
//! An engine on which nobody writes reads in steps of one chunk, the newest part of a split prompt
//! first and whole prompts after all parts. Where somebody writes it works in passes of a fixed number
//! of steps, each of which reads at most a chunk; an event of every stream comes with the end of a pass.
//! Memory isn't emulated.
//!
//! The order of reading stands a second time in `policy::placement`, which only believes what an engine
//! does. Sharing it would hide every mistake in that belief from the experiments.

use std::collections::VecDeque;

use policy::routes::EngineRules;

/// Milliseconds from the end of reading to a first event where nobody else writes: half a pass.
const FIRST_EVENT_PASSES: f64 = 0.5;

/// Names a run of a request.
pub type RunId = usize;

/// A part of a prompt as it reaches an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptPart {
    /// Whose part it is.
    pub run: RunId,
    /// Milliseconds of reading.
    pub ms: f64,
    /// Tokens.
    pub tokens: f64,
    /// It is one of several.
    pub is_split: bool,
    /// The run's answer is written here.
    pub is_head: bool,
}

#[derive(Debug, Clone, Copy)]
struct Writer {
    run: RunId,
    events_left: u32,
    /// Thousands of tokens.
    context: f64,
}

/// What came of an engine's last activity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// A part has been read.
    Read(RunId),
    /// An event of an answer.
    Event(RunId),
    /// Its last event.
    Last(RunId),
}

#[derive(Debug)]
struct Activity {
    /// What is read, and how much of it.
    reads: Vec<(RunId, f64)>,
    writes: bool,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    rules: EngineRules,
    /// Parts to read, in the order of their arrival.
    parts: Vec<PromptPart>,
    /// Runs that wait for a slot.
    queue: VecDeque<PromptPart>,
    /// Runs that hold a slot and don't write yet.
    reading: Vec<RunId>,
    writers: Vec<Writer>,
    activity: Option<Activity>,
}

impl Engine {
    /// An idle engine.
    pub fn new(rules: EngineRules) -> Engine {
        Engine {
            rules,
            parts: Vec::new(),
            queue: VecDeque::new(),
            reading: Vec::new(),
            writers: Vec::new(),
            activity: None,
        }
    }

    /// Whether it waits for work.
    pub fn is_idle(&self) -> bool {
        self.activity.is_none()
    }

    /// Whether it reads parts for as many others as it has slots, and refuses one more.
    pub fn helps_enough(&self) -> bool {
        let helping = self.parts.iter().filter(|part| !part.is_head).count();
        helping >= self.rules.slots as usize
    }

    /// A part arrives.
    pub fn arrive(&mut self, part: PromptPart) {
        if !part.is_head {
            self.parts.push(part);
            return;
        }
        self.queue.push_back(part);
        self.admit();
    }

    /// All parts of a run whose answer is written here have been read.
    pub fn write(&mut self, run: RunId, events: u32, prompt: u64) {
        self.reading.retain(|reading| *reading != run);
        let context = prompt as f64 / 1000.0;
        self.writers.push(Writer { run, events_left: events, context });
    }

    /// A run is over before its end; its place is free at once.
    pub fn cancel(&mut self, run: RunId) {
        self.reading.retain(|reading| *reading != run);
        self.parts.retain(|part| part.run != run);
        self.queue.retain(|part| part.run != run);
        self.writers.retain(|writer| writer.run != run);
        self.admit();
    }

    /// Begins whatever there is to do, and tells how many milliseconds it takes.
    pub fn begin(&mut self) -> Option<f64> {
        let writes = !self.writers.is_empty();
        if !writes && self.parts.is_empty() {
            return None;
        }
        let room = match writes {
            true => self.rules.max_prefill_tokens_per_pass(),
            false => f64::from(self.rules.chunk_tokens),
        };
        let (reads, reading_ms) = self.take(room);
        let writing_ms = if writes { self.pass_ms() } else { 0.0 };
        self.activity = Some(Activity { reads, writes });
        Some(reading_ms + writing_ms)
    }

    /// Ends what was begun.
    pub fn finish(&mut self) -> Vec<EngineEvent> {
        let Some(Activity { reads, writes }) = self.activity.take() else { return Vec::new() };
        let mut happened = Vec::new();
        for (run, ms) in reads {
            let Some(index) = self.parts.iter().position(|part| part.run == run) else { continue };
            let part = &mut self.parts[index];
            let share = ms / part.ms.max(f64::MIN_POSITIVE);
            if share >= 1.0 - 1e-9 {
                self.parts.remove(index);
                happened.push(EngineEvent::Read(run));
            } else {
                part.tokens *= 1.0 - share;
                part.ms -= ms;
            }
        }
        if writes {
            self.write_events(&mut happened);
        }
        happened
    }

    /// Milliseconds until the first event of a run that has just been read.
    pub fn first_event_ms(&self) -> f64 {
        if self.writers.len() > 1 { 0.0 } else { FIRST_EVENT_PASSES * self.pass_ms() }
    }

    fn write_events(&mut self, happened: &mut Vec<EngineEvent>) {
        for writer in &mut self.writers {
            writer.events_left = writer.events_left.saturating_sub(1);
            happened.push(match writer.events_left {
                0 => EngineEvent::Last(writer.run),
                _ => EngineEvent::Event(writer.run),
            });
        }
        self.writers.retain(|writer| writer.events_left > 0);
        self.admit();
    }

    fn admit(&mut self) {
        while self.reading.len() + self.writers.len() < self.rules.slots as usize
            && let Some(part) = self.queue.pop_front()
        {
            self.reading.push(part.run);
            self.parts.push(part);
        }
    }

    /// What the next `room` tokens are of, and how long they take.
    fn take(&self, mut room: f64) -> (Vec<(RunId, f64)>, f64) {
        let split = self.parts.iter().rev().filter(|part| part.is_split);
        let whole = self.parts.iter().filter(|part| !part.is_split);
        let (mut reads, mut total_ms) = (Vec::new(), 0.0);
        for part in split.chain(whole) {
            if room <= 0.0 {
                break;
            }
            let share = (room / part.tokens.max(1.0)).min(1.0);
            room -= part.tokens.max(1.0) * share;
            total_ms += part.ms * share;
            reads.push((part.run, part.ms * share));
        }
        (reads, total_ms)
    }

    fn pass_ms(&self) -> f64 {
        let thousands = self.writers.iter().map(|writer| writer.context).sum();
        self.rules
            .pass_ms_with_context(u32::try_from(self.writers.len()).unwrap_or(u32::MAX), thousands)
    }
}
