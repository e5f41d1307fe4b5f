//! HTTP/1.1 with CBOR bodies on blocking sockets, and helpers for CBOR values.

use ciborium::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A map with text keys.
pub fn map(entries: Vec<(&str, Value)>) -> Value {
    Value::Map(entries.into_iter().map(|(key, value)| (Value::Text(key.into()), value)).collect())
}

pub fn text(value: &str) -> Value {
    Value::Text(value.into())
}

pub fn int(value: u64) -> Value {
    Value::Integer(value.into())
}

pub fn float(value: f64) -> Value {
    Value::Float(value)
}

/// The value under a key of a map.
pub fn get<'a>(value: &'a Value, key: &str) -> Option<&'a Value> {
    let entries = value.as_map()?;
    entries.iter().find(|(name, _)| name.as_text() == Some(key)).map(|(_, value)| value).filter(|v| !v.is_null())
}

pub fn get_text(value: &Value, key: &str) -> String {
    get(value, key).and_then(Value::as_text).unwrap_or("").to_string()
}

pub fn get_int(value: &Value, key: &str) -> Option<u64> {
    get(value, key).and_then(|v| v.as_integer()).and_then(|i| u64::try_from(i).ok())
}

pub fn get_list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    get(value, key).and_then(|v| v.as_array()).map_or(&[], |list| list.as_slice())
}

pub fn encode(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
    bytes
}

pub fn decode(bytes: &[u8]) -> Option<Value> {
    ciborium::from_reader(bytes).ok()
}

/// The size of a value in the form of JSON, in which PROTOCOL counts size limits.
pub fn json_len(value: &Value) -> usize {
    match value {
        Value::Integer(i) => i128::from(*i).to_string().len(),
        Value::Float(f) => format!("{f:?}").len(),
        Value::Text(t) => t.len() + 2,
        Value::Bool(true) | Value::Null => 4,
        Value::Bool(false) => 5,
        Value::Array(list) => list.iter().map(json_len).sum::<usize>() + list.len().saturating_sub(1) + 2,
        Value::Map(entries) => {
            let size: usize = entries.iter().map(|(k, v)| json_len(k) + 1 + json_len(v)).sum();
            size + entries.len().saturating_sub(1) + 2
        }
        _ => 0,
    }
}

/// One HTTP message: its first line, the value of `Retry-After`, and its body.
struct Message {
    first_line: String,
    close: bool,
    retry_after: Option<u64>,
    body: Vec<u8>,
}

/// Reads one message. `None` if the connection ended or timed out.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>, until: Option<Instant>) -> Option<Message> {
    let mut chunk = vec![0u8; 64 * 1024];
    loop {
        if let Some(head_end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..head_end]).to_string();
            let header = |name: &str| {
                head.lines().skip(1).find_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    key.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
                })
            };
            let length: usize = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if buffer.len() >= head_end + 4 + length {
                let body = buffer[head_end + 4..head_end + 4 + length].to_vec();
                buffer.drain(..head_end + 4 + length);
                return Some(Message {
                    first_line: head.lines().next().unwrap_or("").to_string(),
                    close: header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
                    retry_after: header("retry-after").and_then(|v| v.parse().ok()),
                    body,
                });
            }
        }
        if let Some(until) = until {
            let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            stream.set_read_timeout(Some(left)).ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Answers one request: status and body. `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(&str, &str, &[u8]) -> Option<(u16, Option<Value>)> + Send + Sync>;

/// Serves a listener, with one thread for each connection, until the process ends or `is_up` is false.
pub fn serve(listener: TcpListener, handler: Handler, is_up: Arc<dyn Fn() -> bool + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            if !is_up() {
                return;
            }
            let (handler, is_up) = (handler.clone(), is_up.clone());
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(request) = read_message(&mut stream, &mut buffer, None) {
                    let mut words = request.first_line.split(' ');
                    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
                    if !is_up() {
                        return;
                    }
                    let Some((status, body)) = handler(method, path, &request.body) else { return };
                    let body = body.map_or(Vec::new(), |value| encode(&value));
                    let head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n", body.len());
                    let message = [head.as_bytes(), &body].concat();
                    if stream.write_all(&message).is_err() || request.close {
                        return;
                    }
                }
            });
        }
    });
}

/// The answer to a request of a client.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
    pub retry_after: Option<u64>,
}

/// A client with one connection, which is opened again when it was closed.
#[derive(Default)]
pub struct Client {
    open: Option<(SocketAddr, TcpStream, Vec<u8>)>,
}

impl Client {
    /// Sends a request. `None` if there is no answer in time.
    pub fn send(&mut self, to: SocketAddr, method: &str, path: &str, body: &[u8], timeout: Duration) -> Option<Answer> {
        let answer = self.exchange(to, method, path, body, timeout);
        if answer.is_none() {
            self.open = None;
        }
        answer
    }

    fn exchange(&mut self, to: SocketAddr, method: &str, path: &str, body: &[u8], timeout: Duration) -> Option<Answer> {
        let until = Instant::now() + timeout;
        if self.open.as_ref().is_none_or(|(at, ..)| *at != to) {
            let stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_millis(500))).ok()?;
            let _ = stream.set_nodelay(true);
            self.open = Some((to, stream, Vec::new()));
        }
        let (_, stream, buffer) = self.open.as_mut()?;
        stream.set_write_timeout(Some(timeout)).ok()?;
        let head = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\n\r\n", body.len());
        // A server may refuse a large body before all of it was sent, so its answer is read all the same.
        let _ = stream.write_all(&[head.as_bytes(), body].concat());
        let message = read_message(stream, buffer, Some(until))?;
        let status = message.first_line.split(' ').nth(1)?.parse().ok()?;
        if message.close {
            self.open = None;
        }
        Some(Answer { status, body: decode(&message.body).unwrap_or(Value::Null), retry_after: message.retry_after })
    }
}
