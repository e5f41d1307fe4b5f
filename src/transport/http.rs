//! HTTP/1.1 messages in byte buffers: parsing and writing of requests and responses.
//! Bodies have a `Content-Length`; transfer encodings are not supported.

use crate::effects::STATUS_TOO_LARGE;
use std::io::Write;

/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 48;
/// Maximum size in bytes of the head of a message: its first line and its headers.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// An HTTP request.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, as it was sent.
    pub method: String,
    /// The path and query, as they were sent.
    pub path: String,
    /// The body, empty if there is none.
    pub body: Vec<u8>,
    /// Whether the client wants the connection closed after the response.
    pub close_connection: bool,
}

/// An HTTP response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body, empty if there is none.
    pub body: Vec<u8>,
    /// Whether the server closes the connection after this response.
    pub close_connection: bool,
}

/// Result of parsing one message at the start of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// The message is incomplete: more bytes are needed.
    Partial,
    /// A complete message, and the number of bytes that it takes in the buffer.
    Complete(T, usize),
    /// The message is malformed, too large or not supported. A server responds with this status
    /// code and closes the connection; a client closes it.
    Invalid(u16),
}

/// What the headers of a message say about its body and about the connection.
struct ParsedHeaders {
    /// The length of the body, in bytes.
    body_len: usize,
    /// Whether the connection is closed after the exchange.
    close: bool,
}

/// Interprets the headers of an HTTP/1.`minor_version` message. The error is the status code
/// to respond with.
fn read_headers(raw_headers: &[httparse::Header], minor_version: u8) -> Result<ParsedHeaders, u16> {
    let mut headers = ParsedHeaders { body_len: 0, close: minor_version == 0 };
    let mut length_seen = false;
    for header in raw_headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| 400u16)?.trim();
            let len = text.parse().map_err(|_| 400u16)?;
            // Contradictory lengths are an attempt at request smuggling.
            if length_seen && len != headers.body_len {
                return Err(400);
            }
            length_seen = true;
            headers.body_len = len;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(501);
        } else if header.name.eq_ignore_ascii_case("connection") {
            headers.close = header.value.eq_ignore_ascii_case(b"close");
        }
    }
    Ok(headers)
}

/// Parses the request at the start of a buffer. Its body may have at most `body_limit` bytes.
pub fn parse_request(buffer: &[u8], body_limit: usize) -> Parsed<Request> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut header_slots);
    let body_start = match head.parse(buffer) {
        Ok(httparse::Status::Complete(head_len)) => head_len,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => return Parsed::Invalid(431),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Invalid(400),
    };
    let headers = match read_headers(head.headers, head.version.unwrap_or(0)) {
        Ok(headers) => headers,
        Err(status) => return Parsed::Invalid(status),
    };
    if headers.body_len > body_limit {
        return Parsed::Invalid(STATUS_TOO_LARGE);
    }
    let body_end = body_start + headers.body_len;
    if buffer.len() < body_end {
        return Parsed::Partial;
    }
    let request = Request {
        method: head.method.unwrap_or("").to_string(),
        path: head.path.unwrap_or("").to_string(),
        body: buffer[body_start..body_end].to_vec(),
        close_connection: headers.close,
    };
    Parsed::Complete(request, body_end)
}

/// Parses the response at the start of a buffer. Its body may have at most `body_limit` bytes.
pub fn parse_response(buffer: &[u8], body_limit: usize) -> Parsed<Response> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut header_slots);
    let body_start = match head.parse(buffer) {
        Ok(httparse::Status::Complete(head_len)) => head_len,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => return Parsed::Invalid(502),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Invalid(502),
    };
    let headers = match read_headers(head.headers, head.version.unwrap_or(0)) {
        Ok(headers) if headers.body_len <= body_limit => headers,
        Ok(_) => return Parsed::Invalid(STATUS_TOO_LARGE),
        Err(_) => return Parsed::Invalid(502),
    };
    let body_end = body_start + headers.body_len;
    if buffer.len() < body_end {
        return Parsed::Partial;
    }
    let response = Response {
        status: head.code.unwrap_or(0),
        body: buffer[body_start..body_end].to_vec(),
        close_connection: headers.close,
    };
    Parsed::Complete(response, body_end)
}

/// Appends a request to `out`.
pub fn write_request(out: &mut Vec<u8>, method: &str, host: &str, path: &str, body: Option<&[u8]>) {
    let len = body.map_or(0, <[u8]>::len);
    let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if body.is_some() {
        let _ = write!(out, "Content-Type: application/cbor\r\n");
    }
    let _ = write!(out, "Content-Length: {len}\r\n\r\n");
    out.extend_from_slice(body.unwrap_or(&[]));
}

/// Appends a response to `out`. `retry_after` is the value of the `Retry-After` header, in
/// seconds; `close` announces that the connection is closed after the response.
pub fn write_response(out: &mut Vec<u8>, status: u16, body: &[u8], retry_after: Option<u32>, close: bool) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
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

/// Returns the reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
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
