//! Command line of the load and experiment tool.

use std::env;
use std::fmt::Write as _;
use std::process::ExitCode;

use anyhow::bail;
use lexopt::Arg;
use persimmon_load::{
    alone, cell_load, compare, demo, gangs, log_cost, replay, request_load, run, spread,
};

/// Width of the column of names in the general help.
const NAME_WIDTH: usize = 14;

/// A command, as its help describes it.
struct Usage {
    name: &'static str,
    /// Its arguments, one line each.
    arguments: &'static [&'static str],
    /// What it does, one line each.
    text: &'static [&'static str],
}

const COMMANDS: [Usage; 11] = [
    Usage {
        name: "demo",
        arguments: &[],
        text: &["runs the whole path on loopback and ends by itself"],
    },
    Usage { name: "gangs", arguments: &[], text: &["measures what a planner spends on attempts"] },
    Usage {
        name: "standin",
        arguments: &["table|objects|target|worker --listen ADDRESS"],
        text: &["runs a stand-in on loopback until it is ended"],
    },
    Usage {
        name: "run",
        arguments: &[
            "[--pattern steady|burst|diurnal] [--rate A_SECOND] [--length SPAN] [--seed N]",
            "[--entries N] [--workers N] [--service-time SPAN] [--out DIR]",
            "[--fault PART:FAULT@BEGIN-END]...",
        ],
        text: &[
            "open-loop load on a system on loopback; writes CSV and SVG files; a fault is like",
            "table:refuse@2s-4s or target0:delay@1s-3s; faults: refuse, fail, lose-answer, pause, delay",
        ],
    },
    Usage {
        name: "compare",
        arguments: &["FILE FILE"],
        text: &["ratios of the classes.csv files of two runs"],
    },
    Usage {
        name: "log-cost",
        arguments: &[],
        text: &["measures what a log line costs the thread that writes it"],
    },
    Usage {
        name: "requests",
        arguments: &["[cost|added|overload|failing|regions|leaving|faults|all]"],
        text: &["measures requests; all by default"],
    },
    Usage {
        name: "spread",
        arguments: &["[--agents N]... [--entries N] [--changes N] [--loss THOUSANDTHS]"],
        text: &[
            "measures the time until a configuration is in force everywhere, and what it costs",
        ],
    },
    Usage {
        name: "replay",
        arguments: &["[--tuning] [--policy FILE]"],
        text: &["replays job lists through the planner and two baselines"],
    },
    Usage {
        name: "cell",
        arguments: &["[--seeds N]"],
        text: &[
            "replays bursts on the users' platform through planner and agents, against FIFO first-fit",
        ],
    },
    Usage {
        name: "planner-cost",
        arguments: &[],
        text: &["times steps of the planner by the size of its zone"],
    },
];

/// Returns the general help.
fn help() -> String {
    let mut text = "persimmon-load COMMAND\n\nCommands:\n".to_owned();
    for Usage { name, arguments, text: description } in &COMMANDS {
        let names = std::iter::once(*name).chain(std::iter::repeat(""));
        for (name, line) in names.zip(description.iter().chain(*arguments)) {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "  {name:<NAME_WIDTH$}{line}");
        }
    }
    text.push_str("\npersimmon-load COMMAND --help prints the usage of one command\n");
    text
}

/// Returns the usage of a command; `None` if it is unknown.
fn usage(command: &str) -> Option<String> {
    let Usage { name, arguments, text } = COMMANDS.iter().find(|usage| usage.name == command)?;
    let arguments = arguments.join("\n    ");
    let first = format!("persimmon-load {name} {arguments}");
    Some(format!("{}\n\n{}\n", first.trim_end(), text.join("\n")))
}

fn main() -> ExitCode {
    // Not the error itself: its debug form has several lines, and a backtrace if the environment
    // asks for one.
    match carry_out() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let text = format!("{error:#}");
            let lines: Vec<&str> = text.lines().map(str::trim).collect();
            eprintln!("persimmon-load: {}", lines.join(" "));
            ExitCode::FAILURE
        }
    }
}

fn carry_out() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let command = match parser.next()? {
        Some(Arg::Value(command)) => command,
        None | Some(Arg::Long("help") | Arg::Short('h')) => {
            print!("{}", help());
            return Ok(());
        }
        Some(other) => bail!("{}; see --help", other.unexpected()),
    };
    let Some(usage) = command.to_str().and_then(usage) else {
        bail!("unknown command `{}`; see --help", command.display());
    };
    if env::args_os().skip(2).any(|argument| argument == "--help" || argument == "-h") {
        print!("{usage}");
        return Ok(());
    }
    match command.to_str().unwrap_or_default() {
        "standin" => alone::run(&mut parser),
        "run" => run::run(&mut parser),
        "compare" => compare::run(&mut parser),
        "replay" => replay::run(parser),
        "cell" => cell_load::run(&mut parser),
        "requests" => request_load::run_named(&mut parser),
        "spread" => spread::run(parser),
        name => {
            if let Some(argument) = parser.next()? {
                bail!("{}; see persimmon-load {name} --help", argument.unexpected());
            }
            match name {
                "demo" => demo::run(),
                "gangs" => gangs::run(),
                "log-cost" => log_cost::run(),
                _ => replay::planner_cost(),
            }
        }
    }
}
