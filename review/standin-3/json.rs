//! A small JSON reader for the calls that gateways make to the stand-ins.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; returns `Null` if it is not JSON.
    pub fn parse(text: &str) -> Json {
        let chars: Vec<char> = text.chars().collect();
        let mut reader = Reader { chars, at: 0 };
        reader.value().unwrap_or(Json::Null)
    }

    /// Returns a field of a map, or `Null`.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn skip(&mut self) {
        while self.at < self.chars.len() && self.chars[self.at].is_whitespace() {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: char) -> Option<()> {
        self.skip();
        (self.chars.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.chars.get(self.at)? {
            '{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                if self.take('}').is_some() {
                    return Some(Json::Map(map));
                }
                loop {
                    self.skip();
                    let name = self.string()?;
                    self.take(':')?;
                    map.insert(name, self.value()?);
                    if self.take(',').is_none() {
                        self.take('}')?;
                        return Some(Json::Map(map));
                    }
                }
            }
            '[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(',').is_none() {
                        self.take(']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            '"' => self.string().map(Json::Text),
            _ => {
                let start = self.at;
                while self.at < self.chars.len() && !",]} \n\t\r".contains(self.chars[self.at]) {
                    self.at += 1;
                }
                let word: String = self.chars[start..self.at].iter().collect();
                match word.as_str() {
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    "null" => Some(Json::Null),
                    word => word.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let next = *self.chars.get(self.at)?;
            self.at += 1;
            match next {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let digits: String = self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= part.len() {
                text.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
