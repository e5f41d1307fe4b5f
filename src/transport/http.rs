//! HTTP/1.1 on byte buffers: reading requests and responses, writing both.

use std::io::Write;

/// Most headers of a message.
const HEADERS_LIMIT: usize = 48;
/// Largest head of a message, in bytes.
const HEAD_LIMIT: usize = 16 * 1024;

/// A request.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    /// Method, as it was sent.
    pub method: String,
    /// Path and query, as they were sent.
    pub path: String,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

/// A response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
    /// Whether the connection is closed after it.
    pub close: bool,
}

/// Result of parsing the front of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial,
    /// A whole message, and its length in bytes.
    Whole(T, usize),
    /// Malformed: respond with this status and close.
    Bad(u16),
}

/// What the headers of a message say about its body and its connection.
struct Head {
    body_len: usize,
    close: bool,
}

/// Reads the headers; an error is the status to respond with.
fn read_headers(list: &[httparse::Header], version: u8) -> Result<Head, u16> {
    let mut head = Head { body_len: 0, close: version == 0 };
    let mut seen_len = false;
    for header in list {
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| 400u16)?.trim();
            let len = text.parse().map_err(|_| 400u16)?;
            // Two different lengths are a request smuggling attack.
            if seen_len && len != head.body_len {
                return Err(400);
            }
            seen_len = true;
            head.body_len = len;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(501);
        } else if header.name.eq_ignore_ascii_case("connection") {
            head.close = header.value.eq_ignore_ascii_case(b"close");
        }
    }
    Ok(head)
}

/// Parses a request with a body of at most `body_limit` bytes.
pub fn parse_request(buf: &[u8], body_limit: usize) -> Parsed<Request> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_LIMIT];
    let mut req = httparse::Request::new(&mut slots);
    let start = match req.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() > HEAD_LIMIT => return Parsed::Bad(431),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Bad(400),
    };
    let head = match read_headers(req.headers, req.version.unwrap_or(0)) {
        Ok(head) => head,
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

/// Parses a response with a body of at most `body_limit` bytes.
pub fn parse_response(buf: &[u8], body_limit: usize) -> Parsed<Response> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_LIMIT];
    let mut res = httparse::Response::new(&mut slots);
    let start = match res.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() > HEAD_LIMIT => return Parsed::Bad(502),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Bad(502),
    };
    let head = match read_headers(res.headers, res.version.unwrap_or(0)) {
        Ok(head) if head.body_len <= body_limit => head,
        _ => return Parsed::Bad(502),
    };
    let end = start + head.body_len;
    if buf.len() < end {
        return Parsed::Partial;
    }
    let response = Response { status: res.code.unwrap_or(0), body: buf[start..end].to_vec(), close: head.close };
    Parsed::Whole(response, end)
}

/// Appends a request.
pub fn write_request(out: &mut Vec<u8>, method: &str, host: &str, path: &str, body: Option<&[u8]>) {
    let len = body.map_or(0, <[u8]>::len);
    let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if body.is_some() {
        let _ = write!(out, "Content-Type: application/cbor\r\n");
    }
    let _ = write!(out, "Content-Length: {len}\r\n\r\n");
    out.extend_from_slice(body.unwrap_or(&[]));
}

/// Appends a response; `retry_after` is in seconds.
pub fn write_response(out: &mut Vec<u8>, status: u16, body: &[u8], retry_after: Option<u32>, close: bool) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason(status));
    if !body.is_empty() {
        let _ = write!(out, "Content-Type: application/cbor\r\n");
    }
    if let Some(seconds) = retry_after {
        let _ = write!(out, "Retry-After: {seconds}\r\n");
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
mod tests;
