//! Waiting for the effects of other threads and processes.

use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upper bound of a wait, far above the duration of any step: reaching it is a failure.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until `done` returns true; `awaited_state` describes the state in the failure message.
pub fn wait_for(awaited_state: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "no result within {WAIT_TIMEOUT:?} while waiting for: {awaited_state}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// A gate that stays closed until the test opens it.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    pub fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    /// Waits until the gate is open, at most [`WAIT_TIMEOUT`].
    pub fn wait_until_open(&self) {
        let open = self.0 .0.lock().unwrap();
        drop(
            self.0
                 .1
                .wait_timeout_while(open, WAIT_TIMEOUT, |open| !*open)
                .unwrap(),
        );
    }
}
