//! Which instances read the log for which others, and that no state ever counts as fresher than it
//! is.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use fastrand::Rng;
use policy::{
    DataCentre, InstanceId,
    freshness::{Freshness, FreshnessCheck, Position, query_targets},
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
        let targets = |i: usize| {
            let others: Vec<_> = all.iter().filter(|(name, _)| *name != instance(i)).cloned().collect();
            query_targets(&instance(i), &all[i].1, &others)
        };
        assert_eq!(targets(0), Vec::new());
        assert_eq!(targets(1), vec![instance(0)]);
        assert_eq!(targets(3), vec![instance(0), instance(1)]);
    };

    one_in_each_data_centre_reads_for_a_large_site => || {
        let all: Vec<_> = (0..30).map(|i| (instance(i), centre(["a", "b", "c"][i % 3]))).collect();
        let reader_indexes = (0..30).filter(|i| {
            let others: Vec<_> = all.iter().filter(|(name, _)| *name != instance(*i)).cloned().collect();
            query_targets(&instance(*i), &all[*i].1, &others).is_empty()
        });
        assert_eq!(reader_indexes.collect::<Vec<_>>(), vec![0, 1, 2]);
    };

    an_instance_that_has_read_less_is_behind => || {
        let freshness = Freshness { position: Position(7), age: Duration::ZERO };
        assert_eq!(freshness.check(Position(6), Duration::ZERO), FreshnessCheck::Behind);
        let age = Duration::from_millis(300);
        assert_eq!(freshness.check(Position(7), age), FreshnessCheck::Complete(age));
        assert_eq!(freshness.check(Position(8), age), FreshnessCheck::Complete(age));
    };

    /// Guards against using a revoked key. Instances query each other and take over what peers have
    /// read, while messages are delayed, duplicated and lost, and instances are suspended in the
    /// middle of a query, a reply, a read and a transfer. No instance may count as complete up to a
    /// time when an entry that it lacks existed already, and no instance's position may go back.
    nothing_looks_fresher_than_it_is => || {
        let mut transfers = 0;
        for seed in 0..400 {
            let mut schedule = Schedule::new(seed);
            schedule.run(3_000);
            transfers += schedule.instances.iter().map(|instance| instance.transfers).sum::<usize>();
        }
        assert!(transfers > 1_000, "only {transfers} transfers took place");
    };
}

/// A schedule in steps of one millisecond. Instances act at random times and are suspended at
/// random.
struct Schedule {
    rng: Rng,
    now: u64,
    /// Acknowledgement time of each record.
    log: Vec<u64>,
    instances: Vec<Instance>,
    messages: Vec<(u64, usize, Message)>,
}

#[derive(Clone, Default)]
struct Instance {
    position: u64,
    as_of: u64,
    suspended_until: u64,
    /// The read in progress: when it was sent, the position it found, and when it returns.
    read_in_progress: Option<(u64, u64, u64)>,
    query_sent_at: Option<u64>,
    /// When a transfer was requested.
    transfer: Option<u64>,
    inbox: Vec<Message>,
    /// The highest position ever reached.
    furthest: u64,
    transfers: usize,
}

impl Instance {
    /// Takes over all that a peer has read; this instance may have read further meanwhile.
    fn adopt(&mut self, position: u64, as_of: u64) {
        self.transfers += 1;
        if position > self.position {
            self.position = position;
            self.as_of = self.as_of.max(as_of);
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap()
}

#[derive(Clone)]
enum Message {
    Query {
        from: usize,
        sent_at: u64,
    },
    Reply {
        from: usize,
        sent_at: u64,
        freshness: Freshness,
    },
    /// Requests everything read beyond a position.
    Transfer {
        from: usize,
        sent_at: u64,
        after: u64,
    },
    /// Everything that the sender has read.
    Snapshot {
        sent_at: u64,
        freshness: Freshness,
    },
}

impl Schedule {
    fn new(seed: u64) -> Schedule {
        let instances = vec![Instance::default(); 4];
        Schedule {
            rng: Rng::with_seed(seed),
            now: 0,
            log: Vec::new(),
            instances,
            messages: Vec::new(),
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
            let delay =
                if self.rng.u32(..8) == 0 { self.rng.u64(..600) } else { self.rng.u64(1..4) };
            self.messages.push((self.now + delay, to, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, ..)| *at <= now);
        self.messages = later;
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
            self.handle(i, message);
        }
        self.read(i);
        if self.rng.u32(..40) == 0 {
            let to = self.rng.usize(..self.instances.len());
            self.instances[i].query_sent_at = Some(self.now);
            self.send(to, Message::Query { from: i, sent_at: self.now });
        }
    }

    /// A read finds the end of the log as of some moment while it is in progress.
    fn read(&mut self, i: usize) {
        let now = self.now;
        let end = self.log.len() as u64;
        let back_after = self.rng.u64(1..200);
        let starts = self.rng.u32(..150) == 0;
        let me = &mut self.instances[i];
        match me.read_in_progress {
            Some((sent, found, back)) if back <= now => {
                me.position = me.position.max(found);
                me.as_of = me.as_of.max(sent);
                me.read_in_progress = None;
            }
            None if starts => me.read_in_progress = Some((now, end, now + back_after)),
            _ => {}
        }
    }

    fn handle(&mut self, i: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Query { from, sent_at } => {
                let freshness = self.freshness(i);
                self.send(from, Message::Reply { from: i, sent_at, freshness });
            }
            Message::Reply { from, sent_at, freshness } => {
                let me = &mut self.instances[i];
                if me.query_sent_at != Some(sent_at) {
                    return;
                }
                match freshness.check(Position(me.position), Duration::from_millis(now - sent_at)) {
                    FreshnessCheck::Complete(age) => {
                        me.as_of = me.as_of.max(now.saturating_sub(millis(age)))
                    }
                    FreshnessCheck::Behind => {
                        me.transfer = Some(now);
                        let after = me.position;
                        self.send(from, Message::Transfer { from: i, sent_at: now, after });
                    }
                }
            }
            Message::Transfer { from, sent_at, after } => {
                let freshness = self.freshness(i);
                if freshness.position > Position(after) {
                    self.send(from, Message::Snapshot { sent_at, freshness });
                }
            }
            Message::Snapshot { sent_at, freshness } => {
                let me = &mut self.instances[i];
                if me.transfer != Some(sent_at) {
                    return;
                }
                let age = freshness.age_after(Duration::from_millis(now - sent_at));
                me.adopt(freshness.position.0, now.saturating_sub(millis(age)));
            }
        }
    }

    fn freshness(&self, i: usize) -> Freshness {
        let me = &self.instances[i];
        let age = Duration::from_millis(self.now - me.as_of);
        Freshness { position: Position(me.position), age }
    }

    fn check(&mut self, i: usize) {
        let me = &mut self.instances[i];
        assert!(me.position >= me.furthest, "instance {i} went back to {}", me.position);
        me.furthest = me.position;
        let missing = self.log.get(usize::try_from(me.position).unwrap()..).unwrap_or_default();
        assert!(
            missing.iter().all(|acknowledged| *acknowledged >= me.as_of),
            "instance {i} counts as complete up to {} but lacks records acknowledged at {missing:?}",
            me.as_of
        );
    }
}
