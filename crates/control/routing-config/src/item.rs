//! Configuration items: routes, services, tenants and limits.

use serde::{Deserialize, Serialize};

/// The kinds of configuration items.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// `routes` on the wire.
    Route,
    /// `services` on the wire.
    Service,
    /// `tenants` on the wire.
    Tenant,
    /// `limits` on the wire; there is at most one.
    Limits,
}

impl ItemKind {
    /// The kind of this name on the wire.
    pub fn from_wire_name(name: &str) -> Option<Self> {
        Some(match name {
            "routes" => ItemKind::Route,
            "services" => ItemKind::Service,
            "tenants" => ItemKind::Tenant,
            "limits" => ItemKind::Limits,
            _ => return None,
        })
    }

    /// Its name on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            ItemKind::Route => "routes",
            ItemKind::Service => "services",
            ItemKind::Tenant => "tenants",
            ItemKind::Limits => "limits",
        }
    }
}

/// A configuration item as an operator sent it. Its specification is kept verbatim, so that it is read back as it came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its kind.
    #[serde(rename = "k")]
    pub kind: ItemKind,
    /// Its name; empty for the limits.
    #[serde(rename = "n")]
    pub name: String,
    /// Its `specification`, as JSON.
    #[serde(rename = "s")]
    pub spec: String,
}

/// A configuration item, borrowed from where it is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemRef<'a> {
    /// Its kind.
    pub kind: ItemKind,
    /// Its name.
    pub name: &'a str,
    /// Its `specification`, as JSON.
    pub spec: &'a str,
}
