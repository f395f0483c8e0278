//! Guards against scripts that send a configuration although `check --config` found errors in it, and
//! against a check that fails for configurations in service.

mod platform;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use platform::{CREDENTIAL, config, settings};
use serde_json::{Value, json};

/// Files of one test, removed with it.
struct Files(PathBuf);

impl Files {
    /// Creates a folder for a test.
    fn new(test: &str) -> Self {
        let name = format!("daisyyard-{}-{test}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    /// Writes a file and returns its path.
    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        // A folder that stays behind harms no other test.
        drop(std::fs::remove_dir_all(&self.0));
    }
}

/// Runs `check` and returns the exit code and all output.
fn check(arguments: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_daisyyard"));
    let output = command.arg("check").args(arguments).output();
    let output = output.expect("the program runs");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("UTF-8");
    (output.status.code().expect("an exit code"), text)
}

/// Writes a changed configuration and checks it.
fn check_changed(files: &Files, change: impl FnOnce(&mut Value)) -> (i32, String) {
    let mut config = config(7);
    change(&mut config);
    let path = files.write("config.json", &config.to_string());
    check(&["--config", &path])
}

/// Each exit code, on which scripts rely.
#[test]
fn exit_codes() {
    let files = Files::new("exit-codes");
    let (code, text) = check_changed(&files, |_| ());
    assert_eq!(
        (code, text.as_str()),
        (0, "errors: 0, warnings: 0, differences: 0\n")
    );
    let (code, text) = check_changed(&files, |config| {
        config["routes"][0]["max_attempts"] = 2.into();
    });
    assert_eq!(code, 1, "{text}");
    assert!(
        text.contains("config.json: warning: routes[0].max_attempts: "),
        "{text}"
    );
    let (code, text) = check_changed(&files, |config| {
        config["routes"][0]["max_attempts"] = 2.into();
        config["routes"][1]["service"] = "other".into();
    });
    assert_eq!(code, 2, "{text}");
    assert!(
        text.contains("config.json: error: routes[1].service: "),
        "{text}"
    );
    let (code, text) = check_changed(&files, |config| {
        config["routes"][1]["timeout_ms"] = "1".into();
    });
    assert_eq!(code, 2, "{text}");
    assert!(
        text.contains("config.json: error: routes[1].timeout_ms: "),
        "{text}"
    );
}

/// Wrong usage and unreadable files must not look like a configuration with errors, or without.
#[test]
fn wrong_usage() {
    let files = Files::new("wrong-usage");
    let path = files.write("config.json", &config(7).to_string());
    let none = files.0.join("none.json").display().to_string();
    for arguments in [
        &["--config"][..],
        &["--config", &none],
        &["--config", &path, "--against", &none],
        &["--config", &path, "--gateway", &none],
        &["--config", &path, "--unknown"],
        &["--config", &path, &path],
        &["--against", &path],
    ] {
        let (code, text) = check(arguments);
        assert_eq!(code, 64, "{arguments:?}: {text}");
    }
}

/// Differences are listed without credentials and do not change the exit code; a version that does not
/// increase does.
#[test]
fn lists_differences() {
    let files = Files::new("differences");
    let old = files.write("old.json", &config(7).to_string());
    let mut config = config(8);
    config["routes"][0]["timeout_ms"] = 9000.into();
    config["tenants"][0]["api_keys"] = json!(["new-secret"]);
    config["routes"].as_array_mut().expect("a list").remove(3);
    let new = files.write("new.json", &config.to_string());
    let (code, text) = check(&["--config", &new, "--against", &old]);
    assert_eq!(code, 0, "{text}");
    let line = "new.json: changed: routes[0].timeout_ms of \"draft\": 6s -> 9s\n";
    assert!(text.contains(line), "{text}");
    assert!(
        text.contains("added: tenants[0].api_keys[0] of \"member-1\": sha256:"),
        "{text}"
    );
    assert!(
        text.contains("removed: tenants[0].api_keys[0] of \"member-1\": sha256:"),
        "{text}"
    );
    // The place of what is gone is that in the version in force.
    assert!(
        text.contains("old.json: removed: routes[3]: \"open\"\n"),
        "{text}"
    );
    assert!(text.ends_with("differences: 5\n"), "{text}");
    assert!(
        !text.contains("new-secret") && !text.contains(CREDENTIAL),
        "{text}"
    );
    let (code, text) = check(&["--config", &old, "--against", &new]);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("old.json: error: version: "), "{text}");
}

/// The memory for bodies is that of the given gateway, else that of the smallest machine.
#[test]
fn gateway_memory() {
    let files = Files::new("memory");
    let mut config = config(7);
    config["limits"]["max_body_bytes"] = 20_000_000.into();
    let path = files.write("config.json", &config.to_string());
    let (code, text) = check(&["--config", &path]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("warning: limits.max_body_bytes: "), "{text}");
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let mut settings = settings(address(1), 0, [2, 3, 4, 5, 6].map(address));
    settings["limits"] = json!({ "memory_mb": 512, "file_descriptors": 8192 });
    let settings = files.write("settings.jsonc", &settings.to_string());
    let (code, text) = check(&["--config", &path, "--gateway", &settings]);
    assert_eq!(code, 0, "{text}");
}

/// The check of settings files has kept its arguments and exit codes.
#[test]
fn settings_files() {
    let files = Files::new("settings");
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let valid = settings(address(1), 0, [2, 3, 4, 5, 6].map(address));
    let valid = files.write("valid.jsonc", &valid.to_string());
    let broken = files.write("broken.jsonc", "{}");
    assert_eq!(check(&["--gateway", &valid]).0, 0);
    assert_eq!(check(&["--gateway", &broken]).0, 2);
    assert_eq!(check(&[]).0, 2);
}
