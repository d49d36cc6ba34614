//! Reads fields from the syntax tree and collects faults instead of stopping at the first.

use {
    crate::{
        fault::{Fault, FaultKind, MAX_FAULTS, Position},
        nearest::nearest,
    },
    compact_str::{CompactString, format_compact},
    egretlb_types::Resources,
    jsonc_parser::{
        CollectOptions, ParseOptions,
        ast::{Array, Object, ObjectProp, Value},
        common::{Range, Ranged},
        parse_to_ast,
    },
    std::{
        fmt,
        fs::File,
        io::{self, Read},
        path::Path,
        str::FromStr,
    },
};

/// Maximum size of a text, in bytes. Bounds memory use if the path names a wrong file, such as a
/// disk image.
pub const MAX_TEXT_BYTES: usize = 4_000_000;

/// Maximum number of characters of an invalid value that a message quotes.
const MAX_FOUND_CHARS: usize = 40;

/// JSON with comments and trailing commas; no other extensions.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// One text and the faults found in it so far.
pub(crate) struct Reader<'t> {
    text: &'t str,
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
    faults: Vec<Fault>,
}

impl<'t> Reader<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(i, _)| i + 1);
        let line_starts = std::iter::once(0).chain(after_breaks).collect();
        Reader { text, line_starts, faults: Vec::new() }
    }

    /// Parses the text; `None` with a fault if it is not a JSON object.
    pub(crate) fn parse_root(&mut self) -> Option<Object<'t>> {
        if self.text.len() > MAX_TEXT_BYTES {
            let kind = FaultKind::TextTooLong { found: self.text.len(), limit: MAX_TEXT_BYTES };
            self.push_at(0, kind);
            return None;
        }
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &PARSE_OPTIONS);
        match parsed.map(|parsed| parsed.value) {
            Ok(Some(Value::Object(object))) => Some(object),
            Ok(Some(other)) => {
                self.wrong_type(&other, "an object in braces");
                None
            }
            Ok(None) => {
                let detail = CompactString::const_new("the text is empty, expected an object");
                self.push_at(0, FaultKind::Syntax { detail });
                None
            }
            Err(e) => {
                let detail = format_compact!("{}", e.kind());
                self.push_at(e.range().start, FaultKind::Syntax { detail });
                None
            }
        }
    }

    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    pub(crate) fn position(&self, offset: usize) -> Position {
        let mut offset = offset.min(self.text.len());
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let line_start = self.line_starts[line - 1];
        let column = self.text[line_start..offset].chars().count() + 1;
        Position { line: line as u32, column: column as u32 }
    }

    pub(crate) fn push(&mut self, range: Range, kind: FaultKind) {
        self.push_at(range.start, kind);
    }

    fn push_at(&mut self, offset: usize, kind: FaultKind) {
        if self.faults.len() >= MAX_FAULTS {
            return;
        }
        let position = self.position(offset);
        self.faults.push(Fault { position, kind });
    }

    fn wrong_type(&mut self, value: &Value<'_>, expected: &'static str) {
        let found = type_name(value);
        self.push(value.range(), FaultKind::WrongType { found, expected });
    }

    /// Reports unknown and duplicate fields.
    pub(crate) fn check_fields(&mut self, object: &Object<'t>, known: &'static [&'static str]) {
        for (i, prop) in object.properties.iter().enumerate() {
            let name = prop.name.as_str();
            let Some(known_name) = known.iter().find(|known| **known == name) else {
                let nearest = nearest(name, known.iter().copied());
                let name = shorten(name);
                self.push(prop.range, FaultKind::UnknownField { name, nearest, known });
                continue;
            };
            let same_name = |other: &&ObjectProp<'t>| other.name.as_str() == name;
            if let Some(first) = object.properties[..i].iter().find(same_name) {
                let first = self.position(first.range.start);
                self.push(prop.range, FaultKind::DuplicateField { name: known_name, first });
            }
        }
    }

    /// Returns the field's value; reports a fault if it is missing.
    pub(crate) fn field<'o>(
        &mut self,
        object: &'o Object<'t>,
        name: &'static str,
        expected: &'static str,
    ) -> Option<&'o Value<'t>> {
        let prop = object.get(name);
        if prop.is_none() {
            self.push(object.range, FaultKind::MissingField { name, expected });
        }
        prop.map(|prop| &prop.value)
    }

    pub(crate) fn object<'o>(
        &mut self,
        object: &'o Object<'t>,
        name: &'static str,
        expected: &'static str,
    ) -> Option<&'o Object<'t>> {
        let value = self.field(object, name, expected)?;
        self.as_object(value, expected)
    }

    pub(crate) fn as_object<'o>(
        &mut self,
        value: &'o Value<'t>,
        expected: &'static str,
    ) -> Option<&'o Object<'t>> {
        if value.as_object().is_none() {
            self.wrong_type(value, expected);
        }
        value.as_object()
    }

    pub(crate) fn array<'o>(
        &mut self,
        object: &'o Object<'t>,
        name: &'static str,
        expected: &'static str,
    ) -> Option<&'o Array<'t>> {
        let value = self.field(object, name, expected)?;
        if value.as_array().is_none() {
            self.wrong_type(value, expected);
        }
        value.as_array()
    }

    pub(crate) fn bool(
        &mut self,
        object: &Object<'t>,
        name: &'static str,
        expected: &'static str,
    ) -> Option<bool> {
        let value = self.field(object, name, expected)?;
        if value.as_boolean_lit().is_none() {
            self.wrong_type(value, expected);
        }
        value.as_boolean_lit().map(|lit| lit.value)
    }

    /// Reads a whole number within `range`.
    pub(crate) fn count(
        &mut self,
        object: &Object<'t>,
        name: &'static str,
        range: CountRange,
    ) -> Option<u32> {
        let value = self.field(object, name, range.expected)?;
        self.as_count(value, range)
    }

    pub(crate) fn as_count(&mut self, value: &Value<'t>, range: CountRange) -> Option<u32> {
        let Value::NumberLit(number) = value else {
            self.wrong_type(value, range.expected);
            return None;
        };
        let parsed = number.value.parse::<u32>().ok();
        let count = parsed.filter(|count| (range.min..=range.max).contains(count));
        if count.is_none() {
            let kind = FaultKind::OutOfRange {
                found: shorten(number.value),
                min: format_compact!("{}", range.min),
                max: format_compact!("{}", range.max),
                reason: range.reason,
            };
            self.push(number.range, kind);
        }
        count
    }

    /// Reads a string and parses it as a `T`.
    pub(crate) fn text<T: FromStr<Err: fmt::Display>>(
        &mut self,
        object: &Object<'t>,
        name: &'static str,
        expected: &'static str,
    ) -> Option<T> {
        let value = self.field(object, name, expected)?;
        self.as_text(value, expected)
    }

    pub(crate) fn as_text<T: FromStr<Err: fmt::Display>>(
        &mut self,
        value: &Value<'t>,
        expected: &'static str,
    ) -> Option<T> {
        let Value::StringLit(lit) = value else {
            self.wrong_type(value, expected);
            return None;
        };
        match lit.value.parse() {
            Ok(parsed) => Some(parsed),
            Err(e) => {
                let reason = format_compact!("{e}");
                let found = shorten(&lit.value);
                self.push(lit.range, FaultKind::BadText { found, reason });
                None
            }
        }
    }

    /// Reads a size and requires its unit, which `T::from_str` alone accepts without.
    fn size<T: FromStr<Err: fmt::Display>>(
        &mut self,
        object: &Object<'t>,
        name: &'static str,
        unit: &str,
        expected: &'static str,
    ) -> Option<T> {
        let value = self.field(object, name, expected)?;
        if let Value::StringLit(lit) = value
            && !lit.value.ends_with(unit)
        {
            let reason = format_compact!("write it with its unit, as {expected}");
            let found = shorten(&lit.value);
            self.push(lit.range, FaultKind::BadText { found, reason });
            return None;
        }
        self.as_text(value, expected)
    }

    /// Reads the resources of a task, a replica or a quota.
    pub(crate) fn resources(
        &mut self,
        object: &Object<'t>,
        name: &'static str,
    ) -> Option<Resources> {
        const EXPECTED: &str = r#"an object like {"cpu": "1500m", "memory": "2000MB"}"#;
        const FIELDS: &[&str] = &["cpu", "memory", "accelerators"];
        const ACCELERATOR_COUNT_RANGE: CountRange = CountRange {
            min: 0,
            max: 100_000,
            expected: "a whole number of accelerators, like 2",
            reason: "accelerators are given out whole",
        };
        let inner = self.object(object, name, EXPECTED)?;
        self.check_fields(inner, FIELDS);
        let cpu = self.size(inner, "cpu", "m", r#"thousandths of a core, like "1500m""#);
        let memory = self.size(inner, "memory", "MB", r#"megabytes, like "2000MB""#);
        let accelerators = match inner.get("accelerators") {
            Some(prop) => self.as_count(&prop.value, ACCELERATOR_COUNT_RANGE),
            None => Some(0),
        };
        let accelerators = egretlb_types::Accelerators(accelerators?);
        Some(Resources { cpu: cpu?, memory: memory?, accelerators })
    }
}

/// Reads at most `MAX_TEXT_BYTES + 1` bytes of a text file, so that an endless device doesn't
/// exhaust memory and the parsers still report a text that is too long.
///
/// # Errors
///
/// The file can't be read, or isn't UTF-8.
pub fn read_text(path: impl AsRef<Path>) -> io::Result<String> {
    let limit = MAX_TEXT_BYTES as u64 + 1;
    let mut text = String::new();
    File::open(path)?.take(limit).read_to_string(&mut text)?;
    Ok(text)
}

/// The allowed range of a whole number, with the texts of its fault messages.
#[derive(Clone, Copy)]
pub(crate) struct CountRange {
    pub(crate) min: u32,
    pub(crate) max: u32,
    pub(crate) expected: &'static str,
    pub(crate) reason: &'static str,
}

fn type_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// Truncates the text to [`MAX_FOUND_CHARS`].
pub(crate) fn shorten(text: &str) -> CompactString {
    match text.char_indices().nth(MAX_FOUND_CHARS) {
        Some((end, _)) => format_compact!("{}...", &text[..end]),
        None => CompactString::new(text),
    }
}
