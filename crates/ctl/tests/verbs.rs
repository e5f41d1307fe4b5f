//! The verbs of the command line are an interface: scripts call them by name.

use std::process::Command;

/// Runs the program and returns its exit code and what it wrote to stderr.
fn finchquayctl(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_finchquayctl"))
        .args(arguments)
        .env_remove("FINCHQUAY_CONTROLLERS")
        .output()
        .expect("the program starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Guards the published names: a Rust variant that is renamed must not rename
/// the verb. Without a controller, each known verb ends with the same message.
#[test]
fn published_verbs_are_accepted_by_name() {
    for arguments in [["status", "run-1"], ["wait", "run-1"], ["withdraw", "run-1"], ["list", "--states"]] {
        let (code, message) = finchquayctl(&arguments);
        assert_eq!(code, Some(2), "{arguments:?}: {message}");
        assert!(message.contains("no controller: give --controllers"), "{arguments:?}: {message}");
    }
}

/// Guards the other direction: a verb that is not published is refused.
#[test]
fn unknown_verbs_are_refused() {
    let (code, message) = finchquayctl(&["cancel", "run-1"]);
    assert_eq!(code, Some(2), "{message}");
    assert!(message.contains("unrecognized subcommand 'cancel'"), "{message}");
}
