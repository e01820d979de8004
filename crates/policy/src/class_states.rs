//! State kept for each class, when the classes change.
//!
//! States are indexed by the position of their class in the settings; the last one is for requests
//! without a class.

use crate::api::Class;

/// Adapts the states to changed classes. A class that keeps its position and name keeps its state,
/// and so do requests without a class; every other class gets its initial state.
///
/// `before` and `after` contain the class for requests without a class as their last element.
pub(crate) fn carry_over<T>(
    states: &mut Vec<T>,
    before: &[Class],
    after: &[Class],
    initial: impl Fn(&Class) -> T,
) {
    let mut kept: Vec<Option<T>> = states.drain(..).map(Some).collect();
    let no_class = kept.pop().flatten();
    let named = after.len().saturating_sub(1);
    for (index, class) in after.iter().enumerate() {
        let state = if index == named {
            None
        } else {
            let same = before.get(index).is_some_and(|old| old.name == class.name);
            kept.get_mut(index).and_then(Option::take).filter(|_| same)
        };
        states.push(state.unwrap_or_else(|| initial(class)));
    }
    if let (Some(state), Some(last)) = (no_class, states.last_mut()) {
        *last = state;
    }
}
