//! The client against scripted controllers on loopback.

use finchquay_client::retry::Policy;
use finchquay_client::{Attempt, Client, ClientError, Observer, Times};
use finchquay_protocol::encode;
use finchquay_protocol::user::{JobSpec, JobState, Status};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers one connection after the other with the given responses; an empty
/// one closes the connection without an answer.
async fn scripted(responses: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for response in responses {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut got = Vec::new();
            let mut chunk = [0u8; 4096];
            while !whole(&got) {
                match stream.read(&mut chunk).await {
                    Ok(n) if n > 0 => got.extend_from_slice(&chunk[..n]),
                    _ => break,
                }
            }
            let _ = stream.write_all(&response).await;
        }
    });
    address
}

fn whole(bytes: &[u8]) -> bool {
    let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { return false };
    let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
    let len = text.lines().find_map(|l| l.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    bytes.len() >= head + 4 + len.unwrap_or(0)
}

fn response(status: u16, extra: &str, body: &[u8]) -> Vec<u8> {
    let out = format!("HTTP/1.1 {status} x\r\nConnection: close\r\n{extra}Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

fn state(status: Status) -> Vec<u8> {
    encode(&JobState { uid: "run-1".into(), status, done: 1, running: 0 })
}

#[derive(Default)]
struct Seen(Mutex<Vec<Option<u16>>>);

impl Observer for Seen {
    fn attempt(&self, attempt: &Attempt) {
        self.0.lock().unwrap().push(attempt.status);
    }
}

fn quick(address: SocketAddr, total: f64) -> (Client, Arc<Seen>) {
    let ms = Duration::from_millis;
    let retry = Policy { pause: ms(5), longest_pause: ms(40), total: Duration::from_secs_f64(total), jitter: 0.0 };
    let times = Times { change: ms(800), poll: ms(800), poll_every: ms(5), retry };
    let seen = Arc::new(Seen::default());
    (Client::with([address], times, Some(seen.clone())).unwrap(), seen)
}

#[tokio::test]
async fn a_submission_is_repeated_until_it_is_answered() {
    let address = scripted(vec![
        response(503, "Retry-After: 1\r\n", b""),
        Vec::new(),
        response(200, "", b"not cbor"),
        response(201, "", &state(Status::Queued)),
    ])
    .await;
    let (client, seen) = quick(address, 5.0);
    let got = client.submit(&JobSpec::example("run-1")).await.unwrap();
    assert_eq!(got.status, Status::Queued);
    assert_eq!(*seen.0.lock().unwrap(), [Some(503), None, Some(200), Some(201)]);
}

/// A 422 is for ever; trying it again would only add to the load.
#[tokio::test]
async fn a_final_refusal_is_not_repeated_and_tries_end() {
    let (client, seen) = quick(scripted(vec![response(422, "", b"")]).await, 5.0);
    let got = client.submit(&JobSpec::example("run-1")).await;
    assert!(matches!(got, Err(ClientError::Refused { status: 422, .. })), "{got:?}");
    assert_eq!(seen.0.lock().unwrap().len(), 1);
    let (client, seen) = quick(scripted(vec![response(503, "", b""); 40]).await, 0.1);
    let got = client.submit(&JobSpec::example("run-1")).await;
    assert!(matches!(got, Err(ClientError::Exhausted { tries: 2.., .. })), "{got:?}");
    assert!(seen.0.lock().unwrap().len() <= 21);
    let got = client.status("run-1/../x").await;
    assert!(matches!(got, Err(ClientError::BadUid(_))), "{got:?}");
}

#[tokio::test]
async fn waiting_outlasts_refusals_and_ends_with_the_job() {
    let address = scripted(vec![
        response(200, "", &state(Status::Running)),
        response(503, "", b""),
        Vec::new(),
        response(200, "", &state(Status::Done)),
    ])
    .await;
    let (client, _) = quick(address, 5.0);
    assert_eq!(client.wait("run-1", None).await.unwrap().status, Status::Done);
    let address = scripted(vec![response(200, "", &state(Status::Running)); 9]).await;
    let (client, _) = quick(address, 5.0);
    let got = client.wait("run-1", Some(Duration::from_millis(12))).await;
    assert!(matches!(&got, Err(ClientError::Unfinished(s)) if s.status == Status::Running), "{got:?}");
    let (client, _) = quick(scripted(vec![response(404, "", b"")]).await, 5.0);
    assert!(matches!(client.wait("run-1", None).await, Err(ClientError::NotFound)));
}

/// A poll that failed just before the limit once made `wait` return a job that
/// still ran as if it had ended; found by an emulator run that killed the store.
#[tokio::test]
async fn a_failed_last_poll_is_no_end() {
    let script = vec![response(503, "", b""), response(200, "", &state(Status::Running))];
    let (client, _) = quick(scripted(script).await, 5.0);
    let got = client.wait("run-1", Some(Duration::from_millis(1))).await;
    assert!(matches!(&got, Err(ClientError::Unfinished(s)) if s.status == Status::Running), "{got:?}");
}
