//! What the findings of several instances prove about an endpoint.

use policy::examination::{
    FIRST_WITNESSES, Finding, Inquiry, MAX_WITNESSES,
    Verdict::{self, Alive, Dead, Unknown},
};

/// The verdict on these findings, and how many instances it took.
fn judge(findings: &[Finding]) -> (Verdict, usize) {
    let mut inquiry = Inquiry::default();
    for (index, finding) in findings.iter().enumerate() {
        if index == inquiry.witnesses() {
            return (inquiry.close(), index);
        }
        if let Some(verdict) = inquiry.record(*finding) {
            return (verdict, index + 1);
        }
    }
    (inquiry.close(), findings.len())
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against deaths that stay unproved where no endpoint of a group is left.
    refused_connections_alone_prove_a_death => || {
        assert_eq!(judge(&[Finding::Refused]), (Dead, 1));
        assert_eq!(judge(&[Finding::Unknown, Finding::Refused]), (Dead, 2));
        assert_eq!(judge(&[Finding::Refused; 20]), (Dead, MAX_WITNESSES));
    };

    /// Guards against paths that are cut to one group, and are taken for deaths by the first
    /// instances that are asked.
    one_connection_disproves_them => || {
        for connected in 0..MAX_WITNESSES {
            let mut findings = [Finding::Refused; MAX_WITNESSES];
            findings[connected] = Finding::Alive;
            assert_eq!(judge(&findings), (Alive, connected + 1));
        }
    };

    /// Guards against instances that are cut off and prove deaths by what they can't reach.
    instances_that_cannot_tell_prove_nothing => || {
        assert_eq!(judge(&[]), (Unknown, 0));
        assert_eq!(judge(&[Finding::Unknown; 20]), (Unknown, FIRST_WITNESSES));
    };

    /// Guards against waiting for further instances once one has compared endpoints of the group.
    a_comparison_within_the_group_is_proof => || {
        assert_eq!(judge(&[Finding::Dead, Finding::Refused]), (Dead, 1));
        assert_eq!(judge(&[Finding::Refused, Finding::Dead, Finding::Unknown]), (Dead, 2));
    };
}
