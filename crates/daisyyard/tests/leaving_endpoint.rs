//! Guards against new requests to leaving engines, and against engines that are dropped because the
//! instance list failed.

mod fleet;

use assert_matches::assert_matches;
use daisyyard_standin::engine;
use fleet::{Event, Fleet, generation};

/// Returns whether a generation ran on the engine with this index.
fn ran_at(generation: &str, index: usize) -> bool {
    let id = daisyyard_core::id::of(&format!("engine-{index}"));
    generation.starts_with(&format!("{id:016x}-"))
}

/// Within seconds an engine that is marked as leaving gets no new requests, and it finishes its
/// generations; an empty list changes nothing.
#[tokio::test]
async fn stops_work() {
    let fleet = Fleet::start(2, 1, fleet::timing()).await;
    let prompt = "a customs declaration length=600";
    let mut caller = fleet.stream(0, prompt).await;
    let (text, last) = caller.read_tokens(1).await;
    let leaving = usize::from(ran_at(generation(&last), 1));
    let mut entries = fleet.list.entries();
    entries[leaving].state = "leaving".to_owned();
    fleet.list.set_entries(entries);
    let mut consecutive_elsewhere = 0;
    // 20 requests in a row avoid one of two engines by chance with a probability of 1 in 1,000,000.
    for _ in 0..2000 {
        let (_, answer) = fleet.request(0, "x length=2").await;
        let id = answer["id"].as_str().expect("a generation");
        consecutive_elsewhere = if ran_at(id, leaving) {
            0
        } else {
            consecutive_elsewhere + 1
        };
        if consecutive_elsewhere == 20 {
            break;
        }
    }
    assert_eq!(
        consecutive_elsewhere, 20,
        "the leaving engine still gets new work"
    );
    fleet.list.set_entries(Vec::new());
    let (rest, _, end) = caller.read_to_end().await;
    assert_eq!(text + &rest, engine::text(prompt));
    assert_matches!(end, Event::Done);
    let (_, answer) = fleet.request(0, "x length=2").await;
    assert_eq!(fleet::text(&answer), engine::text("x length=2"));
}
