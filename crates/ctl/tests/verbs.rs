//! Tests of the names of the subcommands, which scripts use.

use std::process::Command;

/// Runs the program and returns its exit code and its standard error output.
fn finchquayctl(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_finchquayctl"))
        .args(arguments)
        .env_remove("FINCHQUAY_CONTROLLERS")
        .output()
        .expect("the program starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Renaming a Rust variant must not rename the subcommand. Without a controller, every known
/// subcommand fails with the same message.
#[test]
fn published_subcommands_are_accepted_by_name() {
    for arguments in [["status", "run-1"], ["wait", "run-1"], ["withdraw", "run-1"], ["list", "--states"]] {
        let (code, message) = finchquayctl(&arguments);
        assert_eq!(code, Some(2), "{arguments:?}: {message}");
        assert!(message.contains("no controller: give --controllers"), "{arguments:?}: {message}");
    }
}

/// A name that is not published must be refused, even if it is the name of a Rust variant.
#[test]
fn unknown_subcommands_are_refused() {
    let (code, message) = finchquayctl(&["cancel", "run-1"]);
    assert_eq!(code, Some(2), "{message}");
    assert!(message.contains("unrecognized subcommand 'cancel'"), "{message}");
}
