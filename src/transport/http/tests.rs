//! Parsing of requests that arrive in parts, are malformed or are too large.

use super::*;

/// A request may arrive in arbitrary parts, and together with the start of the next one.
#[test]
fn a_request_is_parsed_once_it_is_complete() {
    let mut wire = Vec::new();
    write_request(&mut wire, "POST", "h", "/work", Some(b"abc"));
    let whole = wire.len();
    for cut in 0..whole {
        assert_eq!(parse_request(&wire[..cut], 10), Parsed::Partial, "after {cut} bytes");
    }
    wire.extend_from_slice(b"GET /");
    let Parsed::Complete(request, used) = parse_request(&wire, 10) else { panic!("the request is not complete") };
    assert_eq!((request.body.as_slice(), used), (&b"abc"[..], whole));
}

/// Bodies with contradictory lengths (request smuggling) and oversized bodies must not reach
/// the controller.
#[test]
fn invalid_requests_are_rejected_with_the_matching_status() {
    let oversized = b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n";
    assert_eq!(parse_request(oversized, 10), Parsed::Invalid(413));
    let two_lengths = b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
    assert_eq!(parse_request(two_lengths, 10), Parsed::Invalid(400));
    let chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(parse_request(chunked, 10), Parsed::Invalid(501));
    assert_eq!(parse_request(b"\0\0\0 nonsense\r\n\r\n", 10), Parsed::Invalid(400));
    assert_eq!(parse_request(&[b'a'; MAX_HEAD_BYTES + 1], 10), Parsed::Invalid(431));
}
