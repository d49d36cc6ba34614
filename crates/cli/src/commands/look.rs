//! `status` and `dump`.

use {
    super::Cx,
    crate::{
        args::Servers,
        calls::{Call, query},
        error::CliError,
    },
    egretlb_api::{NodeStatus, STATE, STATUS, Status},
    egretlb_telemetry::render_dump,
    egretlb_types::Offset,
    serde_json::Value,
    std::{fmt::Display, net::SocketAddr},
};

pub(super) fn status(cx: &mut Cx<'_, '_>, servers: &Servers) -> Result<(), CliError> {
    let status: Status = query(servers, cx.args.timeout, &Call::get(STATUS))?;
    if cx.args.json {
        return cx.print_json(&status);
    }
    cx.print(format!(
        "configuration {}, as node {} read it {} ago\n",
        or_none(status.config_version),
        status.asked,
        status.control_read_ms_ago.map_or("never".to_owned(), |ms| format!("{ms} ms")),
    ))?;
    cx.print(format!(
        "{:<20} {:<10} {:<12} {:>6} {:>8} {:>10}  {}\n",
        "NAME", "ROLE", "DATA CENTRE", "SHARDS", "VERSION", "HEARD", "NODE"
    ))?;
    for node in &status.nodes {
        cx.print(row(node, status.config_version))?;
    }
    Ok(())
}

fn row(node: &NodeStatus, accepted: Option<Offset>) -> String {
    let is_lagging = node.config_version.is_some() && node.config_version != accepted;
    let mark = if is_lagging { "  behind" } else { "" };
    let last_contact = node.heard_ms_ago.map_or("log only".to_owned(), |ms| format!("{ms} ms"));
    format!(
        "{:<20} {:<10} {:<12} {:>6} {:>8} {last_contact:>10}  {}{mark}\n",
        node.name,
        node.role.to_string(),
        node.data_centre.as_str(),
        node.shards_owned,
        or_none(node.config_version),
        node.node,
    )
}

fn or_none(value: Option<impl Display>) -> String {
    value.map_or("none".to_owned(), |value| value.to_string())
}

pub(super) fn dump(cx: &mut Cx<'_, '_>, addr: SocketAddr) -> Result<(), CliError> {
    let servers = Servers::one(addr);
    let dump: Value = query(&servers, cx.args.timeout, &Call::get(STATE))?;
    if cx.args.json {
        return cx.print_json(&dump);
    }
    cx.print(render_dump(&dump))
}
