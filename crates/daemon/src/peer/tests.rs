//! Packets from strangers, and messages for all that come twice or late.

use policy::{Incarnation, InstanceId, config::Version};
use quickcheck::quickcheck;

use super::{
    flood::Flood,
    message::{LENGTH, Message, Origin, Packet, decode, encode},
};

fn origin(incarnation: u64, number: u64) -> Origin {
    let instance = InstanceId::new("entry-1").unwrap();
    Origin { instance, incarnation: Incarnation(incarnation), number }
}

#[test]
fn a_length_within_a_packet_allocates_nothing_it_cannot_hold() {
    // A configuration of 2^60 bytes, of which none follows.
    let packet = Packet::Direct(Message::Config { version: Version(1), content: vec![].into() });
    let mut bytes = encode(&packet).unwrap()[LENGTH..].to_vec();
    bytes.pop();
    bytes.extend([0xfd, 0, 0, 0, 0, 0, 0, 0, 0x10]);
    assert!(decode(&bytes).is_err());
}

macro_rules! takes_in {
    ($($case:ident: $messages:expr => $new:expr;)*) => {$(
        #[test]
        fn $case() {
            let mut flood = Flood::default();
            let new = $messages.map(|(life, number)| flood.take_in(&origin(life, number)));
            assert_eq!(new, $new);
        }
    )*};
}

takes_in! {
    copies_by_two_gateways_count_once: [(1, 1), (1, 1), (1, 2), (1, 2)] => [true, false, true, false];
    messages_may_overtake_each_other: [(1, 3), (1, 1), (1, 2), (1, 1)] => [true, true, true, false];
    a_new_life_counts_anew: [(1, 3), (2, 1), (1, 4)] => [true, true, false];
    what_is_too_late_is_old: [(1, 100), (1, 37), (1, 36)] => [true, true, false];
    a_jump_forgets_nothing_new: [(1, 1), (1, u64::MAX), (1, u64::MAX - 1)] => [true, true, true];
}

quickcheck! {
    fn any_bytes_are_a_packet_or_refused(bytes: Vec<u8>) -> bool {
        match decode(&bytes) {
            Ok(packet) => encode(&packet).is_ok(),
            Err(_) => true,
        }
    }

    fn a_packet_reads_back(version: u64, content: Vec<u8>) -> bool {
        let content = content.into();
        let packet = Packet::Direct(Message::Config { version: Version(version), content });
        encode(&packet).is_ok_and(|bytes| decode(&bytes[LENGTH..]) == Ok(packet))
    }
}
