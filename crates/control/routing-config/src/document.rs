//! What operators send, in words of the wire, and its form.

use crate::items::Entry;
use crate::Version;
pub use limeway_settings::time;
use miniserde::json::{self, Number, Value};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Longest order of an operator, in bytes.
pub const ORDER_MOST: usize = 64 * 1024 * 1024;
/// Most items of a configuration.
pub const ITEMS_MOST: usize = 200_000;

/// The kinds of items.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// `routes`
    Route,
    /// `services`
    Service,
    /// `tenants`
    Tenant,
    /// `limits`
    Limits,
}

impl Kind {
    /// The kind of this name on the wire.
    pub fn of(word: &str) -> Option<Self> {
        Some(match word {
            "routes" => Kind::Route,
            "services" => Kind::Service,
            "tenants" => Kind::Tenant,
            "limits" => Kind::Limits,
            _ => return None,
        })
    }

    /// Its name on the wire.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Route => "routes",
            Kind::Service => "services",
            Kind::Tenant => "tenants",
            Kind::Limits => "limits",
        }
    }
}

/// One item as it was sent: what it says is kept to the letter, so that it is read back as it came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What it is.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// Its name; empty for the limits.
    #[serde(rename = "n")]
    pub name: String,
    /// Its `specification`, as JSON.
    #[serde(rename = "s")]
    pub spec: String,
}

/// Why an order cannot be taken: the place and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadConfig {
    /// The field or item.
    pub at: String,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl BadConfig {
    /// An error at a place.
    pub fn new(at: impl Into<String>, reason: &'static str) -> Self {
        BadConfig { at: at.into(), reason }
    }
}

impl fmt::Display for BadConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.at, self.reason)
    }
}

impl std::error::Error for BadConfig {}

/// An order to change the configuration, its form checked but not yet what it says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The version that it makes.
    pub version: Version,
    /// The version on which it builds.
    pub base: Version,
    /// The whole configuration; otherwise a change of named items.
    pub whole: bool,
    /// The items to set.
    pub set: Vec<Item>,
    /// The items to remove.
    pub drop: Vec<(Kind, String)>,
    /// Tells this order from any other: half of a SHA-256 over what it says.
    pub digest: u128,
}

/// The half of a SHA-256 over all that an order says, each text with its length before it: the same on every machine, and
/// nobody can make two orders that share it. Orders that say the same in other words (blanks, the order of fields) are one.
fn digest(version: Version, base: Version, whole: bool, set: &[Item], drop: &[(Kind, String)]) -> u128 {
    let mut hash = Sha256::new();
    let mut text = |text: &str| {
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text);
    };
    // Which call it came by belongs to it: the same words mean another thing there.
    text(if whole { "config.replace" } else { "config.update" });
    text(&format!("{version:08x} {base:08x} {}", set.len()));
    for item in set {
        [item.kind.word(), &item.name, &item.spec].into_iter().for_each(&mut text);
    }
    for (kind, name) in drop {
        [kind.word(), name].into_iter().for_each(&mut text);
    }
    let mut half = [0; 16];
    half.iter_mut().zip(hash.finalize()).for_each(|(to, from)| *to = from);
    u128::from_be_bytes(half)
}

fn version(object: &json::Object, field: &str) -> Result<Version, BadConfig> {
    match object.get(field) {
        // A sign would be read as well.
        Some(Value::String(text)) if text.len() <= 8 && !text.starts_with('+') => {
            Version::from_str_radix(text, 16).map_err(|_| BadConfig::new(field, "is not hexadecimal"))
        }
        Some(Value::Number(Number::U64(n))) => {
            Version::try_from(*n).map_err(|_| BadConfig::new(field, "is too large"))
        }
        None | Some(Value::Null) if field == "base-version" => Ok(0),
        None => Err(BadConfig::new(field, "is missing")),
        Some(_) => Err(BadConfig::new(field, "is no version of eight hexadecimal digits")),
    }
}

