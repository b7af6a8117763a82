//! What is wrong with a file, where, and what may have been meant.

use std::fmt;

/// How like a known key must be to be suggested: seven letters in ten.
const MIN_ALIKE: f64 = 0.7;

/// Why a file cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Line in the file, from 1; nothing where it is about the file as a whole.
    pub line: Option<usize>,
    /// The key, with its section; empty where the text is no TOML.
    pub key: String,
    /// What is wrong, what was expected, and the way out, on one line.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Error {}

/// The number of the line in which a byte stands.
fn line(text: &str, at: usize) -> usize {
    1 + text.bytes().take(at).filter(|b| *b == b'\n').count()
}

/// One plain line, whatever a library's message holds.
fn plain(message: &str) -> String {
    message.trim().replace('\n', " ")
}

impl Error {
    pub(crate) fn whole(reason: String) -> Self {
        Error { line: None, key: String::new(), reason }
    }

    /// About a key at the top of the file.
    pub(crate) fn key(text: &str, key: &str, reason: String) -> Self {
        let at = text.lines().position(|l| l.trim_start().starts_with(key));
        Error { line: at.map(|n| n + 1), key: key.to_owned(), reason }
    }

    /// A value or a key that is not what it should be, or at `.` a text that is no TOML.
    pub(crate) fn at(text: &str, path: &str, e: &toml::de::Error) -> Self {
        let message = plain(e.message());
        let key = if path == "." { "" } else { path };
        let error =
            Error { line: e.span().map(|s| line(text, s.start)), key: key.to_owned(), reason: message };
        match error.unknown() {
            Some((name, known)) => error.suggest(&name, &known),
            None => error,
        }
    }

    /// The unknown name and the known ones, where the library speaks of such.
    fn unknown(&self) -> Option<(String, Vec<String>)> {
        let rest =
            self.reason.strip_prefix("unknown field ").or(self.reason.strip_prefix("unknown variant "))?;
        let mut names = rest.split('`').skip(1).step_by(2).map(str::to_owned);
        Some((names.next()?, names.collect()))
    }

    fn suggest(mut self, name: &str, known: &[String]) -> Self {
        // Of a key the path already ends with it, of a value it does not.
        let what = if self.reason.starts_with("unknown field") {
            if !self.key.ends_with(name) {
                self.key = [self.key.as_str(), name]
                    .iter()
                    .filter(|p| !p.is_empty())
                    .copied()
                    .collect::<Vec<_>>()
                    .join(".");
            }
            "is not known".to_owned()
        } else {
            format!("`{name}` is none of its values")
        };
        let alike = |k: &&String| strsim::normalized_damerau_levenshtein(k, name);
        let nearest =
            known.iter().max_by(|a, b| alike(a).total_cmp(&alike(b))).filter(|k| alike(k) >= MIN_ALIKE);
        self.reason = match nearest {
            Some(nearest) => format!("{what}; did you mean `{nearest}`?"),
            None => format!("{what}; known here: {}", known.join(", ")),
        };
        self
    }
}
