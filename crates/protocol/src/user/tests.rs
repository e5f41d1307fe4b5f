//! Tests of the request routing for users and workers and of the validation of submissions.

use super::*;
use crate::{decode, encode};
use ciborium::Value;

/// Returns the body of a valid submission with one field replaced, or removed.
fn submission_with(field: &str, value: Option<Value>) -> Vec<u8> {
    let Ok(Value::Map(mut map)) = Value::serialized(&JobSpec::example("run-1")) else { panic!("not a map") };
    map.retain(|(key, _)| key.as_text() != Some(field));
    map.extend(value.map(|value| (Value::Text(field.into()), value)));
    encode(&Value::Map(map))
}

/// Whether a controller would accept the body as a submission.
fn accepted(body: &[u8]) -> bool {
    decode::<JobSpec>(body).is_ok_and(|spec| spec.is_well_formed())
}

/// An unknown path is answered with 404 and a wrong method with 405; neither may reach a
/// handler.
#[test]
fn unknown_paths_and_wrong_methods_are_distinguished() {
    assert_eq!(route("POST", "/work"), Route::Submit);
    assert_eq!(route("GET", "/work/run-1"), Route::JobStatus("run-1"));
    assert_eq!(route("POST", "/work/run-1/withdraw"), Route::Cancel("run-1"));
    assert_eq!(route("GET", "/work/run-1/withdraw"), Route::WrongMethod);
    assert_eq!(route("DELETE", "/work"), Route::WrongMethod);
    for path in ["/", "/work/", "/work/a/b", "/work/a/b/withdraw", "/other"] {
        assert_eq!(route("GET", path), Route::Unknown, "{path}");
    }
}

/// Users do not retry after a 400, so a malformed submission must always be refused, and a
/// valid one never.
#[test]
fn malformed_submissions_are_refused() {
    assert!(accepted(&submission_with("extra", Some(Value::Bool(true)))));
    assert!(accepted(&submission_with("cores", Some(Value::Integer(4.into())))));
    assert!(accepted(&submission_with("due_s", None)) && accepted(&submission_with("due_s", Some(Value::Null))));
    for field in ["uid", "docket", "form", "urgency", "parcels", "cores", "bundle", "together", "loaners"] {
        assert!(!accepted(&submission_with(field, None)), "{field}");
        assert!(!accepted(&submission_with(field, Some(Value::Null))), "{field}");
    }
    for (field, value) in [
        ("uid", Value::Text("job-1".into())),
        ("uid", Value::Text("run-1/2".into())),
        ("parcels", Value::Integer(0.into())),
        ("parcels", Value::Integer(100_001.into())),
        ("parcels", Value::Float(1.5)),
        ("mem_gb", Value::Float(f64::NAN)),
        ("cores", Value::Float(-1.0)),
        ("expected_s", Value::Float(f64::INFINITY)),
        ("form", Value::Text("other".into())),
        ("due_s", Value::Text("soon".into())),
    ] {
        assert!(!accepted(&submission_with(field, Some(value.clone()))), "{field} {value:?}");
    }
    assert!(!accepted(&encode(&Value::Array(vec![]))) && !accepted(b"") && !accepted(&[0xff]));
    assert!(!accepted(&[0x81; 5000]), "deep nesting");
}
