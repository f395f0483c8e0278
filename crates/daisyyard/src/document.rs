//! JSON encoding of presets and of the preset document.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use daisyyard_core::account::Limit;
use daisyyard_core::contract::Contract;
use daisyyard_core::id;
use daisyyard_core::preset::{Change, Document, Fault, Preset, Terms};
use daisyyard_derive::value;
use serde_json::{Map, Value, json};

/// JSON encoding of a document, as stored in the configuration service and sent between nodes.
#[value]
pub struct Json(pub Bytes);

impl From<&Document> for Json {
    fn from(document: &Document) -> Self {
        let presets: Vec<Value> = document.presets.values().map(preset).collect();
        let history: Vec<Value> = document.history.iter().map(change).collect();
        let value = json!({
            "revision": document.revision,
            "write": document.write_id,
            "current": document.current,
            "presets": presets,
            "history": history,
        });
        Self(value.to_string().into())
    }
}

impl TryFrom<&Json> for Document {
    type Error = Vec<Fault>;

    /// Decodes the document; the error lists every fault.
    fn try_from(json: &Json) -> Result<Self, Vec<Fault>> {
        let value: Value = match serde_json::from_slice(&json.0) {
            Ok(value) => value,
            Err(error) => return Err(vec![fault("", &error.to_string(), "a JSON object", "{}")]),
        };
        let mut reader = Reader::default();
        let document = reader.document(&value);
        reader.finish(document)
    }
}

/// Encodes a preset.
pub(crate) fn preset(preset: &Preset) -> Value {
    let services = preset.terms.values().map(|t| (t.name.clone(), terms(t)));
    json!({"name": preset.name, "services": services.collect::<Map<_, _>>()})
}

/// Decodes and validates a preset; the error lists every fault.
pub fn parse(value: &Value) -> Result<Preset, Vec<Fault>> {
    let mut reader = Reader::default();
    let preset = reader.preset("", value);
    if reader.faults.is_empty() {
        reader.faults = preset.faults();
    }
    reader.finish(preset)
}

/// Encodes an entry of the change history.
pub(crate) fn change(change: &Change) -> Value {
    let at = change.at.duration_since(UNIX_EPOCH).unwrap_or_default();
    json!({
        "revision": change.revision,
        "write": change.write_id,
        "at_ms": at.as_millis() as u64,
        "by": change.by,
        "summary": change.summary,
    })
}

/// Encodes the terms of a service.
fn terms(terms: &Terms) -> Value {
    json!({
        "urgent": contract(&terms.urgent),
        "deferrable": contract(&terms.deferrable),
        "limit": {"rate": terms.limit.rate, "burst": terms.limit.burst},
        "retries": terms.retries,
        "drain_ms": terms.drain.as_millis() as u64,
    })
}

/// Encodes a contract.
fn contract(contract: &Contract) -> Value {
    json!({
        "first_token_ms": contract.first_token.as_millis() as u64,
        "token_gap_ms": contract.token_gap.as_millis() as u64,
        "queue_ms": contract.queue_timeout.as_millis() as u64,
        "floor": contract.floor,
        "worth": contract.worth,
    })
}

/// Creates a fault from borrowed texts.
fn fault(key: &str, found: &str, expected: &'static str, example: &'static str) -> Fault {
    Fault {
        key: key.to_owned(),
        found: found.to_owned(),
        expected,
        example,
    }
}

/// Decoder of JSON values that collects faults instead of stopping at the first.
#[derive(Debug, Default)]
struct Reader {
    /// Faults found so far.
    faults: Vec<Fault>,
}

impl Reader {
    /// Returns the decoded value, or all faults if there are any.
    fn finish<T>(self, result: T) -> Result<T, Vec<Fault>> {
        if self.faults.is_empty() {
            Ok(result)
        } else {
            Err(self.faults)
        }
    }

    /// Decodes a document; the current preset has to be one of its presets.
    fn document(&mut self, value: &Value) -> Document {
        let names = ["revision", "write", "current", "presets", "history"];
        let object = self.object("", value, &names);
        let mut presets = std::collections::BTreeMap::new();
        for (index, value) in self.array(&object, "presets").into_iter().enumerate() {
            let preset = self.preset(&format!("presets.{index}."), &value);
            presets.insert(preset.name.clone(), preset);
        }
        let mut history = Vec::new();
        for (index, value) in self.array(&object, "history").into_iter().enumerate() {
            history.push(self.change(&format!("history.{index}."), &value));
        }
        let document = Document {
            revision: self.integer("", &object, "revision"),
            write_id: self.integer("", &object, "write"),
            current: self.string("", &object, "current"),
            presets,
            history,
        };
        if document.in_force().is_none() {
            let found = format!("{:?}", document.current);
            let expected = "the name of a preset in the document";
            self.faults
                .push(fault("current", &found, expected, "ordinary"));
        }
        document
    }

    /// Decodes a preset; `key` is the path prefix for faults.
    fn preset(&mut self, key: &str, value: &Value) -> Preset {
        let object = self.object(key, value, &["name", "services"]);
        let name = self.string(key, &object, "name");
        let services = object.get("services").cloned().unwrap_or_default();
        let services = if let Value::Object(services) = services {
            services
        } else {
            let (key, found) = (format!("{key}services"), services.to_string());
            let example = "{\"asistente\": {...}}";
            let expected = "an object with the terms of each service";
            self.faults.push(fault(&key, &found, expected, example));
            Map::new()
        };
        let read = |(name, value): (String, Value)| {
            let terms = self.terms(&format!("{key}services.{name}."), &name, &value);
            (id::of(&name), terms)
        };
        let terms = services.into_iter().map(read).collect();
        Preset { name, terms }
    }

