//! Logs by tracing: text or JSON, to standard error or a file. A full disk loses log lines and nothing else.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

use anyhow::Context;
use tracing_subscriber::EnvFilter;

/// A writer whose errors are nobody's trouble.
struct Lenient<W>(W);

impl<W: Write> Write for Lenient<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Dropped on error: a log line is never worth a call.
        let _ = self.0.write_all(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        let _ = self.0.flush();
        Ok(())
    }
}

/// Starts logging.
pub fn start(filter: &str, json: bool, file: Option<&Path>) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(filter).with_context(|| format!("--log {filter}"))?;
    let out: Box<dyn Write + Send> = match file {
        Some(path) => {
            let open = File::options().create(true).append(true).open(path);
            Box::new(open.with_context(|| format!("--log-file {}", path.display()))?)
        }
        None => Box::new(io::stderr()),
    };
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(Mutex::new(Lenient(out)));
    if json {
        builder.json().init();
    } else {
        builder.with_ansi(false).init();
    }
    Ok(())
}

#[cfg(test)]
mod tests;
