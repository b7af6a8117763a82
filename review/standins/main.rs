//! The stand-ins of the review: `standins CASE FOLDER RECORD` plays a case with the project's own program, from the root of the
//! repository. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod agreement;
mod http;
mod memory;
mod quota;
mod record;
mod server;
mod system;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, record] = &arguments[..] else {
        eprintln!("standins CASE FOLDER RECORD");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("no record: {e}");
            return ExitCode::from(COULD_NOT_RUN);
        }
    };
    record.note(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let folder = Path::new(folder);
    let result = match case.as_str() {
        "agreement" => agreement::run(folder, &record, trouble),
        "memory" => memory::run(folder, &record, trouble),
        "quota" => quota::run(folder, &record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let code = match result {
        Ok(true) => {
            record.say("the rule was broken");
            1
        }
        Ok(false) => {
            record.say("the rule held");
            0
        }
        Err(e) => {
            record.say(&format!("could not run: {e}"));
            COULD_NOT_RUN
        }
    };
    record.flush();
    ExitCode::from(code)
}
