//! Who reads for whom, and that nothing is ever believed to be fresher than it is.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use fastrand::Rng;
use policy::{
    DataCentre, InstanceId,
    vouch::{Position, Vouch, Word, readers},
};

fn instance(name: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{name:03}")).unwrap()
}

fn centre(name: &str) -> DataCentre {
    DataCentre::new(name).unwrap()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    one_reads_for_a_small_site => || {
        let all: Vec<_> = (0..4).map(|i| (instance(i), centre(["a", "b"][i % 2]))).collect();
        let asked = |i: usize| {
            let others: Vec<_> = all.iter().filter(|(name, _)| *name != instance(i)).cloned().collect();
            readers(&instance(i), &all[i].1, &others)
        };
        assert_eq!(asked(0), Vec::new());
        assert_eq!(asked(1), vec![instance(0)]);
        assert_eq!(asked(3), vec![instance(0), instance(1)]);
    };

    one_in_each_data_centre_reads_for_a_large_site => || {
        let all: Vec<_> = (0..30).map(|i| (instance(i), centre(["a", "b", "c"][i % 3]))).collect();
        let turns = (0..30).filter(|i| {
            let others: Vec<_> = all.iter().filter(|(name, _)| *name != instance(*i)).cloned().collect();
            readers(&instance(*i), &all[*i].1, &others).is_empty()
        });
        assert_eq!(turns.collect::<Vec<_>>(), vec![0, 1, 2]);
    };

    who_has_read_less_is_told_so => || {
        let vouch = Vouch { position: Position(7), age: Duration::ZERO };
        assert_eq!(vouch.says_of(Position(6), Duration::ZERO), Word::Behind);
        let age = Duration::from_millis(300);
        assert_eq!(vouch.says_of(Position(7), age), Word::Complete(age));
        assert_eq!(vouch.says_of(Position(8), age), Word::Complete(age));
    };

    /// A key is taken away while instances ask each other instead of the log. Words are late, doubled and
    /// lost, and instances are suspended in the middle of a question, an answer and a reading. Nobody may
    /// ever believe to know everything up to a moment when something that it lacks was there already.
    nothing_looks_fresher_than_it_is => || {
        for seed in 0..400 {
            Schedule::new(seed).run(3_000);
        }
    };
}

/// One millisecond a step; instances act at random moments and are suspended at random.
struct Schedule {
    rng: Rng,
    now: u64,
    /// When each record was acknowledged.
    log: Vec<u64>,
    instances: Vec<Instance>,
    words: Vec<(u64, usize, Message)>,
}

#[derive(Clone, Default)]
struct Instance {
    position: u64,
    as_of: u64,
    suspended_until: u64,
    /// A reading under way: when it was sent, what it found, when it is back.
    reading: Option<(u64, u64, u64)>,
    asked: Option<u64>,
    inbox: Vec<Message>,
}

#[derive(Clone)]
enum Message {
    Question { from: usize, asked: u64 },
    Answer { asked: u64, vouch: Vouch },
}

impl Schedule {
    fn new(seed: u64) -> Schedule {
        let instances = vec![Instance::default(); 4];
        Schedule {
            rng: Rng::with_seed(seed),
            now: 0,
            log: Vec::new(),
            instances,
            words: Vec::new(),
        }
    }

    fn run(&mut self, steps: u64) {
        for now in 1..=steps {
            self.now = now;
            if self.rng.u32(..200) == 0 {
                self.log.push(now);
            }
            self.deliver();
            for i in 0..self.instances.len() {
                self.step(i);
                self.check(i);
            }
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        if self.rng.u32(..10) == 0 {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.u32(..10) == 0) {
            let late =
                if self.rng.u32(..8) == 0 { self.rng.u64(..600) } else { self.rng.u64(1..4) };
            self.words.push((self.now + late, to, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.words).into_iter().partition(|(at, ..)| *at <= now);
        self.words = later;
        let due: Vec<(u64, usize, Message)> = due;
        due.into_iter().for_each(|(_, to, message)| self.instances[to].inbox.push(message));
    }

    fn step(&mut self, i: usize) {
        if self.instances[i].suspended_until > self.now {
            return;
        }
        if self.rng.u32(..300) == 0 {
            self.instances[i].suspended_until = self.now + self.rng.u64(50..900);
            return;
        }
        for message in std::mem::take(&mut self.instances[i].inbox) {
            self.take(i, message);
        }
        self.read(i);
        if self.rng.u32(..40) == 0 {
            let to = self.rng.usize(..self.instances.len());
            self.instances[i].asked = Some(self.now);
            self.send(to, Message::Question { from: i, asked: self.now });
        }
    }

    /// A reading finds what is there at some moment while it is under way.
    fn read(&mut self, i: usize) {
        let now = self.now;
        let end = self.log.len() as u64;
        let back_after = self.rng.u64(1..200);
        let starts = self.rng.u32(..150) == 0;
        let me = &mut self.instances[i];
        match me.reading {
            Some((sent, found, back)) if back <= now => {
                me.position = me.position.max(found);
                me.as_of = me.as_of.max(sent);
                me.reading = None;
            }
            None if starts => me.reading = Some((now, end, now + back_after)),
            _ => {}
        }
    }

    fn take(&mut self, i: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Question { from, asked } => {
                let me = &self.instances[i];
                let age = Duration::from_millis(now - me.as_of);
                let vouch = Vouch { position: Position(me.position), age };
                self.send(from, Message::Answer { asked, vouch });
            }
            Message::Answer { asked, vouch } => {
                let me = &mut self.instances[i];
                if me.asked != Some(asked) {
                    return;
                }
                let since = Duration::from_millis(now - asked);
                if let Word::Complete(age) = vouch.says_of(Position(me.position), since) {
                    let age = u64::try_from(age.as_millis()).unwrap();
                    me.as_of = me.as_of.max(now.saturating_sub(age));
                }
            }
        }
    }

    fn check(&self, i: usize) {
        let me = &self.instances[i];
        let missing = self.log.get(usize::try_from(me.position).unwrap()..).unwrap_or_default();
        assert!(
            missing.iter().all(|acknowledged| *acknowledged >= me.as_of),
            "instance {i} believes to know all before {} and lacks what came at {missing:?}",
            me.as_of
        );
    }
}
