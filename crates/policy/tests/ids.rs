//! Identifiers parse their own printed form, and reject text that could break a log line.

use policy::{Fingerprint, Workspace};
use quickcheck::quickcheck;

macro_rules! rejected {
    ($($case:ident: $text:expr),* $(,)?) => {$(
        #[test]
        fn $case() {
            assert!(Workspace::new($text).is_err());
        }
    )*};
}

rejected! {
    an_empty_id: "",
    an_id_with_a_space: "name change",
    an_id_with_a_line_break: "a\nb",
    an_id_too_long: &"a".repeat(129),
}

quickcheck! {
    fn a_fingerprint_parses_its_printed_form(value: u128) -> bool {
        let fingerprint = Fingerprint(value);
        fingerprint.to_string().parse() == Ok(fingerprint)
    }

    fn any_text_is_rejected_or_printed_unchanged(text: String) -> bool {
        Workspace::new(&text).map_or(true, |id| id.to_string() == text)
    }
}
