//! The load and experiment tool.

use anyhow::bail;

const HELP: &str = "persimmon-load COMMAND

Commands:
  demo    runs the whole path on loopback and ends by itself
  spread  measures the time until a configuration is in force everywhere, and what it costs;
          [--agents N]... [--entries N] [--changes N] [--loss THOUSANDTHS]
";

fn main() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(lexopt::Arg::Value(command)) if command == "demo" => persimmon_load::demo::run(),
        Some(lexopt::Arg::Value(command)) if command == "spread" => {
            persimmon_load::spread::run(parser)
        }
        None | Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => bail!("{}; see --help", other.unexpected()),
    }
}
