//! Parses log lines.

use compact_str::CompactString;

/// A parsed log line of `key=value` pairs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogLine {
    /// Timestamp in RFC 3339; sorts by time.
    pub at: CompactString,
    /// The VM that wrote the line.
    pub node: CompactString,
    /// Name of the event.
    pub event: CompactString,
    /// The other pairs, in the order of the line.
    pub pairs: Vec<(CompactString, CompactString)>,
}

impl LogLine {
    /// Parses a line; none if it has no timestamp, no event or an unclosed quote. Text before the timestamp, such as
    /// a host name added by a log collector, is ignored.
    pub fn parse(text: &str) -> Option<LogLine> {
        let mut line = LogLine::default();
        let mut rest = &text[text.find("ts=")?..];
        while let Some((key, after)) = rest.trim_start().split_once('=') {
            let (value, after) = parse_value(after)?;
            match key {
                "ts" => line.at = value,
                "node" => line.node = value,
                "event" => line.event = value,
                _ => line.pairs.push((CompactString::new(key), value)),
            }
            rest = after;
        }
        let is_complete = !line.at.is_empty() && !line.event.is_empty();
        is_complete.then_some(line)
    }

    /// The value of the first pair with this key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }
}

/// Parses a value and returns it with the rest of the line; none if its quotes aren't closed.
fn parse_value(text: &str) -> Option<(CompactString, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return Some((CompactString::new(&text[..end]), &text[end..]));
    };
    let mut value = CompactString::default();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &quoted[at + 1..])),
            '\\' => value.push(unescape(&mut chars)?),
            c => value.push(c),
        }
    }
    None
}

/// Parses an escape sequence after its backslash.
fn unescape(chars: &mut std::str::CharIndices<'_>) -> Option<char> {
    match chars.next()?.1 {
        'n' => Some('\n'),
        'r' => Some('\r'),
        't' => Some('\t'),
        'u' => {
            // Format: \u{20ac}.
            let digits: String =
                chars.map(|(_, c)| c).skip_while(|c| *c == '{').take_while(|c| *c != '}').collect();
            char::from_u32(u32::from_str_radix(&digits, 16).ok()?)
        }
        c => Some(c),
    }
}
