use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Largest length of a chunk size line including extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;

/// Result of scanning one request head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadVerdict {
    /// The framing of the message is unambiguous.
    Clear,
    /// Two recipients could disagree on where the message ends. Contains the reason.
    Ambiguous(&'static str),
    /// The request line exceeds its limit.
    RequestLineTooLong,
    /// The head exceeds its limit.
    HeadTooLong,
}

/// Verdicts on the requests of one connection, in order.
#[derive(Debug, Default)]
pub(crate) struct VerdictQueue {
    verdicts: Mutex<VecDeque<HeadVerdict>>,
}

impl VerdictQueue {
    fn push(&self, verdict: HeadVerdict) {
        self.verdicts.lock().unwrap_or_else(PoisonError::into_inner).push_back(verdict);
    }

    /// Returns the verdict on the next request. If there is none, the scanner and hyper disagree on
    /// where a request begins, and the request is refused.
    pub(crate) fn pop(&self) -> HeadVerdict {
        let mut verdicts = self.verdicts.lock().unwrap_or_else(PoisonError::into_inner);
        verdicts.pop_front().unwrap_or(HeadVerdict::Ambiguous("message framing is unclear"))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ScanState {
    RequestLine,
    Fields,
    Body {
        remaining: u64,
    },
    ChunkSize,
    ChunkData {
        remaining: u64,
    },
    ChunkEnd,
    Trailers,
    /// Nothing more is scanned; the connection is closed after the current response.
    Stopped,
}

/// Scans the bytes that a caller sends for request heads with ambiguous framing (RFC 9112, section
/// 6.3).
///
/// hyper silently drops a `Content-Length` that follows `Transfer-Encoding`. A proxy in front of
/// this host could have framed the message by that length, so such a request has to be refused.
#[derive(Debug)]
pub(crate) struct HeadScanner {
    state: ScanState,
    /// Start of a line whose end has not arrived yet.
    partial: Vec<u8>,
    head_bytes: usize,
    content_length: Option<u64>,
    is_chunked: bool,
    is_http_10: bool,
    max_line_bytes: usize,
    max_head_bytes: usize,
}

impl HeadScanner {
    /// Creates a scanner with limits in bytes.
    pub(crate) fn new(max_line_bytes: usize, max_head_bytes: usize) -> Self {
        Self {
            state: ScanState::RequestLine,
            partial: Vec::new(),
            head_bytes: 0,
            content_length: None,
            is_chunked: false,
            is_http_10: false,
            max_line_bytes,
            max_head_bytes,
        }
    }

    /// Returns whether part of a head has arrived.
    pub(crate) fn is_in_head(&self) -> bool {
        self.state == ScanState::Fields || !self.partial.is_empty()
    }

    /// Scans the next bytes and adds one verdict for each head that ends in them.
    pub(crate) fn feed(&mut self, mut bytes: &[u8], verdicts: &VerdictQueue) {
        while !bytes.is_empty() {
            match &mut self.state {
                ScanState::Stopped => return,
                ScanState::Body { remaining } | ScanState::ChunkData { remaining } => {
                    let skipped = (*remaining).min(bytes.len() as u64);
                    *remaining -= skipped;
                    bytes = &bytes[skipped as usize..];
                    self.finish_data();
                }
                _ => bytes = self.feed_line(bytes, verdicts),
            }
        }
    }

    fn finish_data(&mut self) {
        self.state = match self.state {
            ScanState::Body { remaining: 0 } => ScanState::RequestLine,
            ScanState::ChunkData { remaining: 0 } => ScanState::ChunkEnd,
            state => state,
        };
    }

    fn feed_line<'a>(&mut self, bytes: &'a [u8], verdicts: &VerdictQueue) -> &'a [u8] {
        let Some(end) = bytes.iter().position(|&byte| byte == b'\n') else {
            self.partial.extend_from_slice(bytes);
            if let Err(verdict) = self.check_length(self.partial.len()) {
                self.stop(verdict, verdicts);
            }
            return &[];
        };
        let (line, rest) = (&bytes[..end], &bytes[end + 1..]);
        let result = if self.partial.is_empty() {
            self.parse_line(line)
        } else {
            let mut whole = std::mem::take(&mut self.partial);
            whole.extend_from_slice(line);
            self.parse_line(&whole)
        };
        match result {
            Ok(true) => verdicts.push(HeadVerdict::Clear),
            Ok(false) => {}
            Err(verdict) => self.stop(verdict, verdicts),
        }
        rest
    }

    fn stop(&mut self, verdict: HeadVerdict, verdicts: &VerdictQueue) {
        // An error within a body has no verdict; hyper reports it when the body is read.
        if matches!(self.state, ScanState::RequestLine | ScanState::Fields) {
            verdicts.push(verdict);
        }
        self.partial = Vec::new();
        self.state = ScanState::Stopped;
    }

