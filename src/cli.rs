//! Command-line arguments of `gentiantally` and `gentiantally-node`.

use argh::FromArgs;

use crate::cmd::bench::BenchCommand;

/// Operates a gentiantally fleet: release notes, status, orders, traces and load
/// tests.
#[derive(FromArgs)]
pub struct CommandArguments {
    /// subcommand to run
    #[argh(subcommand)]
    pub command: SubCommand,
}

/// Subcommands of `gentiantally`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum SubCommand {
    /// Run a fleet on this machine.
    Local(LocalCommand),
    /// Check a settings file.
    Check(CheckCommand),
    /// Publish and show release notes.
    Note(NoteCommand),
    /// Show the members and engines of the fleet.
    Status(StatusCommand),
    /// Ask which addresses a caller should use.
    Resolve(ResolveCommand),
    /// List, show and settle orders to plain services.
    Order(OrderCommand),
    /// List and clear quarantined prompts.
    Quarantine(QuarantineCommand),
    /// Show the spans or log lines of one request.
    Trace(TraceCommand),
    /// Run a load scenario against the simulated engines.
    Bench(BenchCommand),
}

/// Run nodes and stand-ins on loopback ports that the system chooses.
#[derive(FromArgs)]
#[argh(subcommand, name = "local")]
pub struct LocalCommand {
    /// run the tour and exit; the exit code is 0 only if every step succeeds, which
    /// takes at least 3 engines
    #[argh(switch)]
    pub once: bool,
    /// number of nodes (default 3)
    #[argh(option, default = "3")]
    pub nodes: usize,
    /// number of model engines (default 9)
    #[argh(option, default = "9")]
    pub engines: usize,
    /// log level on standard error: off, error, warn, info, debug (default warn)
    #[argh(option, default = "log::LevelFilter::Warn")]
    pub log: log::LevelFilter,
}

/// Check a node's settings file and list every invalid setting.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// settings file in JSON with comments
    #[argh(positional)]
    pub settings: String,
}

/// Publish and show release notes.
#[derive(FromArgs)]
#[argh(subcommand, name = "note")]
pub struct NoteCommand {
    /// action on release notes
    #[argh(subcommand)]
    pub action: NoteAction,
}

/// Actions of `gentiantally note`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum NoteAction {
    /// Publish a note.
    Publish(NotePublish),
    /// Show the state in force.
    Show(NoteShow),
    /// List accepted notes.
    History(NoteHistory),
    /// Show what changed between two notes.
    Diff(NoteDiff),
    /// Show the version that each node has in force.
    Status(NoteStatus),
}

/// Publish a release note.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct NotePublish {
    /// release note in JSON with comments
    #[argh(positional)]
    pub file: String,
    /// version in force when the note was written (default: the newest)
    #[argh(option)]
    pub base: Option<u64>,
    /// apply the note on top of newer notes that change other entries
    #[argh(switch)]
    pub rebase: bool,
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Show the organisations, models, adapters and services in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct NoteShow {
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// List accepted release notes, oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct NoteHistory {
    /// list only notes after this version (default 0)
    #[argh(option, default = "0")]
    pub after: u64,
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Show what changed from one release note to another.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct NoteDiff {
    /// earlier version
    #[argh(positional)]
    pub from: u64,
    /// later version
    #[argh(positional)]
    pub to: u64,
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Show which release note each node has in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct NoteStatus {
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// List, show and settle orders to plain services.
#[derive(FromArgs)]
#[argh(subcommand, name = "order")]
pub struct OrderCommand {
    /// action on orders
    #[argh(subcommand)]
    pub action: OrderAction,
}

/// Actions of `gentiantally order`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum OrderAction {
    /// List orders.
    List(OrderList),
    /// Show one order.
    Show(OrderShow),
    /// Record the outcome of an order in doubt.
    Settle(OrderSettle),
}

/// List the orders in doubt, or all orders of one organisation.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct OrderList {
    /// list all orders of this organisation
    #[argh(option)]
    pub organisation: Option<String>,
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Show one order.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct OrderShow {
    /// name of the order: organisation/service/key
    #[argh(positional)]
    pub name: String,
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Settle an order in doubt, after checking with the service whether it ran.
#[derive(FromArgs)]
#[argh(subcommand, name = "settle")]
pub struct OrderSettle {
    /// name of the order: organisation/service/key
    #[argh(positional)]
    pub name: String,
    /// HTTP status of the service's answer, if the service ran the order
    #[argh(option)]
    pub done: Option<u16>,
    /// body of the service's answer, with --done
    #[argh(option, default = "String::new()")]
    pub body: String,
    /// the service did not run the order, and the node process that the order's row
    /// names, which could still send it, has ended
    #[argh(switch)]
    pub not_run: bool,
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// List and clear prompts that crash the engines that run them.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineCommand {
    /// action on quarantined prompts
    #[argh(subcommand)]
    pub action: QuarantineAction,
}

/// Actions of `gentiantally quarantine`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum QuarantineAction {
    /// List quarantined prompts.
    List(QuarantineList),
    /// Release one prompt from quarantine.
    Clear(QuarantineClear),
}

/// List quarantined prompts.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct QuarantineList {
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Let a quarantined prompt run again, on every node.
#[derive(FromArgs)]
#[argh(subcommand, name = "clear")]
pub struct QuarantineClear {
    /// id of the prompt, as printed by `quarantine list`
    #[argh(positional)]
    pub prompt: String,
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Show the nodes and engines as one node sees them.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Ask which addresses a caller should use.
#[derive(FromArgs)]
#[argh(subcommand, name = "resolve")]
pub struct ResolveCommand {
    /// callers' address of any node, as IP address and port
    #[argh(option)]
    pub node: String,
    /// model of the prompt
    #[argh(option)]
    pub model: Option<String>,
    /// length of the prompt in tokens
    #[argh(option)]
    pub prompt_tokens: Option<u64>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Show the spans of one request from every node, or its lines from log files.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceCommand {
    /// id of the request (X-Request-Id) or of the trace
    #[argh(positional)]
    pub id: String,
    /// callers' address of any node, as IP address and port; not needed with --log
    #[argh(option, default = "String::new()")]
    pub node: String,
    /// log file of a node to read instead of asking nodes; may be repeated
    #[argh(option)]
    pub log: Vec<std::path::PathBuf>,
    /// operator's key (default: the environment variable GENTIANTALLY_KEY)
    #[argh(option)]
    pub key: Option<String>,
    /// print one JSON document instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Runs the node daemon.
#[derive(FromArgs)]
pub struct NodeArguments {
    /// settings file in JSON with comments
    #[argh(option)]
    pub settings: String,
    /// log level on standard error: off, error, warn, info, debug (default info)
    #[argh(option, default = "log::LevelFilter::Info")]
    pub log: log::LevelFilter,
}
