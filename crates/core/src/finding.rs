//! Errors found in input, collected with their location and reported together.

use std::fmt;

use serde::Serialize;

/// `SourceLocation` is the location of an error in an input. Lines and columns count from 1; zero
/// stands for a value that does not come from a text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SourceLocation {
    /// File or other source.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.file);
        }
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// `Finding` is one error in an input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Location of the error.
    pub place: SourceLocation,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// `Findings` are all errors found in one input.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, place: SourceLocation, message: impl Into<String>) {
        self.0.push(Finding {
            place,
            message: message.into(),
        });
    }

    /// Returns findings with one entry that names its source but no line.
    pub fn single(source: &str, message: impl Into<String>) -> Self {
        let mut findings = Self::default();
        findings.add(
            SourceLocation {
                file: source.to_owned(),
                ..SourceLocation::default()
            },
            message,
        );
        findings
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
