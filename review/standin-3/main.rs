//! Stand-ins and cases of the third review: `standin CASE FOLDER`, started from the repository.
//! `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod crowd;
mod drill;
mod endpoint;
mod engine;
mod gateway;
mod http;
mod json;
mod leaving;
mod link;
mod overlap;
mod pause;
mod poison;
mod record;
mod stale;
mod storm;
mod store;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What all cases need.
#[derive(Clone)]
pub struct Run {
    pub record: record::Record,
    pub folder: Arc<gateway::Folder>,
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    // A case may take 120 seconds.
    gateway::limit_time(Duration::from_secs(112));
    let code = std::panic::catch_unwind(|| {
        let run = Run {
            record: record::Record::create(&PathBuf::from(folder)).expect("a record"),
            folder: Arc::new(gateway::Folder::create()),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        };
        let code = match case.as_str() {
            "crowd" => crowd::play(&run),
            "drill" => drill::play(&run),
            "leaving" => leaving::play(&run),
            "overlap" => overlap::play(&run),
            "pause" => pause::play(&run),
            "poison" => poison::play(&run),
            "storm" => storm::play(&run),
            "stale" => stale::play(&run),
            _ => 2,
        };
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&run.folder.0);
        }
        code
    });
    std::process::exit(code.unwrap_or(2));
}
