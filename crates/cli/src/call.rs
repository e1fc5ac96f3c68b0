//! `cresswheel call`.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use cresswheel_protocol::{FunctionProfile, Message, Origin, Status};
use cresswheel_rehearsal::Client;

#[derive(Args)]
pub struct CallArgs {
    /// The gateway's main address.
    #[arg(long, default_value = "127.0.0.1:7100", value_name = "ADDRESS")]
    gateway: SocketAddr,
    /// The function.
    function: String,
    /// The arguments; `-` reads standard input.
    #[arg(default_value = "")]
    body: String,
    /// The class of the call.
    #[arg(long, default_value = "balance-check")]
    class: String,
    /// The tenant.
    #[arg(long, default_value = "")]
    tenant: String,
    /// The account that it is about, for functions whose versions stick to accounts.
    #[arg(long, default_value = "")]
    account: String,
    /// The idempotency key: a repeat with the same key and arguments finds the first try.
    #[arg(long, default_value = "")]
    key: String,
    /// Give up after so many milliseconds; 0: the class's own time.
    #[arg(long, default_value_t = 0, value_name = "MS")]
    time: u64,
    /// Deferred: take the call's id, then wait for the result.
    #[arg(long)]
    deferred: bool,
    /// Memory of one instance, in MB.
    #[arg(long, default_value_t = 0)]
    memory_mb: u32,
    /// Calls that one instance runs at a time.
    #[arg(long, default_value_t = 4)]
    lanes: u32,
}

pub fn run(args: CallArgs) -> anyhow::Result<ExitCode> {
    let body = match args.body.as_str() {
        "-" => std::io::read_to_string(std::io::stdin())?.into_bytes(),
        text => text.as_bytes().to_vec(),
    };
    let mut client = Client::connect(args.gateway, "call")?;
    let shape = FunctionProfile { memory_mb: args.memory_mb, lanes: args.lanes, load_time: 0, work: 0 };
    client.send(&Message::Call {
        number: 1,
        deferred: args.deferred,
        function: args.function,
        class: args.class,
        tenant: args.tenant,
        key: args.key,
        trace: String::new(),
        time_left: args.time.saturating_mul(1_000),
        shape,
        body,
        account: Some(args.account).filter(|account| !account.is_empty()),
    })?;
    loop {
        match client.receive()? {
            Message::Accepted { id, .. } => {
                eprintln!("accepted as {id}");
                client.send(&Message::Await { number: 2, id, wait: 600_000_000 })?;
            }
            Message::Answer { status, reason, retry_after, body, origin, .. } => {
                if let Some(Origin { function, digest }) = origin {
                    eprintln!("ran {function} {digest}");
                }
                if status == Status::Served {
                    std::io::stdout().write_all(&body)?;
                    println!();
                    return Ok(ExitCode::SUCCESS);
                }
                let after =
                    if retry_after > 0 { format!(", again in {retry_after} us") } else { String::new() };
                eprintln!("{status}: {reason}{after}");
                return Ok(ExitCode::FAILURE);
            }
            Message::Bye { reason } => anyhow::bail!("the gateway refuses: {reason}"),
            _ => {}
        }
    }
}
