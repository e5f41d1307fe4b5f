//! Heads of HTTP messages: their bytes, and the messages that are parsed from them.

use finchquay::transport::http::{Parsed, Request, Response, parse_request, parse_response};
use finchquay::transport::http::{write_request, write_response};

/// The largest message that is parsed, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024;

#[test]
fn requests_with_a_body_are_unchanged() {
    let mut written = Vec::new();
    write_request(&mut written, "POST", "10.2.0.1:2379", "/multi", Some(b"abc"));
    let expected = "POST /multi HTTP/1.1\r\nHost: 10.2.0.1:2379\r\nContent-Type: application/cbor\r\n\
                    Content-Length: 3\r\n\r\nabc";
    assert_eq!(str::from_utf8(&written).unwrap(), expected);
    let request =
        Request { method: "POST".into(), path: "/multi".into(), body: b"abc".into(), close_connection: false };
    assert_eq!(parse_request(expected.as_bytes(), MAX_MESSAGE_BYTES), Parsed::Complete(request, expected.len()));
}

#[test]
fn requests_without_a_body_are_unchanged() {
    let mut written = Vec::new();
    write_request(&mut written, "GET", "10.2.0.1:2379", "/store/fq/none", None);
    let expected = "GET /store/fq/none HTTP/1.1\r\nHost: 10.2.0.1:2379\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(str::from_utf8(&written).unwrap(), expected);
}

#[test]
fn responses_are_unchanged() {
    let mut written = Vec::new();
    write_response(&mut written, 201, b"abc", None, false);
    let expected = "HTTP/1.1 201 Created\r\nContent-Type: application/cbor\r\nContent-Length: 3\r\n\r\nabc";
    assert_eq!(str::from_utf8(&written).unwrap(), expected);
    let response = Response { status: 201, body: b"abc".into(), close_connection: false };
    assert_eq!(parse_response(expected.as_bytes(), MAX_MESSAGE_BYTES), Parsed::Complete(response, expected.len()));
}

#[test]
fn responses_with_retry_after_and_close_are_unchanged() {
    let mut written = Vec::new();
    write_response(&mut written, 503, b"", Some(1), true);
    let expected =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(str::from_utf8(&written).unwrap(), expected);
}
