//! Upper bound of an answer's duration.

use std::time::Duration;

use policy::answers::AnswerTimes;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

const SHORT: Duration = Duration::from_millis(1_500);
const LONGEST: Duration = Duration::from_millis(4_000);

cases! {
    few_answers_give_no_bound => || {
        let mut times = AnswerTimes::default();
        (0..19).for_each(|_| times.record("ask", SHORT));
        assert_eq!(times.upper_bound("ask"), None);
        times.record("ask", SHORT);
        assert!(times.upper_bound("ask").is_some());
        assert_eq!(times.upper_bound("dossier"), None);
    };

    /// One answer in two hundred is long, and a stop has to allow for it.
    the_longest_answer_is_the_bound => || {
        let mut times = AnswerTimes::default();
        times.record("ask", LONGEST);
        (0..199).for_each(|_| times.record("ask", SHORT));
        assert_eq!(times.upper_bound("ask"), Some(LONGEST));
        times.record("ask", SHORT);
        assert_eq!(times.upper_bound("ask"), Some(SHORT));
    };

    /// Routes are added and removed by configuration changes for years.
    routes_are_bounded => || {
        let mut times = AnswerTimes::default();
        for route in 0..2_000 {
            (0..20).for_each(|_| times.record(&format!("r-{route}"), SHORT));
        }
        assert_eq!(times.upper_bound("r-0"), None);
        assert!(times.upper_bound("r-1999").is_some());
    };
}
