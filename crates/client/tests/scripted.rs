//! Tests of the client against controllers on the loopback interface that send scripted
//! responses.

use finchquay_client::retry::Policy;
use finchquay_client::{Attempt, Client, ClientError, ClientOptions, Observer};
use finchquay_protocol::encode;
use finchquay_protocol::user::{JobSpec, JobState, Status};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a controller that answers each connection with the next of the given responses.
/// An empty response closes the connection without an answer.
async fn start_controller(responses: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for response in responses {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = Vec::new();
            let mut chunk = [0u8; 4096];
            while !is_complete(&request) {
                match stream.read(&mut chunk).await {
                    Ok(count) if count > 0 => request.extend_from_slice(&chunk[..count]),
                    _ => break,
                }
            }
            let _ = stream.write_all(&response).await;
        }
    });
    address
}

/// Whether the bytes contain a complete HTTP request.
fn is_complete(request: &[u8]) -> bool {
    let Some(head_end) = request.windows(4).position(|window| window == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&request[..head_end]).to_lowercase();
    let body_length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    request.len() >= head_end + 4 + body_length.unwrap_or(0)
}

/// Returns the bytes of an HTTP response with the given extra header lines.
fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} x\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the body of a response with a job of this status.
fn job_state(status: Status) -> Vec<u8> {
    encode(&JobState { uid: "run-1".into(), status, done: 1, running: 0 })
}

/// Records the HTTP status of every attempt.
#[derive(Default)]
struct StatusRecorder(Mutex<Vec<Option<u16>>>);

impl Observer for StatusRecorder {
    fn on_attempt(&self, attempt: &Attempt) {
        self.0.lock().unwrap().push(attempt.status);
    }
}

/// Returns a client with short pauses, which makes no attempt after `retry_limit_s` seconds,
/// and its observer.
fn client_with_short_pauses(address: SocketAddr, retry_limit_s: f64) -> (Client, Arc<StatusRecorder>) {
    let ms = Duration::from_millis;
    let time_limit = Duration::from_secs_f64(retry_limit_s);
    let retry = Policy { min_pause: ms(5), max_retry_after: ms(40), time_limit, jitter: 0.0 };
    let options = ClientOptions { change_timeout: ms(800), poll_timeout: ms(800), poll_interval: ms(5), retry };
    let statuses = Arc::new(StatusRecorder::default());
    (Client::with_options([address], options, Some(statuses.clone())).unwrap(), statuses)
}

/// Refusals, closed connections and unreadable bodies must all be retried.
#[tokio::test]
async fn a_submission_is_retried_until_it_is_accepted() {
    let address = start_controller(vec![
        response(503, "Retry-After: 1\r\n", b""),
        Vec::new(),
        response(200, "", b"not cbor"),
        response(201, "", &job_state(Status::Queued)),
    ])
    .await;
    let (client, statuses) = client_with_short_pauses(address, 5.0);
    let result = client.submit(&JobSpec::example("run-1")).await.unwrap();
    assert_eq!(result.status, Status::Queued);
    assert_eq!(*statuses.0.lock().unwrap(), [Some(503), None, Some(200), Some(201)]);
}

/// A refusal with 422 is final, so retrying it would only add load. Retries of other
/// refusals must end.
#[tokio::test]
async fn a_final_refusal_is_not_retried_and_retries_end() {
    let (client, statuses) = client_with_short_pauses(start_controller(vec![response(422, "", b"")]).await, 5.0);
    let result = client.submit(&JobSpec::example("run-1")).await;
    assert!(matches!(result, Err(ClientError::Refused { status: 422, .. })), "{result:?}");
    assert_eq!(statuses.0.lock().unwrap().len(), 1);
    let (client, statuses) = client_with_short_pauses(start_controller(vec![response(503, "", b""); 40]).await, 0.1);
    let result = client.submit(&JobSpec::example("run-1")).await;
    assert!(matches!(result, Err(ClientError::RetriesExhausted { attempts: 2.., .. })), "{result:?}");
    assert!(statuses.0.lock().unwrap().len() <= 21);
    let result = client.status("run-1/../x").await;
    assert!(matches!(result, Err(ClientError::InvalidJobId(_))), "{result:?}");
}

/// Failed polls must not end a wait; the end of the job, the caller's limit and an unknown
/// job must.
#[tokio::test]
async fn waiting_continues_after_failed_polls_and_ends_with_the_job() {
    let address = start_controller(vec![
        response(200, "", &job_state(Status::Running)),
        response(503, "", b""),
        Vec::new(),
        response(200, "", &job_state(Status::Done)),
    ])
    .await;
    let (client, _) = client_with_short_pauses(address, 5.0);
    assert_eq!(client.wait("run-1", None).await.unwrap().status, Status::Done);
    let address = start_controller(vec![response(200, "", &job_state(Status::Running)); 9]).await;
    let (client, _) = client_with_short_pauses(address, 5.0);
    let result = client.wait("run-1", Some(Duration::from_millis(12))).await;
    assert!(matches!(&result, Err(ClientError::Unfinished(s)) if s.status == Status::Running), "{result:?}");
    let (client, _) = client_with_short_pauses(start_controller(vec![response(404, "", b"")]).await, 5.0);
    assert!(matches!(client.wait("run-1", None).await, Err(ClientError::NotFound)));
}

/// Guards against a running job being returned as ended: that happened when the last poll
/// before the limit failed, for example because the store was down.
#[tokio::test]
async fn a_failed_last_poll_does_not_end_the_job() {
    let responses = vec![response(503, "", b""), response(200, "", &job_state(Status::Running))];
    let (client, _) = client_with_short_pauses(start_controller(responses).await, 5.0);
    let result = client.wait("run-1", Some(Duration::from_millis(1))).await;
    assert!(matches!(&result, Err(ClientError::Unfinished(s)) if s.status == Status::Running), "{result:?}");
}
