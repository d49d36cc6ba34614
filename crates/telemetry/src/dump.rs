//! The state dump: what a process knows, on request, for a person in an incident.
//!
//! A dump is JSON of named sections. It never holds bodies of requests: a section is made of a
//! reducer's own summary, whose types have no body, and long texts are cut besides, so that a body
//! that slips into one isn't shown whole. Lists are cut too: at the target size a full dump of all
//! tasks would take longer to write than the incident lasts.

use {
    serde::Serialize,
    serde_json::{Map, Value},
};

/// The most elements of a list or object that a dump shows.
pub const MAX_DUMP_ITEMS: usize = 1_000;

/// The longest text that a dump shows, in characters.
pub const MAX_DUMP_TEXT: usize = 200;

/// A state dump in the making.
#[derive(Clone, Debug, Default)]
pub struct Dump(Map<String, Value>);

impl Dump {
    /// A dump without sections.
    pub fn new() -> Self {
        Dump::default()
    }

    /// Adds a section. What can't be written as JSON, such as a map keyed by structures, is
    /// replaced by a text that says so: a dump with a hole is better in an incident than none.
    pub fn section(mut self, name: &str, state: &impl Serialize) -> Self {
        let value = match serde_json::to_value(state) {
            Ok(value) => bounded(value),
            Err(e) => Value::String(format!("can't be shown: {e}")),
        };
        self.0.insert(name.to_owned(), value);
        self
    }

    /// The dump as JSON.
    pub fn into_json(self) -> Value {
        Value::Object(self.0)
    }
}

fn bounded(value: Value) -> Value {
    match value {
        Value::String(text) => Value::String(bounded_text(text)),
        Value::Array(items) => bounded_list(items),
        Value::Object(fields) => bounded_object(fields),
        other => other,
    }
}

fn bounded_text(text: String) -> String {
    match text.char_indices().nth(MAX_DUMP_TEXT) {
        Some((end, _)) => format!("{}... ({} bytes)", &text[..end], text.len()),
        None => text,
    }
}

fn bounded_list(mut items: Vec<Value>) -> Value {
    let left_out = items.len().saturating_sub(MAX_DUMP_ITEMS);
    items.truncate(MAX_DUMP_ITEMS);
    let mut items: Vec<Value> = items.into_iter().map(bounded).collect();
    if left_out > 0 {
        items.push(Value::String(format!("{left_out} more are left out")));
    }
    Value::Array(items)
}

fn bounded_object(fields: Map<String, Value>) -> Value {
    let left_out = fields.len().saturating_sub(MAX_DUMP_ITEMS);
    let kept = fields.into_iter().take(MAX_DUMP_ITEMS);
    let mut kept: Map<String, Value> = kept.map(|(k, v)| (bounded_text(k), bounded(v))).collect();
    if left_out > 0 {
        kept.insert("...".to_owned(), Value::String(format!("{left_out} more are left out")));
    }
    Value::Object(kept)
}

/// The dump for a person: an indented outline, a line for each simple value and for each element of
/// a list that fits on one.
pub fn render_dump(dump: &Value) -> String {
    let mut out = String::new();
    render(dump, 0, &mut out);
    out
}

/// How wide a line may get before a list or object is spread over several.
const LINE_WIDTH: usize = 100;

fn render(value: &Value, depth: usize, out: &mut String) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                render_entry(&printable(name), value, depth, out);
            }
        }
        Value::Array(items) => {
            for item in items {
                render_entry("-", item, depth, out);
            }
        }
        simple => push_line(&one_line(simple), depth, out),
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

/// Whether the value holds no lists or objects that hold others.
fn is_flat(value: &Value) -> bool {
    let simple = |value: &Value| !value.is_object() && !value.is_array();
    match value {
        Value::Array(items) => items.iter().all(simple),
        Value::Object(fields) => fields.values().all(simple),
        _ => true,
    }
}

fn one_line(value: &Value) -> String {
    let join = |parts: Vec<String>| parts.join(" ");
    match value {
        Value::Null => "none".to_owned(),
        Value::String(text) => printable(text),
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::Array(items) => join(items.iter().map(one_line).collect()),
        Value::Object(fields) if fields.is_empty() => "none".to_owned(),
        Value::Object(fields) => {
            let pair = |(k, v): (&String, &Value)| format!("{}={}", printable(k), one_line(v));
            join(fields.iter().map(pair).collect())
        }
        simple => simple.to_string(),
    }
}

/// The text without what would move an operator's cursor or start a line: some of it is from
/// callers.
fn printable(text: &str) -> String {
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
