//! End-to-end tests of the multi-get port and of the command `slatelink multi-get`, which calls the
//! port. They use the command line and loopback sockets.

#[path = "../node_common/mod.rs"]
mod node_common;

mod bounds;
mod items;
mod lifecycle;
mod multi_get;
mod partial_results;
mod rejections;
