//! The JSON form of presets and of the preset document.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use daisyyard_core::account::Limit;
use daisyyard_core::contract::Contract;
use daisyyard_core::id;
use daisyyard_core::preset::{Change, Document, Fault, Preset, Terms};
use daisyyard_derive::value;
use serde_json::{Map, Value, json};

/// The JSON form of a document, as the configuration service and the frames carry it.
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

    /// Returns the document, or every fault.
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

/// Returns the JSON form of one preset.
pub(crate) fn preset(preset: &Preset) -> Value {
    let services = preset.terms.values().map(|t| (t.name.clone(), terms(t)));
    json!({"name": preset.name, "services": services.collect::<Map<_, _>>()})
}

/// Returns the preset of a JSON form, or every fault.
pub fn parse(value: &Value) -> Result<Preset, Vec<Fault>> {
    let mut reader = Reader::default();
    let preset = reader.preset("", value);
    if reader.faults.is_empty() {
        reader.faults = preset.faults();
    }
    reader.finish(preset)
}

/// Returns the JSON form of a change.
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

/// Returns the JSON form of the terms of a service.
fn terms(terms: &Terms) -> Value {
    json!({
        "urgent": contract(&terms.urgent),
        "deferrable": contract(&terms.deferrable),
        "limit": {"rate": terms.limit.rate, "burst": terms.limit.burst},
        "retries": terms.retries,
        "drain_ms": terms.drain.as_millis() as u64,
    })
}

/// Returns the JSON form of a contract.
fn contract(contract: &Contract) -> Value {
    json!({
        "first_token_ms": contract.first_token.as_millis() as u64,
        "token_gap_ms": contract.token_gap.as_millis() as u64,
        "queue_ms": contract.queue.as_millis() as u64,
        "floor": contract.floor,
        "worth": contract.worth,
    })
}

/// Creates a fault.
fn fault(key: &str, found: &str, expected: &'static str, example: &'static str) -> Fault {
    Fault {
        key: key.to_owned(),
        found: found.to_owned(),
        expected,
        example,
    }
}

/// Reads JSON values and collects the faults.
#[derive(Debug, Default)]
struct Reader {
    /// Faults so far.
    faults: Vec<Fault>,
}

impl Reader {
    /// Returns the result, or the faults if there are any.
    fn finish<T>(self, result: T) -> Result<T, Vec<Fault>> {
        if self.faults.is_empty() {
            Ok(result)
        } else {
            Err(self.faults)
        }
    }

    /// Reads a document.
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
            revision: self.count("", &object, "revision"),
            write_id: self.count("", &object, "write"),
            current: self.text("", &object, "current"),
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

    /// Reads a preset.
    fn preset(&mut self, key: &str, value: &Value) -> Preset {
        let object = self.object(key, value, &["name", "services"]);
        let name = self.text(key, &object, "name");
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

    /// Reads the terms of a service.
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
            drain: self.time(key, &object, "drain_ms"),
        }
    }

    /// Reads a contract.
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
            first_token: self.time(key, &object, "first_token_ms"),
            token_gap: self.time(key, &object, "token_gap_ms"),
            queue: self.time(key, &object, "queue_ms"),
            floor: self.number(key, &object, "floor"),
            worth: self.number(key, &object, "worth"),
        }
    }

    /// Reads a change.
    fn change(&mut self, key: &str, value: &Value) -> Change {
        let names = ["revision", "write", "at_ms", "by", "summary"];
        let object = self.object(key, value, &names);
        let at = Duration::from_millis(self.count(key, &object, "at_ms"));
        Change {
            revision: self.count(key, &object, "revision"),
            write_id: self.count(key, &object, "write"),
            at: UNIX_EPOCH.checked_add(at).unwrap_or_else(SystemTime::now),
            by: self.text(key, &object, "by"),
            summary: self.text(key, &object, "summary"),
        }
    }

    /// Returns an object and reports keys that are unknown.
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

    /// Returns the elements of an array.
    fn array(&mut self, object: &Map<String, Value>, name: &str) -> Vec<Value> {
        match object.get(name) {
            Some(Value::Array(values)) => values.clone(),
            other => {
                self.missing("", name, other, "an array", "[]");
                Vec::new()
            }
        }
    }

    /// Returns a number.
    fn number(&mut self, key: &str, object: &Map<String, Value>, name: &str) -> f64 {
        let value = object.get(name);
        value.and_then(Value::as_f64).unwrap_or_else(|| {
            self.missing(key, name, value, "a number", "0.5");
            0.0
        })
    }

    /// Returns a whole number.
    fn count(&mut self, key: &str, object: &Map<String, Value>, name: &str) -> u64 {
        let value = object.get(name);
        value.and_then(Value::as_u64).unwrap_or_else(|| {
            self.missing(key, name, value, "a whole number", "10");
            0
        })
    }

    /// Returns a time in milliseconds.
    fn time(&mut self, key: &str, object: &Map<String, Value>, name: &str) -> Duration {
        Duration::from_millis(self.count(key, object, name))
    }

    /// Returns a text.
    fn text(&mut self, key: &str, object: &Map<String, Value>, name: &str) -> String {
        let value = object.get(name);
        let text = value.and_then(Value::as_str).map(str::to_owned);
        text.unwrap_or_else(|| {
            self.missing(key, name, value, "a text", "\"ordinary\"");
            String::new()
        })
    }

    /// Reports a value that is missing or of another type.
    fn missing(
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
