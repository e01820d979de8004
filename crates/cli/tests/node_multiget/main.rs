//! The multi-get port and the command `slatelink multi-get` that calls it, over the command line and loopback sockets.

#[path = "../node_common/mod.rs"]
mod node_common;

mod bounds;
mod items;
mod lifecycle;
mod multi_get;
mod partial_results;
mod rejections;
