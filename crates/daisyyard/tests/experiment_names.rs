//! Guards against wrong names in the `experiment` command and in its list of experiments.

use std::process::{Command, Output};

/// Runs the command with the given arguments.
fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_daisyyard"))
        .arg("experiment")
        .args(arguments)
        .output()
        .expect("the binary runs")
}

/// An unknown experiment or deployment is rejected with the list of the valid names.
#[test]
fn bad_name_lists_good_ones() {
    let output = run(&["ordinry", "--deployment", "association"]);
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("flood-deferrable") && message.contains("cut-exchange"));
    let output = run(&["ordinary", "--deployment", "harbour"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("pit-works"));
}

/// The list contains all experiments.
#[test]
fn list_names_all() {
    let output = run(&["list"]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    let names = [
        "ordinary",
        "flood-deferrable",
        "flood-urgent",
        "large-accounts",
        "long-tail",
        "shift",
        "stale-reports",
        "cut-exchange",
    ];
    for name in names {
        assert!(text.contains(name), "{name}");
    }
}
