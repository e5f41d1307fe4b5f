//! Request routing of the user interface and validation of submissions.

use super::*;
use crate::{decode, encode};
use ciborium::Value;

/// The body of a valid submission with one field replaced, or left out.
fn with(field: &str, value: Option<Value>) -> Vec<u8> {
    let Ok(Value::Map(mut map)) = Value::serialized(&JobSpec::example("run-1")) else { panic!("not a map") };
    map.retain(|(k, _)| k.as_text() != Some(field));
    map.extend(value.map(|v| (Value::Text(field.into()), v)));
    encode(&Value::Map(map))
}

/// Whether a controller would accept the body as a submission.
fn accepted(body: &[u8]) -> bool {
    decode::<JobSpec>(body).is_ok_and(|s| s.well_formed())
}

/// An unknown path gets 404 and a wrong method 405; neither may reach a handler.
#[test]
fn routes_tell_unknown_paths_from_wrong_methods() {
    assert_eq!(route("POST", "/work"), Route::Submit);
    assert_eq!(route("GET", "/work/run-1"), Route::Poll("run-1"));
    assert_eq!(route("POST", "/work/run-1/withdraw"), Route::Cancel("run-1"));
    assert_eq!(route("GET", "/work/run-1/withdraw"), Route::WrongMethod);
    assert_eq!(route("DELETE", "/work"), Route::WrongMethod);
    for path in ["/", "/work/", "/work/a/b", "/work/a/b/withdraw", "/other"] {
        assert_eq!(route("GET", path), Route::Unknown, "{path}");
    }
}

/// Users do not retry a 400, so what is refused once must be refused always, and a valid
/// submission never.
#[test]
fn malformed_submissions_are_refused() {
    assert!(accepted(&with("extra", Some(Value::Bool(true)))));
    assert!(accepted(&with("cores", Some(Value::Integer(4.into())))));
    assert!(accepted(&with("due_s", None)) && accepted(&with("due_s", Some(Value::Null))));
    for field in ["uid", "docket", "form", "urgency", "parcels", "cores", "bundle", "together", "loaners"] {
        assert!(!accepted(&with(field, None)), "{field}");
        assert!(!accepted(&with(field, Some(Value::Null))), "{field}");
    }
    for (field, bad) in [
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
        assert!(!accepted(&with(field, Some(bad.clone()))), "{field} {bad:?}");
    }
    assert!(!accepted(&encode(&Value::Array(vec![]))) && !accepted(b"") && !accepted(&[0xff]));
    assert!(!accepted(&[0x81; 5000]), "deep nesting");
}
