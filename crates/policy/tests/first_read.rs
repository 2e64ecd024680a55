//! Instances that start together leave reading to one of them.

use std::time::Duration;

use policy::first_read::StartView;

const NOW: Duration = Duration::ZERO;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An instance with seeds that started so long ago and knows nobody.
fn started(since_start: u64) -> StartView {
    StartView {
        since_start: ms(since_start),
        has_seeds: true,
        since_peers_changed: None,
        is_first_reader: true,
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against reads by all instances that start together, as none knows a peer at first.
    an_instance_waits_for_its_first_peer => || {
        assert!(started(0).time_until_read() >= ms(150));
        assert_eq!(started(1_000).time_until_read(), NOW);
    };

    /// Guards against reads by everyone whose reader has just started too.
    others_wait_for_the_reader => || {
        let other = StartView {
            since_peers_changed: Some(ms(400)),
            is_first_reader: false,
            ..started(500)
        };
        assert!(other.time_until_read() >= ms(1_000));
    };

    /// Guards against a reader that reads before it has heard of an earlier one.
    the_reader_waits_until_its_peers_settle => || {
        let reader = |since| StartView { since_peers_changed: Some(ms(since)), ..started(100) };
        assert!(reader(0).time_until_read() > NOW);
        assert_eq!(reader(200).time_until_read(), NOW);
    };

    /// Guards against callers that are refused after a power failure of all instances, because the
    /// reader waits for its peers as long as requests wait for the first state (0.9 s).
    the_reader_reads_while_requests_still_wait => || {
        for since_peers_changed in [None, Some(NOW), Some(ms(100))] {
            let view = StartView { since_peers_changed, ..started(0) };
            assert!(view.time_until_read() <= ms(250));
            assert_eq!(StartView { since_start: ms(250), ..view }.time_until_read(), NOW);
        }
    };

    /// Guards against instances that wait for ever, also where peers come and go all the time.
    every_wait_ends => || {
        for is_first_reader in [true, false] {
            for since_peers_changed in [None, Some(NOW), Some(ms(9_000))] {
                let view = StartView { since_peers_changed, is_first_reader, ..started(5_000) };
                assert_eq!(view.time_until_read(), NOW);
            }
        }
    };

    /// Guards against a site without seeds that starts later than before.
    without_seeds_nobody_waits => || {
        let view = StartView { has_seeds: false, ..started(0) };
        assert_eq!(view.time_until_read(), NOW);
    };
}
