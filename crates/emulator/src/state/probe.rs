//! Measures a state service: small transactions and reads from many
//! connections at once, for a bounded time.

use crate::http::Connection;
use ciborium::Value;
use finchquay_protocol::encode;
use finchquay_protocol::store::{Op, TXN, Txn};
use hdrhistogram::Histogram;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// What was measured.
pub struct Measured {
    pub per_s: f64,
    pub failed: u64,
    /// Time of one transaction in microseconds.
    pub times: Histogram<u64>,
}

impl fmt::Display for Measured {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |q| self.times.value_at_quantile(q) as f64 / 1000.0;
        let (p50, p99) = (at(0.5), at(0.99));
        write!(f, "{:.0} transactions a second, p50 {p50:.2} ms, p99 {p99:.2} ms, {} failed", self.per_s, self.failed)
    }
}

/// One put a transaction, each connection with keys of its own.
pub async fn run(address: SocketAddr, connections: usize, time: Duration) -> Measured {
    let began = Instant::now();
    let mut running = JoinSet::new();
    for c in 0..connections {
        running.spawn(async move {
            let mut connection = Connection::default();
            let (mut took, mut failed) = (Vec::new(), 0u64);
            while began.elapsed() < time {
                let key = format!("probe/{c}/{}", took.len() % 1000);
                let op = Op::Put { key, data: Value::Text("x".repeat(200)), lease: None };
                let body = encode(&Txn { conditions: Vec::new(), ops: vec![op] });
                let sent = Instant::now();
                match connection.post(address, TXN, body, time).await {
                    Some(r) if r.status == 200 => took.push(sent.elapsed().as_micros() as u64),
                    _ => {
                        failed += 1;
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                }
            }
            (took, failed)
        });
    }
    // Three digits, up to a minute in microseconds.
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are sound");
    let mut failed = 0;
    while let Some(joined) = running.join_next().await {
        if let Ok((took, f)) = joined {
            took.into_iter().for_each(|t| times.saturating_record(t));
            failed += f;
        }
    }
    Measured { per_s: times.len() as f64 / began.elapsed().as_secs_f64(), failed, times }
}
