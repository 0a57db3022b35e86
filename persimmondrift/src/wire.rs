//! Frames between the processes of the system.
//!
//! A frame is one format byte and a `postcard` body. A UDP datagram carries one frame; on
//! TCP a 32-bit big-endian length goes before each.

use std::io::{self, Read, Write};

use serde::{Deserialize, Serialize};

use crate::unit::{Boot, Node, Request, Sequence, Version};
use crate::{admit, config, gang, member};

/// The format byte of this release.
pub const FORMAT: u8 = 1;
/// Largest frame on TCP, in bytes: a body at its limit, its headers, and room to spare.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
/// Largest frame in a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Largest piece of an update, in bytes.
const MAX_CHUNK_BYTES: usize = 1 << 20;
/// Largest update, in bytes: a configuration with its most jobs.
pub const MAX_UPDATE_BYTES: usize = 128 << 20;

/// A message with its source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The process that sent it.
    pub node: Node,
    /// The start of that process.
    pub boot: Boot,
    /// Its number among the messages of that start.
    pub sequence: Sequence,
    /// The message.
    pub body: Body,
}

/// A piece of something larger than a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Whether it is the last piece.
    pub last: bool,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A message between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Agent to entry: what it has and does.
    Announce(member::Announce),
    /// Entry to entry and agent: that it is there, and its configuration.
    Presence(member::Presence),
    /// Agent to entry: nothing but the version is new since a report.
    Beat(member::Beat),
    /// Any to any: say at once that you are there.
    Ask,
    /// Planner to agent: what to do with a part of a job.
    Command(gang::Command),
    /// Agent to planner: what became of a part.
    Report(gang::Report),
    /// Entry to agent: a request.
    Call(admit::Call),
    /// Agent to entry: what became of a request, and how busy the target is now.
    Outcome(Request, admit::Outcome, member::Load),
    /// Entry to agent: do not run this request.
    Cancel(admit::Ticket),
    /// Agent to entry: whether it is proved that the request did not run.
    Cancelled(Request, bool),
    /// Entry to entry: send what follows this version.
    Fetch(Version),
    /// Agent to entry: send what follows this version, without jobs.
    Follow(Version),
    /// Entry to agent: changes as soon as they are accepted.
    Push(config::Update),
    /// A piece of an [`config::Update`] that may be larger than a frame.
    Chunk(Chunk),
}

/// Reports a frame that cannot be sent or read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is over the bound.
    #[error("frame of {found} bytes is over the limit of {limit}")]
    Size {
        /// Its size.
        found: usize,
        /// The bound.
        limit: usize,
    },
    /// The frame has another format.
    #[error("frame has format {found}, expected {FORMAT}")]
    Format {
        /// Its format byte.
        found: u8,
    },
    /// The frame is empty.
    #[error("frame is empty")]
    Empty,
    /// The body is malformed.
    #[error("frame body is malformed: {0}")]
    Body(#[from] postcard::Error),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
}

/// Encodes a frame.
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

/// Decodes a frame.
///
/// # Errors
///
/// Returns [`Error`] if the bytes are not a whole frame of this format.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let (&format, body) = bytes.split_first().ok_or(Error::Empty)?;
    if format != FORMAT {
        return Err(Error::Format { found: format });
    }
    let (frame, rest) = postcard::take_from_bytes(body)?;
    if rest.is_empty() { Ok(frame) } else { Err(postcard::Error::DeserializeBadEncoding.into()) }
}

/// Writes a frame to a connection.
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

/// Reads a frame from a connection.
///
/// # Errors
///
/// Returns [`Error`] if the connection fails or the frame is malformed.
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

/// Writes an update to a connection, in as many frames as it needs, and returns its size.
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

/// Reads an update from a connection.
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
