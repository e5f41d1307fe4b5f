//! HTTP interface of the emulated cloud.

use super::provider::{Cloud, Refusal};
use crate::http::{Request, Response};
use ciborium::cbor;
use finchquay_protocol::cloud::{ReleaseRequest, RentRequest, RentResponse, Route, route};
use finchquay_protocol::{decode, encode};
use std::time::Duration;

/// Executes one request, unless the cloud has an outage or the rate limit is exceeded.
pub fn answer(cloud: &mut Cloud, now: Duration, request: &Request) -> Response {
    let error = |status, text: &str| {
        Response::new(status, cbor!({"error" => text}).map_or_else(|_| Vec::new(), |v| encode(&v)))
    };
    if let Err(status) = cloud.admit(now) {
        return if status == 503 { error(503, "trouble") } else { Response::empty(status) };
    }
    match route(&request.method, &request.path) {
        Some(Route::Catalog) => Response::new(200, encode(&cloud.catalog())),
        Some(Route::List { after, page }) => Response::new(200, encode(&cloud.list(now, after, page))),
        Some(Route::Rent) => match decode::<RentRequest>(&request.body).map(|rent| cloud.rent(now, &rent)) {
            Ok(Ok(machines)) => Response::new(200, encode(&RentResponse { machines })),
            Ok(Err(Refusal::NoCapacity)) => error(503, "no capacity"),
            Ok(Err(Refusal::Malformed)) | Err(_) => Response::empty(400),
        },
        Some(Route::Release) => {
            match decode::<ReleaseRequest>(&request.body).map(|release| cloud.release(now, &release)) {
                Ok(Ok(())) => Response::empty(200),
                Ok(Err(_)) | Err(_) => Response::empty(400),
            }
        }
        None => Response::empty(400),
    }
}
