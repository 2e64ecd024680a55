//! Whole bodies in segments.

#![allow(clippy::unwrap_used)]

use std::{convert::Infallible, io};

use bytes::Bytes;
use futures_lite::stream;
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Full, StreamBody};
use router::payload::{Payload, PayloadBody, ReceiveError};

/// Larger than some segments, and no multiple of one.
const LEN: usize = 100_003;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

fn content(len: usize) -> Vec<u8> {
    (0..len).map(|at| (at % 251) as u8).collect()
}

/// A body without a stated length, in frames of this size.
fn frames(content: &[u8], size: usize) -> impl Body<Data = Bytes, Error = io::Error> + Unpin {
    let frames: Vec<_> =
        content.chunks(size).map(|frame| Ok(Frame::data(Bytes::copy_from_slice(frame)))).collect();
    StreamBody::new(stream::iter(frames))
}

fn receive<B: Body<Data = Bytes> + Unpin>(body: B) -> Result<Payload, ReceiveError<B::Error>> {
    smol::block_on(Payload::receive(body, LEN, None))
}

fn bytes_of(payload: &Payload) -> Vec<u8> {
    payload.segments().flatten().copied().collect()
}

cases! {
    /// Guards against bytes that are lost, repeated or mixed up between segments.
    bytes_are_kept_in_order => || {
        for len in [0, 1, 2_048, 2_049, 16_384, LEN] {
            let content = content(len);
            for size in [1, 7, 4_096, 1 << 20] {
                let payload = receive(frames(&content, size)).unwrap();
                assert_eq!((payload.len(), bytes_of(&payload)), (len, content.clone()));
            }
            let payload = receive(Full::new(Bytes::from(content.clone()))).unwrap();
            assert_eq!((payload.len(), bytes_of(&payload)), (len, content));
        }
    };

    /// Guards against a body that is sent with another length than its head states.
    a_payload_is_sent_whole => || {
        let content = content(LEN);
        let payload = receive(frames(&content, 7)).unwrap();
        let mut body = PayloadBody::from(payload);
        let mut sent = Vec::new();
        loop {
            assert_eq!(body.size_hint().exact(), Some((LEN - sent.len()) as u64));
            assert_eq!(body.is_end_stream(), sent.len() == LEN);
            let Some(frame) = smol::block_on(body.frame()) else { break };
            sent.extend_from_slice(&frame.unwrap().into_data().unwrap());
        }
        assert_eq!(sent, content);
    };

    /// Guards against a large frame that a connection copies into its write buffer.
    no_frame_is_larger_than_a_segment => || {
        let mut body = PayloadBody::from(Bytes::from(content(LEN)));
        while let Some(frame) = smol::block_on(body.frame()) {
            assert!(frame.unwrap().into_data().unwrap().len() <= 16 << 10);
        }
    };

    /// Guards against a body beyond the limit that is taken.
    a_longer_body_is_refused => || {
        let content = content(LEN + 1);
        let error = receive(frames(&content, 7)).unwrap_err();
        assert!(matches!(error, ReceiveError::TooLarge));
    };

    /// Guards against a body whose stated length exceeds the limit and that is read nevertheless.
    a_longer_stated_length_is_refused_unread => || {
        let error = receive(Unreadable).unwrap_err();
        assert_eq!(error, ReceiveError::TooLarge);
    };

    /// Guards against a body that broke off and is taken for whole.
    a_broken_body_is_an_error => || {
        let frame = Ok(Frame::data(Bytes::from_static(b"part")));
        let broken: io::Result<_> = Err(io::ErrorKind::ConnectionReset.into());
        let body = StreamBody::new(stream::iter([frame, broken]));
        assert!(matches!(receive(body), Err(ReceiveError::Body(_))));
    };
}

/// A body over the limit that must not be polled.
struct Unreadable;

impl Body for Unreadable {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        panic!("it was read")
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::SizeHint::with_exact(LEN as u64 + 1)
    }
}
