//! Ids of open requests: while a request is open, no other request may be sent under the same id.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// Ids of the requests that have no final response yet, or an attempt in flight. Clones share one
/// set.
#[derive(Clone, Debug, Default)]
pub struct OpenRequestIds(Rc<RefCell<HashSet<HeaderValue>>>);

impl OpenRequestIds {
    /// Registers an id until the returned value is dropped. Returns `None` if the id is registered
    /// already.
    pub fn register(&self, value: HeaderValue) -> Option<OpenRequestId> {
        let new = self.0.borrow_mut().insert(value.clone());
        new.then(|| OpenRequestId {
            value,
            ids: self.clone(),
        })
    }
}

/// A registered id. It is part of the request's message, and stays registered until the last holder
/// of the message drops it.
#[derive(Debug)]
pub struct OpenRequestId {
    /// Value sent by the client.
    pub(super) value: HeaderValue,
    /// Set in which it is registered.
    ids: OpenRequestIds,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.value);
    }
}
