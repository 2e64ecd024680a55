//! Which groups are scheduled for contention.

#![allow(clippy::unwrap_used)]

use policy::{contention::MemoryShare, placement::GroupScheduler, routes::EngineRules};

fn engine(usual_context: u64) -> EngineRules {
    EngineRules {
        slots: 12,
        memory_tokens: 200_000,
        stride: 48,
        chunk_tokens: 2_048,
        step_ms: 1.0,
        step_ms_per_request: 0.002,
        step_ms_per_1k_context: 0.004,
        read_tokens_per_ms: 200.0,
        read_ms_per_1m_pairs: 0.14,
        max_helpers: 16,
        usual_context,
    }
}

fn is_contended(share: Option<f64>, usual_context: u64) -> bool {
    let mut scheduler = GroupScheduler::new(1);
    scheduler.set_contention(share.map(|share| MemoryShare::try_from(share).unwrap()));
    scheduler.set_rules(Some(engine(usual_context)));
    scheduler.is_contended()
}

macro_rules! contended {
    ($($case:ident: $share:expr, $usual_context:expr => $expected:expr;)*) => {$(
        #[test]
        fn $case() {
            assert_eq!(is_contended($share, $usual_context), $expected);
        }
    )*};
}

contended! {
    off_without_a_setting: None, 16_000 => false;
    usual_requests_fill_the_share: Some(0.75), 12_500 => true;
    usual_requests_leave_more: Some(0.75), 12_499 => false;
    share_of_zero_is_always_reached: Some(0.0), 0 => true;
}

/// Guards against a plain service that is taken for engines without memory.
#[test]
fn a_plain_service_is_never_contended() {
    let mut scheduler = GroupScheduler::new(1);
    scheduler.set_contention(Some(MemoryShare::try_from(0.0).unwrap()));
    assert!(!scheduler.is_contended());
}

#[test]
fn shares_outside_their_range_are_refused() {
    for text in ["-0.1", "1.01", "NaN", "most"] {
        assert!(text.parse::<MemoryShare>().is_err(), "{text}");
    }
}
