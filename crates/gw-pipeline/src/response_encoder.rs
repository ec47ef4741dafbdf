use std::time::SystemTime;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The response has no body, whatever its fields say.
    Empty,
    /// The body has the length that the head states.
    Length,
    /// The body is sent in chunks; without the last one it is incomplete.
    Chunked,
    /// The body ends with the connection; a reset marks it as incomplete.
    UntilClose,
}

/// Encodes the response to one request.
#[derive(Clone, Copy, Debug)]
pub struct ResponseEncoder {
    is_head: bool,
    version: Version,
    closes: bool,
}

impl ResponseEncoder {
    /// Creates the encoder for the response to a request with `method` and `version`. With `closes`,
    /// the response announces that the connection ends after it.
    pub fn new(method: &Method, version: Version, closes: bool) -> Self {
        Self { is_head: *method == Method::HEAD, version, closes }
    }

    /// Appends the head of a response whose body has `len` bytes, `None` if that is not known yet.
    /// Returns how the body has to be sent.
    pub fn put_head<B>(
        &self,
        response: &Response<B>,
        len: Option<u64>,
        buffer: &mut BytesMut,
    ) -> BodyFraming {
        let (status, headers) = (response.status(), response.headers());
        let framing = self.framing(status, len);
        buffer.reserve(256 + headers.len() * 48);
        buffer.put_slice(b"HTTP/1.1 ");
        buffer.put_slice(status.as_str().as_bytes());
        buffer.put_slice(b" ");
        buffer.put_slice(status.canonical_reason().unwrap_or_default().as_bytes());
        buffer.put_slice(b"\r\n");
        for (name, value) in headers {
            let is_own = *name == header::CONNECTION || *name == header::TRANSFER_ENCODING;
            let is_length = *name == header::CONTENT_LENGTH;
            // The stated length of a response to HEAD or of a 304 describes a body that is not sent.
            let is_replaced = is_length && (framing != BodyFraming::Empty || !has_length(status));
            if is_own || is_replaced {
                continue;
            }
            put_field(buffer, name.as_str().as_bytes(), value.as_bytes());
        }
        match (framing, len) {
            (BodyFraming::Chunked, _) => put_field(buffer, b"transfer-encoding", b"chunked"),
            (BodyFraming::Length, Some(len)) => {
                put_field(buffer, b"content-length", len.to_string().as_bytes());
            }
            _ => {}
        }
        if !headers.contains_key(header::DATE) {
            let date = httpdate::fmt_http_date(SystemTime::now());
            put_field(buffer, b"date", date.as_bytes());
        }
        if self.closes || framing == BodyFraming::UntilClose {
            put_field(buffer, b"connection", b"close");
        } else if self.version == Version::HTTP_10 {
            put_field(buffer, b"connection", b"keep-alive");
        }
        buffer.put_slice(b"\r\n");
        framing
    }

    fn framing(&self, status: StatusCode, len: Option<u64>) -> BodyFraming {
        if self.is_head || !has_length(status) || status == StatusCode::NOT_MODIFIED {
            return BodyFraming::Empty;
        }
        match (len, self.version) {
            (Some(_), _) => BodyFraming::Length,
            (None, Version::HTTP_10) => BodyFraming::UntilClose,
            (None, _) => BodyFraming::Chunked,
        }
    }

    /// Appends the head of `100 Continue`.
    pub fn put_continue(buffer: &mut BytesMut) {
        buffer.put_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Appends a piece of the body.
    pub fn put_piece(framing: BodyFraming, piece: &Bytes, buffer: &mut BytesMut) {
        match framing {
            BodyFraming::Empty => {}
            // A chunk of length 0 would end the body.
            BodyFraming::Chunked if piece.is_empty() => {}
            BodyFraming::Chunked => {
                buffer.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
                buffer.put_slice(piece);
                buffer.put_slice(b"\r\n");
            }
            BodyFraming::Length | BodyFraming::UntilClose => buffer.put_slice(piece),
        }
    }

    /// Appends the end of the body.
    pub fn put_end(framing: BodyFraming, buffer: &mut BytesMut) {
        if framing == BodyFraming::Chunked {
            buffer.put_slice(b"0\r\n\r\n");
        }
    }
}

/// Whether a response with `status` may state the length of its body (RFC 9110, section 8.6).
fn has_length(status: StatusCode) -> bool {
    !status.is_informational() && status != StatusCode::NO_CONTENT
}

fn put_field(buffer: &mut BytesMut, name: &[u8], value: &[u8]) {
    buffer.put_slice(name);
    buffer.put_slice(b": ");
    buffer.put_slice(value);
    buffer.put_slice(b"\r\n");
}
