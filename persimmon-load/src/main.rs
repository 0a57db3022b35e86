//! The load and experiment tool.

use anyhow::bail;

const HELP: &str = "persimmon-load COMMAND

Commands:
  demo                runs the whole path on loopback and ends by itself
  replay [--tuning] [--policy FILE]
                      replays job lists through the planner and two baselines
  planner-cost        times steps of the planner from 11 to 22,000 workers
";

fn main() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(lexopt::Arg::Value(command)) if command == "demo" => persimmon_load::demo::run(),
        Some(lexopt::Arg::Value(command)) if command == "replay" => {
            let mut tuning = false;
            let mut policy = None;
            while let Some(arg) = parser.next()? {
                match arg {
                    lexopt::Arg::Long("tuning") => tuning = true,
                    lexopt::Arg::Long("policy") => {
                        let text = std::fs::read_to_string(parser.value()?)?;
                        policy = Some(toml::from_str(&text)?);
                    }
                    other => bail!("{}; see --help", other.unexpected()),
                }
            }
            persimmon_load::replay::run(tuning, policy.as_ref())
        }
        Some(lexopt::Arg::Value(command)) if command == "planner-cost" => {
            persimmon_load::replay::planner_cost()
        }
        None | Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => bail!("{}; see --help", other.unexpected()),
    }
}
