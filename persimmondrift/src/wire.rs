//! Frames that entries and agents exchange.
//!
//! A frame is one format byte followed by a `postcard` body. A UDP datagram carries one frame; on
//! TCP each frame is preceded by its length as a 32-bit big-endian number.

use std::io::{self, Read, Write};

use serde::{Deserialize, Serialize};

use crate::unit::{Boot, Node, Request, Sequence, Version};
use crate::{admit, config, gang, member};

/// Format byte of this release; frames with another one are refused.
pub const FORMAT: u8 = 1;
/// Largest frame on TCP, in bytes. It leaves room for headers beside a request body at its limit.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
/// Largest frame in a UDP datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Largest chunk of an update, in bytes.
const MAX_CHUNK_BYTES: usize = 1 << 20;
/// Largest update, in bytes: a configuration with the largest permitted number of jobs.
pub const MAX_UPDATE_BYTES: usize = 128 << 20;

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The process that sent the frame.
    pub node: Node,
    /// Incarnation of that process.
    pub boot: Boot,
    /// Number of the frame among those of that incarnation.
    pub sequence: Sequence,
    /// The message.
    pub body: Body,
}

/// A chunk of an encoded [`config::Update`] that may be larger than a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Whether this is the last chunk of the update.
    pub last: bool,
    /// The next bytes of the encoded update.
    pub bytes: Vec<u8>,
}

/// A message between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Agent to entry: full report about the agent and its target.
    Announce(member::Announce),
    /// Entry to entry and agent: heartbeat with the version of the configuration.
    Presence(member::Presence),
    /// Agent to entry: heartbeat; only the version may differ from the last full report.
    Beat(member::Beat),
    /// Any to any: probe, which the receiver answers at once with an announcement.
    Ask,
    /// Planner to agent: command for a part of a job.
    Command(gang::Command),
    /// Agent to planner: states of parts.
    Report(gang::Report),
    /// Entry to agent: request of a caller.
    Call(admit::Call),
    /// Agent to entry: outcome of a request, and the current load of the target.
    Outcome(Request, admit::Outcome, member::Load),
    /// Entry to agent: cancellation of a request that may not have started.
    Cancel(admit::Ticket),
    /// Agent to entry: whether it is proven that the request has not run and will not run.
    Cancelled(Request, bool),
    /// Entry to entry: read of the configuration changes after this version.
    Fetch(Version),
    /// Agent to entry: read of the configuration changes after this version, without jobs.
    Follow(Version),
    /// Entry to agent: configuration changes, sent as soon as they are accepted.
    Push(config::Update),
    /// Entry to entry and agent: a chunk of the answer to `Fetch` or `Follow`.
    Chunk(Chunk),
}

/// A frame or an update that cannot be sent or read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame or the update exceeds its size limit.
    #[error("frame of {found} bytes is over the limit of {limit}")]
    Size {
        /// Actual size in bytes.
        found: usize,
        /// Size limit in bytes.
        limit: usize,
    },
    /// The format byte is not [`FORMAT`].
    #[error("frame has format {found}, expected {FORMAT}")]
    Format {
        /// The format byte received.
        found: u8,
    },
    /// The frame has no bytes.
    #[error("frame is empty")]
    Empty,
    /// The body is malformed, incomplete or followed by further bytes.
    #[error("frame body is malformed: {0}")]
    Body(#[from] postcard::Error),
    /// The connection failed or was closed.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
}

/// Encodes a frame without a length prefix.
///
/// # Errors
///
/// Returns [`Error::Size`] if it is larger than `limit` bytes.
pub fn encode(frame: &Frame, limit: usize) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_extend(frame, vec![FORMAT])?;
    if bytes.len() > limit {
        return Err(Error::Size { found: bytes.len(), limit });
    }
    Ok(bytes)
}

/// Decodes a frame without a length prefix.
///
/// # Errors
///
/// Returns [`Error`] if the bytes are not exactly one frame of this format.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let (&format, body) = bytes.split_first().ok_or(Error::Empty)?;
    if format != FORMAT {
        return Err(Error::Format { found: format });
    }
    let (frame, rest) = postcard::take_from_bytes(body)?;
    if rest.is_empty() { Ok(frame) } else { Err(postcard::Error::DeserializeBadEncoding.into()) }
}

/// Writes a frame to a connection, preceded by its length.
///
/// # Errors
///
/// Returns [`Error`] if the frame is too large or the connection fails.
pub fn write(mut to: impl Write, frame: &Frame) -> Result<(), Error> {
    let body = encode(frame, MAX_FRAME_BYTES)?;
    let length = u32::try_from(body.len())
        .map_err(|_| Error::Size { found: body.len(), limit: MAX_FRAME_BYTES })?;
    let mut bytes = Vec::with_capacity(4 + body.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    to.write_all(&bytes)?;
    Ok(to.flush()?)
}

/// Reads a frame that is preceded by its length from a connection.
///
/// # Errors
///
/// Returns [`Error`] if the connection fails, or the frame is too large or malformed.
pub fn read(mut from: impl Read) -> Result<Frame, Error> {
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let length = usize::try_from(u32::from_be_bytes(length)).unwrap_or(usize::MAX);
    if length > MAX_FRAME_BYTES {
        return Err(Error::Size { found: length, limit: MAX_FRAME_BYTES });
    }
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes)?;
    decode(&bytes)
}

/// Writes an update to a connection as a sequence of chunks, and returns its encoded size in bytes.
///
/// # Errors
///
/// Returns [`Error`] if the update is too large or the connection fails.
pub fn write_update(
    mut to: impl Write,
    update: &config::Update,
    frame: impl Fn(Body) -> Frame,
) -> Result<usize, Error> {
    let bytes = postcard::to_stdvec(update)?;
    if bytes.len() > MAX_UPDATE_BYTES {
        return Err(Error::Size { found: bytes.len(), limit: MAX_UPDATE_BYTES });
    }
    let mut pieces = bytes.chunks(MAX_CHUNK_BYTES).peekable();
    while let Some(piece) = pieces.next() {
        let chunk = Chunk { last: pieces.peek().is_none(), bytes: piece.to_vec() };
        write(&mut to, &frame(Body::Chunk(chunk)))?;
    }
    Ok(bytes.len())
}

/// Reads all chunks of an update from a connection.
///
/// # Errors
///
/// Returns [`Error`] if the connection fails, or the update is too large or malformed.
pub fn read_update(mut from: impl Read) -> Result<config::Update, Error> {
    let mut bytes = Vec::new();
    loop {
        let Body::Chunk(chunk) = read(&mut from)?.body else {
            return Err(postcard::Error::DeserializeBadEncoding.into());
        };
        bytes.extend_from_slice(&chunk.bytes);
        if bytes.len() > MAX_UPDATE_BYTES {
            return Err(Error::Size { found: bytes.len(), limit: MAX_UPDATE_BYTES });
        }
        if chunk.last {
            return Ok(postcard::from_bytes(&bytes)?);
        }
    }
}
