//! Stand-ins of the platform's store, servers and clients, and the cases that use them.
//!
//! `standin CASE FOLDER SCRATCH` plays one case in a small deployment of real gateway processes and
//! writes `FOLDER/record.txt`. Settings, logs and the ids of the gateways' processes go to SCRATCH. It exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod cases;
mod client;
mod gateway;
mod http;
mod record;
mod server;
mod store;

use std::{
    env,
    path::PathBuf,
    process::{self, ExitCode},
    thread,
    time::Duration,
};

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder, scratch] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER SCRATCH");
        return ExitCode::from(2);
    };
    let record = record::Record::create(&format!("{folder}/record.txt"));
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, trouble={trouble}"));
    // The script that started this ends the gateways.
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        process::exit(2);
    });
    let context = cases::Context {
        record: record.clone(),
        scratch: PathBuf::from(scratch),
        trouble,
    };
    let outcome = match case.as_str() {
        "missing-piece" => cases::missing_piece(&context),
        "late-stop" => cases::late_stop(&context),
        "returned-copy" => cases::returned_copy(&context),
        "crash-midway" => cases::crash_midway(&context),
        "crash-forgotten" => cases::crash_forgotten(&context),
        _ => Err(format!("no case {case}")),
    };
    let (text, code) = match outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("THE RULE WAS BROKEN".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
