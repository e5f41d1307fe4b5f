//! Parsing of requests: in parts, malformed and too large.

use super::*;

/// A request may be received in any parts, and with the beginning of the next one.
#[test]
fn requests_are_parsed_in_any_parts() {
    let mut wire = Vec::new();
    write_request(&mut wire, "POST", "h", "/work", Some(b"abc"));
    let whole = wire.len();
    for cut in 0..whole {
        assert_eq!(parse_request(&wire[..cut], 10), Parsed::Partial, "cut {cut}");
    }
    wire.extend_from_slice(b"GET /");
    let Parsed::Whole(req, used) = parse_request(&wire, 10) else { panic!("not whole") };
    assert_eq!((req.body.as_slice(), used), (&b"abc"[..], whole));
}

/// Smuggled and oversized bodies must not reach the handlers.
#[test]
fn malformed_requests_get_their_status() {
    let long = b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n";
    assert_eq!(parse_request(long, 10), Parsed::Bad(413));
    let two = b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
    assert_eq!(parse_request(two, 10), Parsed::Bad(400));
    let chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(parse_request(chunked, 10), Parsed::Bad(501));
    assert_eq!(parse_request(b"\0\0\0 nonsense\r\n\r\n", 10), Parsed::Bad(400));
    assert_eq!(parse_request(&[b'a'; HEAD_LIMIT + 1], 10), Parsed::Bad(431));
}
