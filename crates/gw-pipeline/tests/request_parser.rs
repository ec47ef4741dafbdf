//! Splitting the bytes of a connection into requests.

use bytes::BufMut;
use bytes::Bytes;
use gw_pipeline::ParseError;
use gw_pipeline::ParserLimits;
use gw_pipeline::RequestParser;
use quickcheck::TestResult;
use quickcheck::quickcheck;

const LIMITS: ParserLimits = ParserLimits { head_bytes: 512, body_bytes: 64 };

/// Method, path, body and whether the connection stays open, of each request, and the error that
/// ends the connection.
type Parsed = (Vec<(String, String, Bytes, bool)>, Option<ParseError>);

/// Parses `pieces` in the way of a connection that reads them one after the other.
fn parse<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Parsed {
    let mut parser = RequestParser::new(LIMITS);
    let mut requests = Vec::new();
    for piece in pieces {
        parser.buffer().extend_from_slice(piece);
        loop {
            match parser.next_request() {
                Ok(None) => break,
                Ok(Some(parsed)) => {
                    let (head, body) = parsed.request.into_parts();
                    let (method, path) = (head.method.to_string(), head.uri.to_string());
                    let body: Vec<u8> = body.segments().flatten().copied().collect();
                    let body = Bytes::from(body);
                    requests.push((method, path, body, parsed.keeps_alive));
                }
                Err(error) => return (requests, Some(error)),
            }
        }
    }
    (requests, None)
}

struct ParseCase {
    name: &'static str,
    bytes: &'static str,
    /// Method, path, body and whether the connection stays open.
    requests: &'static [(&'static str, &'static str, &'static str, bool)],
    error: Option<ParseError>,
}

const CASES: &[ParseCase] = &[
    ParseCase {
        name: "pipelined requests with and without bodies",
        bytes: "GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc\
                HEAD /c HTTP/1.1\r\n\r\n",
        requests: &[("GET", "/a", "", true), ("POST", "/b", "abc", true), ("HEAD", "/c", "", true)],
        error: None,
    },
    ParseCase {
        name: "body in chunks with extensions and trailers",
        bytes: "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n\
                0\r\nT: v\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
        requests: &[("POST", "/a", "abcde", true), ("GET", "/b", "", true)],
        error: None,
    },
    ParseCase {
        name: "empty lines between requests",
        bytes: "GET /a HTTP/1.1\r\n\r\n\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
        requests: &[("GET", "/a", "", true), ("GET", "/b", "", true)],
        error: None,
    },
    ParseCase {
        name: "callers that close, and an old version",
        bytes: "GET /a HTTP/1.1\r\nConnection: x, Close\r\n\r\nGET /b HTTP/1.0\r\n\r\n\
                GET /c HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        requests: &[("GET", "/a", "", false), ("GET", "/b", "", false), ("GET", "/c", "", true)],
        error: None,
    },
    ParseCase {
        name: "malformed head behind a request",
        bytes: "GET /a HTTP/1.1\r\n\r\nGET \x01 HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
        requests: &[("GET", "/a", "", true)],
        error: Some(ParseError::MalformedHead),
    },
    ParseCase {
        name: "space before the colon of a field",
        bytes: "GET /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
        requests: &[],
        error: Some(ParseError::MalformedHead),
    },
    ParseCase {
        name: "length beside chunks",
        bytes: "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        requests: &[],
        error: Some(ParseError::AmbiguousLength),
    },
    ParseCase {
        name: "two lengths",
        bytes: "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        requests: &[],
        error: Some(ParseError::AmbiguousLength),
    },
    ParseCase {
        name: "the same length twice",
        bytes: "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        requests: &[("POST", "/a", "abc", true)],
        error: None,
    },
    ParseCase {
        name: "signed length",
        bytes: "POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
        requests: &[],
        error: Some(ParseError::AmbiguousLength),
    },
    ParseCase {
        name: "another transfer coding",
        bytes: "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        requests: &[],
        error: Some(ParseError::AmbiguousLength),
    },
    ParseCase {
        name: "body over the limit",
        bytes: "POST /a HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
        requests: &[],
        error: Some(ParseError::BodyTooLarge),
    },
    ParseCase {
        name: "chunks over the limit",
        bytes: "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n40\r\n",
        requests: &[],
        error: Some(ParseError::BodyTooLarge),
    },
    ParseCase {
        name: "chunk size of more than a machine word",
        bytes: "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
        requests: &[],
        error: Some(ParseError::BodyTooLarge),
    },
    ParseCase {
        name: "chunk size without digits",
        bytes: "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        requests: &[],
        error: Some(ParseError::MalformedBody),
    },
    ParseCase {
        name: "chunk without its line end",
        bytes: "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        requests: &[],
        error: Some(ParseError::MalformedBody),
    },
    ParseCase {
        name: "bare line feed after a chunk size",
        bytes: "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n",
        requests: &[],
        error: Some(ParseError::MalformedBody),
    },
];

