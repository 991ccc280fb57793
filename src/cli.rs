//! The arguments of the programs; nothing else.

use argh::FromArgs;

use crate::cmd::bench::BenchCommand;

/// Serves language-model prompts of very unlike lengths.
#[derive(FromArgs)]
pub struct CommandArguments {
    /// what to do
    #[argh(subcommand)]
    pub command: SubCommand,
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum SubCommand {
    /// Run a fleet on this machine.
    Local(LocalCommand),
    /// Check a settings file.
    Check(CheckCommand),
    /// Release notes.
    Note(NoteCommand),
    /// Status of nodes.
    Status(StatusCommand),
    /// Addresses to use.
    Resolve(ResolveCommand),
    /// Orders to plain services.
    Order(OrderCommand),
    /// Prompts that crash engines.
    Quarantine(QuarantineCommand),
    /// Spans of a request.
    Trace(TraceCommand),
    /// Load scenarios.
    Bench(BenchCommand),
}

/// Run nodes and stand-ins on loopback ports that the system chooses.
#[derive(FromArgs)]
#[argh(subcommand, name = "local")]
pub struct LocalCommand {
    /// run the tour and exit; 0 only if every step's outcome was as it should
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

/// Check a node's settings file and list every fault.
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
    /// what to do with release notes
    #[argh(subcommand)]
    pub action: NoteAction,
}

/// What to do with release notes.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum NoteAction {
    /// Publish a note.
    Publish(NotePublish),
    /// Show what is in force.
    Show(NoteShow),
    /// List accepted notes.
    History(NoteHistory),
    /// Show what changed between two notes.
    Diff(NoteDiff),
    /// Show which nodes have which version in force.
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
    /// put the note on top of newer ones that touch other entries
    #[argh(switch)]
    pub rebase: bool,
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// Show everything that is in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct NoteShow {
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// List accepted release notes, oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct NoteHistory {
    /// list those after this version (default 0)
    #[argh(option, default = "0")]
    pub after: u64,
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
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
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// Show which release note each node has in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct NoteStatus {
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// List, show and settle orders to plain services.
#[derive(FromArgs)]
#[argh(subcommand, name = "order")]
pub struct OrderCommand {
    /// what to do with orders
    #[argh(subcommand)]
    pub action: OrderAction,
}

/// What to do with orders.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum OrderAction {
    /// List orders.
    List(OrderList),
    /// Show one order.
    Show(OrderShow),
    /// Settle an order in doubt.
    Settle(OrderSettle),
}

/// List the orders in doubt, or all orders of one organisation.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct OrderList {
    /// list all orders of this organisation
    #[argh(option)]
    pub organisation: Option<String>,
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
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
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// Settle an order in doubt, after the service has been asked what it did.
#[derive(FromArgs)]
#[argh(subcommand, name = "settle")]
pub struct OrderSettle {
    /// name of the order: organisation/service/key
    #[argh(positional)]
    pub name: String,
    /// the service ran it: its answer's status
    #[argh(option)]
    pub done: Option<u16>,
    /// body of the service's answer, with --done
    #[argh(option, default = "String::new()")]
    pub body: String,
    /// the service did not run it, and the process that had it is gone
    #[argh(switch)]
    pub not_run: bool,
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// List and clear prompts that crash the engines that run them.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineCommand {
    /// what to do with quarantined prompts
    #[argh(subcommand)]
    pub action: QuarantineAction,
}

/// What to do with quarantined prompts.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum QuarantineAction {
    /// List them.
    List(QuarantineList),
    /// Let one run again.
    Clear(QuarantineClear),
}

/// List quarantined prompts.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct QuarantineList {
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// Let a quarantined prompt run again, on every node.
#[derive(FromArgs)]
#[argh(subcommand, name = "clear")]
pub struct QuarantineClear {
    /// the prompt, as the list names it
    #[argh(positional)]
    pub prompt: String,
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// Show the nodes as one of them sees them.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// Ask which addresses a caller should use.
#[derive(FromArgs)]
#[argh(subcommand, name = "resolve")]
pub struct ResolveCommand {
    /// address of any node, as IP number and port
    #[argh(option)]
    pub node: String,
    /// model the prompt is for
    #[argh(option)]
    pub model: Option<String>,
    /// length of the prompt in tokens
    #[argh(option)]
    pub prompt_tokens: Option<u64>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// Show the spans of one request, from every node.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceCommand {
    /// id of the request (X-Request-Id) or of the trace
    #[argh(positional)]
    pub id: String,
    /// address of any node, as IP number and port; not needed with --log
    #[argh(option, default = "String::new()")]
    pub node: String,
    /// log file of a gateway to read instead of asking nodes; may be repeated
    #[argh(option)]
    pub log: Vec<std::path::PathBuf>,
    /// operator's key; else the environment's GENTIANTALLY_KEY
    #[argh(option)]
    pub key: Option<String>,
    /// write one JSON document
    #[argh(switch)]
    pub json: bool,
}

/// Runs everything that an entry host runs.
#[derive(FromArgs)]
pub struct NodeArguments {
    /// settings file in JSON with comments
    #[argh(option)]
    pub settings: String,
    /// log level on standard error: off, error, warn, info, debug (default info)
    #[argh(option, default = "log::LevelFilter::Info")]
    pub log: log::LevelFilter,
}
