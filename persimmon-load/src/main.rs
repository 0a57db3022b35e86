//! The load and experiment tool.

use anyhow::bail;

const HELP: &str = "persimmon-load COMMAND

Commands:
  demo     runs the whole path on loopback and ends by itself
  standin  table|target|worker --listen ADDRESS
           runs a stand-in on loopback until it is ended
";

fn main() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(lexopt::Arg::Value(command)) if command == "demo" => persimmon_load::demo::run(),
        Some(lexopt::Arg::Value(command)) if command == "standin" => {
            persimmon_load::alone::run(&mut parser)
        }
        None | Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => bail!("{}; see --help", other.unexpected()),
    }
}
