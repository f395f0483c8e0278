//! Guards against answers of faulty endpoints that callers take for something else: a refusal of
//! another request, a head that breaks off, and answers without a length.

mod platform;

use daisyyard_standin::faulty_endpoint::Fault;
use hyper::{Method, StatusCode};
use platform::{Platform, events, plain_request, stream_request};

/// Sends a call that may run once to an endpoint with the fault, while a second endpoint could answer;
/// returns the status of the answer and the number of runs at the second one.
async fn call(fault: Fault) -> (StatusCode, usize) {
    let mut platform = Platform::start(0, 0).await;
    let faulty = platform.add_faulty("faulty", "desk", fault).await;
    platform.start_gateway().await;
    platform.add_engine("plain-0", "desk").await;
    for number in 0..20 {
        let path = format!("/book/{number}");
        let answer = platform
            .try_request(plain_request(Method::POST, &path))
            .await;
        let (status, _) = answer.expect("the gateway answers");
        if faulty.counts().requests > 0 {
            return (status, platform.ran(&path).await.len());
        }
    }
    panic!("no call reached the faulty endpoint");
}

/// Sends a request for a stream of 5 events to an engine with the fault; returns the body if it looks
/// complete.
async fn stream(fault: Fault) -> Option<String> {
    let mut platform = Platform::start(0, 0).await;
    let _faulty = platform.add_faulty("faulty", "model", fault).await;
    platform.start_gateway().await;
    let request = stream_request("/draft/1", "100,20");
    let answer = platform.try_request(request).await;
    answer.expect("the gateway answers").1
}

/// A refusal of another request says nothing about this one, which may have run: it is not sent to a
/// second endpoint, and its caller is not told that it did not run.
#[tokio::test]
async fn foreign_refusal() {
    assert_eq!(
        call(Fault::OtherRefusal).await,
        (StatusCode::BAD_GATEWAY, 0)
    );
}

/// A head that breaks off is no answer: the call may have run.
#[tokio::test]
async fn head_cut() {
    assert_eq!(call(Fault::CutHead).await, (StatusCode::BAD_GATEWAY, 0));
}

/// A stream whose head breaks off does not become an empty stream.
#[tokio::test]
async fn stream_head_cut() {
    let mut platform = Platform::start(0, 0).await;
    let _faulty = platform.add_faulty("faulty", "model", Fault::CutHead).await;
    platform.start_gateway().await;
    let (status, _) = platform.request(stream_request("/draft/1", "100,20")).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
}

/// A stream without a length that ends after an event is complete; one that ends inside an event, or
/// before the first one, is not.
#[tokio::test]
async fn unframed_stream() {
    assert_eq!(stream(Fault::Unframed(5)).await, Some(events(5)));
    assert_eq!(stream(Fault::UnframedCut(3)).await, None);
    assert_eq!(stream(Fault::Unframed(0)).await, None);
}

/// An answer without a length ends with its connection.
#[tokio::test]
async fn unframed_answer() {
    let mut platform = Platform::start(0, 0).await;
    let _faulty = platform
        .add_faulty("faulty", "desk", Fault::Unframed(2))
        .await;
    platform.start_gateway().await;
    let answer = platform
        .request(plain_request(Method::GET, "/stock/1"))
        .await;
    assert_eq!(answer, (StatusCode::OK, events(2)));
}
