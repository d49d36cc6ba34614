//! `config check`, `diff`, `apply` and `show`.

use {
    super::{Cx, read_file},
    crate::{
        args::Servers,
        calls::{Call, change, query},
        error::CliError,
    },
    compact_str::CompactString,
    egretlb_api::{CONFIG, ConfigView, ProposalId, ProposeAnswer, ProposeConfig},
    egretlb_config::{Fault, Faults, diff as diff_documents, parse_config, render},
    egretlb_types::{ConfigDocument, Offset},
    serde_json::{Value, json},
    std::{
        collections::hash_map::RandomState,
        hash::{BuildHasher, Hasher},
        path::{Path, PathBuf},
    },
};

pub(super) fn check(cx: &mut Cx<'_, '_>, path: &Path) -> Result<(), CliError> {
    let document = read_document(cx, path)?;
    let (teams, classes) = (document.teams.len(), document.classes.len());
    if cx.args.json {
        return cx.print_json(&json!({"ok": true, "teams": teams, "classes": classes}));
    }
    cx.print(format!("{}: no faults; {teams} teams, {classes} classes\n", path.display()))
}

pub(super) fn diff(cx: &mut Cx<'_, '_>, path: &Path, servers: &Servers) -> Result<(), CliError> {
    let document = read_document(cx, path)?;
    let view = fetch_view(cx, servers)?;
    let lines = diff_documents(&view.document, &document);
    if cx.args.json {
        return cx.print_json(&json!({"version": view.version, "changes": lines}));
    }
    cx.print(render_lines(&lines))?;
    match view.version {
        Some(version) => cx.report_progress(format!(
            "compared with version {version}; apply with --base {version}"
        )),
        None => cx.report_progress("no configuration is in force yet"),
    }
}

pub(super) fn show(cx: &mut Cx<'_, '_>, servers: &Servers) -> Result<(), CliError> {
    let view = fetch_view(cx, servers)?;
    if cx.args.json {
        return cx.print_json(&view);
    }
    let version = version_text(view.version);
    cx.print(format!("// {version}\n{}", render(&view.document)))
}

/// Proposes the file's document as the new configuration.
///
/// The document replaces the whole configuration. A proposal therefore names the version it is based
/// on, and of concurrent proposals with the same base only the first in the log is accepted; the
/// others are shown the differences.
pub(super) fn apply(
    cx: &mut Cx<'_, '_>,
    path: &Path,
    base: Option<Offset>,
    by: &CompactString,
    servers: &Servers,
) -> Result<(), CliError> {
    let document = read_document(cx, path)?;
    let view = fetch_view(cx, servers)?;
    let lines = diff_documents(&view.document, &document);
    if lines.is_empty()
        && view.version.is_some()
        && base.is_none_or(|base| Some(base) == view.version)
    {
        return report_applied(cx, view.version, "unchanged", "nothing to change;");
    }
    cx.report_progress(render_lines(&lines).trim_end())?;
    let base = base.or(view.version);
    let proposal = new_proposal_id();
    let propose = ProposeConfig { proposal, base, document, by: by.clone() };
    let call = Call::post(CONFIG, &propose)?;
    let timeout_and_wait = (cx.args.timeout, cx.args.wait);
    match change(servers, timeout_and_wait, &call)? {
        ProposeAnswer::Accepted { version } => {
            report_applied(cx, Some(version), "accepted", "accepted; in force is")
        }
        ProposeAnswer::Lost { version, document } => {
            report_lost_race(cx, version, &document, &propose.document)
        }
        ProposeAnswer::Invalid { faults } => Err(CliError::RejectedDocument(faults)),
        ProposeAnswer::Unavailable { .. } => {
            unreachable!("`change` retries until the answer is final")
        }
    }
}

fn report_lost_race(
    cx: &mut Cx<'_, '_>,
    version: Option<Offset>,
    current: &ConfigDocument,
    proposed: &ConfigDocument,
) -> Result<(), CliError> {
    let lines = diff_documents(current, proposed);
    if lines.is_empty() {
        // Another operator proposed the same document, or the answer to an earlier try was lost.
        return report_applied(cx, version, "unchanged", "nothing to change;");
    }
    if cx.args.json {
        cx.print_json(&json!({"result": "lost", "version": version, "changes": lines}))?;
    } else {
        cx.print(format!("from what is in force ({}) to yours:\n", version_text(version)))?;
        cx.print(render_lines(&lines))?;
    }
    Err(CliError::LostRace { version })
}

fn report_applied(
    cx: &mut Cx<'_, '_>,
    version: Option<Offset>,
    result: &str,
    text: &str,
) -> Result<(), CliError> {
    if cx.args.json {
        return cx.print_json(&json!({"result": result, "version": version}));
    }
    cx.print(format!("{text} {}\n", version_text(version)))
}

fn fetch_view(cx: &Cx<'_, '_>, servers: &Servers) -> Result<ConfigView, CliError> {
    query(servers, cx.args.timeout, &Call::get(CONFIG))
}

/// Reads and parses the file. With `--json`, also prints its faults as JSON.
fn read_document(cx: &mut Cx<'_, '_>, path: &Path) -> Result<ConfigDocument, CliError> {
    parse_config(&read_file(path)?).or_else(|faults| {
        if cx.args.json {
            cx.print_json(&faults_json(&faults))?;
        }
        Err(CliError::Faults { path: PathBuf::from(path), faults })
    })
}

fn faults_json(faults: &Faults) -> Value {
    let fault = |fault: &Fault| {
        json!({
            "line": fault.position.line,
            "column": fault.position.column,
            "message": fault.kind.to_string(),
        })
    };
    let faults: Vec<Value> = faults.as_slice().iter().map(fault).collect();
    json!({"ok": false, "faults": faults})
}

fn render_lines(lines: &[String]) -> String {
    match lines {
        [] => "no difference\n".to_owned(),
        lines => lines.iter().flat_map(|line| [line, "\n"]).collect(),
    }
}

fn version_text(version: Option<Offset>) -> String {
    match version {
        Some(version) => format!("version {version}"),
        None => "no version yet".to_owned(),
    }
}

/// Returns a random id: [`RandomState`] is seeded from the operating system's randomness.
fn new_proposal_id() -> ProposalId {
    ProposalId(RandomState::new().build_hasher().finish())
}
