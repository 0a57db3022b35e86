//! Exit codes of the entry daemon for its arguments and settings, before it starts anything.

use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let program = env!("CARGO_BIN_EXE_persimmon-entry");
    Command::new(program).args(arguments).current_dir(root).output().expect("run")
}

#[test]
fn arguments_and_settings_have_exit_codes() {
    // Arguments, exit code, and a part of the output.
    let cases: [(&[&str], i32, &str); 6] = [
        (&["--help"], 0, "Exit codes"),
        (&["--check-settings", "settings/soplo/entry-sac-a.toml"], 0, "valid"),
        (&["--check-settings", "settings/soplo/agent-00.toml"], 2, "key capacity"),
        (&["--check-settings", "settings/none.toml"], 2, "cannot be read"),
        (&["--chek-settings"], 2, "see --help"),
        (&[], 2, "no settings file"),
    ];
    for (arguments, code, expected) in cases {
        let output = run(arguments);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
        assert!(text.contains(expected), "{arguments:?}: {text}");
        let logged = text.contains("E103 SettingsRefused");
        assert_eq!(logged, text.contains(".toml: ") && code == 2, "{arguments:?}: {text}");
    }
}
