//! The load and experiment tool.

use anyhow::bail;

const HELP: &str = "persimmon-load COMMAND

Commands:
  gangs   measures what a planner spends on attempts
  demo    runs the whole path on loopback and ends by itself
";

fn main() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(lexopt::Arg::Value(command)) if command == "demo" => persimmon_load::demo::run(),
        Some(lexopt::Arg::Value(command)) if command == "gangs" => persimmon_load::gangs::run(),
        None | Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => bail!("{}; see --help", other.unexpected()),
    }
}