fn items(object: &json::Object) -> Result<Vec<Item>, BadConfig> {
    let list = match object.get("resource-list") {
        Some(Value::Array(list)) => list,
        None => return Err(BadConfig::new("resource-list", "is missing")),
        Some(_) => return Err(BadConfig::new("resource-list", "is no list")),
    };
    if list.len() > ITEMS_MOST {
        return Err(BadConfig::new("resource-list", "is too long"));
    }
    list.iter().map(item).collect()
}

fn item(value: &Value) -> Result<Item, BadConfig> {
    let Value::Object(entry) = value else {
        return Err(BadConfig::new("resource-list", "an entry is no object"));
    };
    let kind = match entry.get("resource-kind") {
        Some(Value::String(word)) => {
            Kind::of(word).ok_or_else(|| BadConfig::new("resource-kind", "is not known"))?
        }
        _ => return Err(BadConfig::new("resource-kind", "is missing")),
    };
    let name = match entry.get("metadata") {
        Some(Value::Object(metadata)) => match metadata.get("name") {
            Some(Value::String(name)) => name.clone(),
            None if kind == Kind::Limits => String::new(),
            _ => return Err(BadConfig::new(format!("{} metadata.name", kind.word()), "is missing")),
        },
        None if kind == Kind::Limits => String::new(),
        _ => return Err(BadConfig::new(format!("{} metadata", kind.word()), "is missing")),
    };
    if name.is_empty() && kind != Kind::Limits {
        return Err(BadConfig::new(format!("{} metadata.name", kind.word()), "is empty"));
    }
    match entry.get("specification") {
        Some(spec @ Value::Object(_)) => Ok(Item { kind, name, spec: json::to_string(spec) }),
        _ => Err(BadConfig::new(format!("{} {name} specification", kind.word()), "is no object")),
    }
}

fn names(object: &json::Object) -> Result<Vec<(Kind, String)>, BadConfig> {
    let mut all = Vec::new();
    let remove = match object.get("remove") {
        None | Some(Value::Null) => return Ok(all),
        Some(Value::Object(remove)) => remove,
        Some(_) => return Err(BadConfig::new("remove", "is no object")),
    };
    for (word, list) in remove {
        let kind = Kind::of(word).ok_or_else(|| BadConfig::new(format!("remove.{word}"), "is not known"))?;
        let Value::Array(list) = list else {
            return Err(BadConfig::new(format!("remove.{word}"), "is no list"));
        };
        for name in list {
            let Value::String(name) = name else {
                return Err(BadConfig::new(format!("remove.{word}"), "holds what is no name"));
            };
            all.push((kind, name.clone()));
        }
    }
    Ok(all)
}

impl Order {
    /// Reads an order. `whole` for `config.replace`, else `config.update`.
    pub fn read(body: &[u8], whole: bool) -> Result<Self, BadConfig> {
        if body.len() > ORDER_MOST {
            return Err(BadConfig::new("body", "is too long"));
        }
        let text = std::str::from_utf8(body).map_err(|_| BadConfig::new("body", "is not UTF-8"))?;
        let value: Value =
            json::from_str(text).map_err(|_| BadConfig::new("body", "is not JSON, or is cut short"))?;
        let Value::Object(order) = value else { return Err(BadConfig::new("body", "is no object")) };
        let (version, base) = (version(&order, "config-version")?, version(&order, "base-version")?);
        let (set, drop) = if whole {
            (items(&order)?, Vec::new())
        } else {
            let set = match order.get("upsert") {
                None | Some(Value::Null) => Vec::new(),
                Some(Value::Object(upsert)) if upsert.get("resource-list").is_none() => Vec::new(),
                Some(Value::Object(upsert)) => items(upsert)?,
                Some(_) => return Err(BadConfig::new("upsert", "is no object")),
            };
            (set, names(&order)?)
        };
        let digest = digest(version, base, whole, &set, &drop);
        Ok(Order { version, base, whole, set, drop, digest })
    }
}

