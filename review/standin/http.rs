//! Just enough HTTP/1.1 for the stand-ins: heads, bodies with a length or in chunks.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::Duration,
};

/// First line and headers of a message, names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Method or version, target or status.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Connection with bytes that were read ahead.
pub struct Wire {
    pub socket: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(socket: TcpStream) -> Self {
        socket.set_nodelay(true).ok();
        Self {
            socket,
            ahead: Vec::new(),
        }
    }

    /// Reads more bytes; an error at the end of the connection.
    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 8192];
        match self.socket.read(&mut buffer)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.ahead.extend_from_slice(&buffer[..length]);
                Ok(())
            }
        }
    }

    fn take_until(&mut self, mark: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            if let Some(at) = self
                .ahead
                .windows(mark.len())
                .position(|window| window == mark)
            {
                return Ok(self.ahead.drain(..at + mark.len()).collect());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            self.fill()?;
        }
        Ok(self.ahead.drain(..length).collect())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        let bytes = self.take_until(b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.lines();
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Head { first, headers })
    }

    /// Reads a body; `each` gets the parts as they come. An error if it is not whole.
    pub fn read_body(&mut self, head: &Head, mut each: impl FnMut(&[u8])) -> io::Result<()> {
        if head.header("transfer-encoding").is_some() {
            loop {
                let line = self.take_until(b"\r\n")?;
                let text = String::from_utf8_lossy(&line).trim().to_owned();
                let length = usize::from_str_radix(&text, 16)
                    .map_err(|_| io::Error::other(format!("chunk length {text:?}")))?;
                let chunk = self.take(length + 2)?;
                if length == 0 {
                    return Ok(());
                }
                each(&chunk[..length]);
            }
        }
        let mut left: usize = head
            .header("content-length")
            .map_or(0, |text| text.parse().unwrap_or(0));
        while left > 0 {
            if self.ahead.is_empty() {
                self.fill()?;
            }
            let part: Vec<u8> = self.ahead.drain(..left.min(self.ahead.len())).collect();
            left -= part.len();
            each(&part);
        }
        Ok(())
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.socket.write_all(text.as_bytes())
    }

    pub fn set_timeout(&self, limit: Duration) {
        self.socket.set_read_timeout(Some(limit)).ok();
    }
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let all = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for digit in 0..4 {
            if digit <= group.len() {
                let index = (all >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[usize::try_from(index).unwrap()]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
