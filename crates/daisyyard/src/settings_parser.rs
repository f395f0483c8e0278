//! Parser of settings in JSON with comments, which collects every fault with its line.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use daisyyard_derive::value;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// One fault in a settings file.
#[value]
pub struct Fault {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Line of the fault, counted from 1.
    pub line: usize,
    /// Path of the key, such as `accounts[0].token`.
    pub key: String,
    /// Description or text of the value in the file.
    pub found: String,
    /// Description of the values that are accepted.
    pub expected: String,
    /// Example of an accepted value.
    pub example: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            key,
            found,
            expected,
            example,
        } = self;
        let file = file.display();
        write!(
            f,
            "{file}:{line}: {key}: found {found}, expected {expected}, e.g. {example}"
        )
    }
}

/// All faults of a settings file.
#[derive(Debug, thiserror::Error)]
#[error("correct {} of the settings:\n{}", count_faults(.0.len()), lines(.0))]
pub struct Faults(pub Vec<Fault>);

/// Returns the number of faults with the noun in the singular or plural.
fn count_faults(count: usize) -> String {
    if count == 1 {
        "1 fault".to_owned()
    } else {
        format!("{count} faults")
    }
}

/// Formats the faults, one per line.
fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Description of the values that a key accepts, for fault messages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Expectation {
    /// Description of the accepted values.
    pub(crate) expected: &'static str,
    /// Example of an accepted value.
    pub(crate) example: &'static str,
}

/// Parser of one settings file, with the faults found so far.
#[derive(Debug)]
pub(crate) struct Parser<'a> {
    /// Path of the file.
    file: &'a Path,
    /// Text of the file.
    text: &'a str,
    /// Faults found so far.
    faults: Vec<Fault>,
}

/// A JSON object of the file whose keys are being read.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    /// Path of the object, empty for the root.
    path: String,
    /// Byte offset of the object in the text, for faults about missing keys.
    start: usize,
    /// Properties that have not been read yet.
    unread: Vec<ObjectProp<'a>>,
    /// Keys that were asked for, which the fault about an unknown key lists.
    known: Vec<&'static str>,
}

impl<'a> Parser<'a> {
    /// Reads the root object of a file.
    pub(crate) fn open(file: &'a Path, text: &'a str) -> Result<(Self, Section<'a>), Faults> {
        let mut parser = Self {
            file,
            text,
            faults: Vec::new(),
        };
        let options = ParseOptions {
            allow_missing_commas: false,
            ..ParseOptions::default()
        };
        let root = match parse_to_ast(text, &CollectOptions::default(), &options) {
            Ok(parsed) => parsed.value,
            Err(error) => {
                let expectation = Expectation {
                    expected: "JSON with comments",
                    example: "{ \"name\": \"a\" }",
                };
                parser.fault(
                    error.range().start,
                    "",
                    &error.kind().to_string(),
                    expectation,
                );
                return Err(Faults(parser.faults));
            }
        };
        let Some(Value::Object(root)) = root else {
            let expectation = Expectation {
                expected: "an object",
                example: "{ \"name\": \"a\" }",
            };
            parser.fault(0, "", "another value", expectation);
            return Err(Faults(parser.faults));
        };
        let section = Section::new(String::new(), root);
        Ok((parser, section))
    }

    /// Returns the value if no fault was found.
    pub(crate) fn finish<T>(self, value: T) -> Result<T, Faults> {
        if self.faults.is_empty() {
            Ok(value)
        } else {
            Err(Faults(self.faults))
        }
    }

    /// Records a fault.
    fn fault(&mut self, offset: usize, key: &str, found: &str, expectation: Expectation) {
        let line = self.text[..offset].matches('\n').count() + 1;
        let key = if key.is_empty() { "file" } else { key };
        self.faults.push(Fault {
            file: self.file.to_owned(),
            line,
            key: key.to_owned(),
            found: found.to_owned(),
            expected: expectation.expected.to_owned(),
            example: expectation.example.to_owned(),
        });
    }

