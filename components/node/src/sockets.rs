//! The sockets a node listens on.

use std::{net::SocketAddr, time::SystemTime};

use membership::{MemberAddresses, MemberIdentity};
use settings::NodeSettings;
use smol::net::{TcpListener, UdpSocket};

use crate::NodeError;

const BIND_TRIES: u32 = 16;

/// TCP and UDP on one port number, for other nodes.
pub struct PeerSockets {
    /// Calls.
    pub listener: TcpListener,
    /// Membership messages.
    pub datagrams: UdpSocket,
    /// Where both listen.
    pub address: SocketAddr,
}

impl PeerSockets {
    /// Binds both. With port 0 the system chooses a number that is free for
    /// TCP; another is tried when it is not free for UDP.
    ///
    /// # Errors
    /// `NodeError::Bind`.
    pub async fn bind(address: &str) -> Result<Self, NodeError> {
        let chosen_by_system = address.ends_with(":0");
        let mut tries = 0;
        loop {
            tries += 1;
            match Self::try_bind(address).await {
                Ok(sockets) => return Ok(sockets),
                Err(error) if !chosen_by_system || tries == BIND_TRIES => return Err(error),
                Err(_) => {}
            }
        }
    }

    async fn try_bind(address: &str) -> Result<Self, NodeError> {
        let fault = |error: std::io::Error| NodeError::bind(address, &error);
        let listener = TcpListener::bind(address).await.map_err(fault)?;
        let bound = listener.local_addr().map_err(fault)?;
        let datagrams = UdpSocket::bind(bound).await.map_err(fault)?;
        Ok(Self {
            listener,
            datagrams,
            address: bound,
        })
    }
}

/// What membership tells others of this process. The time of the start, in
/// milliseconds, tells one life of a node from the next.
#[must_use]
pub fn member_identity(
    settings: &NodeSettings,
    peers: SocketAddr,
    callers: SocketAddr,
) -> MemberIdentity {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    MemberIdentity {
        node: settings.node.id.clone(),
        zone: settings.node.zone.clone(),
        region: settings.node.region.clone(),
        addresses: MemberAddresses {
            datagram: peers,
            peer: peers,
            callers,
        },
        incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
    }
}
