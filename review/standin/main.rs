//! Stand-ins and cases of the review. Usage: `standin CASE FOLDER RECORD`; `TROUBLE=0` in the
//! environment leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run.

mod dark;
mod endless;
mod engine;
mod fleet;
mod http;
mod json;
mod memory;
mod record;
mod store;
mod twice;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a case may take.
const LONGEST: Duration = Duration::from_secs(100);

/// What each case gets.
pub struct Setting {
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    pub record: record::Record,
    pub store: store::Store,
    pub seen: Arc<engine::Seen>,
}

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for this reason.
    Unable(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = record::Record::create(&PathBuf::from(record)) else {
        eprintln!("cannot write the record");
        return ExitCode::from(2);
    };
    let setting = Setting {
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        folder: PathBuf::from(folder),
        record,
        store: store::Store::start(),
        seen: Arc::default(),
    };
    let record = setting.record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        record.say("the case could not run: it took too long");
        std::process::exit(2);
    });
    fleet::configure(&setting.store);
    let verdict = match case.as_str() {
        "dark" => dark::play(&setting),
        "endless" => endless::play(&setting),
        "twice" => twice::play(&setting),
        "memory" => memory::play(&setting),
        _ => Verdict::Unable("there is no such case"),
    };
    match verdict {
        Verdict::Held => {
            setting.record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            setting.record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::Unable(reason) => {
            setting.record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
