//! The scenario language is read whole or refused with the place of every fault.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quickcheck::quickcheck;
use standin::scenario::{
    Action, Expectation, Link,
    ast::{Bound, Counted, What},
    parse,
};

#[test]
fn a_whole_scenario_is_read() {
    let text = "# An engine dies.\n# Nobody notices.\n\ninstance a at=brasov-a\nengine e1 tokens=400000\n\
        at 0s send long x3 every 200ms deadline 10s\nat 1.5s silence-open e1\n\
        at 1s send register R1 to a\nexpect every answer whole\nexpect finished at least 3\n";
    let scenario = parse(text).unwrap();
    assert_eq!(scenario.story, ["An engine dies.", "Nobody notices."]);
    assert_eq!(scenario.actors.len(), 2);
    assert_eq!(scenario.actors[1].tokens, Some(400_000));
    let times: Vec<_> = scenario.steps.iter().map(|step| step.at.as_millis()).collect();
    assert_eq!(times, [0, 1000, 1500]);
    assert_eq!(scenario.steps[2].action, Action::Link("e1".into(), Link::SilenceOpen));
    let Action::Send(send) = &scenario.steps[0].action else { panic!("the first step sends") };
    assert_eq!((&send.what, send.count), (&What::Prompt(100_000), 3));
    assert_eq!(send.deadline, Some(Duration::from_secs(10)));
    let finished = Expectation::Count(Counted::Finished, Bound::AtLeast, 3);
    assert_eq!(scenario.expectations, [Expectation::Whole, finished]);
}

macro_rules! faults {
    ($($case:ident: $text:expr => $($place:expr),+);* $(;)?) => {$(
        #[test]
        fn $case() {
            let findings = parse($text).unwrap_err();
            let got: Vec<_> = findings.iter().map(ToString::to_string).collect();
            assert_eq!(got, [$($place),+]);
        }
    )*};
}

faults! {
    an_unknown_word: "gateway g" =>
        "1:1: expected `engine`, `service`, `instance`, `at` or `expect`, found `gateway`";
    a_wrong_time: "engine e\nat soon kill e" =>
        "2:4: expected a whole number, found `soon`";
    an_unknown_option: "engine e1 speed=3" =>
        "1:11: expected the end of the line, found `speed=3`";
    an_unknown_name: "instance a\nat 1s kill e9" => "2:1: nothing has the name `e9`";
    every_fault_at_once: "engine\nat 1s dance e1\nexpect joy" =>
        "1:7: expected `engine`, `service`, `instance`, `at` or `expect`, found `the end of the line`",
        "2:7: expected an action, as `send`, `kill`, `pause`, `silence` or `publish`, found `dance`",
        "3:8: expected an expectation, as `every answer whole` or `finished at least 3`, found `joy`";
}

quickcheck! {
    fn any_text_is_read_or_refused(text: String) -> bool {
        parse(&text).map_or_else(|findings| !findings.is_empty(), |_| true)
    }
}
