//! Endpoint lists: `roster` begins a list, one `m` line follows for each endpoint, and
//! `peers_known` passes the list to an instance.

use super::Parser;
use crate::fields::Fields;
use crate::WireError;
use slatelink_policy::{Availability, Endpoint, EndpointUpdate, Event, Name, Timestamp};
use std::collections::HashMap;
use std::sync::Arc;

/// Number of an endpoint list; `bank` on the wire. A later list with the same number replaces the
/// earlier one.
type ListNumber = u32;

/// Weight of an endpoint without a valid weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Endpoint lists by number.
#[derive(Debug, Default)]
pub(super) struct EndpointLists {
    complete: HashMap<ListNumber, Arc<[Endpoint]>>,
    open: Option<OpenList>,
}

/// A list whose entries are being read.
#[derive(Debug)]
struct OpenList {
    number: ListNumber,
    /// Number of entries still to come, at least 1.
    missing: usize,
    entries: Vec<Endpoint>,
}

impl EndpointLists {
    /// Parses `roster`: the number of a list and the number of entries that follow.
    pub(super) fn begin(&mut self, fields: &Fields) -> Result<(), WireError> {
        let number = fields.required("bank")?;
        let missing = fields.required("hosts")?;
        self.open = (missing > 0).then(|| OpenList {
            number,
            missing,
            entries: Vec::new(),
        });
        self.complete.insert(number, Arc::default());
        Ok(())
    }

    /// Checks that no entries are missing before a line that begins with `word` and is no entry.
    pub(super) fn check_complete(&mut self, word: &str) -> Result<(), WireError> {
        match self.open.take() {
            None => Ok(()),
            Some(open) => Err(WireError::IncompleteList {
                missing: open.missing,
                word: word.to_owned(),
            }),
        }
    }

    /// Adds an entry to the open list. `fields` are the fields of the entry's line.
    fn push(&mut self, entry: Endpoint, fields: &Fields) -> Result<(), WireError> {
        let Some(open) = &mut self.open else {
            return Err(WireError::EntryOutsideList {
                line: fields.shown_line(),
            });
        };
        open.entries.push(entry);
        open.missing -= 1;
        if open.missing == 0 {
            let entries = std::mem::take(&mut open.entries);
            self.complete.insert(open.number, entries.into());
            self.open = None;
        }
        Ok(())
    }

    /// Parses `peers_known`: an update from discovery for an instance. Returns `None` for an
    /// unknown kind of update.
    pub(super) fn update(&self, fields: &Fields) -> Result<Option<Event>, WireError> {
        Ok(match fields.required_text("how")? {
            "unavailable" => Some(Event::Endpoints(EndpointUpdate::Unavailable)),
            "update" => {
                let changed = self.referenced(fields)?;
                Some(Event::Endpoints(EndpointUpdate::Delta(changed)))
            }
            "replace" => {
                let list = self.referenced(fields)?;
                Some(Event::Endpoints(EndpointUpdate::Snapshot(list)))
            }
            "restored" => Some(Event::LastKnownEndpoints(self.referenced(fields)?)),
            _ => None,
        })
    }

    /// Returns the list that a line refers to.
    fn referenced(&self, fields: &Fields) -> Result<Arc<[Endpoint]>, WireError> {
        let list = self.complete.get(&fields.required("bank")?);
        list.cloned().ok_or_else(|| WireError::UnknownList {
            line: fields.shown_line(),
        })
    }
}

impl Parser {
    /// Parses `m`: an entry of the open endpoint list.
    pub(super) fn list_entry(&mut self, fields: &Fields) -> Result<(), WireError> {
        let entry = Endpoint {
            id: self.endpoint_id(fields)?,
            zone: fields.text("region_part").map(Name::from),
            kind: fields.text("machine").map(Name::from),
            cell: fields.optional("group")?.unwrap_or(0),
            availability: availability(fields)?,
            weight: fields
                .number("capacity_hint", f64::MAX)?
                .unwrap_or(DEFAULT_WEIGHT),
            started: fields
                .optional("born_us")?
                .filter(|&micros| micros > 0)
                .map(Timestamp::from_micros),
        };
        self.lists.push(entry, fields)
    }
}

fn availability(fields: &Fields) -> Result<Availability, WireError> {
    Ok(match fields.required_text("availability")? {
        "U" => Availability::Ready,
        "D" => Availability::Removed,
        // A state unknown to this version: the endpoint gets no new requests.
        _ => Availability::Draining,
    })
}
