use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

use crate::ParseError;
use crate::RequestBody;

/// Longest line of a chunk's size with its extensions, or of a trailer field, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Bytes of a line that are not counted: the size of a chunk and the line end. A body may come in
/// chunks of any size.
const FREE_LINE_BYTES: usize = 18;
/// Largest sum of the bytes of extensions and trailer fields of one body: a caller that adds them to
/// tiny chunks must not occupy the connection without limit.
const MAX_LINES_BYTES: usize = 256 * 1024;
/// Size of the segments of a large body. Segments of one size leave no gaps between them that other
/// bodies could not use.
const SEGMENT_BYTES: usize = 64 * 1024;
/// First capacity of a body in chunks, whose length is not known.
const FIRST_CHUNKED_BYTES: usize = 1024;

#[derive(Clone, Copy, Debug)]
enum DecoderState {
    /// Bytes that remain of a body with a known length.
    Length(usize),
    ChunkSize,
    /// Bytes that remain of the present chunk.
    ChunkData(usize),
    ChunkEnd,
    Trailers,
}

/// Collects the body of one request.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: DecoderState,
    /// Full segments.
    segments: Vec<Bytes>,
    /// The segment that is being filled; its capacity is at most [`SEGMENT_BYTES`].
    segment: BytesMut,
    /// Bytes of the body so far.
    len: usize,
    /// Never exceeded by `len`.
    max_body_bytes: usize,
    /// Bytes of extensions and trailers so far.
    line_bytes: usize,
}

impl BodyDecoder {
    /// A body of `length` bytes.
    pub(crate) fn with_length(length: u64, max_body_bytes: usize) -> Result<Self, ParseError> {
        let length = usize::try_from(length).ok().filter(|length| *length <= max_body_bytes);
        let length = length.ok_or(ParseError::BodyTooLarge)?;
        Ok(Self::new(DecoderState::Length(length), max_body_bytes))
    }

    /// A body in chunks (RFC 9112, section 7.1).
    pub(crate) fn chunked(max_body_bytes: usize) -> Self {
        Self::new(DecoderState::ChunkSize, max_body_bytes)
    }

    fn new(state: DecoderState, max_body_bytes: usize) -> Self {
        let (segments, segment) = (Vec::new(), BytesMut::new());
        Self { state, segments, segment, len: 0, max_body_bytes, line_bytes: 0 }
    }

    /// Number of bytes of the body so far.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Length of the body, if it is known.
    pub(crate) fn length(&self) -> Option<usize> {
        match self.state {
            DecoderState::Length(left) => Some(self.len + left),
            _ => None,
        }
    }

    /// Buffer to which bytes of the body can be read directly, and how many; `None` if something
    /// else may come before them.
    pub(crate) fn read_buffer(&mut self) -> Option<(&mut BytesMut, usize)> {
        let (DecoderState::Length(left) | DecoderState::ChunkData(left)) = self.state else {
            return None;
        };
        if left == 0 {
            return None;
        }
        let room = self.make_room(left);
        Some((&mut self.segment, room.min(left)))
    }

    /// Records that `count` bytes were read to [`Self::read_buffer`].
    pub(crate) fn record_read(&mut self, count: usize) {
        self.len += count;
        match &mut self.state {
            DecoderState::Length(left) | DecoderState::ChunkData(left) => *left -= count,
            _ => {}
        }
    }

    /// Makes room in the present segment, or in a new one, for a part of `left` bytes that follow.
    /// Returns how many fit.
    fn make_room(&mut self, left: usize) -> usize {
        if self.segment.len() == SEGMENT_BYTES {
            self.segments.push(std::mem::take(&mut self.segment).freeze());
        }
        if self.segment.len() == self.segment.capacity() {
            let room = match self.length() {
                Some(_) => left,
                // A body without a stated length may end soon.
                None => self.segment.len().max(FIRST_CHUNKED_BYTES),
            };
            let room = room.min(SEGMENT_BYTES - self.segment.len());
            let mut larger = BytesMut::with_capacity(self.segment.len() + room);
            larger.extend_from_slice(&self.segment);
            self.segment = larger;
        }
        self.segment.capacity().min(SEGMENT_BYTES) - self.segment.len()
    }

