//! What all cases share: a temporary folder, addresses, and the desired state.

use std::{
    net::Ipv4Addr,
    path::{Path, PathBuf},
};

pub const HOST: &str = "ash.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Temporary folder, which is removed when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Self> {
        let path = folder_path();
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// Removes the temporary folder of a case that is broken off.
pub fn remove_folder() {
    std::fs::remove_dir_all(folder_path()).ok();
}

/// Loopback address number `number` of this process.
pub fn own_address(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 128, low, number)
}

/// The desired state: a route of each kind that the site has.
pub fn desired_state(version: u32) -> String {
    let route = |name: &str, kind: &str, limit: u32, goal: u32, service: &str, resumes: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{limit},\"targetLatencyMs\":{goal},\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":2,\"allowAnonymous\":false,\
             \"resumeStreams\":{resumes},\"targetGapMs\":800}}"
        )
    };
    let routes = [
        route("status", "idempotent", 10_000, 1000, "desk", false),
        route("notice", "non_idempotent", 10_000, 1000, "desk", false),
        route("sweep", "streaming", 15_000, 3000, "desk", true),
    ];
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":264,\
             \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
        service("desk")
    )
}

/// Limits of a machine of the site.
pub const MACHINE: &str = "cpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nfileDescriptors = 4200\nlinkMbps = 1000.0\ndiskMb = 0";

/// Text of a request with a body of `body` bytes.
pub fn request(method: &str, path: &str, attempt: &str, deadline_ms: u32, body: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {attempt}\r\n\
         x-request-deadline: {deadline_ms}\r\nx-key: {KEY}\r\ncontent-length: {body}\r\n\r\n{}",
        "b".repeat(body)
    )
}
