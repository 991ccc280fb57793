//! Runs the program of the deploy file as a process of its own.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::wire::{Wire, connect_from};

/// What `run` in `deploy/system.toml` starts.
const PROGRAM: &str = "target/release/gentiantally-gateway";
const START_TIME: Duration = Duration::from_secs(15);

/// Ports of a node: the same on all nodes, as the pages say.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub directory: u16,
    pub control: u16,
    pub first: u16,
}

impl Ports {
    /// Finds ports that are free on all `hosts`.
    pub fn find(hosts: &[Ipv4Addr]) -> Self {
        let mut listeners = Vec::new();
        let mut find = |count: u16| loop {
            let probe = TcpListener::bind((hosts[0], 0)).unwrap();
            let first = probe.local_addr().unwrap().port();
            drop(probe);
            let Some(last) = first.checked_add(count - 1) else {
                continue;
            };
            let bound: Result<Vec<_>, _> = hosts
                .iter()
                .flat_map(|host| (first..=last).map(|port| (*host, port)))
                .map(|at| UdpSocket::bind(at).and(TcpListener::bind(at)))
                .collect();
            if let Ok(bound) = bound {
                listeners.extend(bound);
                break first;
            }
        };
        Self {
            callers: find(1),
            ready: find(1),
            directory: find(1),
            control: find(1),
            first: find(4),
        }
    }
}

pub struct Gateway {
    child: Child,
    pub callers: SocketAddrV4,
    log: PathBuf,
    ready: SocketAddrV4,
}

impl Gateway {
    pub fn start(
        folder: &Path,
        host: Ipv4Addr,
        ports: Ports,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
        limits: &str,
    ) -> Self {
        let name = format!("frontend-duluth-{}", host.octets()[3]);
        let Ports {
            callers,
            ready,
            directory,
            control,
            first,
        } = ports;
        let last = first + 3;
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{seed}:{control}\""))
            .collect();
        let seeds = seeds.join(",");
        // As `fleetbench wire` shows them for the site of these cases.
        let settings = format!(
            r#"nodeName = "{name}"
role = "gateway"
machineClass = "frontend"
serves = ["frontend","directory","control"]
ipAddress = "{host}"
zone = "duluth"
region = "great-lakes"
internalPortRange = [{first},{last}]
seedNodes = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
duluth = "great-lakes"
[listen]
frontend = "{host}:{callers}"
ready = "{host}:{ready}"
controlPlane = "{host}:{control}"
directory = "{host}:{directory}"
[limits]
{limits}
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
stableWindowMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
revokeWhenPartitioned = false
revokeTimeoutMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetExtra = 100
recoveryS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
maxHoldMs = 20000
freeMs = 4000
maxIdleMs = 9000
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
transactionMs = 3.0
partWritesPerS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
"#
        );
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).unwrap();
        let log = folder.join(format!("{name}.log"));
        let child = Command::new(PROGRAM)
            .env("GENTIANTALLY_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(File::create(&log).unwrap())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        crate::record_child(child.id());
        Self {
            child,
            callers: SocketAddrV4::new(host, callers),
            log,
            ready: SocketAddrV4::new(host, ready),
        }
    }

    /// Waits until the node says that it is ready; returns whether it does.
    pub fn wait_until_ready(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < START_TIME {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(socket) = connect_from(Ipv4Addr::LOCALHOST, self.ready, false) else {
            return false;
        };
        let mut wire = Wire::new(socket);
        let sent = wire.send("GET /-/ready HTTP/1.1\r\nhost: node\r\n\r\n");
        let head = sent.and_then(|()| wire.head());
        head.is_ok_and(|head| head.is_some_and(|head| head.second == "200"))
    }

    /// Exit status, once the process has ended by itself.
    pub fn exit_status(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.to_string())
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        crate::forget_child(self.child.id());
    }
}
