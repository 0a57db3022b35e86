//! The entry daemon.

use std::path::PathBuf;
use std::thread;

use anyhow::{Context, bail};
use persimmondrift::{entry, settings};

const HELP: &str = "persimmon-entry [--check-settings] SETTINGS.toml
";

fn main() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let mut check = false;
    let mut file: Option<PathBuf> = None;
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("check-settings") => check = true,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                print!("{HELP}");
                return Ok(());
            }
            lexopt::Arg::Value(value) if file.is_none() => file = Some(value.into()),
            other => bail!("{}; see --help", other.unexpected()),
        }
    }
    let file = file.context("no settings file is named; see --help")?;
    let settings = settings::read(file)?;
    if check {
        println!("the settings are valid");
        return Ok(());
    }
    let _handle = entry::start(settings)?;
    loop {
        thread::park();
    }
}
