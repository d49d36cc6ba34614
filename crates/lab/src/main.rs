//! The program `egretlb-lab <experiment>... [--seed N] [--json] [--svg DIR]`.

use {
    egretlb_lab::{experiments, report},
    pico_args::Arguments,
    std::{path::PathBuf, process::ExitCode},
};

/// The default seed.
const DEFAULT_SEED: u64 = 1;

/// Parsed arguments.
struct Args {
    seed: u64,
    json: bool,
    svg: Option<PathBuf>,
    names: Vec<String>,
}

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{}", help());
        return ExitCode::SUCCESS;
    }
    match parse(args).and_then(|args| run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn help() -> String {
    let mut text = String::from(
        "Measures what egretlb's reducers cost as what they serve grows.\n\n\
         usage: egretlb-lab <experiment>... [--seed N] [--json] [--svg DIR]\n\n\
         `all` stands for every experiment:\n",
    );
    for experiment in experiments::ALL {
        text.push_str(&format!("  {:<12} {}\n", experiment.name, experiment.about));
    }
    text
}

fn parse(mut args: Arguments) -> Result<Args, String> {
    let seed =
        args.opt_value_from_str("--seed").map_err(|e| e.to_string())?.unwrap_or(DEFAULT_SEED);
    let json = args.contains("--json");
    let svg = args.opt_value_from_str("--svg").map_err(|e| e.to_string())?;
    let names: Vec<_> =
        args.finish().into_iter().map(|name| name.to_string_lossy().into_owned()).collect();
    if names.is_empty() {
        return Err(format!("name an experiment\n\n{}", help()));
    }
    let names = match names.iter().any(|name| name == "all") {
        true => experiments::ALL.iter().map(|experiment| experiment.name.to_owned()).collect(),
        false => names,
    };
    Ok(Args { seed, json, svg, names })
}

fn run(args: &Args) -> Result<(), String> {
    let experiments_to_run: Result<Vec<_>, _> = args
        .names
        .iter()
        .map(|name| {
            experiments::find(name)
                .ok_or(format!("no experiment {name:?}; see --help for the list"))
        })
        .collect();
    for experiment in experiments_to_run? {
        let report = (experiment.run)(args.seed);
        match args.json {
            true => println!("{}", report.to_json()),
            false => println!("{report}"),
        }
        if let Some(dir) = &args.svg {
            report::draw(&report, dir).map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}
