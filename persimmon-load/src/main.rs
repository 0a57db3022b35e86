//! The load and experiment tool.

use anyhow::bail;
use lexopt::Arg;
use persimmon_load::{alone, demo, gangs, spread};

const HELP: &str = "persimmon-load COMMAND

Commands:
  demo     runs the whole path on loopback and ends by itself
  gangs    measures what a planner spends on attempts
  standin  table|target|worker --listen ADDRESS
           runs a stand-in on loopback until it is ended
  spread   measures the time until a configuration is in force everywhere, and what it costs;
           [--agents N]... [--entries N] [--changes N] [--loss THOUSANDTHS]
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
        Some("spread") => spread::run(parser),
        _ => bail!("{} is no command; see --help", command.display()),
    }
}
