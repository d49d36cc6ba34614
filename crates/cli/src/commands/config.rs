//! `config check`, `diff`, `apply` and `show`.

use {
    super::{Cx, read_file},
    crate::{
        args::Servers,
        calls::{Call, ask, change},
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
    let view = view(cx, servers)?;
    let lines = diff_documents(&view.document, &document);
    if cx.args.json {
        return cx.print_json(&json!({"version": view.version, "changes": lines}));
    }
    cx.print(listed(&lines))?;
    match view.version {
        Some(version) => {
            cx.tell(format!("compared with version {version}; apply with --base {version}"))
        }
        None => cx.tell("no configuration is in force yet"),
    }
}

pub(super) fn show(cx: &mut Cx<'_, '_>, servers: &Servers) -> Result<(), CliError> {
    let view = view(cx, servers)?;
    if cx.args.json {
        return cx.print_json(&view);
    }
    let version = version_text(view.version);
    cx.print(format!("// {version}\n{}", render(&view.document)))
}

/// Proposes the file's document in place of the one in force.
///
/// Two operators who change different classes at the same time would each undo the other's change,
/// since a document is replaced as a whole. So a proposal names the version it was made from, and
/// of two with the same base only the first in the log is accepted; the other operator sees here
/// what differs, and brings it in.
pub(super) fn apply(
    cx: &mut Cx<'_, '_>,
    path: &Path,
    base: Option<Offset>,
    by: &CompactString,
    servers: &Servers,
) -> Result<(), CliError> {
    let document = read_document(cx, path)?;
    let view = view(cx, servers)?;
    let lines = diff_documents(&view.document, &document);
    if lines.is_empty()
        && view.version.is_some()
        && base.is_none_or(|base| Some(base) == view.version)
    {
        return report_applied(cx, view.version, "unchanged", "nothing to change;");
    }
    cx.tell(listed(&lines).trim_end())?;
    let base = base.or(view.version);
    let proposal = new_proposal();
    let propose = ProposeConfig { proposal, base, document, by: by.clone() };
    let call = Call::post(CONFIG, &propose)?;
    let times = (cx.args.timeout, cx.args.wait);
    match change(servers, times, &call)? {
        ProposeAnswer::Accepted { version } => {
            report_applied(cx, Some(version), "accepted", "accepted; in force is")
        }
        ProposeAnswer::Lost { version, document } => {
            lost(cx, version, &document, &propose.document)
        }
        ProposeAnswer::Invalid { faults } => Err(CliError::InvalidThere(faults)),
        ProposeAnswer::Unavailable { .. } => unreachable!("asked again until it is decided"),
    }
}

fn lost(
    cx: &mut Cx<'_, '_>,
    version: Option<Offset>,
    current: &ConfigDocument,
    ours: &ConfigDocument,
) -> Result<(), CliError> {
    let lines = diff_documents(current, ours);
    if lines.is_empty() {
        // Someone else proposed the same, or an earlier answer to this proposal was lost.
        return report_applied(cx, version, "unchanged", "nothing to change;");
    }
    if cx.args.json {
        cx.print_json(&json!({"result": "lost", "version": version, "changes": lines}))?;
    } else {
        cx.print(format!("from what is in force ({}) to yours:\n", version_text(version)))?;
        cx.print(listed(&lines))?;
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

fn view(cx: &Cx<'_, '_>, servers: &Servers) -> Result<ConfigView, CliError> {
    ask(servers, cx.args.timeout, &Call::get(CONFIG))
}

/// The file's document. With `--json` its faults are printed as JSON as well.
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

fn listed(lines: &[String]) -> String {
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

/// An id that no other proposal has: the standard library seeds each of its hashers from the
/// operating system's randomness.
fn new_proposal() -> ProposalId {
    ProposalId(RandomState::new().build_hasher().finish())
}