    /// Consumes bytes of `buffer` and returns the body once it is complete.
    pub(crate) fn decode(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<RequestBody>, ParseError> {
        loop {
            match self.state {
                DecoderState::Length(left) => {
                    let left = self.take_data(buffer, left);
                    self.state = DecoderState::Length(left);
                    return Ok((left == 0).then(|| self.take_body()));
                }
                DecoderState::ChunkSize => {
                    let Some(line) = self.take_line(buffer)? else { return Ok(None) };
                    let size = chunk_size(&line)?;
                    if size > self.max_body_bytes - self.len {
                        return Err(ParseError::BodyTooLarge);
                    }
                    self.state = match size {
                        0 => DecoderState::Trailers,
                        size => DecoderState::ChunkData(size),
                    };
                }
                DecoderState::ChunkData(left) => {
                    let left = self.take_data(buffer, left);
                    if left > 0 {
                        self.state = DecoderState::ChunkData(left);
                        return Ok(None);
                    }
                    self.state = DecoderState::ChunkEnd;
                }
                DecoderState::ChunkEnd => {
                    let Some(line) = self.take_line(buffer)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(ParseError::MalformedBody);
                    }
                    self.state = DecoderState::ChunkSize;
                }
                // Trailer fields are not forwarded.
                DecoderState::Trailers => {
                    let Some(line) = self.take_line(buffer)? else { return Ok(None) };
                    if line.is_empty() {
                        return Ok(Some(self.take_body()));
                    }
                }
            }
        }
    }

    fn take_body(&mut self) -> RequestBody {
        let mut segments = std::mem::take(&mut self.segments);
        if segments.is_empty() {
            return RequestBody::from(std::mem::take(&mut self.segment).freeze());
        }
        if !self.segment.is_empty() {
            segments.push(std::mem::take(&mut self.segment).freeze());
        }
        RequestBody::new(segments)
    }

    /// Moves up to `left` bytes to the body and returns how many remain.
    fn take_data(&mut self, buffer: &mut BytesMut, mut left: usize) -> usize {
        while left > 0 && !buffer.is_empty() {
            let taken = self.make_room(left).min(left).min(buffer.len());
            self.segment.extend_from_slice(&buffer[..taken]);
            self.len += taken;
            buffer.advance(taken);
            left -= taken;
        }
        left
    }

    fn take_line(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
        let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
            let is_bounded = buffer.len() <= MAX_LINE_BYTES;
            return if is_bounded { Ok(None) } else { Err(ParseError::MalformedBody) };
        };
        let free_bytes = match self.state {
            DecoderState::Trailers => 0,
            _ => FREE_LINE_BYTES,
        };
        self.line_bytes += (end + 1).saturating_sub(free_bytes);
        if end > MAX_LINE_BYTES || self.line_bytes > MAX_LINES_BYTES {
            return Err(ParseError::MalformedBody);
        }
        let line = buffer.split_to(end + 1).freeze();
        // A bare line feed may separate lines differently for other recipients.
        match line.strip_suffix(b"\r\n") {
            Some(text) if !text.contains(&b'\r') => Ok(Some(line.slice(..text.len()))),
            _ => Err(ParseError::MalformedBody),
        }
    }
}

/// Reads the size of a chunk; extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<usize, ParseError> {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let size = size.trim_ascii_end();
    let is_hex = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(size).ok().filter(|_| is_hex);
    let text = text.ok_or(ParseError::MalformedBody)?;
    usize::from_str_radix(text, 16).map_err(|_| ParseError::BodyTooLarge)
}
