//! The ids of open requests: one that is open must not be sent again under the same id.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The ids of the requests that have no final response yet, or an attempt in flight. Clones are the same set.
#[derive(Clone, Debug, Default)]
pub struct OpenRequestIds(Rc<RefCell<HashSet<HeaderValue>>>);

impl OpenRequestIds {
    /// Registers an id until the result is dropped. `None` for one that is open already.
    pub fn register(&self, value: HeaderValue) -> Option<OpenRequestId> {
        let new = self.0.borrow_mut().insert(value.clone());
        new.then(|| OpenRequestId {
            value,
            ids: self.clone(),
        })
    }
}

/// A registered id. It is part of the request's message, and open until the last holder of that drops it.
#[derive(Debug)]
pub struct OpenRequestId {
    /// As the client sent it.
    pub(super) value: HeaderValue,
    /// Where it is registered.
    ids: OpenRequestIds,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.value);
    }
}
