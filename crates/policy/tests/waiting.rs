//! The line of requests that wait at an instance for room.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    Time, Workspace,
    shares::Shares,
    waiting::{
        Class, Entry, MAX_WAITING, MAX_WAITING_BYTES, Standing, Turn, WaiterId, WaitingLine,
    },
};

const NOW: Time = Time::from_millis(10_000);

fn after(ms: u64) -> Time {
    NOW + Duration::from_millis(ms)
}

/// A new request that can be on time for 300 ms, and whose caller stays for 1,600 ms.
fn entry(class: Class) -> Entry {
    Entry {
        class,
        workspace: None,
        refusals: 0,
        on_time_until: after(300),
        useful_until: after(1_600),
        bytes: 1_000,
    }
}

fn owned_by(workspace: &str) -> Entry {
    Entry { workspace: Some(Workspace::new(workspace).unwrap()), ..entry(Class::Short) }
}

fn no_usage(_: Option<&Workspace>) -> Standing {
    Standing::default()
}

/// `large` has used most, and more than its share.
fn usage() -> Shares {
    let mut shares = Shares::default();
    for (name, used_ms) in [("large", 900.0), ("middle", 200.0), ("small", 100.0)] {
        shares.record(&Workspace::new(name).unwrap(), used_ms, NOW);
    }
    shares
}

/// Index of the entry whose turn it is at `now`.
fn first_of(entries: &[Entry], now: Time) -> usize {
    let mut line = WaitingLine::default();
    let mut shares = usage();
    let ids: Vec<WaiterId> =
        entries.iter().map(|entry| line.enter(entry.clone(), no_usage, NOW).unwrap()).collect();
    let mut is_first = |id: &WaiterId| {
        let standing = |workspace: Option<&_>| Standing::of(&mut shares, workspace, now);
        matches!(line.turn(*id, standing, now), Turn::Try { .. })
    };
    let firsts: Vec<usize> = (0..ids.len()).filter(|index| is_first(&ids[*index])).collect();
    assert_eq!(firsts.len(), 1, "one request of a class tries at a time: {firsts:?}");
    firsts[0]
}

macro_rules! order {
    ($($(#[$doc:meta])* $case:ident: $entries:expr, $now:expr => $first:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $case() {
            assert_eq!(first_of(&$entries, $now), $first);
        }
    )*};
}

order! {
    /// Guards against answers that are all late: a late request ahead of one that can be on time.
    on_time_before_late: [
        entry(Class::Short),
        Entry { on_time_until: after(600), ..entry(Class::Short) },
    ], after(400) => 1;
    /// Guards against callers that come back and are refused again in favour of newer ones.
    refused_before_before_new: [
        entry(Class::Short),
        Entry { refusals: 1, ..entry(Class::Short) },
    ], NOW => 1;
    /// Guards against a late request that was refused before and delays one that can be on time.
    on_time_before_refused_before: [
        Entry { refusals: 2, on_time_until: NOW, ..entry(Class::Short) },
        entry(Class::Short),
    ], after(1) => 1;
    /// Guards against a workspace that takes all room because it sends most.
    over_share_after_others: [
        Entry { refusals: 1, ..owned_by("large") },
        owned_by("middle"),
    ], NOW => 1;
    /// Guards against a workspace within its share that waits for one that has used more.
    least_used_workspace_first: [owned_by("middle"), owned_by("small")], NOW => 1;
    /// Guards against callers that leave while others with more time are placed.
    caller_that_leaves_first: [
        entry(Class::Short),
        Entry { useful_until: after(900), ..entry(Class::Short) },
    ], NOW => 1;
    otherwise_in_order_of_arrival: [entry(Class::Long), entry(Class::Long)], NOW => 0;
    /// Guards against a line that stands still behind a request whose caller has left.
    useless_ones_are_passed_over: [
        Entry { useful_until: after(200), ..entry(Class::Short) },
        entry(Class::Short),
    ], after(250) => 1;
}

/// Guards against short prompts that wait behind long ones for which there is no room.
#[test]
fn classes_dont_wait_for_each_other() {
    let mut line = WaitingLine::default();
    for class in [Class::Long, Class::Middle, Class::Short] {
        let id = line.enter(entry(class), no_usage, NOW).unwrap();
        assert_eq!(line.turn(id, no_usage, NOW), Turn::Try { is_late: false }, "{class:?}");
    }
}

