//! Renders a configuration as text.

use {
    crate::units::{Percentile, Period},
    egretlb_types::{ClassKind, ClassSpec, ConfigDocument, Resources, TeamSpec},
    std::fmt::{self, Write},
};

/// Renders the document in the format that [`crate::parse_config`] reads. A document holds no
/// comments.
pub fn render(document: &ConfigDocument) -> String {
    let mut out = String::new();
    match write_document(&mut out, document) {
        Ok(()) => out,
        Err(e) => unreachable!("writing to a string doesn't fail: {e}"),
    }
}

/// Renders the document without whitespace, which shortens the log record that every process reads.
/// No name or value of a document contains whitespace.
pub fn render_compact(document: &ConfigDocument) -> String {
    render(document).replace([' ', '\n'], "")
}

fn write_document(out: &mut String, document: &ConfigDocument) -> fmt::Result {
    writeln!(out, "{{\n  \"teams\": [")?;
    for (i, team) in document.teams.iter().enumerate() {
        let comma = if i + 1 < document.teams.len() { "," } else { "" };
        writeln!(out, "    {}{comma}", Team(team))?;
    }
    writeln!(out, "  ],\n  \"classes\": [")?;
    for (i, class) in document.classes.iter().enumerate() {
        let comma = if i + 1 < document.classes.len() { "," } else { "" };
        writeln!(out, "    {{")?;
        write_class(out, class)?;
        writeln!(out, "    }}{comma}")?;
    }
    writeln!(out, "  ]\n}}")
}

fn write_class(out: &mut String, class: &ClassSpec) -> fmt::Result {
    let ClassSpec { name, member, team, kind } = class;
    writeln!(out, "      \"name\": \"{name}\", \"member\": \"{member}\", \"team\": \"{team}\",")?;
    match kind {
        ClassKind::Latency { permille, target, idempotent, replica, spread } => {
            let (percentile, within) = (Percentile(*permille), Period::from(*target));
            writeln!(out, "      \"latency\": {{")?;
            writeln!(out, "        \"percentile\": \"{percentile}\", \"within\": \"{within}\",")?;
            writeln!(out, "        \"idempotent\": {idempotent}, \"spread\": {spread},")?;
            writeln!(out, "        \"replica\": {}", Size(replica))?;
        }
        ClassKind::Batch { amount, period, task, run_time, urgent } => {
            let (within, run_time) = (Period::from(*period), Period::from(*run_time));
            writeln!(out, "      \"batch\": {{")?;
            writeln!(out, "        \"amount\": {amount}, \"within\": \"{within}\",")?;
            writeln!(out, "        \"run_time\": \"{run_time}\", \"urgent\": {urgent},")?;
            writeln!(out, "        \"task\": {}", Size(task))?;
        }
    }
    writeln!(out, "      }}")
}

struct Team<'a>(&'a TeamSpec);

impl fmt::Display for Team<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TeamSpec { name, member, quota } = self.0;
        write!(
            f,
            "{{ \"name\": \"{name}\", \"member\": \"{member}\", \"quota\": {} }}",
            Size(quota)
        )
    }
}

struct Size<'a>(&'a Resources);

impl fmt::Display for Size<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources { cpu, memory, accelerators } = self.0;
        write!(f, "{{ \"cpu\": \"{cpu}\", \"memory\": \"{memory}\"")?;
        if accelerators.0 > 0 {
            write!(f, ", \"accelerators\": {accelerators}")?;
        }
        write!(f, " }}")
    }
}
