//! The request classes of a node, whose numbers stay valid when the settings change.
//!
//! A [`ClassId`] is a position, by which the decision module, the connection limits and telemetry
//! keep their state of a class. A class keeps its position as long as its name is in the settings.
//! When a class vanishes, its position stays reserved until the last of its requests has ended, and
//! is then available for a class that is new. Each request holds its class as it was when the
//! request was read.

#[cfg(test)]
mod tests;

use slatelink_policy::{Class, ClassId, Name, Settings};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which requests of a vanished class are still accepted: clients may have sent them
/// before they knew of the change.
const VANISHED_CLASS_GRACE: Duration = Duration::from_millis(1_200);

/// A request class as it was when a request was read.
#[derive(Debug)]
pub struct RequestClass {
    /// Position of the class.
    pub id: ClassId,
    /// The class's entry in the settings.
    pub definition: Class,
    /// Shared by all definitions of the position; requests own earlier definitions.
    position_in_use: Rc<()>,
}

/// One position of the table.
#[derive(Debug)]
struct Slot {
    class: Rc<RequestClass>,
    /// Time at which the class vanished from the settings; `None` while it is there.
    vanished_at: Option<Instant>,
}

impl Slot {
    /// Checks whether the position may be given to another class: the class has vanished, is no
    /// longer accepted, and none of its requests is left.
    fn is_free(&self, now: Instant) -> bool {
        // Requests hold the current definition of the class, or an earlier one.
        let definition_in_use = Rc::strong_count(&self.class) > 1;
        let position_in_use = Rc::strong_count(&self.class.position_in_use) > 1;
        !self.accepts_requests(now) && !definition_in_use && !position_in_use
    }

    fn accepts_requests(&self, now: Instant) -> bool {
        self.vanished_at
            .is_none_or(|at| now.saturating_duration_since(at) < VANISHED_CLASS_GRACE)
    }

    fn has_name(&self, name: &Name) -> bool {
        self.class.definition.name == *name
    }
}

/// All request classes, by position.
#[derive(Debug, Default)]
pub struct ClassTable {
    slots: Vec<Slot>,
}

impl ClassTable {
    /// Creates a table of these classes, in their order.
    pub fn new(classes: &[Class]) -> Self {
        let mut table = Self::default();
        for class in classes {
            table.append(class.clone());
        }
        table
    }

    /// Returns the class that a request of this name belongs to.
    pub fn find(&self, name: &str) -> Option<Rc<RequestClass>> {
        let now = Instant::now();
        self.slots
            .iter()
            .find(|slot| slot.class.definition.name.as_str() == name && slot.accepts_requests(now))
            .map(|slot| slot.class.clone())
    }

    /// Returns the names of all classes, by position.
    pub fn names(&self) -> Vec<Name> {
        self.slots
            .iter()
            .map(|slot| slot.class.definition.name.clone())
            .collect()
    }

    /// Returns the longest timeout of all classes.
    pub fn max_timeout(&self) -> Duration {
        let timeouts = self.slots.iter().map(|slot| slot.class.definition.deadline);
        timeouts.max().unwrap_or_default()
    }

    /// Replaces the classes by those of changed settings, and orders the settings' classes by their
    /// positions in the table. Vanished classes are appended to the settings as they were.
    pub fn replace(&mut self, settings: &mut Settings) {
        let now = Instant::now();
        let classes = std::mem::take(&mut settings.classes);
        for slot in &mut self.slots {
            let vanished = !classes.iter().any(|class| slot.has_name(&class.name));
            if !vanished {
                slot.vanished_at = None;
            } else if slot.vanished_at.is_none() {
                slot.vanished_at = Some(now);
            }
        }
        // Classes that are already in the table come first: a new class must not take their
        // position.
        let (known, new): (Vec<_>, Vec<_>) = classes
            .into_iter()
            .partition(|class| self.position(&class.name).is_some());
        for class in known {
            if let Some(index) = self.position(&class.name) {
                self.redefine(index, class);
            }
        }
        for class in new {
            match self.slots.iter().position(|slot| slot.is_free(now)) {
                Some(index) => self.redefine(index, class),
                None => self.append(class),
            }
        }
        let definitions = self.slots.iter().map(|slot| &slot.class.definition);
        settings.classes = definitions.cloned().collect();
    }

    fn position(&self, name: &Name) -> Option<usize> {
        self.slots.iter().position(|slot| slot.has_name(name))
    }

    /// Gives a position a new definition. Requests that hold the previous one keep it.
    fn redefine(&mut self, index: usize, definition: Class) {
        let slot = &mut self.slots[index];
        slot.vanished_at = None;
        slot.class = Rc::new(RequestClass {
            id: ClassId(index),
            definition,
            position_in_use: slot.class.position_in_use.clone(),
        });
    }

    fn append(&mut self, definition: Class) {
        let class = RequestClass {
            id: ClassId(self.slots.len()),
            definition,
            position_in_use: Rc::new(()),
        };
        self.slots.push(Slot {
            class: Rc::new(class),
            vanished_at: None,
        });
    }
}
