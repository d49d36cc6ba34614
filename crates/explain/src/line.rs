//! Reading a log line back.

use compact_str::CompactString;

/// A line of `key=value` pairs as the daemons write it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogLine {
    /// When, as text that sorts by time.
    pub at: CompactString,
    /// The VM that wrote it.
    pub node: CompactString,
    /// What happened.
    pub event: CompactString,
    /// Everything else, in the line's order.
    pub pairs: Vec<(CompactString, CompactString)>,
}

impl LogLine {
    /// Reads a line; none if it isn't one of a daemon's. What a collector puts before the first pair, such
    /// as a host's name, is passed over.
    pub fn parse(text: &str) -> Option<LogLine> {
        let mut line = LogLine::default();
        let mut rest = &text[text.find("ts=")?..];
        while let Some((key, after)) = rest.trim_start().split_once('=') {
            let (value, after) = value(after)?;
            match key {
                "ts" => line.at = value,
                "node" => line.node = value,
                "event" => line.event = value,
                _ => line.pairs.push((CompactString::new(key), value)),
            }
            rest = after;
        }
        let whole = !line.at.is_empty() && !line.event.is_empty();
        whole.then_some(line)
    }

    /// The value of a pair.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.iter().find(|(known, _)| known == key).map(|(_, value)| value.as_str())
    }
}

/// A value, and what follows it; none if its quotes aren't closed.
fn value(text: &str) -> Option<(CompactString, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return Some((CompactString::new(&text[..end]), &text[end..]));
    };
    let mut value = CompactString::default();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &quoted[at + 1..])),
            '\\' => value.push(escaped(&mut chars)?),
            c => value.push(c),
        }
    }
    None
}

fn escaped(chars: &mut std::str::CharIndices<'_>) -> Option<char> {
    match chars.next()?.1 {
        'n' => Some('\n'),
        'r' => Some('\r'),
        't' => Some('\t'),
        'u' => {
            // Written as \u{20ac}.
            let digits: String =
                chars.map(|(_, c)| c).skip_while(|c| *c == '{').take_while(|c| *c != '}').collect();
            char::from_u32(u32::from_str_radix(&digits, 16).ok()?)
        }
        c => Some(c),
    }
}