/// Writes a configuration as it is read back.
pub fn write<'a>(version: Version, base: Version, items: impl Iterator<Item = Entry<'a>>) -> String {
    let mut text =
        format!("{{\"config-version\":\"{version:08x}\",\"base-version\":\"{base:08x}\",\"resource-list\":[");
    for (at, item) in items.enumerate() {
        if at > 0 {
            text.push(',');
        }
        let metadata = match item.name {
            "" => String::new(),
            name => format!("\"name\":{}", json::to_string(name)),
        };
        text.push_str(&format!(
            "{{\"resource-kind\":\"{}\",\"metadata\":{{{metadata}}},\"specification\":{}}}",
            item.kind.word(),
            item.spec
        ));
    }
    text.push_str("]}");
    text
}

/// The fields of a specification, read one by one.
pub struct Spec<'a> {
    at: Entry<'a>,
    fields: json::Object,
}

impl<'a> Spec<'a> {
    /// Of an item.
    pub fn of(at: Entry<'a>) -> Result<Self, BadConfig> {
        match json::from_str::<Value>(at.spec) {
            Ok(Value::Object(fields)) => Ok(Spec { at, fields }),
            _ => Err(BadConfig::new(at.name, "is no object")),
        }
    }

    /// An error in a field.
    pub fn bad(&self, field: &str, reason: &'static str) -> BadConfig {
        BadConfig::new(format!("{} {} {field}", self.at.kind.word(), self.at.name), reason)
    }

    /// The value of a field.
    pub fn get(&self, field: &str) -> Option<&Value> {
        self.fields.get(field).filter(|v| !matches!(v, Value::Null))
    }

    /// A text that must be there.
    pub fn text(&self, field: &str) -> Result<&str, BadConfig> {
        match self.get(field) {
            Some(Value::String(text)) => Ok(text),
            None => Err(self.bad(field, "is missing")),
            Some(_) => Err(self.bad(field, "is no text")),
        }
    }

    /// A number; `default` where it is left out.
    pub fn number(&self, field: &str, default: f64) -> Result<f64, BadConfig> {
        match self.get(field) {
            None => Ok(default),
            Some(Value::Number(n)) => number(n).ok_or_else(|| self.bad(field, "is out of range")),
            Some(_) => Err(self.bad(field, "is no number")),
        }
    }

    /// A time with its unit, in microseconds.
    pub fn time(&self, field: &str) -> Result<Option<u64>, BadConfig> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::String(text)) => {
                time(text).map(Some).ok_or_else(|| self.bad(field, "is no time with a unit"))
            }
            Some(_) => Err(self.bad(field, "is no time with a unit")),
        }
    }

    /// True or false; false where it is left out.
    pub fn flag(&self, field: &str) -> Result<bool, BadConfig> {
        match self.get(field) {
            None => Ok(false),
            Some(Value::Bool(b)) => Ok(*b),
            Some(_) => Err(self.bad(field, "is neither true nor false")),
        }
    }

    /// A list of texts; empty where it is left out.
    pub fn texts(&self, field: &str) -> Result<Vec<String>, BadConfig> {
        let list = match self.get(field) {
            None => return Ok(Vec::new()),
            Some(Value::Array(list)) => list,
            Some(_) => return Err(self.bad(field, "is no list")),
        };
        let text = |v: &Value| match v {
            Value::String(text) => Ok(text.clone()),
            _ => Err(self.bad(field, "holds what is no text")),
        };
        list.iter().map(text).collect()
    }
}

/// A number that is finite and not negative.
pub fn number(n: &Number) -> Option<f64> {
    let n = match n {
        Number::U64(n) => *n as f64,
        Number::I64(n) => *n as f64,
        Number::F64(n) => *n,
    };
    (n.is_finite() && n >= 0.0).then_some(n)
}
