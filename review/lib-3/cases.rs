/// A worker with long names of checkpoints is emptied and taken away.
fn long_checkpoints() -> ExitCode {
    let mut stage = Stage::start(2, 16, (128_000, 262_144, 8));
    let id = "5c0e7a21d94b36f8";
    let work = Work {
        work_ms: 12_000,
        checkpointing: true,
        spec: "render the piece".to_owned(),
        checkpoint_chars: 280,
    };
    let steps =
        r#"[{"count":256,"cpu":500,"mem-mb":256,"estimate-ms":12000,"checkpointing":true}]"#;
    stage.submit(id, work, steps);
    let Some(busy) = stage.await_running(id, 128, Duration::from_secs(10)) else {
        stage.give_up("no worker runs the job");
    };
    thread::sleep(Duration::from_secs(2));
    if stage.trouble {
        stage.workers[busy].drain(Duration::from_millis(4_500));
    }
    let state = stage.await_state(id, &["completed", "failed", "cancelled"], Duration::from_secs(60));
    let broken = (state != "completed")
        .then(|| format!("job {id} was accepted, no work unit has failed, and it is shown as {state}"));
    stage.finish(broken)
}

/// Two workers crash, each once, soon after they have started the one work unit of a job.
fn two_crashes() -> ExitCode {
    let mut stage = Stage::start(2, 16, (32_000, 131_072, 8));
    let id = "5c0e7a21d94b36f8";
    let work = Work {
        work_ms: 6_000,
        checkpointing: false,
        spec: "render the piece".to_owned(),
        checkpoint_chars: 16,
    };
    let steps = r#"[{"count":1,"cpu":13000,"mem-mb":53000,"gpu":4,"estimate-ms":6000}]"#;
    stage.submit(id, work, steps);
    let mut crashed = Vec::new();
    if stage.trouble {
        for _ in 0..2 {
            let Some(busy) = stage.await_running(id, 1, Duration::from_secs(20)) else { break };
            thread::sleep(Duration::from_millis(700));
            stage.workers[busy].crash(Duration::from_millis(4_500));
            crashed.push(busy);
        }
    }
    let state = stage.await_state(id, &["completed", "failed", "cancelled"], Duration::from_secs(40));
    let broken = (state != "completed").then(|| {
        format!("job {id} was accepted, no work unit has failed, workers {crashed:?} crashed, and it is shown as {state}")
    });
    stage.finish(broken)
}
