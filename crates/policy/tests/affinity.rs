//! The cache index with late, incomplete and contradictory cache events.

// Clippy exempts test functions from this lint, but not their helpers.
#![allow(clippy::unwrap_used)]

use policy::{
    CacheEvents, EndpointId, Incarnation, Tokens,
    affinity::{CacheIndex, MAX_BLOCKS, MAX_BLOCKS_PER_ENGINE},
};
use quickcheck::quickcheck;

fn endpoint(n: usize) -> EndpointId {
    EndpointId::new(&format!("e{n}")).unwrap()
}

fn feed(incarnation: u64, from: u64, events: &[(u64, bool)]) -> CacheEvents {
    let events = events.to_vec();
    CacheEvents { endpoint: endpoint(0), incarnation: Incarnation(incarnation), from, events }
}

const STORED: &[(u64, bool)] = &[(1, true), (2, true), (3, true), (4, true)];

macro_rules! expects {
    ($($case:ident: $feeds:expr => $tokens:expr;)*) => {$(
        #[test]
        fn $case() {
            let mut index = CacheIndex::new();
            for events in $feeds {
                index.apply(&events);
            }
            assert_eq!(index.expected_cached(&endpoint(0), &[1, 2, 3, 4]), Tokens($tokens));
        }
    )*};
}

expects! {
    stored_blocks_are_expected: [feed(1, 0, STORED)] => 1024;
    a_prefix_ends_at_the_first_missing_block: [feed(1, 0, STORED), feed(1, 4, &[(2, false)])] => 256;
    a_gap_halves_what_was_known: [feed(1, 0, STORED), feed(1, 9, &[])] => 512;
    a_gap_leaves_later_events_certain: [feed(1, 0, STORED), feed(1, 9, &[(1, true)])] => 640;
    a_second_gap_takes_no_more: [feed(1, 0, STORED), feed(1, 9, &[]), feed(1, 20, &[])] => 512;
    a_feed_received_from_the_middle_is_a_gap: [feed(1, 7, STORED)] => 1024;
    a_new_incarnation_empties_the_index: [feed(1, 0, STORED), feed(2, 0, &[])] => 0;
    an_older_incarnation_is_ignored: [feed(2, 0, &[]), feed(1, 0, STORED)] => 0;
    repeated_events_change_nothing:
        [feed(1, 0, STORED), feed(1, 4, &[(1, false)]), feed(1, 0, STORED)] => 0;
    overlapping_events_count_once:
        [feed(1, 0, STORED), feed(1, 4, &[(1, false)]), feed(1, 3, &[(4, true), (1, false), (1, true)])]
        => 1024;
}

#[test]
fn an_own_send_is_expected_at_once() {
    let mut index = CacheIndex::new();
    index.record_sent(&endpoint(0), Incarnation(1), &[1, 2, 3]);
    assert_eq!(index.expected_cached(&endpoint(0), &[1, 2, 9]), Tokens(512));
    assert_eq!(index.expected_cached(&endpoint(1), &[1, 2, 9]), Tokens::ZERO);
}

#[test]
fn an_answer_that_shows_little_cached_raises_doubt() {
    let mut index = CacheIndex::new();
    index.apply(&feed(1, 0, STORED));
    index.record_cached(&endpoint(0), Tokens(1024), Tokens(1000));
    assert_eq!(index.expected_cached(&endpoint(0), &[1, 2, 3, 4]), Tokens(1024));
    index.record_cached(&endpoint(0), Tokens(1024), Tokens(100));
    assert_eq!(index.expected_cached(&endpoint(0), &[1, 2, 3, 4]), Tokens(512));
}

#[test]
fn the_least_recently_touched_blocks_are_forgotten() {
    let mut index = CacheIndex::new();
    for block in 0..3 * MAX_BLOCKS_PER_ENGINE as u64 {
        index.record_sent(&endpoint(0), Incarnation(1), &[block]);
        index.record_sent(&endpoint(0), Incarnation(1), &[u64::MAX]);
    }
    assert!(index.len() <= MAX_BLOCKS_PER_ENGINE);
    assert_eq!(index.expected_cached(&endpoint(0), &[u64::MAX]), Tokens(256));
    assert_eq!(index.expected_cached(&endpoint(0), &[0]), Tokens::ZERO);
}

#[test]
fn many_engines_share_one_bound() {
    let mut index = CacheIndex::new();
    let prefix: Vec<u64> = (0..4_000).collect();
    for n in 0..400 {
        index.record_sent(&endpoint(n), Incarnation(1), &prefix);
    }
    assert!(index.len() <= MAX_BLOCKS, "{}", index.len());
}

quickcheck! {
    fn no_events_yield_more_than_the_prefix(starts: Vec<(u8, u8)>, blocks: Vec<u8>) -> bool {
        let mut index = CacheIndex::new();
        let events: Vec<(u64, bool)> = blocks.iter().map(|b| (u64::from(b / 2), b % 2 == 0)).collect();
        for (incarnation, from) in starts {
            index.apply(&feed(incarnation.into(), from.into(), &events));
        }
        index.expected_cached(&endpoint(0), &[1, 2, 3]) <= Tokens(768)
    }
}
