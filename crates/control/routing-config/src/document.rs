//! The configuration document that operators read back.

use crate::{ItemRef, Version};
use miniserde::json;

/// Renders a configuration as JSON, as operators read it back.
pub fn render<'a>(
    version: Version,
    base_version: Version,
    items: impl Iterator<Item = ItemRef<'a>>,
) -> String {
    let mut text = format!(
        "{{\"config-version\":\"{version:08x}\",\"base-version\":\"{base_version:08x}\",\"resource-list\":["
    );
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
            item.kind.wire_name(),
            item.spec
        ));
    }
    text.push_str("]}");
    text
}
