//! Waits for the outcomes of calls, which a node writes after it has answered the caller.

use std::time::Duration;

use daisyyard::call_registry::{GetStats, Registry};
use xtra::Address;

/// Waits until a node has written all outcomes and releases to the configuration service.
pub(crate) async fn wait_until_written(node: &Address<Registry>) {
    let written = async {
        while node.send(GetStats).await.expect("the actor runs").unwritten > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let written = tokio::time::timeout(Duration::from_secs(10), written).await;
    written.expect("outcomes are written within seconds");
}
