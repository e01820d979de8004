//! The `name=value` pairs of a line.

use crate::WireError;
use slatelink_policy::RequestId;
use std::str::FromStr;
use std::time::Duration;

/// Maximum number of characters of a line shown in an error.
const MAX_SHOWN_CHARS: usize = 200;

/// The fields of a line.
pub(crate) struct Fields<'a> {
    /// Text shown in errors.
    line: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Parses the fields in `rest`, the part of `line` after its word. A part without `=` is
    /// skipped.
    pub(crate) fn parse(line: &'a str, rest: &'a str) -> Self {
        Self {
            line,
            pairs: rest
                .split(' ')
                .filter_map(|part| part.split_once('='))
                .collect(),
        }
    }

    /// Creates fields that do not come from a line; errors show `source` instead of a line.
    pub(crate) fn from_pairs(source: &'a str, pairs: Vec<(&'a str, &'a str)>) -> Self {
        Self {
            line: source,
            pairs,
        }
    }

    /// Returns the value of the first field with this name.
    pub(crate) fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs
            .iter()
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }

    /// Returns the value of a required field.
    pub(crate) fn required_text(&self, name: &str) -> Result<&'a str, WireError> {
        self.text(name).ok_or_else(|| self.missing(name))
    }

    /// Returns the parsed value of a field.
    pub(crate) fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, WireError> {
        let parse = |text: &str| text.parse().map_err(|_| self.unreadable(name));
        self.text(name).map(parse).transpose()
    }

    /// Returns the parsed value of a required field.
    pub(crate) fn required<T: FromStr>(&self, name: &str) -> Result<T, WireError> {
        self.optional(name)?.ok_or_else(|| self.missing(name))
    }

    /// Returns a number from 0 to `max`. A number that is out of range or not finite counts as
    /// absent.
    pub(crate) fn number(&self, name: &str, max: f64) -> Result<Option<f64>, WireError> {
        let number = self.optional::<f64>(name)?;
        Ok(number.filter(|value| (0.0..=max).contains(value)))
    }

    /// Returns a duration given in microseconds.
    pub(crate) fn micros(&self, name: &str) -> Result<Option<Duration>, WireError> {
        Ok(self.optional(name)?.map(Duration::from_micros))
    }

    /// Returns a Boolean.
    pub(crate) fn flag(&self, name: &str) -> Result<Option<bool>, WireError> {
        match self.text(name) {
            None => Ok(None),
            Some("1" | "true") => Ok(Some(true)),
            Some("0" | "false") => Ok(Some(false)),
            Some(_) => Err(self.unreadable(name)),
        }
    }

    /// Returns the id of the line's request.
    pub(crate) fn request_id(&self) -> Result<RequestId, WireError> {
        self.required_text("request_id").map(RequestId::from)
    }

    /// Returns the start of the line, for an error.
    pub(crate) fn shown_line(&self) -> String {
        self.line.chars().take(MAX_SHOWN_CHARS).collect()
    }

    fn missing(&self, name: &str) -> WireError {
        WireError::MissingField {
            field: name.to_owned(),
            line: self.shown_line(),
        }
    }

    fn unreadable(&self, name: &str) -> WireError {
        WireError::UnreadableField {
            field: name.to_owned(),
            line: self.shown_line(),
        }
    }
}
