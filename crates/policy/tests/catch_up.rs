//! Questions of an instance that has just started about suspects and limits.

#![allow(clippy::unwrap_used)]

use policy::{EndpointGroup, GroupTag, Time, catch_up::CatchUp};

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn groups(count: usize) -> Vec<GroupTag> {
    (0..count)
        .map(|index| GroupTag::from(&EndpointGroup::new(&format!("g-{index}")).unwrap()))
        .collect()
}

/// Asks about these groups every 10 ms until `end_ms`; returns when each question was sent.
fn ask(catch_up: &mut CatchUp, groups: &[GroupTag], end_ms: u64) -> Vec<u64> {
    let is_due = |ms: &u64| !catch_up.take_due(groups.iter().copied(), true, at(*ms)).is_empty();
    (0..end_ms).step_by(10).filter(is_due).collect()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against a first request that comes before the first question.
    a_new_group_is_asked_about_at_once => || {
        let mut catch_up = CatchUp::default();
        assert_eq!(catch_up.take_due(groups(2), true, at(0)), groups(2));
        assert_eq!(catch_up.take_due(groups(3), true, at(10)), groups(3)[2..]);
    };

    /// Guards against questions that are lost.
    a_question_without_an_answer_is_repeated => || {
        let asked = ask(&mut CatchUp::default(), &groups(1), 3_000);
        assert!(asked.len() >= 4, "{asked:?}");
        assert!(asked[1] <= 100, "{asked:?}");
    };

    /// Guards against questions without an end where all instances have started together, or run a
    /// version that doesn't answer.
    questions_end => || {
        let asked = ask(&mut CatchUp::default(), &groups(1), 100_000);
        assert!(asked.len() <= 5, "{asked:?}");
    };

    /// Guards against questions that go on after the answer.
    an_answer_ends_the_questions => || {
        let mut catch_up = CatchUp::default();
        catch_up.take_due(groups(2), true, at(0));
        catch_up.record_answer(groups(2)[0]);
        assert_eq!(catch_up.take_due(groups(2), true, at(10_000)), groups(2)[1..]);
    };

    /// Guards against an instance that knows nothing yet and answers for those that do.
    only_who_has_been_told_answers => || {
        let [group, unknown] = groups(2)[..] else { unreachable!() };
        let mut catch_up = CatchUp::default();
        catch_up.take_due([group], true, at(0));
        assert!(!catch_up.may_answer(group, at(10)));
        catch_up.record_answer(group);
        assert!(catch_up.may_answer(group, at(10)));
        assert!(!catch_up.may_answer(unknown, at(10_000)));
    };

    /// Guards against an instance that has run alone, knows all there is to know, and tells the next
    /// one nothing.
    an_instance_that_was_alone_answers => || {
        let group = groups(1)[0];
        let mut catch_up = CatchUp::default();
        assert_eq!(catch_up.take_due([group], false, at(0)), []);
        assert!(!catch_up.may_answer(group, at(1_000)));
        assert!(catch_up.may_answer(group, at(60_000)));
        assert_eq!(catch_up.take_due([group], true, at(60_000)), [group], "it asks all the same");
    };
}
