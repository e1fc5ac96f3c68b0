//! The command line of `cresswheel versions`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Subcommand};

#[derive(Args)]
pub struct VersionsArgs {
    /// A gateway's main address; give all of them.
    #[arg(long, global = true, value_name = "ADDRESS")]
    pub gateway: Vec<SocketAddr>,
    /// A file with more of them, one a line.
    #[arg(long, global = true, value_name = "FILE")]
    pub gateways: Option<PathBuf>,
    /// The file with the gateways' order key.
    #[arg(long, global = true, value_name = "FILE")]
    pub key_file: Option<PathBuf>,
    /// Who orders; kept in the history.
    #[arg(long, global = true, env = "USER", default_value = "")]
    pub by: String,
    /// Why; kept in the history.
    #[arg(long, global = true, default_value = "")]
    pub why: String,
    /// Give up on gateways that can't be reached after so many milliseconds.
    #[arg(long, global = true, default_value_t = 10_000, value_name = "MS")]
    pub within: u64,
    /// Look at all gateways every so many milliseconds while conducting.
    #[arg(long, global = true, default_value_t = 1_000, value_name = "MS")]
    pub every: u64,
    #[command(subcommand)]
    pub order: Order,
}

#[derive(Clone, Subcommand)]
pub enum Order {
    /// Begin the plan in FILE and conduct it: widen step by step, promote at its end, roll back if the guard speaks.
    ///
    /// A plan goes on only while somebody conducts it: gateways that hear nothing for the plan's lease go back to the
    /// old version. Exits 0 when the plan was promoted, or holds a last step below all calls; 1 when it was rolled
    /// back or somebody else's order overruled it; 2 on a plan with a fault.
    Start {
        /// A plan, such as deploy/plan.star.
        file: PathBuf,
        /// Only give the order; `versions watch` conducts.
        #[arg(long)]
        no_watch: bool,
    },
    /// Read the plan in FILE and tell every fault with its line.
    Check {
        /// A plan.
        file: PathBuf,
    },
    /// Conduct a plan that has begun, in the place of one who can't any more.
    Watch {
        /// The function.
        function: String,
    },
    /// What holds at each gateway, and the answers by version.
    Status {
        /// The function; absent: all.
        function: Option<String>,
    },
    /// Stay at the present step. The plan needs a conductor all the same.
    Pause {
        /// The function.
        function: String,
    },
    /// Go on after a pause.
    Resume {
        /// The function.
        function: String,
    },
    /// Give the new version all calls, for good.
    Promote {
        /// The function.
        function: String,
    },
    /// Give the old version all calls again, at once.
    Rollback {
        /// The function.
        function: String,
    },
    /// The orders on a function that gateways took, oldest first.
    History {
        /// The function.
        function: String,
    },
}
