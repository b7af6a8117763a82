//! Updates of the configuration as operators send them: parsing, form, identity.

use crate::{Item, ItemKind, Version};
use miniserde::json::{self, Number, Value};
use sha2::{Digest, Sha256};
use std::fmt;

/// Upper bound on the length of an update, in bytes.
pub const MAX_UPDATE_BYTES: usize = 64 * 1024 * 1024;
/// Upper bound on the number of items in a configuration.
pub const MAX_ITEMS: usize = 200_000;
/// Upper bound on the bytes of a configuration's items: a state file takes 32 MiB of a snapshot, a transfer to another replica 16 MiB
/// of it once compressed, if it can be.
pub const MAX_CONFIG_BYTES: usize = 15 * 1024 * 1024;

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidConfig {
    /// The field or item that is wrong.
    pub field: String,
    /// What is wrong with it, as the rest of a sentence.
    pub reason: &'static str,
}

impl InvalidConfig {
    /// An error in a field or item.
    pub fn new(field: impl Into<String>, reason: &'static str) -> Self {
        InvalidConfig { field: field.into(), reason }
    }
}

impl fmt::Display for InvalidConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for InvalidConfig {}

/// An operator's update of the configuration. Its form has been checked, but not yet what it says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// The version that it creates.
    pub version: Version,
    /// The version that it builds on.
    pub base_version: Version,
    /// It replaces the whole configuration (`config.replace`); otherwise it changes the items named (`config.update`).
    pub replace: bool,
    /// The items to create or change.
    pub upserts: Vec<Item>,
    /// The items to remove, by kind and name.
    pub removals: Vec<(ItemKind, String)>,
    /// Tells this update from any other: half of a SHA-256 over what it says.
    pub digest: u128,
}

/// Half of a SHA-256 over all that an update says, each text with its length before it: the same on every machine, and nobody can
/// make two updates that share it. Updates that differ only in form (blanks, the order of fields) have the same digest.
fn digest(
    version: Version,
    base_version: Version,
    replace: bool,
    upserts: &[Item],
    removals: &[(ItemKind, String)],
) -> u128 {
    let mut hash = Sha256::new();
    let mut text = |text: &str| {
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text);
    };
    // The call belongs to it: the same items mean another thing in the other one.
    text(if replace { "config.replace" } else { "config.update" });
    text(&format!("{version:08x} {base_version:08x} {}", upserts.len()));
    for item in upserts {
        [item.kind.wire_name(), &item.name, &item.spec].into_iter().for_each(&mut text);
    }
    for (kind, name) in removals {
        [kind.wire_name(), name].into_iter().for_each(&mut text);
    }
    let mut half = [0; 16];
    half.iter_mut().zip(hash.finalize()).for_each(|(to, from)| *to = from);
    u128::from_be_bytes(half)
}

fn parse_version(object: &json::Object, field: &str) -> Result<Version, InvalidConfig> {
    match object.get(field) {
        // A sign would be read as well.
        Some(Value::String(text)) if text.len() <= 8 && !text.starts_with('+') => {
            Version::from_str_radix(text, 16).map_err(|_| InvalidConfig::new(field, "is not hexadecimal"))
        }
        Some(Value::Number(Number::U64(n))) => {
            Version::try_from(*n).map_err(|_| InvalidConfig::new(field, "is too large"))
        }
        None | Some(Value::Null) if field == "base-version" => Ok(0),
        None => Err(InvalidConfig::new(field, "is missing")),
        Some(_) => Err(InvalidConfig::new(field, "is no version of eight hexadecimal digits")),
    }
}

fn parse_items(object: &json::Object) -> Result<Vec<Item>, InvalidConfig> {
    let list = match object.get("resource-list") {
        Some(Value::Array(list)) => list,
        None => return Err(InvalidConfig::new("resource-list", "is missing")),
        Some(_) => return Err(InvalidConfig::new("resource-list", "is no list")),
    };
    if list.len() > MAX_ITEMS {
        return Err(InvalidConfig::new("resource-list", "is too long"));
    }
    list.iter().map(parse_item).collect()
}

