//! HTTP/1.1 on byte buffers: reading requests and responses, writing both.

use std::io::Write;

const HEADERS: usize = 48;
const HEAD_LIMIT: usize = 16 * 1024;

#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    pub close: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub close: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial,
    /// A whole message, and how many bytes it took.
    Whole(T, usize),
    /// Unreadable; answer with this status and close.
    Bad(u16),
}

struct Head {
    body_len: usize,
    close: bool,
}

fn headers(list: &[httparse::Header], version: u8) -> Result<Head, u16> {
    let mut head = Head { body_len: 0, close: version == 0 };
    let mut seen_len = false;
    for h in list {
        if h.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(h.value).map_err(|_| 400u16)?.trim();
            let len = text.parse().map_err(|_| 400u16)?;
            // Two lengths that differ are how requests get smuggled.
            if seen_len && len != head.body_len {
                return Err(400);
            }
            seen_len = true;
            head.body_len = len;
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(501);
        } else if h.name.eq_ignore_ascii_case("connection") {
            head.close = h.value.eq_ignore_ascii_case(b"close");
        }
    }
    Ok(head)
}

pub fn parse_request(buf: &[u8], body_limit: usize) -> Parsed<Request> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS];
    let mut req = httparse::Request::new(&mut slots);
    let start = match req.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() > HEAD_LIMIT => return Parsed::Bad(431),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Bad(400),
    };
    let head = match headers(req.headers, req.version.unwrap_or(0)) {
        Ok(h) => h,
        Err(status) => return Parsed::Bad(status),
    };
    if head.body_len > body_limit {
        return Parsed::Bad(413);
    }
    let end = start + head.body_len;
    if buf.len() < end {
        return Parsed::Partial;
    }
    let request = Request {
        method: req.method.unwrap_or("").to_string(),
        path: req.path.unwrap_or("").to_string(),
        body: buf[start..end].to_vec(),
        close: head.close,
    };
    Parsed::Whole(request, end)
}

pub fn parse_response(buf: &[u8], body_limit: usize) -> Parsed<Response> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS];
    let mut res = httparse::Response::new(&mut slots);
    let start = match res.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() > HEAD_LIMIT => return Parsed::Bad(502),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Bad(502),
    };
    let head = match headers(res.headers, res.version.unwrap_or(0)) {
        Ok(h) if h.body_len <= body_limit => h,
        _ => return Parsed::Bad(502),
    };
    let end = start + head.body_len;
    if buf.len() < end {
        return Parsed::Partial;
    }
    let response = Response { status: res.code.unwrap_or(0), body: buf[start..end].to_vec(), close: head.close };
    Parsed::Whole(response, end)
}

pub fn write_request(out: &mut Vec<u8>, method: &str, host: &str, path: &str, body: Option<&[u8]>) {
    let len = body.map_or(0, <[u8]>::len);
    let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if body.is_some() {
        let _ = write!(out, "Content-Type: application/cbor\r\n");
    }
    let _ = write!(out, "Content-Length: {len}\r\n\r\n");
    out.extend_from_slice(body.unwrap_or(&[]));
}

pub fn write_response(out: &mut Vec<u8>, status: u16, body: &[u8], retry_after: Option<u32>, close: bool) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason(status));
    if !body.is_empty() {
        let _ = write!(out, "Content-Type: application/cbor\r\n");
    }
    if let Some(s) = retry_after {
        let _ = write!(out, "Retry-After: {s}\r\n");
    }
    if close {
        let _ = write!(out, "Connection: close\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn request_survives_any_split_and_keeps_what_follows() {
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

    /// Guards against smuggled and oversized bodies reaching the handlers.
    #[test]
    fn bad_requests_get_their_status() {
        let long = b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n";
        assert_eq!(parse_request(long, 10), Parsed::Bad(413));
        let two = b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
        assert_eq!(parse_request(two, 10), Parsed::Bad(400));
        let chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_eq!(parse_request(chunked, 10), Parsed::Bad(501));
        assert_eq!(parse_request(b"\0\0\0 nonsense\r\n\r\n", 10), Parsed::Bad(400));
        assert_eq!(parse_request(&[b'a'; HEAD_LIMIT + 1], 10), Parsed::Bad(431));
    }
}
