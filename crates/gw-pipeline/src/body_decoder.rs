use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

use crate::ParseError;

/// Longest line of a chunk's size with its extensions, or of a trailer field, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Largest sum of the lines of one body, in bytes: a caller that splits a body into tiny chunks with
/// long extensions must not occupy the connection without limit.
const MAX_LINES_BYTES: usize = 256 * 1024;

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
    body: BytesMut,
    /// Never exceeded by `body`.
    max_body_bytes: usize,
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
        Self { state, body: BytesMut::new(), max_body_bytes, line_bytes: 0 }
    }

    /// Consumes bytes of `buffer` and returns the body once it is complete.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
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
                    if size > self.max_body_bytes - self.body.len() {
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

    fn take_body(&mut self) -> Bytes {
        std::mem::take(&mut self.body).freeze()
    }

    /// Moves up to `left` bytes to the body and returns how many remain.
    fn take_data(&mut self, buffer: &mut BytesMut, left: usize) -> usize {
        let taken = left.min(buffer.len());
        self.body.extend_from_slice(&buffer[..taken]);
        buffer.advance(taken);
        left - taken
    }

    fn take_line(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
        let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
            let is_bounded = buffer.len() <= MAX_LINE_BYTES;
            return if is_bounded { Ok(None) } else { Err(ParseError::MalformedBody) };
        };
        self.line_bytes += end + 1;
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
