//! Guards against frames and documents that make a node panic, and against messages that encoding
//! changes.

use std::time::Duration;

use bytes::Bytes;
use daisyyard::document::{self, Json};
use daisyyard::wire::{self, Answer, Ask, Heartbeat, Message, Output, Suspect, Verdict};
use daisyyard_core::contract::Rank;
use daisyyard_core::gossip::{Location, Record};
use daisyyard_core::instance::State;
use daisyyard_core::ledger::Digest;
use daisyyard_core::member::MAX_RECORDS;
use daisyyard_core::preset::Document;
use daisyyard_core::zone::Zone;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;

/// Generates any record.
fn record() -> impl Strategy<Value = Record> {
    let states = [State::Live, State::Leaving, State::Suspected, State::Gone];
    let ip = prop_oneof![
        any::<[u8; 4]>().prop_map(std::net::IpAddr::from),
        any::<[u8; 16]>().prop_map(std::net::IpAddr::from),
    ];
    let location =
        ("[a-z]{1,20}", "[a-z]{1,20}", ip, any::<u16>()).prop_map(|(name, zone, ip, port)| {
            let address = std::net::SocketAddr::new(ip, port);
            Location {
                name,
                zone: Zone::new(&zone, "region"),
                address,
                peer: address,
            }
        });
    let fields = (
        any::<u64>(),
        any::<u64>(),
        proptest::sample::select(states.to_vec()),
        option::of(location),
    );
    fields.prop_map(|(id, incarnation, state, location)| Record {
        id,
        incarnation,
        state,
        location,
    })
}

/// Generates any duration that fits its field.
fn time() -> impl Strategy<Value = Duration> {
    any::<u32>().prop_map(|millis| Duration::from_millis(millis.into()))
}

/// Generates any message that a node sends on an authenticated link.
fn message() -> impl Strategy<Value = Message> {
    let output =
        (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(endpoint, request, generated)| {
            Output {
                endpoint,
                request,
                generated,
            }
        });
    let heartbeat = (record(), any::<u64>(), vec(record(), 0..=MAX_RECORDS));
    let ask = (any::<[u64; 4]>(), any::<[u32; 3]>(), any::<bool>(), time());
    let digest = (any::<(u64, u32, u32, u64)>(), any::<u32>()).prop_map(|(fields, gap)| Digest {
        endpoint: fields.0,
        running: fields.1,
        queued: fields.2,
        free_tokens: fields.3,
        token_gap: Duration::from_micros(gap.into()),
    });
    let verdict = prop_oneof![
        Just(Verdict::Grant),
        Just(Verdict::NotHome),
        Just(Verdict::Wait),
        time().prop_map(|retry_after| Verdict::Refuse { retry_after }),
    ];
    let suspect = (any::<u128>(), any::<u32>(), any::<bool>(), time()).prop_map(
        |(key, crashes, alone, age)| Suspect {
            key,
            crashes,
            alone,
            age,
        },
    );
    prop_oneof![
        any::<u64>().prop_map(Message::Pull),
        heartbeat.prop_map(|(sender, revision, records)| Message::Heartbeat(Heartbeat {
            sender,
            revision,
            records,
        })),
        (any::<u64>(), vec(any::<u8>(), 0..100)).prop_map(|(revision, json)| {
            let json = json.into();
            Message::Document(wire::Document { revision, json })
        }),
        ask.prop_map(|(ids, counts, urgent, max_wait)| Message::Ask(Ask {
            endpoint: ids[0],
            service: ids[1],
            request: ids[2],
            account: ids[3],
            rank: if urgent {
                Rank::Urgent
            } else {
                Rank::Deferrable
            },
            prompt: counts[0].into(),
            cached: counts[1].into(),
            expected: counts[2].into(),
            max_wait,
        })),
        (any::<u64>(), verdict, option::of(digest)).prop_map(|(request, verdict, digest)| {
            Message::Answer(Answer {
                request,
                verdict,
                digest,
            })
        }),
        vec(output.clone(), 0..50).prop_map(Message::Progress),
        output.prop_map(Message::Release),
        vec(suspect, 0..50).prop_map(Message::Suspects),
    ]
}

