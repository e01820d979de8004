//! Parser of the simulator's lines.

mod endpoints;
mod requests;

use crate::fields::Fields;
use crate::{settings, WireError};
use endpoints::EndpointLists;
use slatelink_policy::{EndpointId, Event, Name, Settings, Timestamp};
use std::collections::HashMap;

/// Number of one of the simulator's balancers; `who` on the wire.
pub type InstanceId = u32;

/// The content of a line.
#[derive(Debug)]
pub enum Message {
    /// `tick`: a batch of messages begins; the value is the time of the batch.
    Tick(Timestamp),
    /// `your_turn`: the batch ends, and a reply is expected.
    EndOfBatch,
    /// `power_on`: an instance starts.
    Start {
        /// The instance.
        instance: InstanceId,
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings of the instance.
        settings: Box<Settings>,
    },
    /// `retire`: an instance was killed.
    Stop {
        /// The instance.
        instance: InstanceId,
    },
    /// Any other line: an event of an instance.
    Event {
        /// The instance.
        instance: InstanceId,
        /// The event.
        event: Event,
    },
}

/// Parses lines into [`Message`]s.
///
/// Stores the data that later lines refer to: the endpoint lists by number, and the class names of
/// each instance.
#[derive(Debug, Default)]
pub struct Parser {
    lists: EndpointLists,
    /// Ids by name, so that all copies of an id share their text.
    endpoint_ids: HashMap<String, EndpointId>,
    classes: HashMap<InstanceId, Vec<Name>>,
}

impl Parser {
    /// Parses one line. Returns `None` for a line that is no message by itself or starts with an
    /// unknown word.
    pub fn parse_line(&mut self, line: &str) -> Result<Option<Message>, WireError> {
        let line = line.trim_end_matches(['\r', '\n']);
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        if word == "m" {
            self.list_entry(&Fields::parse(line, rest))?;
            return Ok(None);
        }
        self.lists.check_complete(word)?;
        match word {
            "your_turn" => Ok(Some(Message::EndOfBatch)),
            "tick" => tick(&Fields::parse(line, rest)).map(Some),
            "roster" => self.lists.begin(&Fields::parse(line, rest)).map(|()| None),
            "power_on" => self.start(&Fields::parse(line, rest)).map(Some),
            "retire" => stop(&Fields::parse(line, rest)).map(Some),
            "peers_known" | "submit" | "timer" | "abandoned" | "returned" => {
                self.instance_event(word, &Fields::parse(line, rest))
            }
            _ => Ok(None),
        }
    }

    /// Parses `power_on`.
    fn start(&mut self, fields: &Fields) -> Result<Message, WireError> {
        let instance = fields.required("who")?;
        let settings = Box::new(settings::parse(fields)?);
        let class_names = settings
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect();
        self.classes.insert(instance, class_names);
        Ok(Message::Start {
            instance,
            seed: fields.required("prng")?,
            settings,
        })
    }

    /// Parses an event of an instance. Returns `None` for an unknown kind of endpoint update.
    fn instance_event(
        &mut self,
        word: &str,
        fields: &Fields,
    ) -> Result<Option<Message>, WireError> {
        let instance = fields.required("who")?;
        let event = match word {
            "peers_known" => self.lists.update(fields)?,
            "submit" => Some(Event::Request(self.request(instance, fields)?)),
            "returned" => Some(Event::AttemptEnded(self.outcome(fields)?)),
            "abandoned" => Some(Event::RequestCanceled(fields.request_id()?)),
            "timer" => Some(Event::Timer),
            _ => None,
        };
        Ok(event.map(|event| Message::Event { instance, event }))
    }

    /// Returns the id of the line's endpoint.
    fn endpoint_id(&mut self, fields: &Fields) -> Result<EndpointId, WireError> {
        let name = fields.required_text("server")?;
        if let Some(id) = self.endpoint_ids.get(name) {
            return Ok(id.clone());
        }
        let id = EndpointId::from(name);
        self.endpoint_ids.insert(name.to_owned(), id.clone());
        Ok(id)
    }
}

fn tick(fields: &Fields) -> Result<Message, WireError> {
    let time = Timestamp::from_micros(fields.required("t_us")?);
    Ok(Message::Tick(time))
}

fn stop(fields: &Fields) -> Result<Message, WireError> {
    Ok(Message::Stop {
        instance: fields.required("who")?,
    })
}