/// Guards against requests that are read differently by this host and by targets, and against bytes
/// of one request that are taken for another.
#[test]
fn requests_are_separated() {
    for case in CASES {
        let (requests, error) = parse([case.bytes.as_bytes()]);
        let requests: Vec<_> = requests
            .iter()
            .map(|(method, path, body, keeps)| {
                let body = std::str::from_utf8(body).expect("a text");
                (method.as_str(), path.as_str(), body, *keeps)
            })
            .collect();
        assert_eq!(requests, case.requests, "{}", case.name);
        assert_eq!(error, case.error, "{}", case.name);
    }
}

/// Guards against requests that depend on how the network splits them.
#[test]
fn splits_do_not_matter() {
    for case in CASES {
        let bytes = case.bytes.as_bytes();
        let whole = parse([bytes]);
        assert_eq!(parse(bytes.chunks(1)), whole, "{}: single bytes", case.name);
        for at in 1..bytes.len() {
            let (first, second) = bytes.split_at(at);
            assert_eq!(parse([first, second]), whole, "{}: at {at}", case.name);
        }
    }
}

/// Guards against heads and lines without end.
#[test]
fn endless_input_is_refused() {
    let cases: [(&str, &str, &str, ParseError); 5] = [
        ("request line", "GET /", "a", ParseError::HeadTooLarge),
        ("field", "GET / HTTP/1.1\r\nA: ", "a", ParseError::HeadTooLarge),
        ("fields", "GET / HTTP/1.1\r\n", "A: b\r\n", ParseError::HeadTooLarge),
        (
            "chunk extension",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
            "a",
            ParseError::MalformedBody,
        ),
        (
            "trailers",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "A: b\r\n",
            ParseError::MalformedBody,
        ),
    ];
    for (name, start, repeated, expected) in cases {
        let endless = std::iter::repeat_n(repeated.as_bytes(), 200_000);
        let (requests, error) = parse([start.as_bytes()].into_iter().chain(endless));
        assert!(requests.is_empty(), "{name}");
        assert_eq!(error, Some(expected), "{name}");
    }
}

/// Guards against bodies that are damaged or refused when they are read in pieces of any size, or
/// arrive in very small chunks.
#[test]
fn large_bodies_are_collected() {
    const BYTES: usize = 300_000;
    let limits = ParserLimits { head_bytes: 512, body_bytes: BYTES };
    let content: Vec<u8> = (0..BYTES).map(|index| (index % 251) as u8).collect();
    let with_length = [
        format!("POST / HTTP/1.1\r\nContent-Length: {BYTES}\r\n\r\n").as_bytes(),
        &content,
        b"GET /next HTTP/1.1\r\n\r\n",
    ]
    .concat();
    let in_chunks = |size: usize| {
        let mut bytes = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for chunk in content.chunks(size) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
        bytes
    };
    for bytes in [with_length, in_chunks(1), in_chunks(100), in_chunks(100_000)] {
        for read_bytes in [1_000, 2_048, 65_536, 1_000_000] {
            let mut parser = RequestParser::new(limits);
            let (mut left, mut bodies) = (&bytes[..], Vec::new());
            while !left.is_empty() {
                let mut buffer = parser.read_buffer(2_048);
                let count = left.len().min(read_bytes).min(buffer.remaining_mut());
                buffer.put_slice(&left[..count]);
                parser.record_read(count);
                left = &left[count..];
                while let Some(parsed) = parser.next_request().expect("valid requests") {
                    let body = parsed.request.into_body();
                    let body: Vec<u8> = body.segments().flatten().copied().collect();
                    bodies.push(body);
                }
            }
            assert_eq!(bodies, [content.clone(), Vec::new()], "{read_bytes} bytes at once");
        }
    }
}

quickcheck! {
    /// Guards against crashes, and against results that depend on splits, for mutated input.
    fn mutated_bytes_are_parsed_alike(case: usize, changes: Vec<(usize, u8)>, split: usize) -> TestResult {
        let mut bytes = CASES[case % CASES.len()].bytes.as_bytes().to_vec();
        for (at, byte) in changes.into_iter().take(4) {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        let whole = parse([&bytes[..]]);
        let (first, second) = bytes.split_at(split % bytes.len());
        TestResult::from_bool(parse([first, second]) == whole)
    }
}
