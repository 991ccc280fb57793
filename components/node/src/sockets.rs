//! Sockets on which a node listens for other nodes, and its membership identity.

use std::{net::SocketAddr, time::SystemTime};

use membership::{MemberAddresses, MemberIdentity};
use settings::NodeSettings;
use smol::net::{TcpListener, UdpSocket};

use crate::NodeError;

/// Maximum number of ports that are tried for one that is free for TCP and UDP.
const BIND_TRIES: u32 = 16;

/// A TCP and a UDP socket on the same port number, for other nodes.
pub struct PeerSockets {
    /// Listener for calls over TCP.
    pub listener: TcpListener,
    /// UDP socket for membership messages.
    pub datagrams: UdpSocket,
    /// Address that both are bound to.
    pub address: SocketAddr,
}

impl PeerSockets {
    /// Binds both sockets. With port 0 the system chooses a port that is free
    /// for TCP; if it is taken for UDP, another one is tried.
    ///
    /// # Errors
    /// `NodeError::Bind` when the address can't be bound.
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

/// Identity that this process announces to other nodes. Its incarnation is the
/// start time in milliseconds since the Unix epoch, so that a restart raises it.
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
