//! Typed access to the fields of an item's specification.

use crate::{InvalidConfig, ItemRef};
use limeway_settings::time;
use limeway_types::Micros;
use miniserde::json::{self, Number, Value};

/// The fields of an item's specification, read one by one.
pub struct Specification<'a> {
    item: ItemRef<'a>,
    fields: json::Object,
}

impl<'a> Specification<'a> {
    /// Parses the specification of an item.
    ///
    /// # Errors
    /// It is no JSON object.
    pub fn parse(item: ItemRef<'a>) -> Result<Self, InvalidConfig> {
        match json::from_str::<Value>(item.spec) {
            Ok(Value::Object(fields)) => Ok(Specification { item, fields }),
            _ => Err(InvalidConfig::new(item.name, "is no object")),
        }
    }

    /// An error in a field of this item.
    pub fn invalid(&self, field: &str, reason: &'static str) -> InvalidConfig {
        InvalidConfig::new(format!("{} {} {field}", self.item.kind.wire_name(), self.item.name), reason)
    }

    /// The value of a field, if it is there and not null.
    pub fn get(&self, field: &str) -> Option<&Value> {
        self.fields.get(field).filter(|v| !matches!(v, Value::Null))
    }

    /// A string that must be there.
    pub fn string(&self, field: &str) -> Result<&str, InvalidConfig> {
        match self.get(field) {
            Some(Value::String(text)) => Ok(text),
            None => Err(self.invalid(field, "is missing")),
            Some(_) => Err(self.invalid(field, "is no text")),
        }
    }

    /// A number; `default` if it is left out.
    pub fn number(&self, field: &str, default: f64) -> Result<f64, InvalidConfig> {
        match self.get(field) {
            None => Ok(default),
            Some(Value::Number(n)) => finite_number(n).ok_or_else(|| self.invalid(field, "is out of range")),
            Some(_) => Err(self.invalid(field, "is no number")),
        }
    }

    /// A length of time with its unit, such as `250ms`, if it is there.
    pub fn duration(&self, field: &str) -> Result<Option<Micros>, InvalidConfig> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::String(text)) => {
                time(text).map(Some).ok_or_else(|| self.invalid(field, "is no time with a unit"))
            }
            Some(_) => Err(self.invalid(field, "is no time with a unit")),
        }
    }

    /// A boolean; false if it is left out.
    pub fn boolean(&self, field: &str) -> Result<bool, InvalidConfig> {
        match self.get(field) {
            None => Ok(false),
            Some(Value::Bool(b)) => Ok(*b),
            Some(_) => Err(self.invalid(field, "is neither true nor false")),
        }
    }

    /// A list of strings; empty if it is left out.
    pub fn strings(&self, field: &str) -> Result<Vec<String>, InvalidConfig> {
        let list = match self.get(field) {
            None => return Ok(Vec::new()),
            Some(Value::Array(list)) => list,
            Some(_) => return Err(self.invalid(field, "is no list")),
        };
        let text = |v: &Value| match v {
            Value::String(text) => Ok(text.clone()),
            _ => Err(self.invalid(field, "holds what is no text")),
        };
        list.iter().map(text).collect()
    }
}

/// The number, if it is finite and not negative.
pub fn finite_number(n: &Number) -> Option<f64> {
    let n = match n {
        Number::U64(n) => *n as f64,
        Number::I64(n) => *n as f64,
        Number::F64(n) => *n,
    };
    (n.is_finite() && n >= 0.0).then_some(n)
}
