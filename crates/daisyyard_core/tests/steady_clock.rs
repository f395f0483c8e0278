//! Guards against decisions that read the time of day, which steps on some machines.

use std::path::{Path, PathBuf};

/// Crates that decide or forward; tools that only report may show the time of day.
const CRATES: [&str; 4] = [
    "daisyyard_core",
    "daisyyard_gateway",
    "daisyyard_http",
    "../platform",
];
/// Calls through which a program reads the time of day. Presets and usage counts take it as an
/// argument, for operators to see.
const WALL_CLOCKS: [&str; 3] = ["SystemTime::now", "Utc::now", "Local::now"];

/// Returns the Rust sources below a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("the folder exists");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let nested = paths.flat_map(|path| {
        if path.is_dir() {
            sources(&path)
        } else {
            vec![path]
        }
    });
    nested
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .collect()
}

/// No source of these crates reads a clock that can step.
#[test]
fn no_wall_clock() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut count = 0;
    for name in CRATES {
        for path in sources(&crates.join(name).join("src")) {
            let text = std::fs::read_to_string(&path).expect("a text file");
            for clock in WALL_CLOCKS {
                assert!(!text.contains(clock), "{clock} in {}", path.display());
            }
            count += 1;
        }
    }
    assert!(count > 40, "only {count} sources were found");
}
