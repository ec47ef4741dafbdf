//! HTTP/1.1 framing for connections whose requests are read ahead of their responses.
//!
//! [`RequestParser`] splits the bytes of a connection into complete requests, however they arrive.
//! [`ResponseEncoder`] frames a response, whole or in pieces. The crate does no I/O.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod body_decoder;
mod parse_error;
mod parsed_request;
mod request_body;
mod request_parser;
mod response_encoder;

pub use parse_error::ParseError;
pub use parsed_request::ParsedRequest;
pub use request_body::RequestBody;
pub use request_parser::ParserLimits;
pub use request_parser::RequestParser;
pub use response_encoder::BodyFraming;
pub use response_encoder::ResponseEncoder;
