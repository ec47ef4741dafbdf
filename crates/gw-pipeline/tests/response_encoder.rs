//! Framing of responses.

use bytes::Bytes;
use bytes::BytesMut;
use gw_pipeline::BodyFraming;
use gw_pipeline::ResponseEncoder;
use http::Method;
use http::Response;
use http::Version;

struct EncodeCase {
    name: &'static str,
    method: Method,
    version: Version,
    closes: bool,
    status: u16,
    fields: &'static [(&'static str, &'static str)],
    /// Length of the body, if it is known.
    len: Option<u64>,
    pieces: &'static [&'static str],
    framing: BodyFraming,
    expected: &'static str,
}

const PLAIN: EncodeCase = EncodeCase {
    name: "whole body",
    method: Method::GET,
    version: Version::HTTP_11,
    closes: false,
    status: 200,
    fields: &[("date", "x"), ("content-length", "9"), ("a", "b")],
    len: Some(3),
    pieces: &["abc"],
    framing: BodyFraming::Length,
    expected: "HTTP/1.1 200 OK\r\ndate: x\r\na: b\r\ncontent-length: 3\r\n\r\nabc",
};

/// Guards against responses whose end the caller cannot find, or finds where there is none.
#[test]
fn responses_state_their_end() {
    let cases = [
        PLAIN,
        EncodeCase {
            name: "last response of the connection",
            closes: true,
            expected: "HTTP/1.1 200 OK\r\ndate: x\r\na: b\r\ncontent-length: 3\r\n\
                       connection: close\r\n\r\nabc",
            ..PLAIN
        },
        EncodeCase {
            name: "body of unknown length",
            len: None,
            pieces: &["abc", "", "defghijklmnop"],
            framing: BodyFraming::Chunked,
            expected: "HTTP/1.1 200 OK\r\ndate: x\r\na: b\r\ntransfer-encoding: chunked\r\n\r\n\
                       3\r\nabc\r\nd\r\ndefghijklmnop\r\n0\r\n\r\n",
            ..PLAIN
        },
        EncodeCase {
            name: "body of unknown length for an old caller",
            version: Version::HTTP_10,
            len: None,
            framing: BodyFraming::UntilClose,
            expected: "HTTP/1.1 200 OK\r\ndate: x\r\na: b\r\nconnection: close\r\n\r\nabc",
            ..PLAIN
        },
        EncodeCase {
            name: "old caller that keeps its connection",
            version: Version::HTTP_10,
            expected: "HTTP/1.1 200 OK\r\ndate: x\r\na: b\r\ncontent-length: 3\r\n\
                       connection: keep-alive\r\n\r\nabc",
            ..PLAIN
        },
        EncodeCase {
            name: "HEAD keeps the stated length",
            method: Method::HEAD,
            len: Some(0),
            pieces: &[],
            framing: BodyFraming::Empty,
            expected: "HTTP/1.1 200 OK\r\ndate: x\r\ncontent-length: 9\r\na: b\r\n\r\n",
            ..PLAIN
        },
        EncodeCase {
            name: "HEAD drops a body",
            method: Method::HEAD,
            framing: BodyFraming::Empty,
            expected: "HTTP/1.1 200 OK\r\ndate: x\r\ncontent-length: 9\r\na: b\r\n\r\n",
            ..PLAIN
        },
        EncodeCase {
            name: "204 states no length",
            status: 204,
            framing: BodyFraming::Empty,
            expected: "HTTP/1.1 204 No Content\r\ndate: x\r\na: b\r\n\r\n",
            ..PLAIN
        },
        EncodeCase {
            name: "304 keeps the stated length",
            status: 304,
            framing: BodyFraming::Empty,
            expected: "HTTP/1.1 304 Not Modified\r\ndate: x\r\ncontent-length: 9\r\na: b\r\n\r\n",
            ..PLAIN
        },
        EncodeCase {
            name: "framing fields of the target are replaced",
            fields: &[("date", "x"), ("transfer-encoding", "chunked"), ("connection", "close")],
            expected: "HTTP/1.1 200 OK\r\ndate: x\r\ncontent-length: 3\r\n\r\nabc",
            ..PLAIN
        },
    ];
    for case in cases {
        let mut response = Response::builder().status(case.status);
        for (name, value) in case.fields {
            response = response.header(*name, *value);
        }
        let response = response.body(()).expect("a response");
        let mut buffer = BytesMut::new();
        let encoder = ResponseEncoder::new(&case.method, case.version, case.closes);
        let framing = encoder.put_head(&response, case.len, &mut buffer);
        for piece in case.pieces {
            ResponseEncoder::put_piece(framing, &Bytes::from_static(piece.as_bytes()), &mut buffer);
        }
        ResponseEncoder::put_end(framing, &mut buffer);
        assert_eq!(framing, case.framing, "{}", case.name);
        assert_eq!(String::from_utf8_lossy(&buffer), case.expected, "{}", case.name);
    }
}
