/// An order is carried out late, after the work unit is done, by the next lifetime of its worker, which
/// its agent cannot reach yet.
fn late_start_behind_cut() -> ExitCode {
    let mut stage = Stage::start(2, 16, (32_000, 131_072, 8));
    let id = "5c0e7a21d94b36f8";
    let task = format!("{id}.0.0.0");
    let work = Work {
        work_ms: 1_200,
        checkpointing: false,
        spec: "send the piece".to_owned(),
        checkpoint_chars: 16,
    };
    // The lifetime that ends has run for longer than the next one will have when the start arrives.
    thread::sleep(Duration::from_secs(4));
    let late = Duration::from_secs(9);
    let sent = Instant::now();
    if stage.trouble {
        for worker in &stage.workers {
            *worker.late.lock().unwrap() = Some((task.clone(), late));
        }
    }
    let steps = r#"[{"count":1,"cpu":13000,"mem-mb":53000,"gpu":4,"estimate-ms":1200}]"#;
    stage.submit(id, work.clone(), steps);
    // Other work, so that one order in 50 is late.
    let others = "3f2ab1c09d8e7f61";
    let small = r#"[{"count":48,"cpu":500,"mem-mb":256,"estimate-ms":1200}]"#;
    stage.submit(others, work, small);
    for job in [id, others] {
        let state =
            stage.await_state(job, &["completed", "failed", "cancelled"], Duration::from_secs(20));
        if state != "completed" {
            stage.give_up("a job does not complete");
        }
    }
    let done = || {
        let ends = stage.workers.iter().enumerate().find_map(|(index, worker)| {
            let ends = worker.acknowledged.lock().unwrap();
            ends.iter()
                .find(|(own, how, _)| *own == task && *how == "done")
                .map(|end| (index, end.2))
        });
        thread::sleep(Duration::from_millis(50));
        ends
    };
    let Some((busy, noted)) = (0..100).find_map(|_| done()) else {
        stage.give_up("the end is not taken note of");
    };
    if stage.trouble {
        thread::sleep((sent + Duration::from_secs(5)).saturating_duration_since(Instant::now()));
        let ms = Duration::from_millis;
        stage.workers[busy].reborn_behind_cut(ms(5_500), ms(200), ms(500));
    }
    thread::sleep((sent + late + Duration::from_secs(4)).saturating_duration_since(Instant::now()));
    let again = stage.workers.iter().find_map(|worker| {
        let starts = worker.starts.lock().unwrap();
        starts.iter().find(|(own, _, at)| *own == task && *at > noted).map(|start| start.2)
    });
    let broken = again.map(|at| {
        let after = at.duration_since(noted).as_millis();
        format!("{task} began again {after} ms after its end as done was taken note of")
    });
    stage.finish(broken)
}

/// The store is down twice after a machine was removed for good under a work unit.
fn silence_counted_anew() -> ExitCode {
    let mut stage = Stage::start(2, 16, (32_000, 131_072, 8));
    let id = "5c0e7a21d94b36f8";
    let work = Work {
        work_ms: 6_000,
        checkpointing: false,
        spec: "send the piece".to_owned(),
        checkpoint_chars: 16,
    };
    let steps = r#"[{"count":1,"cpu":13000,"mem-mb":53000,"gpu":4,"estimate-ms":6000}]"#;
    stage.submit(id, work, steps);
    let begin = Instant::now();
    let at = |ms: u64| {
        thread::sleep(
            (begin + Duration::from_millis(ms)).saturating_duration_since(Instant::now()),
        );
    };
    let Some(busy) = stage.await_running(id, 1, Duration::from_secs(10)) else {
        stage.give_up("no worker runs the job");
    };
    at(1_000);
    if stage.trouble {
        stage.remove_machine(busy);
        for down_at in [9_000, 21_500] {
            at(down_at);
            stage.silence_store(Duration::from_millis(4_500));
        }
    }
    // Over `finish_s` after the traffic, and over `contact-ms` after the last outage.
    at(32_000);
    let state = stage.await_state(id, &["completed", "failed", "cancelled"], Duration::ZERO);
    let until = Instant::now() + Duration::from_secs(3);
    let mut runs = false;
    while Instant::now() < until {
        runs |= stage.workers.iter().any(|worker| worker.runs(id) > 0);
        thread::sleep(Duration::from_millis(10));
    }
    let broken = (state != "completed" && !runs).then(|| {
        format!("job {id} is shown as {state}, nothing of it ran for 3 s, and 15 workers are idle")
    });
    stage.record.line(broken.as_deref().unwrap_or("the job runs or is completed"));
    // For the record only: when it goes on.
    stage.await_state(id, &["completed", "failed"], Duration::from_secs(25));
    stage.finish(broken)
}
