//! The times that the client of discovery keeps, each with its reason.

use std::ops::Range;
use std::time::Duration;

/// How long a watch asks discovery to wait: the most that it takes. What a watch that has fallen silent misses counts
/// as told 2 s after this wait, so the wait is what a node has for noticing that.
pub const WAIT: Duration = Duration::from_secs(60);
/// A watch is renewed after this, give or take a part of it: it looks alike whether it is silent or there is no news. A
/// call costs the one discovery of all nodes as much as dozens of entries, so it is not done more often; and it is drawn
/// anew each time, since nodes whose watches fell silent together would stand in discovery's queue together.
pub const RENEW: Duration = Duration::from_secs(15);
pub const RENEW_SPREAD: f64 = 0.2;
/// Until a node has heard anything from discovery its call may never have reached it, and a node that has not called
/// counts as told after the time that the settings give for asking. Its first watch is renewed after this part of that
/// time, drawn from a wide range: nodes that start together would stand in discovery's queue together.
pub const FIRST_RENEWAL_PART: Range<f64> = 0.2..0.77;
/// For so long a renewal waits for its turn at discovery: it has had it by then, or has failed. What is written to a call
/// that another has taken the place of is read for as long again.
pub const OVERLAP: Duration = Duration::from_secs(3);
/// A call that failed, a renewal too, makes each change count as told 6 s after discovery had it, and a watch that is
/// opened then looks alike in that time whether it was swallowed or there is no news. So it is verified by a call that
/// waits no longer than this at discovery: with its answer all is known that there was.
pub const BRIEF: Duration = Duration::from_millis(50);
/// A watch that was opened after a failed call has had its turn by then, and is verified. Not before: nodes that lost their
/// watches together need one turn each at discovery for the list, and this is a second one.
pub const VERIFY: Duration = Duration::from_millis(2100);
pub const VERIFY_SPREAD: f64 = 0.05;
/// A second call is made beside one that verifies a watch and has no answer after this.
pub const VERIFY_HEDGE: Duration = Duration::from_millis(800);
/// Who has just been answered and is refused leaves the places in discovery's queue to those that have not been: a call
/// that is refused within `RECENT` of an answer is made again after about this.
pub const RECENT: Duration = Duration::from_secs(1);
pub const RECENT_AGAIN: Duration = Duration::from_millis(1800);
pub const RECENT_AGAIN_SPREAD: f64 = 0.2;
/// The pause before a renewal that failed is tried again, give or take a part of it; before other calls the module's.
pub const RENEW_AGAIN: Duration = Duration::from_millis(600);
pub const RENEW_AGAIN_SPREAD: f64 = 0.4;
/// A watch that could not be renewed and says nothing for this long after its wait is over is dead.
pub const OVERDUE: Duration = Duration::from_millis(500);
/// A call that has nothing to wait for but its turn is made again after this. It is read on: it may have had its turn
/// late, and what discovery has written counts as told.
pub const TURN: Duration = Duration::from_millis(2250);
pub const LATE_ANSWER: Duration = Duration::from_secs(10);
/// A call that fails after this has waited in discovery's queue or was swallowed. Two of these one after the other take up
/// most of the 6 s: the next call follows within `LATE_PAUSE`, and a second one beside it after `HEDGE`.
pub const LATE_FAILURE: Duration = Duration::from_millis(1500);
pub const LATE_PAUSE: Duration = Duration::from_millis(200);
pub const HEDGE: Duration = Duration::from_millis(600);
/// For so long after it was told to move, a node counts as told nothing that it has not heard at the new address.
pub const MOVED: Duration = Duration::from_secs(4);
/// Until it has a list there, a call that is refused is made again after about this, and one without an answer at
/// once: a call may stand in discovery's queue for 2 s, so what gets its place there later comes too late.
pub const MOVED_AGAIN: Duration = Duration::from_millis(500);
/// After an answer with nothing newer that came before its wait was over the next call waits: made at once, calls would
/// spin. A watch lasts where they are 200 ms apart at most.
pub const PACE: Duration = Duration::from_millis(50);
pub const EARLY: Duration = Duration::from_secs(10);
/// Where lists are pushed, what the agent has counts as told at once, watch or no watch: a lost watch is opened again
/// without delay, and after a call that failed too the next one follows within this part of the time that the settings
/// leave for heeding a drain. The agent is the node's own, so that nobody else waits for that.
pub const PUSHED_AGAIN_PART: f64 = 0.4;
