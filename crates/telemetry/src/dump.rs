//! The state dump: a process's state on request, for operators during an incident.
//!
//! A dump is a JSON object of named sections. Sections are summaries whose types hold no request
//! bodies. Long strings and lists are truncated, which bounds the size of a dump.

use {
    serde::Serialize,
    serde_json::{Map, Value},
};

/// Maximum number of elements shown of a list or object.
pub const MAX_DUMP_ITEMS: usize = 1_000;

/// Maximum length of a string in a dump, in characters.
pub const MAX_DUMP_TEXT: usize = 200;

/// Builder of a state dump.
#[derive(Clone, Debug, Default)]
pub struct Dump(Map<String, Value>);

impl Dump {
    /// Creates a dump without sections.
    pub fn new() -> Self {
        Dump::default()
    }

    /// Adds a section. A value that can't be serialized as JSON, such as a map keyed by structs, is
    /// replaced by the error message.
    pub fn section(mut self, name: &str, state: &impl Serialize) -> Self {
        let value = match serde_json::to_value(state) {
            Ok(value) => truncated(value),
            Err(e) => Value::String(format!("can't be shown: {e}")),
        };
        self.0.insert(name.to_owned(), value);
        self
    }

    /// Returns the dump as a JSON object.
    pub fn into_json(self) -> Value {
        Value::Object(self.0)
    }
}

fn truncated(value: Value) -> Value {
    match value {
        Value::String(text) => Value::String(truncated_text(text)),
        Value::Array(items) => truncated_list(items),
        Value::Object(fields) => truncated_object(fields),
        other => other,
    }
}

fn truncated_text(text: String) -> String {
    match text.char_indices().nth(MAX_DUMP_TEXT) {
        Some((end, _)) => format!("{}... ({} bytes)", &text[..end], text.len()),
        None => text,
    }
}

fn truncated_list(mut items: Vec<Value>) -> Value {
    let omitted = items.len().saturating_sub(MAX_DUMP_ITEMS);
    items.truncate(MAX_DUMP_ITEMS);
    let mut items: Vec<Value> = items.into_iter().map(truncated).collect();
    if omitted > 0 {
        items.push(Value::String(format!("{omitted} more are left out")));
    }
    Value::Array(items)
}

fn truncated_object(fields: Map<String, Value>) -> Value {
    let omitted = fields.len().saturating_sub(MAX_DUMP_ITEMS);
    let shown = fields.into_iter().take(MAX_DUMP_ITEMS);
    let mut shown: Map<String, Value> =
        shown.map(|(k, v)| (truncated_text(k), truncated(v))).collect();
    if omitted > 0 {
        shown.insert("...".to_owned(), Value::String(format!("{omitted} more are left out")));
    }
    Value::Object(shown)
}

/// Renders a dump as an indented outline. A value takes one line if it fits.
pub fn render_dump(dump: &Value) -> String {
    let mut out = String::new();
    render(dump, 0, &mut out);
    out
}

/// Maximum line width, in bytes, for a list or object on one line.
const LINE_WIDTH: usize = 100;

fn render(value: &Value, depth: usize, out: &mut String) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                render_entry(&escaped(name), value, depth, out);
            }
        }
        Value::Array(items) => {
            for item in items {
                render_entry("-", item, depth, out);
            }
        }
        scalar => push_line(&one_line(scalar), depth, out),
    }
}

fn render_entry(name: &str, value: &Value, depth: usize, out: &mut String) {
    let separator = if name == "-" { " " } else { ": " };
    let line = one_line(value);
    if is_flat(value) && name.len() + line.len() + 2 * depth <= LINE_WIDTH {
        push_line(&format!("{name}{separator}{line}"), depth, out);
        return;
    }
    push_line(format!("{name}{separator}").trim_end(), depth, out);
    render(value, depth + 1, out);
}

/// Whether the value is a scalar, or a list or object of scalars only.
fn is_flat(value: &Value) -> bool {
    let is_scalar = |value: &Value| !value.is_object() && !value.is_array();
    match value {
        Value::Array(items) => items.iter().all(is_scalar),
        Value::Object(fields) => fields.values().all(is_scalar),
        _ => true,
    }
}

fn one_line(value: &Value) -> String {
    let join = |parts: Vec<String>| parts.join(" ");
    match value {
        Value::Null => "none".to_owned(),
        Value::String(text) => escaped(text),
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::Array(items) => join(items.iter().map(one_line).collect()),
        Value::Object(fields) if fields.is_empty() => "none".to_owned(),
        Value::Object(fields) => {
            let pair = |(k, v): (&String, &Value)| format!("{}={}", escaped(k), one_line(v));
            join(fields.iter().map(pair).collect())
        }
        scalar => scalar.to_string(),
    }
}

/// Escapes control and non-graphic characters, since some strings come from callers and could
/// inject terminal sequences or lines.
fn escaped(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            c if c.is_alphanumeric() || c.is_ascii_graphic() || c == ' ' => out.push(c),
            c => out.extend(c.escape_default()),
        }
    }
    out
}

fn push_line(line: &str, depth: usize, out: &mut String) {
    out.extend(std::iter::repeat_n("  ", depth));
    out.push_str(line);
    out.push('\n');
}
