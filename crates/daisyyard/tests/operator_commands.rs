//! Guards against operator commands that report a wrong outcome.

mod cluster;

use cluster::Cluster;
use daisyyard::operator::{self, Report};
use daisyyard_standin::instance_list::Entry;
use serde_json::Value;

/// Runs an operator command against the first node.
async fn run(cluster: &Cluster, words: &str) -> Report {
    let node = cluster.nodes[0].address.to_string();
    let mut arguments: Vec<String> = words.split(' ').map(str::to_owned).collect();
    arguments.extend(["--node".to_owned(), node]);
    if !words.contains("--token") {
        arguments.extend(["--token".to_owned(), "operator-1".to_owned()]);
    }
    operator::execute(&arguments)
        .await
        .expect("a known command")
}

/// Writes an edited copy of the ordinary preset to a file and returns its path.
async fn write_preset(cluster: &Cluster, name: &str, edit: impl Fn(&mut Value)) -> String {
    let shown = run(cluster, "preset show ordinary --json").await;
    let mut preset: Value = serde_json::from_str(&shown.text).expect("JSON");
    preset["name"] = name.into();
    edit(&mut preset);
    let path = std::env::temp_dir().join(format!("daisyyard-{}-{name}.json", std::process::id()));
    std::fs::write(&path, format!("// a comment\n{preset:#}")).expect("a file");
    path.display().to_string()
}

/// Presets can be listed, shown, written, compared and activated, and the history names the
/// operator.
#[tokio::test(flavor = "multi_thread")]
async fn edits_presets() {
    let cluster = Cluster::start(2, 0).await;
    assert_eq!(
        run(&cluster, "preset list").await.text,
        "revision 0\n* ordinary"
    );
    let path = write_preset(&cluster, "peak", |preset| {
        preset["services"]["asistente"]["urgent"]["floor"] = 0.6.into();
    })
    .await;
    let put = run(&cluster, &format!("preset put {path}")).await;
    assert_eq!(put.text, "accepted: revision 1, ordinary is in force");
    assert_eq!(put.code, 0);
    let diff = run(&cluster, "preset diff ordinary peak").await;
    assert_eq!(diff.text, "services.asistente.urgent.floor: 0.5 -> 0.6");
    let used = run(&cluster, "preset use peak --seen 1").await;
    assert_eq!(used.text, "accepted: revision 2, peak is in force");
    let history = run(&cluster, "preset history").await.text;
    assert!(
        history.contains("revision 2: use peak, by ines"),
        "{history}"
    );
    let status = run(&cluster, "status").await.text;
    // The other node watches too and may send the revision before the service answers this node.
    let sources = ["the configuration service", "a peer"];
    let line = |source: &str| format!("revision 2, peak is in force, from {source}");
    let shown = |source: &&str| status.contains(&line(source));
    assert!(sources.iter().any(shown), "{status}");
    assert!(status.contains("node-1 costa-b"), "{status}");
}

/// A change based on an old revision is not accepted, and the answer names the newest change.
#[tokio::test(flavor = "multi_thread")]
async fn names_winner() {
    let cluster = Cluster::start(1, 0).await;
    let path = write_preset(&cluster, "calm", |_| {}).await;
    run(&cluster, &format!("preset put {path}")).await;
    let lost = run(&cluster, &format!("preset put {path} --seen 0")).await;
    assert_eq!(lost.code, 1);
    assert!(
        lost.text
            .starts_with("not accepted: revision 0 is not the newest"),
        "{}",
        lost.text
    );
    assert!(
        lost.text
            .contains("the newest change is revision 1: put calm, by ines")
    );
    assert!(lost.text.contains("again with revision 1"));
}

/// All faults of a preset are reported at once, and the preset is not stored.
#[tokio::test(flavor = "multi_thread")]
async fn lists_faults() {
    let cluster = Cluster::start(1, 0).await;
    let path = write_preset(&cluster, "wrong", |preset| {
        preset["services"]["asistente"]["retries"] = "often".into();
        preset["services"]["asistente"]["urgent"]["first"] = 1.into();
        preset["services"]["asistente"]["drain_ms"] = Value::Null;
    })
    .await;
    let report = run(&cluster, &format!("preset put {path}")).await;
    assert_eq!(report.code, 1);
    for key in [
        "retries: found \"often\"",
        "urgent.first: found",
        "drain_ms: found null",
    ] {
        assert!(report.text.contains(key), "{}", report.text);
    }
    assert_eq!(
        run(&cluster, "preset list").await.text,
        "revision 0\n* ordinary"
    );
}

/// A change whose result is not known is reported as unknown with the command that shows the
/// history; later the history contains the write.
#[tokio::test(flavor = "multi_thread")]
async fn reports_unknown() {
    let cluster = Cluster::start(1, 0).await;
    let path = write_preset(&cluster, "late", |_| {}).await;
    // The read after the lost response, like all later calls, takes longer than its timeout.
    let slow = async {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        cluster.store.delay_calls(std::time::Duration::from_secs(5));
    };
    cluster.store.lose_responses(10);
    let command = format!("preset put {path} --json");
    let (report, ()) = tokio::join!(run(&cluster, &command), slow);
    assert_eq!(report.code, 3, "{}", report.text);
    let value: Value = serde_json::from_str(&report.text).expect("JSON");
    assert!(
        value["message"]
            .as_str()
            .is_some_and(|m| m.contains("daisyyard preset history"))
    );
    cluster.store.delay_calls(std::time::Duration::ZERO);
    let limit = std::time::Duration::from_secs(40);
    cluster
        .wait_until(limit, |status| status.document.revision == 1)
        .await;
    let history = run(&cluster, "preset history").await.text;
    assert!(
        history.contains(&format!("write {}", value["write"])),
        "{history}"
    );
}

/// Commands with an unknown credential or a caller's credential are refused.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_unauthorized() {
    let cluster = Cluster::start(1, 0).await;
    for token in ["token-member-0001", "operator-2", ""] {
        let report = run(&cluster, &format!("status --token={token}")).await;
        assert_eq!(report.code, 1);
        assert!(report.text.contains("present a known operator credential"));
    }
}

/// Wrong usage and missing files are errors, while a failed connection to the node is a report with
/// exit code 1.
#[tokio::test(flavor = "multi_thread")]
async fn exit_codes() {
    let mut cluster = Cluster::start(1, 0).await;
    let drain = run(&cluster, "drain").await;
    assert_eq!((drain.code, drain.text.as_str()), (0, "draining"));
    cluster.nodes[0].stop_ordered().await;
    let words = |text: &str| text.split(' ').map(str::to_owned).collect::<Vec<_>>();
    let node = cluster.nodes[0].address;
    for usage in [
        "preset",
        "preset put /missing",
        "preset show a/b",
        "status --seen x",
    ] {
        let arguments = words(&format!("{usage} --node {node} --token operator-1"));
        operator::execute(&arguments).await.expect_err(usage);
    }
    let entries: Vec<Entry> = Vec::new();
    cluster.list.set_entries(entries);
    cluster.nodes.clear();
    let arguments = words(&format!(
        "preset use ordinary --node {node} --token operator-1"
    ));
    let report = operator::execute(&arguments)
        .await
        .expect("a known command");
    assert_eq!(report.code, 1, "nothing reached the node: {}", report.text);
}
