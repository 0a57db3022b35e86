//! The operators' command line.

fn main() -> anyhow::Result<()> {
    anyhow::bail!("no command is known yet")
}
