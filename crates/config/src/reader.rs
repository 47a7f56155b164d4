//! Reads objects from JSON with comments, and collects findings with their source locations.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::{Findings, SourceLocation};

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// `Source` is a text and the name under which findings report it.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Name of the file, or of another origin.
    pub name: &'a str,
    /// Content.
    pub text: &'a str,
}

impl Source<'_> {
    /// Returns the location of a byte offset.
    fn location(&self, offset: usize) -> SourceLocation {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        let column = before[start..].chars().count() + 1;
        SourceLocation {
            file: self.name.to_owned(),
            line,
            column,
        }
    }
}

/// Parses `source` as an object and passes a reader of it to `read`.
///
/// # Errors
///
/// The syntax error if `source` cannot be parsed, otherwise all findings that `read` collected.
pub fn read_object<T, F>(source: Source<'_>, read: F) -> Result<T, Findings>
where
    F: FnOnce(&mut Reader<'_>) -> T,
{
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let mut findings = Findings::default();
    let parsed = match parse_to_ast(source.text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed,
        Err(error) => {
            findings.add(
                source.location(error.range().start),
                error.kind().to_string(),
            );
            return Err(findings);
        }
    };
    let Some(Value::Object(object)) = &parsed.value else {
        findings.add(source.location(0), "expected an object");
        return Err(findings);
    };
    let mut reader = Reader::new(source, object, &mut findings);
    let value = read(&mut reader);
    reader.finish();
    findings.into_result(value)
}

/// `Reader` reads known keys of one object. Keys that were never read are reported as unknown.
///
/// An absent key is read as `None`. So is a value of the wrong type or out of range, which is also reported.
#[derive(Debug)]
pub struct Reader<'a> {
    source: Source<'a>,
    object: &'a Object<'a>,
    known_keys: Vec<&'static str>,
    findings: &'a mut Findings,
}

impl<'a> Reader<'a> {
    fn new(source: Source<'a>, object: &'a Object<'a>, findings: &'a mut Findings) -> Self {
        Self {
            source,
            object,
            known_keys: Vec::new(),
            findings,
        }
    }

    /// Reads a nested object.
    pub fn object<T, F>(&mut self, key: &'static str, read: F) -> Option<T>
    where
        F: FnOnce(&mut Reader<'_>) -> T,
    {
        let prop = self.property(key)?;
        let Value::Object(object) = &prop.value else {
            self.report_type(prop, "an object");
            return None;
        };
        let mut reader = Reader::new(self.source, object, self.findings);
        let value = read(&mut reader);
        reader.finish();
        Some(value)
    }

    /// Reads a string.
    pub fn string(&mut self, key: &'static str) -> Option<String> {
        let prop = self.property(key)?;
        let Value::StringLit(text) = &prop.value else {
            self.report_type(prop, "a string");
            return None;
        };
        Some(text.value.clone().into_owned())
    }

    /// Reads a name: 1 to 63 lower-case letters, digits and hyphens.
    pub fn name(&mut self, key: &'static str) -> Option<String> {
        let name = self.string(key)?;
        if crate::tree::is_name(&name) {
            return Some(name);
        }
        self.report(key, format!("'{key}' must be {}", crate::tree::NAME_RULE));
        None
    }

    /// Reads an IP address with a port.
    pub fn addr(&mut self, key: &'static str) -> Option<SocketAddr> {
        let text = self.string(key)?;
        self.parse_addr(key, &text)
    }

    /// Reads a list of IP addresses with ports.
    pub fn addrs(&mut self, key: &'static str) -> Option<Vec<SocketAddr>> {
        let prop = self.property(key)?;
        let Value::Array(list) = &prop.value else {
            self.report_type(prop, "a list of addresses");
            return None;
        };
        let mut addrs = Vec::with_capacity(list.elements.len());
        for element in &list.elements {
            let parsed = match element {
                Value::StringLit(text) => text.value.parse().ok(),
                _ => None,
            };
            match parsed {
                Some(addr) => addrs.push(addr),
                None => self.findings.add(
                    self.source.location(element.range().start),
                    format!("'{key}' must list IP addresses with ports, as in 10.0.0.1:7000"),
                ),
            }
        }
        Some(addrs)
    }

    /// Reads a whole number within bounds.
    pub fn integer(&mut self, key: &'static str, min: u64, max: u64) -> Option<u64> {
        let prop = self.property(key)?;
        let Value::NumberLit(number) = &prop.value else {
            self.report_type(prop, "a number");
            return None;
        };
        match number.value.parse::<u64>() {
            Ok(value) if (min..=max).contains(&value) => Some(value),
            _ => {
                let text = format!("'{key}' must be a whole number from {min} to {max}");
                self.report(key, text);
                None
            }
        }
    }

    /// Reads a number of milliseconds within bounds.
    pub fn millis(&mut self, key: &'static str, min: u64, max: u64) -> Option<Duration> {
        self.integer(key, min, max).map(Duration::from_millis)
    }

    /// Reports a required key that is absent; returns `value` unchanged.
    pub fn require<T>(&mut self, key: &str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.object.get(key).is_none() {
            let location = self.source.location(self.object.range.start);
            self.findings.add(location, format!("'{key}' is missing"));
        }
        value
    }

    /// Reports a finding on a key.
    pub fn report(&mut self, key: &str, message: impl Display) {
        let prop = self.object.get(key);
        let offset = prop.map_or(self.object.range.start, |p| p.value.range().start);
        self.findings
            .add(self.source.location(offset), message.to_string());
    }

    fn parse_addr(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        if let Ok(addr) = text.parse() {
            return Some(addr);
        }
        let message = format!("'{key}' must be an IP address with a port, as in 10.0.0.1:7000");
        self.report(key, message);
        None
    }

    fn property(&mut self, key: &'static str) -> Option<&'a ObjectProp<'a>> {
        self.known_keys.push(key);
        self.object.get(key)
    }

    fn report_type(&mut self, prop: &ObjectProp<'_>, expected: &str) {
        let location = self.source.location(prop.value.range().start);
        self.findings.add(
            location,
            format!("'{}' must be {expected}", prop.name.as_str()),
        );
    }

    /// Reports unknown and repeated keys.
    fn finish(self) {
        let mut seen: Vec<&str> = Vec::new();
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            let location = self.source.location(prop.range.start);
            if !self.known_keys.contains(&name) {
                let known = self.known_keys.join(", ");
                self.findings.add(
                    location,
                    format!("unknown key '{name}'; known here: {known}"),
                );
            } else if seen.contains(&name) {
                self.findings
                    .add(location, format!("key '{name}' stands twice"));
            }
            seen.push(name);
        }
    }
}
