//! How `.ci/run` reads the list of tests that are known to fail: a fourth, a line of
//! another form, or a name that no test has must fail the check, or a red test could hide.

use std::io::Write;
use std::process::{Command, Stdio};

const TESTS: &str = "a::one\na::one_more\nb::two\nb::three\nb::four\n";

/// What the reader prints, or what it says is wrong.
fn read(list: &str) -> Result<String, String> {
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
    assert_eq!(read("").unwrap(), "");
    let three = "a::one | late grants | issue 43\nb::two | why | issue 1\nb::three | why | issue 1\n";
    assert_eq!(read(three).unwrap(), "a::one\nb::two\nb::three\n");
    let wrong = |list: &str, line: &str| {
        let error = read(list).unwrap_err();
        assert!(error.contains(line), "{list:?}: {error}");
    };
    wrong(&format!("{three}b::four | why | issue 1\n"), ":4: three");
    wrong("a::on | why | issue 1\n", ":1: no test");
    wrong("a::one | why | issue 1\na::one | why | issue 1\n", ":2: named twice");
    for bad in
        ["a::one", "a::one | why", "a::one |  | issue 1", "a::one | why | soon", "\n", "a::one | a | b | issue 1"]
    {
        wrong(bad, ":1: want");
    }
}