    /// Decodes the terms of the service with this name.
    fn terms(&mut self, key: &str, name: &str, value: &Value) -> Terms {
        let names = ["urgent", "deferrable", "limit", "retries", "drain_ms"];
        let object = self.object(key, value, &names);
        let null = Value::Null;
        let field = |name: &str| object.get(name).unwrap_or(&null);
        let limit_key = format!("{key}limit.");
        let limit = self.object(&limit_key, field("limit"), &["rate", "burst"]);
        Terms {
            service: id::of(name),
            name: name.to_owned(),
            urgent: self.contract(&format!("{key}urgent."), field("urgent")),
            deferrable: self.contract(&format!("{key}deferrable."), field("deferrable")),
            limit: Limit {
                rate: self.number(&limit_key, &limit, "rate"),
                burst: self.number(&limit_key, &limit, "burst"),
            },
            retries: self.number(key, &object, "retries"),
            drain: self.millis(key, &object, "drain_ms"),
        }
    }

    /// Decodes a contract.
    fn contract(&mut self, key: &str, value: &Value) -> Contract {
        let names = [
            "first_token_ms",
            "token_gap_ms",
            "queue_ms",
            "floor",
            "worth",
        ];
        let object = self.object(key, value, &names);
        Contract {
            first_token: self.millis(key, &object, "first_token_ms"),
            token_gap: self.millis(key, &object, "token_gap_ms"),
            queue_timeout: self.millis(key, &object, "queue_ms"),
            floor: self.number(key, &object, "floor"),
            worth: self.number(key, &object, "worth"),
        }
    }

    /// Decodes an entry of the change history.
    fn change(&mut self, key: &str, value: &Value) -> Change {
        let names = ["revision", "write", "at_ms", "by", "summary"];
        let object = self.object(key, value, &names);
        let at = Duration::from_millis(self.integer(key, &object, "at_ms"));
        Change {
            revision: self.integer(key, &object, "revision"),
            write_id: self.integer(key, &object, "write"),
            at: UNIX_EPOCH.checked_add(at).unwrap_or_else(SystemTime::now),
            by: self.string(key, &object, "by"),
            summary: self.string(key, &object, "summary"),
        }
    }

    /// Returns an object and records a fault for each key that is not in `names`.
    fn object(&mut self, key: &str, value: &Value, names: &[&str]) -> Map<String, Value> {
        let Value::Object(object) = value else {
            let (key, found) = (key.trim_end_matches('.'), value.to_string());
            self.faults.push(fault(key, &found, "an object", "{}"));
            return Map::new();
        };
        for name in object.keys().filter(|name| !names.contains(&name.as_str())) {
            let key = format!("{key}{name}");
            let expected = "no such key; `daisyyard preset show ordinary` has the known ones";
            self.faults.push(fault(
                &key,
                "an unknown key",
                expected,
                "a preset without it",
            ));
        }
        object.clone()
    }

    /// Returns the elements of an array, or an empty list and a fault.
    fn array(&mut self, object: &Map<String, Value>, name: &str) -> Vec<Value> {
        match object.get(name) {
            Some(Value::Array(values)) => values.clone(),
            other => {
                self.type_fault("", name, other, "an array", "[]");
                Vec::new()
            }
        }
    }

    /// Returns a number, or 0 and a fault.
    fn number(&mut self, key: &str, object: &Map<String, Value>, name: &str) -> f64 {
        let value = object.get(name);
        value.and_then(Value::as_f64).unwrap_or_else(|| {
            self.type_fault(key, name, value, "a number", "0.5");
            0.0
        })
    }

    /// Returns an unsigned integer, or 0 and a fault.
    fn integer(&mut self, key: &str, object: &Map<String, Value>, name: &str) -> u64 {
        let value = object.get(name);
        value.and_then(Value::as_u64).unwrap_or_else(|| {
            self.type_fault(key, name, value, "a whole number", "10");
            0
        })
    }

    /// Returns a duration given in milliseconds, or zero and a fault.
    fn millis(&mut self, key: &str, object: &Map<String, Value>, name: &str) -> Duration {
        Duration::from_millis(self.integer(key, object, name))
    }

    /// Returns a string, or an empty string and a fault.
    fn string(&mut self, key: &str, object: &Map<String, Value>, name: &str) -> String {
        let value = object.get(name);
        let text = value.and_then(Value::as_str).map(str::to_owned);
        text.unwrap_or_else(|| {
            self.type_fault(key, name, value, "a text", "\"ordinary\"");
            String::new()
        })
    }

    /// Records a fault for a value that is missing or has the wrong type.
    fn type_fault(
        &mut self,
        key: &str,
        name: &str,
        value: Option<&Value>,
        expected: &'static str,
        example: &'static str,
    ) {
        let found = value.map_or_else(|| "nothing".to_owned(), Value::to_string);
        self.faults
            .push(fault(&format!("{key}{name}"), &found, expected, example));
    }
}