#[test]
fn a_late_request_is_told_so() {
    let mut line = WaitingLine::default();
    let id = line.enter(entry(Class::Short), no_usage, NOW).unwrap();
    assert_eq!(line.turn(id, no_usage, after(300)), Turn::Try { is_late: true });
}

/// Guards against requests that wait after their callers have left.
#[test]
fn a_request_gives_up_once_waiting_is_useless() {
    let mut line = WaitingLine::default();
    let id = line.enter(entry(Class::Short), no_usage, NOW).unwrap();
    assert_eq!(line.turn(id, no_usage, after(1_600)), Turn::GiveUp);
    assert!(line.enter(entry(Class::Short), no_usage, after(1_600)).is_none());
}

/// Guards against a place that a caller who has left keeps.
#[test]
fn the_next_one_tries_after_the_first_has_left() {
    let mut line = WaitingLine::default();
    let first = line.enter(entry(Class::Short), no_usage, NOW).unwrap();
    let second = line.enter(entry(Class::Short), no_usage, NOW).unwrap();
    assert_eq!(line.turn(second, no_usage, NOW), Turn::Wait);
    line.leave(first);
    assert_eq!(line.turn(second, no_usage, NOW), Turn::Try { is_late: false });
    assert_eq!(line.turn(first, no_usage, NOW), Turn::GiveUp);
}

/// Guards against a full line that keeps late requests and turns away those that can be on time.
#[test]
fn a_full_line_gives_up_the_last_one() {
    let mut line = WaitingLine::default();
    let ids: Vec<WaiterId> =
        (0..MAX_WAITING).map(|_| line.enter(entry(Class::Short), no_usage, NOW).unwrap()).collect();
    let later = Entry { on_time_until: after(800), ..entry(Class::Short) };
    let newest = line.enter(later, no_usage, after(500)).unwrap();
    assert_eq!(line.turn(newest, no_usage, after(500)), Turn::Try { is_late: false });
    let given_up = ids.iter().filter(|id| line.turn(**id, no_usage, after(500)) == Turn::GiveUp);
    assert_eq!(given_up.count(), 1);
    assert_eq!(line.count(Class::Short), MAX_WAITING);
    assert!(line.enter(entry(Class::Short), no_usage, after(500)).is_none(), "it would be last");
}

/// Guards against an instance whose memory is taken by the bodies of waiting requests.
#[test]
fn bodies_are_bounded() {
    let mut line = WaitingLine::default();
    let half = Entry { bytes: MAX_WAITING_BYTES / 2, ..entry(Class::Long) };
    for _ in 0..2 {
        assert!(line.enter(half.clone(), no_usage, NOW).is_some());
    }
    assert!(line.enter(entry(Class::Long), no_usage, NOW).is_none());
    assert!(line.enter(Entry { bytes: usize::MAX, ..entry(Class::Long) }, no_usage, NOW).is_none());
}

/// A burst of twice the load that an engine serves: 20 requests a second for 5 s, one is served each
/// 100 ms. Serving in the order of arrival, all but the first are late. Half of them fit; a fifth of
/// these may be lost to the interval at which requests try.
#[test]
fn half_of_a_double_load_is_on_time() {
    let mut line = WaitingLine::default();
    let mut waiting = Vec::new();
    let (mut on_time, mut late) = (0, 0);
    for step in 0..200_u64 {
        let now = Time::from_millis(step * 25);
        if step % 2 == 0 {
            let on_time_until = now + Duration::from_millis(300);
            let useful_until = now + Duration::from_millis(1_600);
            let entry = Entry { on_time_until, useful_until, ..entry(Class::Short) };
            waiting.extend(line.enter(entry, no_usage, now));
        }
        if step % 4 != 0 {
            continue;
        }
        let turn = |id: &WaiterId| line.turn(*id, no_usage, now);
        let first = waiting.iter().copied().find(|id| matches!(turn(id), Turn::Try { .. }));
        let Some(first) = first else { continue };
        match turn(&first) {
            Turn::Try { is_late: false } => on_time += 1,
            _ => late += 1,
        }
        line.leave(first);
        waiting.retain(|id| *id != first);
    }
    assert!(on_time >= 40, "{on_time} on time, {late} late of 100");
}
