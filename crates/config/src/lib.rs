//! Configuration: the platform's file and environment, the operators' file, a relay's settings, and the endpoint list in
//! discovery's form.
//!
//! Owns the formats and their checks: typed values out, or one sentence that says what was read, where, and what was
//! expected. It reads files when asked to, and never acts on what they say.

pub mod endpoint_list;
pub mod operators;
pub mod platform;
pub mod relay;
mod toml_file;

pub use endpoint_list::{EndpointList, EndpointRecord};

use sha2::{Digest, Sha256};

/// The SHA-256 of these bytes in lower-case hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
