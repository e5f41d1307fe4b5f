//! `.ci/known-red` reads the list of tests that are known to fail for `.ci/run`. A fourth
//! entry, a malformed line or a name that no test has must fail the check, as the list
//! could hide a failing test otherwise.

use std::io::Write;
use std::process::{Command, Stdio};

/// The names of all tests, as the script reads them from standard input.
const TESTS: &str = "a::one\na::one_more\nb::two\nb::three\nb::four\n";

/// What the script prints for this list, or its error message.
fn run_script(list: &str) -> Result<String, String> {
    let name = format!("known-red-{}-{:x}.txt", std::process::id(), list.as_ptr() as usize);
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, list).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let mut child = Command::new("bash")
        .args([script, file.to_str().unwrap()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(TESTS.as_bytes()).unwrap();
    let out = child.wait_with_output().unwrap();
    std::fs::remove_file(&file).unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    if out.status.success() { Ok(text(out.stdout)) } else { Err(text(out.stderr)) }
}

/// A list of known failures that is too long or inexact fails the check.
#[test]
fn the_list_of_known_failures_is_short_and_exact() {
    assert_eq!(run_script("").unwrap(), "");
    let three = "a::one | late grants | issue 43\nb::two | why | issue 1\nb::three | why | issue 1\n";
    assert_eq!(run_script(three).unwrap(), "a::one\nb::two\nb::three\n");
    let assert_rejected = |list: &str, line: &str| {
        let error = run_script(list).unwrap_err();
        assert!(error.contains(line), "{list:?}: {error}");
    };
    assert_rejected(&format!("{three}b::four | why | issue 1\n"), ":4: three");
    assert_rejected("a::on | why | issue 1\n", ":1: no test");
    assert_rejected("a::one | why | issue 1\na::one | why | issue 1\n", ":2: named twice");
    for bad in
        ["a::one", "a::one | why", "a::one |  | issue 1", "a::one | why | soon", "\n", "a::one | a | b | issue 1"]
    {
        assert_rejected(bad, ":1: want");
    }
}