    /// Reads a required key with `accept`, which returns `None` for an invalid value; a missing key
    /// or an invalid value is a fault.
    fn required<T>(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        expectation: Expectation,
        accept: impl FnOnce(&Value<'a>) -> Option<T>,
    ) -> Option<T> {
        let Some(property) = section.take(key) else {
            self.fault(section.start, &section.name(key), "nothing", expectation);
            return None;
        };
        let accepted = accept(&property.value);
        if accepted.is_none() {
            let offset = property.value.range().start;
            let found = property.value.range();
            let found = truncate(&self.text[found.start..found.end]);
            self.fault(offset, &section.name(key), &found, expectation);
        }
        accepted
    }

    /// Reads a required string that is not empty.
    pub(crate) fn string(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        example: &'static str,
    ) -> String {
        let expectation = Expectation {
            expected: "a text that is not empty",
            example,
        };
        let accept = |value: &Value<'a>| {
            let text = value.as_string_lit()?.value.trim().to_owned();
            (!text.is_empty()).then_some(text)
        };
        self.required(section, key, expectation, accept)
            .unwrap_or_default()
    }

    /// Reads a required secret of at least 16 bytes.
    pub(crate) fn secret(&mut self, section: &mut Section<'a>, key: &'static str) -> String {
        let expected = "a secret of at least 16 bytes";
        let expectation = Expectation {
            expected,
            example: "\"use 16 bytes or more from a random source\"",
        };
        let accept = |value: &Value<'a>| {
            let text = value.as_string_lit()?.value.to_string();
            (text.len() >= 16).then_some(text)
        };
        self.required(section, key, expectation, accept)
            .unwrap_or_default()
    }

    /// Reads a required IP address with a port.
    pub(crate) fn address(&mut self, section: &mut Section<'a>, key: &'static str) -> SocketAddr {
        let expectation = Expectation {
            expected: "an IP address and port",
            example: "\"10.0.0.7:8080\"",
        };
        let accept = |value: &Value<'a>| value.as_string_lit()?.value.parse().ok();
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        self.required(section, key, expectation, accept)
            .unwrap_or(unset)
    }

    /// Reads a duration in whole milliseconds within bounds; a missing key takes the default.
    pub(crate) fn millis(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        bounds: std::ops::RangeInclusive<u64>,
        default: Duration,
    ) -> Duration {
        if !section.has(key) {
            section.known.push(key);
            return default;
        }
        let expected = "a number of milliseconds within the documented bounds";
        let expectation = Expectation {
            expected,
            example: "1000",
        };
        let accept = |value: &Value<'a>| {
            let millis: u64 = value.as_number_lit()?.value.parse().ok()?;
            bounds
                .contains(&millis)
                .then_some(Duration::from_millis(millis))
        };
        self.required(section, key, expectation, accept)
            .unwrap_or(default)
    }

    /// Reads a required number within bounds.
    pub(crate) fn number(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        bounds: std::ops::RangeInclusive<f64>,
        example: &'static str,
    ) -> f64 {
        let expectation = Expectation {
            expected: "a number within the documented bounds",
            example,
        };
        self.expected_number(section, key, bounds, expectation)
    }

    /// Reads a required number within bounds, with its own text for a fault.
    pub(crate) fn expected_number(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        bounds: std::ops::RangeInclusive<f64>,
        expectation: Expectation,
    ) -> f64 {
        let accept = |value: &Value<'a>| {
            let number: f64 = value.as_number_lit()?.value.parse().ok()?;
            bounds.contains(&number).then_some(number)
        };
        self.required(section, key, expectation, accept)
            .unwrap_or(*bounds.start())
    }

    /// Reads one of several names; a missing key takes the first choice.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        expectation: Expectation,
        choices: &[(&str, T)],
    ) -> T {
        if !section.has(key) {
            section.known.push(key);
            return choices[0].1;
        }
        let accept = |value: &Value<'a>| {
            let name = &value.as_string_lit()?.value;
            choices
                .iter()
                .find(|(choice, _)| choice == name)
                .map(|(_, value)| *value)
        };
        self.required(section, key, expectation, accept)
            .unwrap_or(choices[0].1)
    }

    /// Reads a list of strings; a missing key gives an empty list.
    pub(crate) fn strings(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        example: &'static str,
    ) -> Vec<String> {
        if !section.has(key) {
            section.known.push(key);
            return Vec::new();
        }
        let expectation = Expectation {
            expected: "a list of texts",
            example,
        };
        let accept = |value: &Value<'a>| {
            let text = |item: &Value<'a>| Some(item.as_string_lit()?.value.to_string());
            value.as_array()?.elements.iter().map(text).collect()
        };
        self.required(section, key, expectation, accept)
            .unwrap_or_default()
    }

    /// Reads a list of texts that a template passes on; a missing key or null gives an empty list.
    pub(crate) fn passed_strings(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        example: &'static str,
    ) -> Vec<String> {
        let is_null = |property: &ObjectProp<'a>| {
            property.name.as_str() == key && matches!(property.value, Value::NullKeyword(_))
        };
        if section.unread.iter().any(is_null) {
            section.take(key);
            return Vec::new();
        }
        self.strings(section, key, example)
    }

    /// Reads an object with `read`; returns `None` if the key is missing.
    pub(crate) fn optional_object<T>(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        read: impl FnOnce(&mut Self, &mut Section<'a>) -> T,
    ) -> Option<T> {
        let property = section.take(key)?;
        let name = section.name(key);
        let start = property.range.start;
        let Value::Object(object) = property.value else {
            let expectation = Expectation {
                expected: "an object",
                example: "{}",
            };
            self.fault(start, &name, "another value", expectation);
            return None;
        };
        let mut inner = Section::new(name, object);
        let value = read(self, &mut inner);
        self.reject_unknown_keys(inner);
        Some(value)
    }

    /// Reads a required object with `read`; if the object is missing, every required key in it is a
    /// fault.
    pub(crate) fn required_object<T>(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        read: impl Fn(&mut Self, &mut Section<'a>) -> T,
    ) -> T {
        if let Some(value) = self.optional_object(section, key, &read) {
            return value;
        }
        let mut empty = Section {
            path: section.name(key),
            start: section.start,
            unread: Vec::new(),
            known: Vec::new(),
        };
        read(self, &mut empty)
    }

    /// Reads a list of objects, each with `read`; a missing key gives an empty list.
    pub(crate) fn objects<T>(
        &mut self,
        section: &mut Section<'a>,
        key: &'static str,
        example: &'static str,
        read: impl Fn(&mut Self, &mut Section<'a>) -> T,
    ) -> Vec<T> {
        let Some(property) = section.take(key) else {
            return Vec::new();
        };
        let expectation = Expectation {
            expected: "a list of objects",
            example,
        };
        let name = section.name(key);
        let start = property.range.start;
        let Value::Array(array) = property.value else {
            self.fault(start, &name, "another value", expectation);
            return Vec::new();
        };
        let mut items = Vec::new();
        for (index, element) in array.elements.into_iter().enumerate() {
            let name = format!("{name}[{index}]");
            let start = element.range().start;
            let Value::Object(object) = element else {
                self.fault(start, &name, "another value", expectation);
                continue;
            };
            let mut inner = Section::new(name, object);
            items.push(read(self, &mut inner));
            self.reject_unknown_keys(inner);
        }
        items
    }

    /// Records a fault for each key of an object that was not read.
    pub(crate) fn reject_unknown_keys(&mut self, section: Section<'a>) {
        let known = section.known.join(", ");
        for property in section.unread {
            let key = property.name.into_string();
            let name = section.path.clone() + if section.path.is_empty() { "" } else { "." } + &key;
            let expectation = Expectation {
                expected: "a known key",
                example: "see `known keys`",
            };
            let found = format!("an unknown key (known keys: {known})");
            self.fault(property.range.start, &name, &found, expectation);
        }
    }
}

impl<'a> Section<'a> {
    /// Starts reading the object at a path.
    fn new(path: String, object: Object<'a>) -> Self {
        let start = object.range.start;
        Self {
            path,
            start,
            unread: object.properties,
            known: Vec::new(),
        }
    }

    /// Marks keys as known that may be absent.
    pub(crate) fn allow(&mut self, keys: &[&'static str]) {
        self.known.extend(keys);
    }

    /// Returns whether a key is present and was not read yet.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.unread
            .iter()
            .any(|property| property.name.as_str() == key)
    }

    /// Removes and returns the property of a key, and marks the key as known.
    fn take(&mut self, key: &'static str) -> Option<ObjectProp<'a>> {
        self.known.push(key);
        let index = self
            .unread
            .iter()
            .position(|property| property.name.as_str() == key)?;
        Some(self.unread.remove(index))
    }

    /// Returns the full path of a key of this object.
    fn name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

/// Reads the text of a settings file.
pub(crate) fn read_file(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path)
        .with_context(|| format!("cannot read {}; give a readable file", path.display()))
}

/// Shortens the text of a value for a fault message.
fn truncate(text: &str) -> String {
    const MAX_CHARS: usize = 40;
    if text.chars().count() <= MAX_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(MAX_CHARS).collect();
    format!("{start}...")
}
