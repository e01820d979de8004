//! Configuration: the platform's file and environment, the operators' file, the settings of a
//! relay, and the endpoint list in discovery's format.
//!
//! Owns the formats and their validation: it returns typed values, or an error of one sentence with
//! the value read, its place and the expected value. It reads files only on request and never acts
//! on their contents.

pub mod endpoint_list;
pub mod operators;
pub mod platform;
pub mod relay;
mod toml_file;

pub use endpoint_list::{EndpointList, EndpointRecord};

use sha2::{Digest, Sha256};

/// Returns the SHA-256 of these bytes in lower-case hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
