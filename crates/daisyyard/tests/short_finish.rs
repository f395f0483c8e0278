//! Guards against an answer that is reported as complete although the engine left out its last
//! tokens.

mod fleet;

use assert_matches::assert_matches;
use daisyyard_standin::engine;
use daisyyard_standin::fault::Fault;
use fleet::{Event, Fleet};

/// When an engine skips to the end of a stream, the node fetches the missing tokens before it
/// reports to the caller that the stream is complete.
#[tokio::test]
async fn fetches_tail() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    let prompt = "a declaration length=25";
    let mut caller = fleet.stream(0, prompt).await;
    let (text, _) = caller.read_tokens(10).await;
    fleet.fault(&Fault::Skip(1000));
    let (rest, _, last) = caller.read_to_end().await;
    assert_eq!(text + &rest, engine::text(prompt));
    assert_matches!(last, Event::Done);
}
