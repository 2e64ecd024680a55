//! Messages between instances.

use policy::{
    GroupTag, Incarnation,
    freshness::Position,
    gossip,
    named_limit::LimitReport,
    placement::{EndpointUpdate, LeavingReport},
    quarantine,
    returns::RefusalReport,
    shares::WorkspaceUsage,
};
use serde::{Deserialize, Serialize};

use crate::freshness::FreshnessReply;

/// One datagram. Address and incarnation identify the sender, so most datagrams carry no instance
/// name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Datagram {
    /// The sender's incarnation.
    pub(super) incarnation: IncarnationTag,
    /// Counts the sender's datagrams; see [`super::order`].
    pub(super) sequence: u64,
    pub(super) body: Body,
}

/// Lower half of an incarnation: enough to tell successive incarnations at one address apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct IncarnationTag(u32);

impl From<Incarnation> for IncarnationTag {
    fn from(incarnation: Incarnation) -> IncarnationTag {
        IncarnationTag(incarnation.0 as u32)
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Body {
    /// Membership.
    Gossip(gossip::Message),
    /// Changed load on endpoints of one group.
    EndpointUpdates { group: GroupTag, updates: Vec<EndpointUpdate> },
    /// No longer sent, and ignored. It keeps the numbers by which versions tell the others apart.
    Suspects,
    /// Asks how fresh the receiver's configuration and endpoints are, and which endpoints have
    /// changed since a position.
    Query { nonce: u64, endpoints_position: Position },
    /// Reply to the query with the same nonce.
    Reply { nonce: u64, reply: FreshnessReply },
    /// Positions that the sender has read up to. They confirm nothing; an instance that has read
    /// less sends a query.
    Positions { configuration: Position, endpoints: Position },
    /// Requests suspected of crashing endpoints of one group, refused or cleared.
    Quarantine { group: GroupTag, entries: Vec<quarantine::Entry> },
    /// Limits that endpoints of one group name.
    Limits { group: GroupTag, reports: Vec<LimitReport> },
    /// The sender's own usage of one group's engines, by workspace.
    Usage { group: GroupTag, usage: Vec<WorkspaceUsage> },
    /// Requests of one group that the sender has refused for lack of capacity.
    Returns { group: GroupTag, reports: Vec<RefusalReport> },
    /// Asks for the quarantine and the limits of these groups.
    NewsRequest { groups: Vec<GroupTag> },
    /// The sender has told the receiver all that it knows of these groups.
    NewsSent { groups: Vec<GroupTag> },
    /// Endpoints of one group that said they are leaving.
    Leaving { group: GroupTag, reports: Vec<LeavingReport> },
}

#[cfg(test)]
mod tests {
    #![allow(clippy::unwrap_used)]

    use policy::{
        EndpointGroup, Workspace,
        returns::{DATAGRAM_BYTES, MAX_REPORTS, REPORT_BYTES},
        shares::MAX_REPORTED,
    };

    use super::*;

    /// Guards against reports of usage that take more traffic than instances may use for control, and
    /// against a new message that changes the numbers of the others.
    #[test]
    fn a_report_of_usage_takes_few_bytes() {
        let group = GroupTag::from(&EndpointGroup::new("engines").unwrap());
        let usage = |index: usize| WorkspaceUsage {
            workspace: (&Workspace::new(&format!("workspace-{index}")).unwrap()).into(),
            used_ms: 100_000_000,
            is_active: true,
        };
        let datagram = Datagram {
            incarnation: IncarnationTag(u32::MAX),
            sequence: u64::from(u32::MAX),
            body: Body::Usage { group, usage: (0..MAX_REPORTED).map(usage).collect() },
        };
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&datagram, config).unwrap();
        assert!(bytes.len() <= 257, "{} bytes", bytes.len());
        // After the incarnation and the sequence, five bytes each.
        assert_eq!(bytes[10], 8);
        let (decoded, _) =
            bincode::serde::decode_from_slice::<Datagram, _>(&bytes, config).unwrap();
        assert_eq!(decoded, datagram);
    }

    /// Guards against refusals that take more bytes than the bound on news of them assumes, and
    /// against messages that older versions take for others.
    #[test]
    fn refusals_take_no_more_bytes_than_assumed() {
        let report = RefusalReport { fingerprint: u64::MAX, age_ms: u16::MAX, refusals: u8::MAX };
        let group = GroupTag::from(&EndpointGroup::new("desk").expect("valid"));
        for count in [0, 1, MAX_REPORTS] {
            let datagram = Datagram {
                incarnation: IncarnationTag(u32::MAX),
                sequence: u64::from(u32::MAX),
                body: Body::Returns { group, reports: vec![report; count] },
            };
            let config = bincode::config::standard();
            let bytes = bincode::serde::encode_to_vec(&datagram, config).expect("encodes");
            assert!(bytes.len() <= DATAGRAM_BYTES + REPORT_BYTES * count, "{}", bytes.len());
            let decoded = bincode::serde::decode_from_slice(&bytes, config).expect("decodes");
            assert_eq!(decoded, (datagram, bytes.len()));
            // The number of the variant, after 5 bytes each of incarnation and sequence.
            assert_eq!(bytes[10], 9);
        }
    }
}
