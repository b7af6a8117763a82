//! The encoding of operations, states and messages: CBOR.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Encodes an operation, a state or a message.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail; an empty value is refused by whoever decodes it.
    if ciborium::into_writer(value, &mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

/// Decodes what [`encode`] made; nothing if it is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
