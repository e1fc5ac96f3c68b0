//! The processes of a measurement: a worker that answers at once, a relay, and a gateway.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use crate::fleet::Process;

/// Workers that the gateway knows; all are one process that answers at once.
const WORKERS: usize = 4;
const ANY_PORT: &str = "127.0.0.1:0";

/// The processes of a measurement.
pub struct TestBed {
    pub echo: Process,
    pub relay: Process,
    pub gateway: Process,
}

impl TestBed {
    /// Starts them, with logs in `folder`. The worker of a silent one never answers a call.
    pub fn start(exe: &Path, folder: &Path, silent: bool) -> anyhow::Result<Self> {
        let start = |args: &[&str], log: &str| {
            let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
            Process::start(exe, &args, &folder.join(log))
        };
        let mut echo = vec!["echo", "--listen", ANY_PORT];
        echo.extend(silent.then_some("--silent"));
        let echo = start(&echo, "echo.log")?;
        let to = echo.main.to_string();
        let relay = start(&["relay", "--listen", ANY_PORT, "--to", &to], "relay.log")?;
        let file = folder.join("load.star");
        std::fs::write(&file, script(echo.main)?)?;
        let file = file.display().to_string();
        let gateway = start(&["--log", "warn", "gateway", &file], "gateway.log")?;
        Ok(Self { echo, relay, gateway })
    }
}

/// The gateway's settings.
fn script(worker: SocketAddr) -> Result<String, std::fmt::Error> {
    let mut script = "gateway(name = \"load\", listen = \"127.0.0.1:0\", most_time = s(60))\n\
        call_class(name = \"check\", aim = ms(600), give_up = s(10), effect = \"safe\")\n\
        fleet(when_absent = \"load\", keep_alive = s(60))\n\
        limits(open_calls = 1000000, calls_per_connection = 1000000, worker_streams = 100000, \
        open_bytes = mb(1024))\n"
        .to_owned();
    for number in 0..WORKERS {
        writeln!(script, "worker(id = \"w{number}\", address = \"{worker}\")")?;
    }
    Ok(script)
}
