//! Guards against streams that a caller cannot resume at another node, that another account can
//! read, or that continue without a caller.

mod fleet;

use std::time::Duration;

use assert_matches::assert_matches;
use daisyyard::settings::Timing;
use daisyyard::signature::Signer;
use daisyyard_standin::engine::{self, Options};
use daisyyard_standin::fault::Fault;
use fleet::{Caller, Event, Fleet, generation};
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

/// Prompt of the streams.
const PROMPT: &str = "a customs declaration length=80";

/// A stream that started at one node is resumed at another without a missing or repeated token.
#[tokio::test]
async fn continues_elsewhere() {
    let fleet = Fleet::start(2, 2, fleet::timing()).await;
    let mut caller = fleet.stream(0, PROMPT).await;
    let (mut text, last) = caller.read_tokens(5).await;
    drop(caller);
    let address = fleet.nodes[1].address;
    let id = generation(&last).to_owned();
    let mut caller = Caller::resume(address, "token-member-0001", &id, Some(&last)).await;
    assert_eq!(caller.status, StatusCode::OK);
    // Longer than the grace period of the first node, which must not end the stream.
    text += &caller.read_tokens(5).await.0;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let (rest, offsets, end) = caller.read_to_end().await;
    assert_eq!(text + &rest, engine::text(PROMPT));
    assert_eq!(offsets, (10..80).collect::<Vec<u64>>());
    assert_matches!(end, Event::Done);

    let mut caller = Caller::resume(address, "token-member-0001", &id, None).await;
    assert_eq!(caller.read_to_end().await.0, engine::text(PROMPT));
}

/// A resume with another account, a forged id or an invalid position is refused.
#[tokio::test]
async fn refuses_unauthorized() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    let mut caller = fleet.stream(0, PROMPT).await;
    let (_, last) = caller.read_tokens(2).await;
    let address = fleet.nodes[0].address;
    let id = generation(&last);
    let unauthorized = Caller::resume(address, "token-member-0002", id, Some(&last)).await;
    assert_eq!(unauthorized.status, StatusCode::NOT_FOUND);
    let (signed, signature) = id.rsplit_once('-').expect("a signature");
    let mut forged = vec![
        format!("{signed}-{}", "0".repeat(signature.len())),
        signed.to_owned(),
        "x".to_owned(),
        String::new(),
        "-".repeat(200),
    ];
    forged.push(id.replacen('0', "1", 1));
    for forged in forged {
        let caller = Caller::resume(address, "token-member-0001", &forged, None).await;
        assert_eq!(caller.status, StatusCode::NOT_FOUND, "{forged}");
    }
    for position in [
        "7",
        "other:3",
        &format!("{id}:x"),
        &format!("{id}:{}", u64::MAX),
    ] {
        let caller = Caller::resume(address, "token-member-0001", id, Some(position)).await;
        assert_eq!(caller.status, StatusCode::BAD_REQUEST, "{position}");
    }
}

/// A signature is valid for one account, engine, stream and key only.
#[test]
fn signs_all_parts() {
    let signer = Signer::new("shared");
    let id = signer.sign(1, 2, "a-b");
    assert_eq!(signer.verify(1, &id), Some((2, "a-b".to_owned())));
    assert_eq!(signer.verify(2, &id), None);
    assert_eq!(Signer::new("other").verify(1, &id), None);
    assert_ne!(signer.sign(1, 2, "a"), signer.sign(1, 3, "a"));
    assert_eq!(signer.verify(1, &id.replace("a-b", "a-c")), None);
}

/// A generation whose caller disconnected is cancelled at its engine after the grace period.
#[tokio::test]
async fn cancels_abandoned() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    let mut caller = fleet.stream(0, "a long declaration length=100000").await;
    caller.read_tokens(3).await;
    assert_eq!(fleet.open_streams().await, 1);
    drop(caller);
    for _ in 0..500 {
        if fleet.open_streams().await == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the engine still runs the generation");
}

/// A generation is cancelled without a grace period if its caller disconnects before it could learn
/// the generation's id.
#[tokio::test]
async fn cancels_unknown() {
    let timing = Timing {
        reconnect_grace: Duration::from_hours(1),
        ..fleet::timing()
    };
    let fleet = Fleet::start(1, 1, timing).await;
    for caller in ["buffered", "unstarted"] {
        if caller == "unstarted" {
            fleet.fault(&Fault::Delay(Duration::from_millis(100)));
        }
        let prompt = "a long declaration length=100000";
        tokio::select! {
            _ = fleet.stream(0, prompt), if caller == "unstarted" => panic!("an early answer"),
            _ = fleet.request(0, prompt), if caller == "buffered" => panic!("an early answer"),
            _ = fleet.busy_engine() => {}
        }
        let gone = async {
            while fleet.open_streams().await > 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let gone = tokio::time::timeout(fleet::TIMEOUT, gone).await;
        gone.unwrap_or_else(|_| panic!("the engine runs the generation of a {caller} caller"));
    }
}

/// A caller that does not read occupies a bounded buffer and is disconnected after a timeout; what
/// it then reads ends with an error.
#[tokio::test]
async fn ends_slow_caller() {
    let options = Options {
        step_time: Duration::ZERO,
        ..Options::default()
    };
    let fleet = Fleet::start_with_options(options, 1, 1, fleet::timing()).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    // A small receive window keeps the operating system from buffering the stream.
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut socket = socket
        .connect(fleet.nodes[0].address)
        .await
        .expect("a node");
    let body = fleet::body("a long declaration length=1000000", true).to_string();
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer token-member-0001\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        fleet::COMPLETIONS,
        body.len()
    );
    let request = head + &body;
    socket
        .write_all(request.as_bytes())
        .await
        .expect("a request");
    fleet.busy_engine().await;
    for _ in 0..1500 {
        if fleet.open_streams().await == 0 {
            let mut answer = String::new();
            socket.read_to_string(&mut answer).await.expect("an end");
            assert!(!answer.contains("[DONE]"));
            let error = answer.rsplit_once("event: error").expect("an error").1;
            assert!(
                error.contains("interrupted") && error.contains("unknown"),
                "{error}"
            );
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the engine still runs the generation");
}
