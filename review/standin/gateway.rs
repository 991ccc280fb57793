//! Gateways as the deploy file starts them, each on a loopback address of its own.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Wire, record::Record, store::Store};

pub const ZONES: [&str; 3] = ["duluth", "thunder-bay", "sault"];

/// Ports of a day; the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    callers: u16,
    ready: u16,
    control: u16,
    directory: u16,
    internal: u16,
}

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    child: Child,
    record: Record,
}

/// Program and arguments that the deploy file names.
fn deployed_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").unwrap();
    let line = text.lines().find(|line| line.starts_with("run")).unwrap();
    let run = line.split('"').nth(1).unwrap();
    run.split(' ').map(str::to_owned).collect()
}

fn hosts(count: usize) -> Vec<Ipv4Addr> {
    let id = std::process::id();
    let (high, low) = (1 + (id / 250 % 250) as u8, (id % 250) as u8);
    (0..count)
        .map(|index| Ipv4Addr::new(127, high, low, 10 + index as u8))
        .collect()
}

fn free_ports(hosts: &[Ipv4Addr]) -> Ports {
    for _ in 0..200 {
        let probe = TcpListener::bind((hosts[0], 0)).unwrap();
        let first = probe.local_addr().unwrap().port();
        drop(probe);
        if first > 65_000 {
            continue;
        }
        let is_free = |host: &Ipv4Addr| {
            (first..first + 20).all(|port| {
                TcpListener::bind((*host, port)).is_ok() && UdpSocket::bind((*host, port)).is_ok()
            })
        };
        if hosts.iter().all(is_free) {
            return Ports {
                callers: first,
                ready: first + 1,
                control: first + 2,
                directory: first + 3,
                internal: first + 4,
            };
        }
    }
    panic!("no free ports");
}

/// Starts `count` gateways, in the three zones in turn.
pub fn start_gateways(store: &Store, record: &Record, folder: &Path, count: usize) -> Vec<Gateway> {
    let hosts = hosts(count);
    let ports = free_ports(&hosts);
    let seeds: Vec<String> = hosts
        .iter()
        .take(3)
        .map(|host| format!("\"{host}:{}\"", ports.control))
        .collect();
    let mut gateways = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        let zone = ZONES[index % 3];
        let name = format!("frontend-{zone}-{}", index / 3 + 1);
        let settings = folder.join(format!("{name}.toml"));
        fs::write(
            &settings,
            settings_text(&name, *host, zone, &ports, &seeds.join(","), store),
        )
        .unwrap();
        let child = spawn(&settings, folder, &name);
        record.line(&format!("gateway {name} started at {host}"));
        gateways.push(Gateway {
            name,
            callers: (*host, ports.callers).into(),
            ready: (*host, ports.ready).into(),
            directory: (*host, ports.directory).into(),
            settings,
            child,
            record: record.clone(),
        });
    }
    gateways
}

fn spawn(settings: &Path, folder: &Path, name: &str) -> Child {
    let command = deployed_command();
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))
        .unwrap();
    let child = Command::new(&command[0])
        .args(&command[1..])
        .env("GENTIANTALLY_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap();
    note_running(folder, child.id(), true);
    child
}

/// Keeps the list of the processes that run, for the script that has to end them if this
/// program is broken off.
fn note_running(folder: &Path, id: u32, runs: bool) {
    let file = folder.join("running");
    let text = fs::read_to_string(&file).unwrap_or_default();
    let mut ids: Vec<&str> = text.lines().collect();
    let id = id.to_string();
    ids.retain(|known| *known != id);
    if runs {
        ids.push(&id);
    }
    fs::write(
        &file,
        ids.iter().map(|id| format!("{id}\n")).collect::<String>(),
    )
    .unwrap();
}

impl Gateway {
    /// Waits until the gateway says that it is ready; `false` if it doesn't in 20 s.
    pub fn wait_until_ready(&self) -> bool {
        let ends_at = Instant::now() + Duration::from_secs(20);
        while Instant::now() < ends_at {
            if get(self.ready, "/-/ready").is_some_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        self.record
            .line(&format!("SIG{name} to gateway {}", self.name));
        let id = self.child.id().to_string();
        let status = Command::new("sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status();
        assert!(status.is_ok_and(|status| status.success()), "kill failed");
    }

    pub fn has_ended(&mut self) -> bool {
        let has_ended = self.child.try_wait().unwrap().is_some();
        if has_ended {
            note_running(&self.folder(), self.child.id(), false);
        }
        has_ended
    }

    fn folder(&self) -> PathBuf {
        self.settings.parent().unwrap().to_owned()
    }

    /// Starts the process again after it has ended.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings, &self.folder(), &self.name);
        self.record
            .line(&format!("gateway {} started again", self.name));
    }

    /// Addresses that the node's directory names.
    pub fn resolve(&self) -> Vec<String> {
        let answer = get(
            self.directory,
            "/-/resolve?name=ficu95.example&region=great-lakes&zone=duluth",
        );
        let Some((200, body)) = answer else {
            return Vec::new();
        };
        let list = body
            .split('[')
            .nth(1)
            .and_then(|rest| rest.split(']').next())
            .unwrap_or_default();
        list.split(',')
            .map(|address| address.trim_matches('"').to_owned())
            .filter(|address| !address.is_empty())
            .collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        note_running(&self.folder(), self.child.id(), false);
    }
}

fn get(address: SocketAddr, target: &str) -> Option<(u16, String)> {
    let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let mut wire = Wire::new(socket);
    wire.set_timeout(Duration::from_secs(1));
    wire.send(&format!("GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n"))
        .ok()?;
    let head = wire.read_head().ok()?;
    let mut body = Vec::new();
    wire.read_body(&head, |part| body.extend_from_slice(part))
        .ok()?;
    Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

fn settings_text(
    name: &str,
    host: Ipv4Addr,
    zone: &str,
    ports: &Ports,
    seeds: &str,
    store: &Store,
) -> String {
    let Ports {
        callers,
        ready,
        control,
        directory,
        internal,
    } = ports;
    let last = internal + 15;
    format!(
        r#"nodeName = "{name}"
role = "gateway"
machineClass = "frontend"
serves = ["frontend","control","directory"]
ipAddress = "{host}"
zone = "{zone}"
region = "great-lakes"
internalPortRange = [{internal},{last}]
seedNodes = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
duluth = "great-lakes"
thunder-bay = "great-lakes"
sault = "great-lakes"
[listen]
frontend = "{host}:{callers}"
ready = "{host}:{ready}"
controlPlane = "{host}:{control}"
directory = "{host}:{directory}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
fileDescriptors = 4200
linkMbps = 1000.0
diskMb = 0
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
address = "{}"
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
"#,
        store.address
    )
}