proptest! {
    /// Decoding an encoded message returns the same message.
    #[test]
    fn round_trip(message in message()) {
        let decoded = wire::decode(wire::encode(message.clone()));
        prop_assert_eq!(decoded.expect("a valid frame"), message);
    }

    /// Arbitrary bytes are decoded or rejected without a panic.
    #[test]
    fn survives_noise(bytes in vec(any::<u8>(), 0..300)) {
        let _ = wire::decode(Bytes::from(bytes.clone()));
        let _ = Document::try_from(&Json(bytes.into()));
    }

    /// A truncated or corrupted frame is decoded or rejected without a panic.
    #[test]
    fn survives_damage(message in message(), position in any::<prop::sample::Index>(), byte: u8) {
        let mut bytes = wire::encode(message).to_vec();
        prop_assume!(!bytes.is_empty());
        let index = position.index(bytes.len());
        let _ = wire::decode(Bytes::copy_from_slice(&bytes[..index]));
        bytes[index] = byte;
        let _ = wire::decode(bytes.into());
    }

    /// A heartbeat with more than `MAX_RECORDS` records is rejected.
    #[test]
    fn refuses_excess(record in record()) {
        let heartbeat = Heartbeat {
            sender: record.clone(),
            revision: 1,
            records: vec![record; MAX_RECORDS + 1],
        };
        prop_assert!(wire::decode(wire::encode(Message::Heartbeat(heartbeat))).is_err());
    }

    /// A preset with arbitrary JSON values is rejected with a fault for each invalid key.
    #[test]
    fn survives_values(number: f64, text: String, flag: bool) {
        let value = serde_json::json!({
            "name": text,
            "services": {"asistente": {"urgent": number, "deferrable": [flag], "limit": {
                "rate": number, "burst": text}, "retries": flag, "drain_ms": number}},
        });
        let faults = document::parse(&value).expect_err("the ranks are no contracts");
        prop_assert!(faults.iter().any(|fault| fault.key == "services.asistente.urgent"));
        prop_assert!(faults.iter().any(|fault| fault.key == "services.asistente.deferrable"));
        prop_assert!(faults.iter().any(|fault| fault.key == "services.asistente.limit.burst"));
    }
}

/// Guards the budget of control traffic: a record without its location takes at most 24 B.
#[test]
fn records_are_small() {
    let record = Record {
        id: u64::MAX,
        // Milliseconds since 1970, in the year 2050.
        incarnation: 2_540_000_000_000,
        state: State::Suspected,
        location: None,
    };
    let size = |records: usize| {
        let heartbeat = Heartbeat {
            sender: record.clone(),
            revision: 1_000_000,
            records: vec![record.clone(); records],
        };
        wire::encode(Message::Heartbeat(heartbeat)).len()
    };
    let (none, all) = (size(0), size(MAX_RECORDS));
    println!("heartbeat without records {none} B, with {MAX_RECORDS} records {all} B");
    assert!(all - none <= 24 * MAX_RECORDS);
}

/// A frame with more than `MAX_SUSPECTS` suspects is rejected, and the largest one stays below
/// 16 KiB.
#[test]
fn bounds_suspects() {
    let suspect = Suspect {
        key: u128::MAX,
        crashes: u32::MAX,
        alone: true,
        age: Duration::from_mins(10),
    };
    let frame = |count: usize| wire::encode(Message::Suspects(vec![suspect.clone(); count]));
    let largest = frame(wire::MAX_SUSPECTS);
    assert!(largest.len() < 16 << 10, "{} bytes", largest.len());
    wire::decode(largest).expect("a frame within the bound");
    wire::decode(frame(wire::MAX_SUSPECTS + 1)).expect_err("too many suspects");
}
