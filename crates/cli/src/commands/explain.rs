//! `explain`: reconstructs the history of a workflow from logs.

use {
    super::Cx,
    crate::error::CliError,
    compact_str::CompactString,
    egretlb_explain::{ExplanationBuilder, Finding, TimelineEvent},
    std::{
        fs::File,
        io::{self, BufRead, BufReader},
        path::{Path, PathBuf},
    },
};

pub(super) fn explain(
    cx: &mut Cx<'_, '_>,
    workflow: &CompactString,
    files: &[PathBuf],
) -> Result<(), CliError> {
    let mut builder = ExplanationBuilder::new(workflow);
    if files.is_empty() {
        add_lines(&mut builder, Path::new("standard input"), io::stdin().lock())?;
    }
    for path in files {
        let file = File::open(path).map_err(|error| read_error(path, error))?;
        add_lines(&mut builder, path, BufReader::new(file))?;
    }
    let explanation = builder.finish();
    if cx.args.json {
        cx.print_json(&explanation)?;
    } else {
        for TimelineEvent { at, node, event, pairs, own } in &explanation.happenings {
            let mark = if *own { ' ' } else { '~' };
            cx.print(format!("{mark} {at} {node} {event}"))?;
            for (key, value) in pairs.iter().filter(|(key, _)| key != "level" && key != "workflow")
            {
                cx.print(format!(" {key}={value}"))?;
            }
            cx.print("\n")?;
        }
        let kind = if workflow.contains('.') { "task" } else { "workflow" };
        cx.print(format!("\n{kind} {workflow}\n"))?;
        for finding in &explanation.findings {
            cx.print(format!("- {finding}\n"))?;
        }
    }
    if explanation.findings.contains(&Finding::NotSeen) {
        return Err(CliError::NoLogLines(workflow.clone()));
    }
    Ok(())
}

fn read_error(path: &Path, error: io::Error) -> CliError {
    CliError::ReadFile { path: path.to_path_buf(), error }
}

/// Adds all lines of a log. Invalid UTF-8 is replaced.
fn add_lines(
    builder: &mut ExplanationBuilder,
    path: &Path,
    mut reader: impl BufRead,
) -> Result<(), CliError> {
    let mut buf = Vec::new();
    loop {
        buf.clear();
        if reader.read_until(b'\n', &mut buf).map_err(|error| read_error(path, error))? == 0 {
            return Ok(());
        }
        builder.add_line(String::from_utf8_lossy(&buf).trim_end());
    }
}
