//! Guards against callers that receive the answer to another request while connections fail.

mod fleet;

use std::time::Duration;

use assert_matches::assert_matches;
use daisyyard_standin::engine;
use daisyyard_standin::fault::Fault;
use fleet::{Event, Fleet};
use hyper::StatusCode;

/// Number of concurrent callers, with one request each.
const CALLER_COUNT: usize = 40;

/// Each of many concurrent callers gets its own complete answer, streamed or not.
#[tokio::test]
async fn isolates_answers() {
    let fleet = Fleet::start(4, 2, fleet::timing()).await;
    let callers = (0..CALLER_COUNT).map(|number| {
        let fleet = &fleet;
        async move {
            let prompt = format!("declaration {number} length={}", 20 + number);
            if number % 2 == 0 {
                let mut caller = fleet.stream(number / 2 % 2, &prompt).await;
                let (text, offsets, last) = caller.read_to_end().await;
                assert_eq!(text, engine::text(&prompt));
                assert_eq!(offsets, (0..20 + number as u64).collect::<Vec<u64>>());
                assert_matches!(last, Event::Done);
            } else {
                let (status, answer) = fleet.request(number / 2 % 2, &prompt).await;
                assert_eq!(status, StatusCode::OK, "{answer}");
                assert_eq!(fleet::text(&answer), engine::text(&prompt));
            }
        }
    });
    let faults = async {
        for fault in [
            Fault::Silence,
            Fault::Disconnect,
            Fault::Skip(2),
            Fault::Silence,
        ] {
            tokio::time::sleep(Duration::from_millis(30)).await;
            fleet.fault(&fault);
        }
    };
    tokio::join!(futures_util::future::join_all(callers), faults);
}
