//! The cloud's interface over HTTP.

use super::machine::{Cloud, Refusal};
use crate::http::{Reply, Request};
use ciborium::cbor;
use finchquay_protocol::cloud::{ReleaseRequest, RentRequest, RentResponse, Route, route};
use finchquay_protocol::{decode, encode};
use std::time::Duration;

/// Judges and carries out one request.
pub fn answer(cloud: &mut Cloud, now: Duration, request: &Request) -> Reply {
    let error =
        |status, what: &str| Reply::new(status, cbor!({"error" => what}).map_or_else(|_| Vec::new(), |v| encode(&v)));
    if let Err(status) = cloud.admit(now) {
        return if status == 503 { error(503, "trouble") } else { Reply::empty(status) };
    }
    match route(&request.method, &request.path) {
        Some(Route::Catalog) => Reply::new(200, encode(&cloud.catalog())),
        Some(Route::List { after, page }) => Reply::new(200, encode(&cloud.list(now, after, page))),
        Some(Route::Rent) => match decode::<RentRequest>(&request.body).map(|r| cloud.rent(now, &r)) {
            Ok(Ok(machines)) => Reply::new(200, encode(&RentResponse { machines })),
            Ok(Err(Refusal::NoCapacity)) => error(503, "no capacity"),
            Ok(Err(Refusal::Malformed)) | Err(_) => Reply::empty(400),
        },
        Some(Route::Release) => match decode::<ReleaseRequest>(&request.body).map(|r| cloud.release(now, &r)) {
            Ok(Ok(())) => Reply::empty(200),
            Ok(Err(_)) | Err(_) => Reply::empty(400),
        },
        None => Reply::empty(400),
    }
}
