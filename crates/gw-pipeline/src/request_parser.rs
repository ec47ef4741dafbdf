use bytes::Buf;
use bytes::BufMut;
use bytes::BytesMut;
use bytes::buf::Limit;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::Version;
use http::header;
use http::request;

use crate::ParseError;
use crate::ParsedRequest;
use crate::body_decoder::BodyDecoder;

/// Largest number of header fields of one request.
const MAX_FIELDS: usize = 100;

/// Limits of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParserLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
}

/// A request whose head is complete.
#[derive(Debug)]
struct StartedRequest {
    head: request::Parts,
    /// Length of the head in bytes.
    head_bytes: usize,
    keeps_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    awaits_continue: bool,
    body: BodyDecoder,
}

/// Splits the bytes of a connection into requests.
///
/// After an error, the connection must be closed.
#[derive(Debug)]
pub struct RequestParser {
    limits: ParserLimits,
    /// Received bytes that belong to no complete request yet.
    buffer: BytesMut,
    started: Option<StartedRequest>,
    /// Length of the buffer at which the head was last found to be incomplete.
    incomplete_len: usize,
    /// Whether bytes were last read to the body itself and not to `buffer`.
    reads_body: bool,
}

impl RequestParser {
    /// Creates a parser for a new connection.
    pub fn new(limits: ParserLimits) -> Self {
        let (buffer, started, incomplete_len) = (BytesMut::new(), None, 0);
        Self { limits, buffer, started, incomplete_len, reads_body: false }
    }

    /// Buffer to which the next bytes are read, with room for `room` bytes, or for fewer if they
    /// belong to a body. [`Self::record_read`] must follow the read.
    pub fn read_buffer(&mut self, room: usize) -> Limit<&mut BytesMut> {
        let is_parsed = self.buffer.is_empty();
        let body = self.started.as_mut().filter(|_| is_parsed);
        let target = body.and_then(|started| started.body.read_buffer());
        self.reads_body = target.is_some();
        match target {
            Some((buffer, left)) => buffer.limit(left),
            None => {
                self.buffer.reserve(room);
                let room = self.buffer.capacity() - self.buffer.len();
                (&mut self.buffer).limit(room)
            }
        }
    }

    /// Records that `count` bytes were read to [`Self::read_buffer`].
    pub fn record_read(&mut self, count: usize) {
        if let Some(started) = self.started.as_mut().filter(|_| self.reads_body) {
            started.body.record_read(count);
        }
    }

    /// Bytes of the body that is being collected, and its length if that is known; `None` outside a
    /// body.
    pub fn body_len(&self) -> Option<(usize, Option<usize>)> {
        self.started.as_ref().map(|started| (started.body.len(), started.body.length()))
    }

    /// Head of the request whose body is being collected.
    pub fn started_head(&self) -> Option<&request::Parts> {
        self.started.as_ref().map(|started| &started.head)
    }

    /// Drops what has arrived of a request that is refused. The connection must be closed.
    pub fn clear(&mut self) {
        *self = Self::new(self.limits);
    }

    /// Buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Number of received bytes that belong to no complete request yet, without the body that is
    /// being collected.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether a part of a request has arrived.
    pub fn is_within_request(&self) -> bool {
        self.started.is_some() || !self.buffer.is_empty()
    }

    /// Whether the head of a request is complete and its body is not.
    pub fn is_within_body(&self) -> bool {
        self.started.is_some()
    }

    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub fn awaits_continue(&self) -> bool {
        let awaiting = self.started.as_ref().is_some_and(|started| started.awaits_continue);
        awaiting && self.buffer.is_empty()
    }

    /// Records that `100 Continue` was sent.
    pub fn set_continued(&mut self) {
        if let Some(started) = &mut self.started {
            started.awaits_continue = false;
        }
    }

    /// Returns the next complete request, or `None` if more bytes are needed.
    pub fn next_request(&mut self) -> Result<Option<ParsedRequest>, ParseError> {
        if self.started.is_none() {
            self.started = self.parse_head()?;
        }
        let Some(started) = &mut self.started else { return Ok(None) };
        let Some(body) = started.body.decode(&mut self.buffer)? else { return Ok(None) };
        let Some(StartedRequest { head, head_bytes, keeps_alive, .. }) = self.started.take() else {
            return Ok(None);
        };
        let request = Request::from_parts(head, body);
        Ok(Some(ParsedRequest { request, head_bytes, keeps_alive }))
    }

    fn parse_head(&mut self) -> Result<Option<StartedRequest>, ParseError> {
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
        if self.buffer.is_empty() || self.buffer.len() == self.incomplete_len {
            return Ok(None);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let len = match parsed.parse(&self.buffer) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) if self.buffer.len() <= self.limits.head_bytes => {
                self.incomplete_len = self.buffer.len();
                return Ok(None);
            }
            Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
                return Err(ParseError::HeadTooLarge);
            }
            Err(_) => return Err(ParseError::MalformedHead),
        };
        if len > self.limits.head_bytes {
            return Err(ParseError::HeadTooLarge);
        }
        let started = start_request(&parsed, len, self.limits.body_bytes)?;
        self.buffer.advance(len);
        self.incomplete_len = 0;
        Ok(Some(started))
    }
}

fn start_request(
    parsed: &httparse::Request<'_, '_>,
    head_bytes: usize,
    max_body_bytes: usize,
) -> Result<StartedRequest, ParseError> {
    let malformed = ParseError::MalformedHead;
    let method = Method::from_bytes(parsed.method.unwrap_or_default().as_bytes());
    let uri = parsed.path.unwrap_or_default().parse::<Uri>();
    let version = if parsed.version == Some(0) { Version::HTTP_10 } else { Version::HTTP_11 };
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| malformed)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| malformed)?;
        headers.append(name, value);
    }
    let body = body_decoder(&headers, max_body_bytes)?;
    let keeps_alive = match version {
        Version::HTTP_10 => has_token(&headers, &header::CONNECTION, "keep-alive"),
        _ => !has_token(&headers, &header::CONNECTION, "close"),
    };
    let awaits_continue =
        version == Version::HTTP_11 && has_token(&headers, &header::EXPECT, "100-continue");
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = method.map_err(|_| malformed)?;
    head.uri = uri.map_err(|_| malformed)?;
    head.version = version;
    head.headers = headers;
    Ok(StartedRequest { head, head_bytes, keeps_alive, awaits_continue, body })
}

fn body_decoder(headers: &HeaderMap, max_body_bytes: usize) -> Result<BodyDecoder, ParseError> {
    let ambiguous = ParseError::AmbiguousLength;
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).into_iter();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).into_iter();
    match (lengths.next(), codings.next()) {
        (None, None) => BodyDecoder::with_length(0, max_body_bytes),
        (Some(length), None) if lengths.all(|other| other == length) => {
            let text = length.to_str().map_err(|_| ambiguous)?;
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            if !is_number {
                return Err(ambiguous);
            }
            let length = text.parse().map_err(|_| ParseError::BodyTooLarge)?;
            BodyDecoder::with_length(length, max_body_bytes)
        }
        (None, Some(coding)) if codings.next().is_none() => {
            let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
            if is_chunked { Ok(BodyDecoder::chunked(max_body_bytes)) } else { Err(ambiguous) }
        }
        _ => Err(ambiguous),
    }
}

/// Whether a field lists `token`, in any case.
fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok());
    let mut tokens = values.flat_map(|value| value.split(','));
    tokens.any(|listed| listed.trim().eq_ignore_ascii_case(token))
}
