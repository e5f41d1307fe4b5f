//! Tests of the decoding of responses to a watch.

use super::*;
use crate::store::WatchResponse;
use crate::{decode, encode};
use ciborium::cbor;

/// Decodes a response change by change; `None` if it is invalid.
fn decoded(body: &[u8]) -> Option<(u64, Vec<WatchEvent>)> {
    let mut events = Vec::new();
    let revision = decode_watch_response(body, |event| events.push(event)).ok()?;
    Some((revision, events))
}

/// Guards against a response that is read otherwise than as a whole.
#[test]
fn the_changes_are_those_of_the_whole_response() {
    let put = cbor!({"put" => "fq/j/run-1", "data" => {"spec" => [1, 2.5, "x", null]}, "entry_no" => 8}).unwrap();
    let delete = cbor!({"delete" => "fq/m/a", "entry_no" => 9, "later" => [{"a" => 1}]}).unwrap();
    let valid = [
        cbor!({"ledger_no" => 9, "news" => [put.clone(), delete.clone()]}),
        cbor!({"news" => [put.clone(), delete], "unknown" => {"news" => [1]}, "ledger_no" => 9}),
        cbor!({"ledger_no" => u64::MAX, "news" => []}),
        cbor!({"ledger_no" => 0}),
    ];
    for response in valid {
        let body = encode(&response.unwrap());
        let whole: WatchResponse = decode(&body).unwrap();
        assert_eq!(decoded(&body), Some((whole.revision, whole.events)));
        // Every beginning of a response is invalid, and so is what follows it.
        for length in 0..body.len() {
            assert_eq!(decoded(&body[..length]), None);
        }
        assert_eq!(decoded(&[&body[..], &[0]].concat()), None);
    }
    for response in [
        cbor!({"news" => [put.clone()]}),
        cbor!({"ledger_no" => 9, "news" => [put, 5]}),
        cbor!({"ledger_no" => -1, "news" => []}),
        cbor!({"ledger_no" => 9, "news" => {"a" => 1}}),
        cbor!([{"ledger_no" => 9}]),
    ] {
        let body = encode(&response.unwrap());
        assert!(decode::<WatchResponse>(&body).is_err());
        assert_eq!(decoded(&body), None);
    }
}

/// Lists and maps may come without their length.
#[test]
fn lists_and_maps_of_unknown_length_are_read() {
    let event = encode(&cbor!({"delete" => "fq/m/a", "entry_no" => 9}).unwrap());
    let text = |text: &str| encode(&cbor!(text).unwrap());
    let body =
        [&[0xbf], &text(EVENTS)[..], &[0x9f], &event, &event, &[BREAK], &text(REVISION), &[9], &[BREAK]].concat();
    let whole: WatchResponse = decode(&body).unwrap();
    assert_eq!(whole.events.len(), 2);
    assert_eq!(decoded(&body), Some((9, whole.events)));
    assert_eq!(decoded(&body[..body.len() - 1]), None);
}

/// A response of 7 MB took 145 MB as values in memory, of a controller's 56 MB. Each change is passed
/// on before the next one is decoded, so that no more than one is in memory.
#[test]
fn each_change_is_passed_on_before_the_next_is_decoded() {
    let events: Vec<_> = (0..9u64).map(|n| cbor!({"delete" => "fq/m/a", "entry_no" => n}).unwrap()).collect();
    let body = encode(&cbor!({"ledger_no" => 9, "news" => events}).unwrap());
    let mut passed_on = 0;
    assert!(decode_watch_response(&body[..body.len() - 1], |_| passed_on += 1).is_err());
    assert_eq!(passed_on, 8);
}
