//! The ids of open requests: one that is open must not be sent again under the same id.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The ids of requests that have no final answer yet or an attempt out.
#[derive(Clone, Debug, Default)]
pub struct OpenRequestIds(Rc<RefCell<HashSet<HeaderValue>>>);

impl OpenRequestIds {
    /// `None` for one that is open already.
    pub fn register(&self, value: HeaderValue) -> Option<OpenRequestId> {
        let new = self.0.borrow_mut().insert(value.clone());
        new.then(|| OpenRequestId {
            value,
            ids: self.clone(),
        })
    }
}

/// An id for as long as its request is open: it goes with the last that holds the request's message.
#[derive(Debug)]
pub struct OpenRequestId {
    pub(super) value: HeaderValue,
    ids: OpenRequestIds,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.value);
    }
}
