//! Command line of the load and experiment tool.

use anyhow::bail;
use lexopt::Arg;
use persimmon_load::{
    alone, cell_load, compare, demo, gangs, log_cost, replay, request_load, run, spread,
};

const HELP: &str = "persimmon-load COMMAND

Commands:
  demo     runs the whole path on loopback and ends by itself
  gangs    measures what a planner spends on attempts
  standin  table|objects|target|worker --listen ADDRESS
           runs a stand-in on loopback until it is ended
  run      open-loop load on a system on loopback; writes CSV and SVG files
           [--pattern steady|burst|diurnal] [--rate A_SECOND] [--length SPAN] [--seed N]
           [--entries N] [--workers N] [--service-time SPAN] [--out DIR]
           [--fault PART:FAULT@BEGIN-END]..., like table:refuse@2s-4s or target0:delay@1s-3s;
           faults: refuse, fail, lose-answer, pause, delay
  compare  FILE FILE: ratios of the classes.csv files of two runs
  log-cost measures what a log line costs the thread that writes it
  requests [NAME]
           measures requests: cost, added, overload, failing, regions, leaving, faults or all
  spread   measures the time until a configuration is in force everywhere, and what it costs;
           [--agents N]... [--entries N] [--changes N] [--loss THOUSANDTHS]
  replay   replays job lists through the planner and two baselines;
           [--tuning] [--policy FILE]
  cell     replays bursts on the users' platform through planner and agents, against
           FIFO first-fit; [--seeds N]
  planner-cost
           times steps of the planner by the size of its zone
";

fn main() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let command = match parser.next()? {
        Some(Arg::Value(command)) => command,
        None | Some(Arg::Long("help") | Arg::Short('h')) => {
            print!("{HELP}");
            return Ok(());
        }
        Some(other) => bail!("{}; see --help", other.unexpected()),
    };
    match command.to_str() {
        Some("demo") => demo::run(),
        Some("gangs") => gangs::run(),
        Some("standin") => alone::run(&mut parser),
        Some("run") => run::run(&mut parser),
        Some("compare") => compare::run(&mut parser),
        Some("log-cost") => log_cost::run(),
        Some("replay") => replay::run(parser),
        Some("cell") => cell_load::run(&mut parser),
        Some("planner-cost") => replay::planner_cost(),
        Some("requests") => request_load::run_named(&mut parser),
        Some("spread") => spread::run(parser),
        _ => bail!("unknown command {}; see --help", command.display()),
    }
}
