//! HTTP/1.1 with CBOR bodies: a server with a thread for each connection, and a blocking client.

use crate::cbor::{Value, decode, encode};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Value,
}

impl Request {
    /// The path without its query.
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.path.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value))
    }
}

pub type Answer = (u16, Value);

fn invalid() -> Error {
    Error::new(ErrorKind::InvalidData, "not HTTP")
}

/// Reads one message; the first line and the body. `None` at the end of the connection.
fn read_message(stream: &mut TcpStream, deadline: Option<Instant>) -> Result<Option<(String, Vec<u8>)>> {
    let mut buffer = Vec::new();
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
            let length: usize = length.map_or(Ok(0), |(_, value)| value.trim().parse()).map_err(|_| invalid())?;
            if buffer.len() >= end + 4 + length {
                let first = head.lines().next().unwrap_or("").to_string();
                return Ok(Some((first, buffer[end + 4..end + 4 + length].to_vec())));
            }
        }
        if let Some(deadline) = deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(left))?;
        }
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => buffer.extend(&chunk[..count]),
        }
    }
}

/// Serves the listener's connections until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                while let Ok(Some((first, body))) = read_message(&mut stream, None) {
                    let mut words = first.split(' ');
                    let (Some(method), Some(path)) = (words.next(), words.next()) else { return };
                    let body = if body.is_empty() { Some(Value::Null) } else { decode(&body) };
                    let Some(body) = body else { return };
                    let (status, body) = handler(Request { method: method.into(), path: path.into(), body });
                    let body = if body.is_null() { Vec::new() } else { encode(&body) };
                    let mut out =
                        format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
                    out.extend(body);
                    if stream.write_all(&out).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// One call on a connection of its own, or on the one in `kept`, which is kept open.
pub fn call(
    kept: &mut Option<TcpStream>,
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
) -> Result<Answer> {
    let deadline = Instant::now() + timeout;
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect_timeout(&address, timeout)?;
            stream.set_nodelay(true)?;
            stream
        }
    };
    let body = body.map(encode).unwrap_or_default();
    let mut out = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend(body);
    stream.write_all(&out)?;
    let (first, body) = read_message(&mut stream, Some(deadline))?.ok_or(ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(invalid)?;
    *kept = Some(stream);
    Ok((status, decode(&body).unwrap_or(Value::Null)))
}
