//! The load and experiment tool.

use anyhow::bail;

const HELP: &str = "persimmon-load COMMAND

Commands:
  demo             runs the whole path on loopback and ends by itself
  requests [NAME]  measures requests: cost, added, overload, failing, regions, leaving,
                   faults, or all
  spread           measures the time until a configuration is in force everywhere, and what it costs;
          [--agents N]... [--entries N] [--changes N] [--loss THOUSANDTHS]
";

fn main() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(lexopt::Arg::Value(command)) if command == "demo" => persimmon_load::demo::run(),
        Some(lexopt::Arg::Value(command)) if command == "requests" => {
            let name = match parser.next()? {
                None => "all".to_owned(),
                Some(lexopt::Arg::Value(name)) => name.to_string_lossy().into_owned(),
                Some(other) => bail!("{}; see --help", other.unexpected()),
            };
            // Log lines would hide the results.
            spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
            persimmon_load::request_load::run(&name)
        }
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