fn parse_item(value: &Value) -> Result<Item, InvalidConfig> {
    let Value::Object(entry) = value else {
        return Err(InvalidConfig::new("resource-list", "an entry is no object"));
    };
    let kind = match entry.get("resource-kind") {
        Some(Value::String(word)) => ItemKind::from_wire_name(word)
            .ok_or_else(|| InvalidConfig::new("resource-kind", "is not known"))?,
        _ => return Err(InvalidConfig::new("resource-kind", "is missing")),
    };
    let name = parse_name(entry, kind)?;
    if name.is_empty() && kind != ItemKind::Limits {
        return Err(InvalidConfig::new(format!("{} metadata.name", kind.wire_name()), "is empty"));
    }
    match entry.get("specification") {
        Some(spec @ Value::Object(_)) => Ok(Item { kind, name, spec: json::to_string(spec) }),
        _ => Err(InvalidConfig::new(format!("{} {name} specification", kind.wire_name()), "is no object")),
    }
}

/// The name of an item; empty for limits without one.
fn parse_name(entry: &json::Object, kind: ItemKind) -> Result<String, InvalidConfig> {
    let missing = |field: &str| InvalidConfig::new(format!("{} {field}", kind.wire_name()), "is missing");
    match entry.get("metadata") {
        Some(Value::Object(metadata)) => match metadata.get("name") {
            Some(Value::String(name)) => Ok(name.clone()),
            None if kind == ItemKind::Limits => Ok(String::new()),
            _ => Err(missing("metadata.name")),
        },
        None if kind == ItemKind::Limits => Ok(String::new()),
        _ => Err(missing("metadata")),
    }
}

fn parse_upserts(body: &json::Object) -> Result<Vec<Item>, InvalidConfig> {
    match body.get("upsert") {
        None | Some(Value::Null) => Ok(Vec::new()),
        Some(Value::Object(upsert)) if upsert.get("resource-list").is_none() => Ok(Vec::new()),
        Some(Value::Object(upsert)) => parse_items(upsert),
        Some(_) => Err(InvalidConfig::new("upsert", "is no object")),
    }
}

fn parse_removals(object: &json::Object) -> Result<Vec<(ItemKind, String)>, InvalidConfig> {
    let mut all = Vec::new();
    let remove = match object.get("remove") {
        None | Some(Value::Null) => return Ok(all),
        Some(Value::Object(remove)) => remove,
        Some(_) => return Err(InvalidConfig::new("remove", "is no object")),
    };
    for (word, list) in remove {
        let kind = ItemKind::from_wire_name(word)
            .ok_or_else(|| InvalidConfig::new(format!("remove.{word}"), "is not known"))?;
        let Value::Array(list) = list else {
            return Err(InvalidConfig::new(format!("remove.{word}"), "is no list"));
        };
        for name in list {
            let Value::String(name) = name else {
                return Err(InvalidConfig::new(format!("remove.{word}"), "holds what is no name"));
            };
            all.push((kind, name.clone()));
        }
    }
    Ok(all)
}

impl ConfigUpdate {
    /// Parses the body of `config.replace`, or of `config.update` if `replace` is false.
    ///
    /// # Errors
    /// The body is too long, is no JSON, or a field is missing or of the wrong form; the error names the field.
    pub fn parse(body: &[u8], replace: bool) -> Result<Self, InvalidConfig> {
        if body.len() > MAX_UPDATE_BYTES {
            return Err(InvalidConfig::new("body", "is too long"));
        }
        let text = std::str::from_utf8(body).map_err(|_| InvalidConfig::new("body", "is not UTF-8"))?;
        let value: Value =
            json::from_str(text).map_err(|_| InvalidConfig::new("body", "is not JSON, or is cut short"))?;
        let Value::Object(body) = value else { return Err(InvalidConfig::new("body", "is no object")) };
        let version = parse_version(&body, "config-version")?;
        let base_version = parse_version(&body, "base-version")?;
        let (upserts, removals) = if replace {
            (parse_items(&body)?, Vec::new())
        } else {
            (parse_upserts(&body)?, parse_removals(&body)?)
        };
        let digest = digest(version, base_version, replace, &upserts, &removals);
        Ok(ConfigUpdate { version, base_version, replace, upserts, removals, digest })
    }
}
