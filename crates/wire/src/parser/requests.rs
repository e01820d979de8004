//! Requests and the outcomes of their attempts: `submit` and `returned`.

use super::{InstanceId, Parser};
use crate::fields::Fields;
use crate::{read_load, WireError};
use slatelink_policy::{CacheResult, ClassId, LoadReport, Outcome, Request, Status, Timestamp};

/// Bit of a request's `options`: the estimate of the request's work, `expected_us`, may be used.
const OPTION_EXPECTED_WORK: u32 = 1;
/// Bit of a request's `options`: the request changes the object.
const OPTION_WRITE: u32 = 4;

/// Value of an outcome's `info`: the endpoint held the object.
const INFO_HIT: i64 = 1;
/// Value of an outcome's `info`: the endpoint did not hold the object.
const INFO_MISS: i64 = 2;

/// Separator of name and value in a load report, `server_stats`.
const LOAD_SEPARATOR: char = ':';

impl Parser {
    /// Parses `submit`: a request of a client.
    pub(super) fn request(
        &self,
        instance: InstanceId,
        fields: &Fields,
    ) -> Result<Request, WireError> {
        let options: u32 = fields.optional("options")?.unwrap_or(0);
        Ok(Request {
            id: fields.request_id()?,
            class: fields
                .text("cls")
                .and_then(|name| self.class_id(instance, name)),
            class_terms: None,
            key: fields.optional("object")?,
            deadline: Timestamp::from_micros(fields.required("valid_until_us")?),
            expected_work: fields
                .micros("expected_us")?
                .filter(|_| options & OPTION_EXPECTED_WORK != 0),
            write: options & OPTION_WRITE != 0,
            // The simulator's instances have no client connections, and therefore no quotas on
            // them.
            over_quota: false,
        })
    }

    /// Parses `returned`: the outcome of an attempt.
    pub(super) fn outcome(&mut self, fields: &Fields) -> Result<Outcome, WireError> {
        let status = status(fields)?;
        Ok(Outcome {
            id: fields.request_id()?,
            attempt: fields.required("hop")?,
            endpoint: self.endpoint_id(fields)?,
            status,
            cache_result: cache_result(fields)?,
            latency: fields.micros("spent_us")?.unwrap_or_default(),
            answered: fields.flag("finished")?.unwrap_or(false),
            load: load(fields),
        })
    }

    /// Returns the id of the instance's class with this name.
    fn class_id(&self, instance: InstanceId, name: &str) -> Option<ClassId> {
        let names = self.classes.get(&instance)?;
        let position = names.iter().position(|class| class.as_str() == name)?;
        Some(ClassId(position))
    }
}

fn status(fields: &Fields) -> Result<Status, WireError> {
    Ok(match fields.required_text("result")? {
        "Ok" => Status::Ok,
        "QueueFull" => Status::Rejected,
        "TimedOut" => Status::TimedOut,
        "ConnectError" => Status::ConnectError,
        "ResetByPeer" => Status::Reset,
        "Canceled" => Status::Canceled,
        "Ignored" => Status::NotSent,
        "Miss" => Status::Miss,
        // An unknown outcome still ends its attempt. The safe interpretation is a failure whose
        // request may have been executed.
        _ => Status::Failed,
    })
}

fn cache_result(fields: &Fields) -> Result<Option<CacheResult>, WireError> {
    Ok(match fields.optional("info")? {
        Some(INFO_HIT) => Some(CacheResult::Hit),
        Some(INFO_MISS) => Some(CacheResult::Miss),
        _ => None,
    })
}

fn load(fields: &Fields) -> LoadReport {
    fields
        .text("server_stats")
        .map_or_else(LoadReport::default, |text| read_load(text, LOAD_SEPARATOR))
}
