//! Whole bodies of requests and answers, in segments of a fixed size.
//!
//! **Load pattern.** A body arrives in chunks of a few bytes, or in frames that are slices of a larger
//! read buffer.
//!
//! **Without it.** Each chunk costs an entry of its own and keeps its read buffer alive, so that a body
//! takes up many times its size. A buffer that is doubled as it grows takes up three times the size of
//! the body while it moves.
//!
//! **Rule.** What arrives is copied into segments, the last of which may be partly used.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::resources::{Exhausted, Permit};

/// Largest frame of a body that is sent: a connection copies it into a buffer that keeps its size.
pub const MAX_FRAME_BYTES: usize = 16 << 10;

/// Size of a segment.
const SEGMENT_BYTES: usize = MAX_FRAME_BYTES;

/// Size of the first segment of a body whose length isn't known.
const FIRST_SEGMENT_BYTES: usize = 2 << 10;

/// A whole body. Clones share its segments.
#[derive(Debug, Clone, Default)]
pub struct Payload {
    segments: Arc<[Bytes]>,
    len: usize,
    /// Room for the segments, in the buffers of the connection that they are for.
    _permit: Option<Arc<Permit>>,
}

/// Why a body can't be received as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReceiveError<E> {
    /// It is longer than allowed.
    TooLarge,
    /// There is no room for it.
    Exhausted,
    /// It broke off, or isn't framed as its head says.
    Body(E),
}

impl Payload {
    /// Receives a body of at most `max_len` bytes, for which a permit grows as it arrives. One whose
    /// stated length is larger isn't read.
    ///
    /// # Errors
    ///
    /// See [`ReceiveError`].
    pub async fn receive<B>(
        mut body: B,
        max_len: usize,
        permit: Option<Permit>,
    ) -> Result<Payload, ReceiveError<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let stated_len =
            body.size_hint().exact().map(|len| usize::try_from(len).unwrap_or(usize::MAX));
        if stated_len.is_some_and(|len| len > max_len) {
            return Err(ReceiveError::TooLarge);
        }
        let mut segments = Segments::new(stated_len, permit);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(ReceiveError::Body)?.into_data() else { continue };
            if segments.len + data.len() > max_len {
                return Err(ReceiveError::TooLarge);
            }
            segments.push(&data).await.map_err(|Exhausted| ReceiveError::Exhausted)?;
        }
        Ok(segments.finish())
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// A copy of its bytes in one piece.
    pub fn to_bytes(&self) -> Bytes {
        match &*self.segments {
            [only] => only.clone(),
            segments => segments.concat().into(),
        }
    }

    /// Its segments in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Bytes::as_ref)
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Payload {
        Payload { len: bytes.len(), segments: Arc::new([bytes]), _permit: None }
    }
}

/// Segments that are being filled.
struct Segments {
    full: Vec<Bytes>,
    last: BytesMut,
    len: usize,
    stated_len: Option<usize>,
    permit: Option<Permit>,
}

impl Segments {
    fn new(stated_len: Option<usize>, permit: Option<Permit>) -> Segments {
        Segments { full: Vec::new(), last: BytesMut::new(), len: 0, stated_len, permit }
    }

    /// Size of the next segment.
    fn next_size(&self) -> usize {
        match self.stated_len {
            Some(len) => len.saturating_sub(self.len).min(SEGMENT_BYTES),
            None if self.len == 0 => FIRST_SEGMENT_BYTES,
            None => SEGMENT_BYTES,
        }
    }

    async fn push(&mut self, mut data: &[u8]) -> Result<(), Exhausted> {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                // The body of a stated length may be longer only if its framing is broken.
                let size = self.next_size().max(1);
                if let Some(permit) = &mut self.permit {
                    permit.grow_to(self.len + size).await?;
                }
                let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(size));
                self.full.extend((!full.is_empty()).then(|| full.freeze()));
            }
            let (now, later) =
                data.split_at(data.len().min(self.last.capacity() - self.last.len()));
            self.last.extend_from_slice(now);
            self.len += now.len();
            data = later;
        }
        Ok(())
    }

    fn finish(mut self) -> Payload {
        self.full.extend((!self.last.is_empty()).then(|| self.last.freeze()));
        Payload { segments: self.full.into(), len: self.len, _permit: self.permit.map(Arc::new) }
    }
}

/// Sends a [`Payload`] in frames of at most [`MAX_FRAME_BYTES`].
#[derive(Debug)]
pub struct PayloadBody {
    payload: Payload,
    next: usize,
    /// Bytes of the next segment that have been sent.
    sent: usize,
}

impl From<Payload> for PayloadBody {
    fn from(payload: Payload) -> PayloadBody {
        PayloadBody { payload, next: 0, sent: 0 }
    }
}

impl From<Bytes> for PayloadBody {
    fn from(bytes: Bytes) -> PayloadBody {
        Payload::from(bytes).into()
    }
}

impl PayloadBody {
    /// The next frame; none at the end.
    fn next_frame(&mut self) -> Option<Bytes> {
        let segment = self.payload.segments.get(self.next)?;
        let end = segment.len().min(self.sent + MAX_FRAME_BYTES);
        let frame = segment.slice(self.sent..end);
        self.sent = end;
        if end == segment.len() {
            (self.next, self.sent) = (self.next + 1, 0);
        }
        Some(frame)
    }

    fn left(&self) -> usize {
        let unsent = self.payload.segments.iter().skip(self.next).map(Bytes::len).sum::<usize>();
        unsent - self.sent
    }
}

impl Body for PayloadBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Ready(self.next_frame().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.next == self.payload.segments.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left() as u64)
    }
}