    fn check_length(&self, line: usize) -> Result<(), HeadVerdict> {
        match self.state {
            ScanState::RequestLine if line > self.max_line_bytes => {
                Err(HeadVerdict::RequestLineTooLong)
            }
            ScanState::ChunkSize | ScanState::ChunkEnd if line > MAX_CHUNK_LINE_BYTES => {
                Err(HeadVerdict::Ambiguous("chunk line is too long"))
            }
            _ if self.head_bytes + line > self.max_head_bytes => Err(HeadVerdict::HeadTooLong),
            _ => Ok(()),
        }
    }

    /// Parses a line without its LF. Returns whether it ends a head.
    fn parse_line(&mut self, line: &[u8]) -> Result<bool, HeadVerdict> {
        self.check_length(line.len())?;
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.contains(&b'\r') {
            return Err(HeadVerdict::Ambiguous("CR without LF"));
        }
        match self.state {
            ScanState::RequestLine => self.parse_request_line(line),
            ScanState::Fields if line.is_empty() => return self.end_head().map(|()| true),
            ScanState::Fields => self.parse_field(line)?,
            ScanState::ChunkSize => self.parse_chunk_size(line)?,
            ScanState::ChunkEnd if line.is_empty() => self.state = ScanState::ChunkSize,
            ScanState::ChunkEnd => return Err(HeadVerdict::Ambiguous("chunk is too long")),
            ScanState::Trailers if line.is_empty() => self.state = ScanState::RequestLine,
            ScanState::Trailers => self.head_bytes += line.len(),
            ScanState::Body { .. } | ScanState::ChunkData { .. } | ScanState::Stopped => {}
        }
        Ok(false)
    }

    fn parse_request_line(&mut self, line: &[u8]) {
        // RFC 9112, section 2.2: empty lines before a request line are ignored.
        if line.is_empty() {
            return;
        }
        self.head_bytes = line.len();
        self.content_length = None;
        self.is_chunked = false;
        self.is_http_10 = line.ends_with(b"HTTP/1.0");
        self.state = ScanState::Fields;
    }

    fn parse_field(&mut self, line: &[u8]) -> Result<(), HeadVerdict> {
        self.head_bytes += line.len();
        if line.starts_with(b" ") || line.starts_with(b"\t") {
            return Err(HeadVerdict::Ambiguous("folded header line"));
        }
        let colon = line.iter().position(|&byte| byte == b':');
        let Some(colon) = colon else {
            return Err(HeadVerdict::Ambiguous("header line without colon"));
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.last().is_some_and(u8::is_ascii_whitespace) {
            return Err(HeadVerdict::Ambiguous("space before colon"));
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            self.parse_content_length(value)
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.parse_transfer_encoding(value)
        } else {
            Ok(())
        }
    }

    fn parse_content_length(&mut self, value: &[u8]) -> Result<(), HeadVerdict> {
        if self.content_length.is_some() {
            return Err(HeadVerdict::Ambiguous("several Content-Length"));
        }
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = if is_number { std::str::from_utf8(value).ok() } else { None };
        let length = text.and_then(|text| text.parse().ok());
        self.content_length = Some(length.ok_or(HeadVerdict::Ambiguous("bad Content-Length"))?);
        Ok(())
    }

    fn parse_transfer_encoding(&mut self, value: &[u8]) -> Result<(), HeadVerdict> {
        if self.is_chunked || self.is_http_10 || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(HeadVerdict::Ambiguous("unsupported Transfer-Encoding"));
        }
        self.is_chunked = true;
        Ok(())
    }

    fn end_head(&mut self) -> Result<(), HeadVerdict> {
        if self.is_chunked && self.content_length.is_some() {
            return Err(HeadVerdict::Ambiguous("both Content-Length and Transfer-Encoding"));
        }
        self.head_bytes = 0;
        self.state = match self.content_length {
            _ if self.is_chunked => ScanState::ChunkSize,
            Some(remaining) if remaining > 0 => ScanState::Body { remaining },
            _ => ScanState::RequestLine,
        };
        Ok(())
    }

    fn parse_chunk_size(&mut self, line: &[u8]) -> Result<(), HeadVerdict> {
        let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
        let is_ended = matches!(line.get(digits), None | Some(b';' | b' ' | b'\t'));
        let text = std::str::from_utf8(&line[..digits]).unwrap_or_default();
        let remaining = u64::from_str_radix(text, 16).ok().filter(|_| is_ended);
        self.state = match remaining {
            Some(0) => ScanState::Trailers,
            Some(remaining) => ScanState::ChunkData { remaining },
            None => return Err(HeadVerdict::Ambiguous("bad chunk size")),
        };
        Ok(())
    }
}
