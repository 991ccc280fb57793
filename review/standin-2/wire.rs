//! Plain HTTP/1.1 on blocking sockets, and the sockets' options.

use std::{
    io::{self, Read, Write},
    mem::{size_of, zeroed},
    net::{Ipv4Addr, SocketAddrV4, TcpStream},
    os::fd::{AsRawFd, FromRawFd},
    time::Duration,
};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SOCK_CLOEXEC: i32 = 0o2_000_000;
pub const SIGKILL: i32 = 9;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn bind(fd: i32, address: *const SocketAddress, length: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddress, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this program started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: a plain system call without pointers.
    unsafe { kill(i32::try_from(pid).unwrap(), signal) };
}

fn raw_address(address: SocketAddrV4) -> SocketAddress {
    // SAFETY: all bytes zero is a valid value.
    let mut raw: SocketAddress = unsafe { zeroed() };
    raw.family = u16::try_from(AF_INET).unwrap();
    raw.port = address.port().to_be();
    raw.address = u32::from_ne_bytes(address.ip().octets());
    raw
}

/// Connects from `source`. A narrow client has the segments of a usual network and a small
/// receive buffer.
pub fn connect_from(
    source: Ipv4Addr,
    address: SocketAddrV4,
    is_narrow: bool,
) -> io::Result<TcpStream> {
    // SAFETY: the descriptor is owned by the stream from the start; the pointers are to locals
    // that outlive each call.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if is_narrow {
            let (buffer, segment) = (2048, 1460);
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &raw const buffer, 4);
            setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &raw const segment, 4);
        }
        let length = u32::try_from(size_of::<SocketAddress>()).unwrap();
        let own = raw_address(SocketAddrV4::new(source, 0));
        if bind(stream.as_raw_fd(), &raw const own, length) != 0 {
            return Err(io::Error::last_os_error());
        }
        let peer = raw_address(address);
        if connect(stream.as_raw_fd(), &raw const peer, length) != 0 {
            return Err(io::Error::last_os_error());
        }
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Start line, as far as it matters, and headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Target of a request, or status of an answer.
    pub second: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Connection with what was read ahead.
pub struct Wire {
    pub socket: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            ahead: Vec::new(),
        }
    }

    fn fill(&mut self, most: usize) -> io::Result<usize> {
        let mut part = vec![0; most];
        let count = self.socket.read(&mut part)?;
        self.ahead.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if self.fill(4096)? == 0 {
                return Ok(None);
            }
        };
        let bytes: Vec<u8> = self.ahead.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.lines();
        let mut start = lines.next().unwrap_or_default().split(' ');
        let headers = lines.filter_map(|line| line.split_once(':'));
        Ok(Some(Head {
            second: start.nth(1).unwrap_or_default().to_owned(),
            headers: headers
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect(),
        }))
    }

    /// Reads `length` bytes, `step` at a time with `pause` after each.
    pub fn exactly(&mut self, length: usize, step: usize, pause: Duration) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            let most = step.min(length - self.ahead.len());
            if self.fill(most)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if !pause.is_zero() {
                std::thread::sleep(pause);
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let bytes: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if self.fill(4096)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body in chunks to its last one.
    pub fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let data = self.exactly(size + 2, 4096, Duration::ZERO)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&data[..size]);
        }
    }

    /// Reads the body that a head announces.
    pub fn body(&mut self, head: &Head, step: usize, pause: Duration) -> io::Result<Vec<u8>> {
        if head
            .header("transfer-encoding")
            .is_some_and(|coding| coding.contains("chunked"))
        {
            return self.chunks();
        }
        let length = head.header("content-length").unwrap_or("0");
        self.exactly(length.parse().map_err(io::Error::other)?, step, pause)
    }

    /// Reads what comes of a body; returns it, and whether it ended as a whole one does.
    pub fn body_until_end(&mut self, head: &Head) -> (Vec<u8>, bool) {
        if head.header("transfer-encoding").is_none() {
            let length = head
                .header("content-length")
                .and_then(|text| text.parse().ok());
            let length: usize = length.unwrap_or(0);
            while self.ahead.len() < length {
                if !matches!(self.fill(4096), Ok(1..)) {
                    break;
                }
            }
            let body: Vec<u8> = self.ahead.drain(..length.min(self.ahead.len())).collect();
            let is_complete = body.len() == length;
            return (body, is_complete);
        }
        let mut body = Vec::new();
        loop {
            let size = self.line().ok();
            let size = size.and_then(|line| usize::from_str_radix(line.trim(), 16).ok());
            let Some(size) = size else {
                return (body, false);
            };
            let Ok(data) = self.exactly(size + 2, 4096, Duration::ZERO) else {
                return (body, false);
            };
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&data[..size]);
        }
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.socket.write_all(text.as_bytes())
    }
}
