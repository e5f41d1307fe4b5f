//! Measures a state service: small transactions over many connections at once, for a
//! bounded time.

use crate::http::Connection;
use ciborium::Value;
use finchquay_protocol::encode;
use finchquay_protocol::store::{Op, TXN_PATH, Txn};
use hdrhistogram::Histogram;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Throughput and latency of a state service.
pub struct Measurement {
    /// Transactions a second.
    pub transactions_per_s: f64,
    /// Transactions that failed or got no answer.
    pub failed: u64,
    /// Latency of the successful transactions in microseconds.
    pub latencies: Histogram<u64>,
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let quantile_ms = |q| self.latencies.value_at_quantile(q) as f64 / 1000.0;
        let (p50, p99) = (quantile_ms(0.5), quantile_ms(0.99));
        write!(
            f,
            "{:.0} transactions a second, p50 {p50:.2} ms, p99 {p99:.2} ms, {} failed",
            self.transactions_per_s, self.failed
        )
    }
}

/// Sends transactions of one put each, with separate keys for each connection. Each
/// connection waits for the answer before it sends the next transaction.
pub async fn run(address: SocketAddr, connections: usize, time: Duration) -> Measurement {
    let started = Instant::now();
    let mut running = JoinSet::new();
    for connection_no in 0..connections {
        running.spawn(async move {
            let mut connection = Connection::default();
            let (mut latencies_us, mut failed) = (Vec::new(), 0u64);
            while started.elapsed() < time {
                let key = format!("probe/{connection_no}/{}", latencies_us.len() % 1000);
                let op = Op::Put { key, data: Value::Text("x".repeat(200)), lease: None };
                let body = encode(&Txn { conditions: Vec::new(), ops: vec![op] });
                let sent = Instant::now();
                match connection.post(address, TXN_PATH, body, time).await {
                    Some(r) if r.status == 200 => latencies_us.push(sent.elapsed().as_micros() as u64),
                    _ => {
                        failed += 1;
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                }
            }
            (latencies_us, failed)
        });
    }
    // Three significant digits, up to one minute in microseconds.
    let mut latencies = Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
    let mut failed = 0;
    while let Some(joined) = running.join_next().await {
        if let Ok((latencies_us, connection_failed)) = joined {
            latencies_us.into_iter().for_each(|us| latencies.saturating_record(us));
            failed += connection_failed;
        }
    }
    Measurement { transactions_per_s: latencies.len() as f64 / started.elapsed().as_secs_f64(), failed, latencies }
}
