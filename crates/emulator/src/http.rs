//! HTTP/1.1 server and client of the emulated services: CBOR bodies of bounded size on
//! keep-alive connections. A request that cannot be read gets 400 or a closed connection.

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body in CBOR, or empty.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response with a body.
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response { status, body }
    }

    /// Creates a response without a body.
    pub fn empty(status: u16) -> Response {
        Response { status, body: Vec::new() }
    }
}

/// Request whose body has been read completely.
#[derive(Debug)]
pub struct Request {
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path and query, as sent.
    pub path: String,
    /// Body, empty where the client sent none.
    pub body: Vec<u8>,
}

/// Longest time that a client may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the connections of a listener with `handler` until the returned future is
/// dropped, which closes every connection. A body longer than `body_limit` bytes gets 400.
pub async fn serve<H, F>(listener: TcpListener, body_limit: usize, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            result = listener.accept() => result,
            Some(_) = connections.join_next() => continue,
        };
        // No file descriptors are left; connections that end will free some.
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request: hyper::Request<Incoming>| {
            let handler = handler.clone();
            async move {
                let (head, body) = request.into_parts();
                let response = match Limited::new(body, body_limit).collect().await {
                    Ok(body) => {
                        let path = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_string();
                        let method = head.method.as_str().to_string();
                        handler(Request { method, path, body: body.to_bytes().to_vec() }).await
                    }
                    Err(_) => Response::empty(400),
                };
                let mut http_response = hyper::Response::new(Full::new(Bytes::from(response.body)));
                *http_response.status_mut() =
                    hyper::StatusCode::from_u16(response.status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
                Ok::<_, Infallible>(http_response)
            }
        });
        connections.spawn(async move {
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            // An error means that the client left or sent invalid HTTP.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Client with one keep-alive connection, which is opened at the first request and opened
/// again when it has been closed or the address changes.
#[derive(Default)]
pub struct Connection {
    open: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

impl Connection {
    /// Sends a POST request and reads the response. Returns `None` and closes the
    /// connection on any failure, or when the response takes longer than `timeout`.
    pub async fn post(&mut self, to: SocketAddr, path: &str, body: Vec<u8>, timeout: Duration) -> Option<Response> {
        self.send(to, "POST", path, body, timeout).await
    }

    /// Sends a request like [`Connection::post`], with any method.
    pub async fn send(
        &mut self,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Option<Response> {
        let result = tokio::time::timeout(timeout, self.exchange(to, method, path, body)).await;
        match result {
            Ok(Some(response)) => Some(response),
            _ => {
                self.open = None;
                None
            }
        }
    }

    /// Closes the connection if it is open.
    pub fn close(&mut self) {
        self.open = None;
    }

    async fn exchange(&mut self, to: SocketAddr, method: &str, path: &str, body: Vec<u8>) -> Option<Response> {
        if self.open.as_ref().is_none_or(|(at, sender)| *at != to || sender.is_closed()) {
            let stream = TcpStream::connect(to).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            self.open = Some((to, sender));
        }
        let (_, sender) = self.open.as_mut()?;
        sender.ready().await.ok()?;
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", to.to_string())
            .header("content-type", "application/cbor")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), finchquay_protocol::MAX_BODY_BYTES).collect().await.ok()?;
        Some(Response { status, body: body.to_bytes().to_vec() })
    }
}
