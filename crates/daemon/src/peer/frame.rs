//! Packets on an HTTP/2 stream: a 4-byte big-endian length, then that many bytes.

use std::{fmt, future::poll_fn};

use bytes::{Buf, Bytes, BytesMut};
use h2::{RecvStream, SendStream};

use crate::peer::message::{LENGTH_PREFIX_BYTES, MAX_PACKET_BYTES, Packet, PacketError, decode};

/// Why a packet couldn't be received or sent.
#[derive(Debug)]
pub(super) enum FrameError {
    /// The connection failed, or the other end closed it.
    Closed,
    /// The received bytes aren't a valid packet.
    Packet(PacketError),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Closed => write!(f, "the link is closed"),
            FrameError::Packet(err) => write!(f, "{err}"),
        }
    }
}

impl From<h2::Error> for FrameError {
    fn from(_: h2::Error) -> Self {
        FrameError::Closed
    }
}

impl From<PacketError> for FrameError {
    fn from(err: PacketError) -> Self {
        FrameError::Packet(err)
    }
}

/// Reads packets. Buffers at most one packet and one HTTP/2 frame; flow-control capacity is
/// released only for data that has been read.
pub(super) struct FrameReader {
    stream: RecvStream,
    buf: BytesMut,
}

impl FrameReader {
    pub(super) fn new(stream: RecvStream) -> FrameReader {
        FrameReader { stream, buf: BytesMut::new() }
    }

    /// Returns the next packet, or `None` if the other end closed the stream between packets.
    pub(super) async fn next(&mut self) -> Result<Option<Packet>, FrameError> {
        loop {
            if let Some(packet) = self.take_packet()? {
                return Ok(Some(packet));
            }
            match self.stream.data().await {
                Some(data) => {
                    let data = data?;
                    self.stream.flow_control().release_capacity(data.len())?;
                    self.buf.extend_from_slice(&data);
                }
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(PacketError::Truncated.into()),
            }
        }
    }

    fn take_packet(&mut self) -> Result<Option<Packet>, PacketError> {
        let Some(prefix) = self.buf.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*prefix) as usize;
        if len > MAX_PACKET_BYTES {
            return Err(PacketError::TooLong(len));
        }
        if self.buf.len() < LENGTH_PREFIX_BYTES + len {
            return Ok(None);
        }
        self.buf.advance(LENGTH_PREFIX_BYTES);
        decode(&self.buf.split_to(len)).map(Some)
    }
}

/// Writes packets, and waits for flow-control capacity: `send_data` alone would buffer without
/// bound for a peer that reads slowly.
pub(super) struct FrameWriter {
    stream: SendStream<Bytes>,
}

impl FrameWriter {
    pub(super) fn new(stream: SendStream<Bytes>) -> FrameWriter {
        FrameWriter { stream }
    }

    pub(super) async fn send(&mut self, mut bytes: Bytes) -> Result<(), FrameError> {
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            let granted = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            let granted_bytes = granted.ok_or(FrameError::Closed)??;
            let chunk = bytes.split_to(granted_bytes.min(bytes.len()));
            self.stream.send_data(chunk, false)?;
        }
        Ok(())
    }

    /// Closes the sending direction after everything that was sent.
    pub(super) fn finish(&mut self) {
        // An error means that the stream is broken already; the link ends in either case.
        self.stream.send_data(Bytes::new(), true).ok();
    }
}
