//! What logs tell of requests that weren't served on time.

use cli::explain::{Band, Cause, lost};

const ARRIVED: &str = "time=100.000 level=info event=started instance=entry-1";

/// A request's end, 0.4 s after its arrival at 100 s.
fn ended(fields: &str) -> String {
    format!("time=100.400 level=info event=request id=a route=s attempts=1 total_ms=400 {fields}")
}

fn whole(first_ms: i64, pause_ms: u64) -> String {
    ended(&format!(
        "outcome=finished first_ms={first_ms} goal_ms=300 pause_ms={pause_ms} pause_goal_ms=250"
    ))
}

fn event(fields: &str) -> String {
    format!("time=100.010 level=info event={fields}")
}

fn placed(predicted_ms: u64) -> String {
    event(&format!(
        "placed id=a route=s prompt=5000 endpoint=i-1 helpers=\"i-2,i-3\" predicted_ms={predicted_ms} attempt=1"
    ))
}

macro_rules! causes {
    ($($name:ident: [$($line:expr),*] => $cause:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut lines = vec![ARRIVED.to_owned(), placed(50)];
            lines.extend([$($line),*]);
            let groups = lost(&lines.join("\n"), 2.0);
            let causes: Vec<_> = groups.iter().map(|group| group.cause.clone()).collect();
            let expected: Option<Cause> = $cause;
            assert_eq!(causes, expected.into_iter().collect::<Vec<_>>());
        }
    )*};
}

causes! {
    on_time: [whole(200, 100)] => None;
    still_under_way: [event("hedged id=a endpoint=i-2")] => None;
    late_unforeseen: [whole(301, 100)] => Some(Cause::LateUnforeseen);
    late_after_a_refusal: [event("not_run id=a endpoint=i-1"), whole(900, 0)]
        => Some(Cause::LateAfterRefusal);
    late_after_a_failure: [event("attempt_failed id=a cause=Broken"), whole(900, 0)]
        => Some(Cause::LateAfterFailure);
    late_beside_a_slow_one: [event("hedged id=a endpoint=i-2"), whole(900, 0)]
        => Some(Cause::LateBesideSlow);
    late_placed_anew: [event("placed_anew id=a"), whole(900, 0)] => Some(Cause::LatePlacedAnew);
    a_long_pause: [whole(200, 251)] => Some(Cause::Pause);
    a_long_pause_of_a_failure: [event("attempt_failed id=a cause=Broken"), whole(200, 251)]
        => Some(Cause::PauseOfFailure);
    refused: [event("refused id=a reason=too_late status=503")]
        => Some(Cause::Refused("too_late".to_owned()));
    cut_at_its_deadline: [ended("outcome=expired first_ms=-1")]
        => Some(Cause::Ended("expired".to_owned()));
}

#[test]
fn late_as_foretold() {
    let log = [ARRIVED.to_owned(), placed(350), whole(400, 0)].join("\n");
    assert_eq!(lost(&log, 2.0)[0].cause, Cause::LateAsForetold);
}

/// Collectors put names and times before each line, and lines of others between them.
#[test]
fn spans_and_bands_count_all_that_ended() {
    let at = |second: u32, id: &str, rest: &str| {
        format!(
            "{second} entry-1 time={}.000 level=info event={rest} id={id} prompt=50000",
            100 + second
        )
    };
    let log = [
        "nobody's line".to_owned(),
        at(0, "a", "refused reason=crowded"),
        at(1, "b", "request outcome=finished total_ms=0 first_ms=1 goal_ms=2"),
        at(5, "c", "refused reason=crowded"),
    ];
    let groups = lost(&log.join("\n"), 2.0);
    let shown: Vec<_> = groups.iter().map(|g| (g.from_s, g.band, g.requests, g.of)).collect();
    assert_eq!(shown, [(0.0, Band::To120k, 1, 2), (4.0, Band::To120k, 1, 1)]);
}

#[test]
fn an_empty_log_tells_nothing() {
    assert!(lost("", 2.0).is_empty());
}
