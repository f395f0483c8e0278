//! Guards against input from callers and engines that makes a node panic or stop serving.

mod fleet;

use bytes::Bytes;
use daisyyard_standin::engine;
use daisyyard_standin::fault::Fault;
use fleet::{Caller, Fleet};
use hyper::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Malformed requests are refused as not run, and the node keeps serving.
#[tokio::test]
async fn refuses_callers() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    let address = fleet.nodes[0].address;
    let good = fleet::body("x length=1", false).to_string();
    let deep = "[".repeat(100_000);
    let cases: [(&str, &str, &str); 8] = [
        ("", "", "{"),
        ("", "", "\u{0}\u{ffff}"),
        ("", "", &deep),
        ("", "", r#"{"model": 3, "messages": {}}"#),
        ("x-rank", "highest", &good),
        ("x-deadline-ms", "-1", &good),
        ("x-deadline-ms", "99999999999999999999", &good),
        ("x-deadline-ms", "soon", &good),
    ];
    for (name, value, body) in cases {
        let mut headers = vec![("authorization", "Bearer token-member-0001")];
        if !name.is_empty() {
            headers.push((name, value));
        }
        let path = fleet::COMPLETIONS;
        let call = daisyyard_http::call(address, Method::POST, path, &headers, body.to_owned());
        let (status, answer) = call.await.expect("an answer");
        assert_eq!(status, StatusCode::BAD_REQUEST, "{name} {value}");
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(answer.contains("not_run"), "{answer}");
    }
    let prompt = "x length=2";
    assert_eq!(
        fleet::text(&fleet.request(0, prompt).await.1),
        engine::text(prompt)
    );
}

/// Bytes that are not valid HTTP affect only their own connection.
#[tokio::test]
async fn survives_noise() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    let address = fleet.nodes[0].address;
    let noise: [&[u8]; 4] = [
        b"\x16\x03\x01\x00\xff\xff",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 18446744073709551616\r\n\r\n",
        b"POST /services/libro-socios/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ];
    for bytes in noise {
        let mut socket = tokio::net::TcpStream::connect(address)
            .await
            .expect("a node");
        socket.write_all(bytes).await.expect("a socket");
        socket.shutdown().await.expect("a socket");
        let mut answer = Vec::new();
        // The node may answer or close the connection.
        let _ = socket.read_to_end(&mut answer).await;
    }
    let prompt = "x length=2";
    assert_eq!(
        fleet::text(&fleet.request(0, prompt).await.1),
        engine::text(prompt)
    );
}

/// A stream whose engine sends only garbage ends with an error that has a code.
#[tokio::test]
async fn gives_up_garbage() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    let mut caller: Caller = fleet.stream(0, "a long declaration length=100000").await;
    caller.read_tokens(2).await;
    let garbage = async {
        loop {
            fleet.fault(&Fault::Garbage(Bytes::from_static(b"data: {]\n\n")));
            fleet.fault(&Fault::Skip(1000));
            tokio::task::yield_now().await;
        }
    };
    let last = tokio::select! {
        (_, _, last) = caller.read_to_end() => last,
        () = garbage => unreachable!("the loop has no end"),
    };
    assert_matches::assert_matches!(last, fleet::Event::Error(error) => {
        assert_eq!(error["code"], "interrupted");
    });
}
