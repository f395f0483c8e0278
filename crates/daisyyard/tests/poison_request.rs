//! Guards against a poison request, which crashes one engine after another.

mod fleet;

use daisyyard_standin::engine;
use fleet::Fleet;
use hyper::StatusCode;

/// A request that crashes engines is refused after two crashes, however often it is sent, and other
/// requests are still served.
#[tokio::test]
async fn refuses_poison() {
    let fleet = Fleet::start(6, 1, fleet::timing()).await;
    let poison = "a declaration crash=1";
    for _ in 0..5 {
        let (status, _) = fleet.request(0, poison).await;
        assert!(!status.is_success());
    }
    let (status, answer) = fleet.request(0, poison).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(answer["error"]["code"], "suspected_crash");
    let mut crashed = 0;
    for engine in &fleet.engines {
        let socket = tokio::net::TcpStream::connect(engine.address).await;
        crashed += u32::from(socket.is_err());
    }
    assert_eq!(crashed, 2);
    for number in 0..10 {
        let prompt = format!("certificate {number} length=3");
        let (_, answer) = fleet.request(0, &prompt).await;
        assert_eq!(fleet::text(&answer), engine::text(&prompt));
    }
}

/// A request that ran at the same time as one that crashes engines is not refused.
#[tokio::test]
async fn serves_concurrent_request() {
    let fleet = Fleet::start(6, 1, fleet::timing()).await;
    let harmless = "a long declaration length=60";
    let poison = async {
        fleet.busy_engine().await;
        for _ in 0..6 {
            fleet.request(0, "a declaration crash=1").await;
        }
    };
    let ((_, first), ()) = tokio::join!(fleet.request(0, harmless), poison);
    let (_, second) = fleet.request(0, harmless).await;
    assert_eq!(fleet::text(&first), engine::text(harmless));
    assert_eq!(fleet::text(&second), engine::text(harmless));
}
